package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// again has a team trigger a run of two steps, delete it when it is over, as its answer allows, and trigger it anew: with the
// disruption under its old name, without it under another.
func again(rec *Record, trouble bool) (bool, string, error) {
	graph, _ := json.Marshal(object{"dag_id": "settlement", "tasks": []object{step("read", nil), step("pay", object{"upstream": []string{"read"}})}})
	var starts atomic.Int32
	jobs := map[string]string{}
	names := []string{"night", "night"}
	if !trouble {
		names[1] = "night-again"
	}
	for _, name := range names {
		byJob, err := stepJobs(graph, name)
		if err != nil {
			return false, "", err
		}
		for id, step := range byJob {
			jobs[id] = step
		}
	}
	fleet := &Fleet{
		Describe: func(task string, _ uint64) (TaskSpec, bool) {
			_, ok := jobs[task[:strings.IndexByte(task, '/')]]
			return TaskSpec{CPUs: 1, MemGB: 1, Bundle: "img-settle", ImageGB: 0.25, Run: 2 * time.Second, Cause: "done"}, ok
		},
		OnStart: func(machine, task string, attempt uint64) {
			rec.Log("%s runs %s attempt %d (%s)", machine, task, attempt, jobs[task[:strings.IndexByte(task, '/')]])
			starts.Add(1)
		},
		OnEnd: func(machine, task string, attempt uint64, cause string) {
			rec.Log("%s ends %s attempt %d: %s", machine, task, attempt, cause)
		},
	}
	c, err := StartCluster(rec, smallDeployment(), fleet)
	if err != nil {
		return false, "", err
	}
	defer c.Stop()
	if err := c.WaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPut, graphPath("/dags/settlement"), graph); status != http.StatusCreated && status != http.StatusOK {
		return false, "", fmt.Errorf("the graph was not registered: %d", status)
	}
	answers := []string{}
	for i, name := range names {
		before := starts.Load()
		body := fmt.Appendf(nil, `{"dag_run_id":%q,"described":true}`, name)
		if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPost, graphPath("/dags/settlement/dagRuns"), body); status != http.StatusOK && status != http.StatusCreated {
			return false, "", fmt.Errorf("a run was not accepted: %d", status)
		}
		state := ""
		for end := time.Now().Add(45 * time.Second); time.Now().Before(end) && state != "success" && state != "failed"; {
			time.Sleep(time.Second)
			state = c.runState("settlement", name)
		}
		answers = append(answers, fmt.Sprintf("run %q is %q after %d starts", name, state, starts.Load()-before))
		if i == 0 {
			if state != "success" {
				return false, "", fmt.Errorf("%s", answers[0])
			}
			if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodDelete, graphPath("/dags/settlement/dagRuns/"+name), nil); status != http.StatusNoContent {
				return false, "", fmt.Errorf("the run was not deleted: %d", status)
			}
			continue
		}
		return state != "success", strings.Join(answers, "; "), nil
	}
	return false, "", nil
}
