package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// results plays a settlement whose first steps leave lists of matches (1,981 bytes each; 2 KiB are allowed), and whose middle
// step runs once for each of some owners. With the disruption each of these fails once and is repeated. No user cancels
// anything.
func results(rec *Record, trouble bool) (bool, string, error) {
	const leaving, owners = 17, 250
	list := make([]int, owners)
	for i := range list {
		list[i] = 1000 + i
	}
	tasks, before := []object{}, []string{}
	for i := range leaving {
		id := fmt.Sprintf("read-%d", i)
		tasks, before = append(tasks, step(id, nil)), append(before, id)
	}
	settle := step("settle", object{"upstream": before, "expand": object{"list": list}, "retry_delay": 300, "retry_exponential_backoff": true})
	settle["job"].(object)["cpus"], settle["job"].(object)["memory_gb"] = 4, 4
	tasks = append(tasks, settle, step("pay", object{"upstream": []string{"settle"}}))
	graph, _ := json.Marshal(object{"dag_id": "settlement", "max_active_tasks": 260, "tasks": tasks})
	jobs, err := stepJobs(graph, "night")
	if err != nil {
		return false, "", err
	}
	var c *Cluster
	var left sync.WaitGroup
	random := rand.New(rand.NewPCG(7, 7))
	values := map[string][]byte{}
	for _, id := range before {
		matches := []string{}
		for range 180 {
			matches = append(matches, fmt.Sprintf("m-%06d", random.IntN(1_000_000)))
		}
		values[id], _ = json.Marshal(object{"key": "return_value", "value": matches})
	}
	var mu sync.Mutex
	withdrawn, unanswered := []string{}, 0
	fleet := &Fleet{
		Describe: func(task string, attempt uint64) (TaskSpec, bool) {
			name, ok := jobs[task[:strings.IndexByte(task, '/')]]
			spec := TaskSpec{CPUs: 1, MemGB: 1, Bundle: "img-settle", ImageGB: 0.25, Run: 6 * time.Second, Cause: "done"}
			if strings.HasPrefix(name, "settle/") {
				spec.CPUs, spec.MemGB = 4, 4
				spec.Run = 2 * time.Second
				if trouble && attempt == 1 {
					spec.Run, spec.Cause = time.Second, "error"
				}
			}
			return spec, ok
		},
		OnStart: func(machine, task string, attempt uint64) {
			name := jobs[task[:strings.IndexByte(task, '/')]]
			rec.Log("%s runs %s attempt %d (%s)", machine, task, attempt, name)
			if body := values[name]; body != nil && attempt == 1 {
				left.Add(1)
				go func() { // the step's job leaves its result before it ends
					defer left.Done()
					time.Sleep(time.Second)
					if status, _ := c.Ask(4*time.Second, 4*time.Second, http.MethodPost, graphPath("/dags/settlement/dagRuns/night/taskInstances/"+name+"/xcomEntries"), body); status != http.StatusCreated {
						mu.Lock()
						unanswered++
						mu.Unlock()
					}
				}()
			}
		},
		OnEnd: func(machine, task string, attempt uint64, cause string) {
			rec.Log("%s ends %s attempt %d: %s", machine, task, attempt, cause)
		},
	}
	d := smallDeployment()
	d.Capacity = 5 // in each zone: 160 processors; the team's limit is 104
	if c, err = StartCluster(rec, d, fleet); err != nil {
		return false, "", err
	}
	defer c.Stop()
	largest := 0
	c.State.onCommit = func(_ uint64, changes []stateChange) {
		for _, change := range changes {
			if strings.HasPrefix(change.Write, "graph/run/") {
				var record struct{ Tries []byte }
				_ = json.Unmarshal(change.Data, &record)
				largest = max(largest, len(change.Data)-base64.StdEncoding.EncodedLen(len(record.Tries)))
			}
		}
	}
	if err := c.WaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPut, graphPath("/dags/settlement"), graph); status != http.StatusCreated && status != http.StatusOK {
		return false, "", fmt.Errorf("the graph was not registered: %d", status)
	}
	if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPost, graphPath("/dags/settlement/dagRuns"), []byte(`{"dag_run_id":"night","described":true}`)); status != http.StatusOK && status != http.StatusCreated {
		return false, "", fmt.Errorf("the run was not accepted: %d", status)
	}
	state := ""
	for time.Since(rec.start) < 85*time.Second {
		time.Sleep(2 * time.Second)
		if state = c.runState("settlement", "night"); state == "success" || state == "failed" {
			break
		}
	}
	left.Wait()
	for id, name := range jobs {
		time.Sleep(40 * time.Millisecond)
		if c.Poll(id) == "withdrawn" {
			withdrawn = append(withdrawn, name)
		}
	}
	slices.Sort(withdrawn)
	seen := fmt.Sprintf("the run is %q; its record has at most %d bytes without its tries; %d results were refused; %d of %d jobs are called withdrawn, and nobody cancelled one", state, largest, unanswered, len(withdrawn), len(jobs))
	if unanswered > 0 && len(withdrawn) == 0 {
		return false, seen, fmt.Errorf("results were refused: %s", seen)
	}
	return len(withdrawn) > 0, seen, nil
}
