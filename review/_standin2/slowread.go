package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowRead has sixteen runs of a pipeline go on. With the disruption the state service answers slowly for 39 s, as the
// operators' days have it (30 times its 2 ms, one request in twenty 25 times that), and the leader is killed twice in
// this time, at least 12 s apart, each time after some twenty steps have ended. The rule is broken if a run has failed, although none of its jobs has, or has not ended a minute
// after the troubles' end.
func slowRead(rec *Record, trouble bool) (bool, string, error) {
	const runs, chains, length = 16, 6, 3
	tasks := []object{}
	for i := range chains {
		for k := range length {
			more := object{}
			if k > 0 {
				more["upstream"] = []string{fmt.Sprintf("s%d-%d", i, k-1)}
			}
			tasks = append(tasks, step(fmt.Sprintf("s%d-%d", i, k), more))
		}
	}
	graph, _ := json.Marshal(object{"dag_id": "pipe", "max_active_tasks": 100, "tasks": tasks})
	jobs := map[string]string{}
	for r := range runs {
		byJob, err := stepJobs(graph, fmt.Sprintf("run-%02d", r))
		if err != nil {
			return false, "", err
		}
		for id, name := range byJob {
			jobs[id] = fmt.Sprintf("run-%02d %s", r, name)
		}
	}
	var mu sync.Mutex
	done := map[string]int{}
	lastStart := time.Now()
	fleet := &Fleet{
		Describe: func(task string, _ uint64) (TaskSpec, bool) {
			_, ok := jobs[task[:strings.IndexByte(task, '/')]]
			return TaskSpec{CPUs: 1, MemGB: 1, Bundle: "img-settle", ImageGB: 0.25, Run: 6 * time.Second, Cause: "done"}, ok
		},
		OnStart: func(machine, task string, attempt uint64) {
			rec.Log("%s runs %s attempt %d (%s)", machine, task, attempt, jobs[task[:strings.IndexByte(task, '/')]])
			mu.Lock()
			lastStart = time.Now()
			mu.Unlock()
		},
		OnEnd: func(machine, task string, attempt uint64, cause string) {
			rec.Log("%s ends %s attempt %d: %s", machine, task, attempt, cause)
			if cause == "done" {
				mu.Lock()
				done[task]++
				mu.Unlock()
			}
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
	if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPut, graphPath("/dags/pipe"), graph); status != http.StatusCreated && status != http.StatusOK {
		return false, "", fmt.Errorf("the graph was not registered: %d", status)
	}
	time.Sleep(5 * time.Second)
	for r := range runs {
		if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPost, graphPath("/dags/pipe/dagRuns"), fmt.Appendf(nil, `{"dag_run_id":"run-%02d","described":true}`, r)); status != http.StatusOK && status != http.StatusCreated && status != http.StatusConflict {
			return false, "", fmt.Errorf("a run was not accepted: %d", status)
		}
	}
	if trouble {
		rec.Log("the state service answers slowly")
		c.State.SetLatency(func() time.Duration {
			if rand.Float64() < 0.05 {
				return 25 * 60 * time.Millisecond
			}
			return 60 * time.Millisecond
		})
	}
	slowFrom := time.Now()
	for range 2 {
		mu.Lock()
		before := len(done)
		mu.Unlock()
		for ended := 0; ended < 20 && time.Since(slowFrom) < 32*time.Second; {
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			ended = len(done) - before
			mu.Unlock()
		}
		if trouble {
			c.Kill(c.State.Leader())
		}
		time.Sleep(12 * time.Second)
	}
	time.Sleep(time.Until(slowFrom.Add(39 * time.Second)))
	c.State.SetLatency(func() time.Duration { return 3 * time.Millisecond })
	rec.Log("all troubles are over")
	states := map[string]int{}
	for time.Since(rec.start) < 108*time.Second {
		time.Sleep(4 * time.Second)
		states = map[string]int{}
		for r := range runs {
			states[c.runState("pipe", fmt.Sprintf("run-%02d", r))]++
		}
		if states["success"] == runs {
			break
		}
	}
	mu.Lock()
	twice := 0
	for _, n := range done {
		if n > 1 {
			twice++
		}
	}
	seen := fmt.Sprintf("runs by state %v; %d of %d steps done, %d of them twice; the last start was %.0f s before the end", states, len(done), len(jobs), twice, time.Since(lastStart).Seconds())
	mu.Unlock()
	return states["success"] < runs, seen, nil
}
