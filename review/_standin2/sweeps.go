package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// smallDeployment is one like the operators' first: three controllers of 98 MB in two zones.
func smallDeployment() Deployment {
	return Deployment{
		Zones:   []string{"quito-north", "guayaquil-south", "quito-north"},
		Teams:   []Team{{"sales-team", 32, 64}, {"payouts-team", 32, 104}},
		ReportS: 1.5, LeaseS: 10, CancelS: 35, RPS: 150, WriteRPS: 50, TxnOps: 40, RAMMiB: 98, RestartS: 8,
		Types: []MachineType{{SKU: "mid-16", CPUs: 16, MemGB: 32, CacheGB: 70, FetchGB: 0.25, Rate: 0.66, Spot: 0.21, StartupS: 3,
			Yards: []string{"quito-north", "guayaquil-south"}}},
		Capacity: 4,
	}
}

// sweepGraph is a sweep of ten thousand members: ten steps, each over a list of a thousand values.
func sweepGraph(name string) []byte {
	values := make([]int, 1000)
	for i := range values {
		values[i] = i
	}
	tasks := []object{}
	for i := range 10 {
		tasks = append(tasks, object{"task_id": fmt.Sprintf("routes-%d", i), "kind": "job", "expand": object{"list": values}, "retries": 2, "retry_delay": 5,
			"job": object{"class": "settlement", "urgency": "low", "cpus": 1, "memory_gb": 1, "image": "img-settle", "image_gb": 0.5, "estimate_s": 5}})
	}
	raw, _ := json.Marshal(object{"dag_id": name, "tasks": tasks})
	return raw
}

// sweeps has one team trigger runs of a sweep, with the disruption four times as often as without, and another team submit a
// plain job at 20 s. The rule is broken if
// controllers keep ending for memory: six ends or more in the last minute.
func sweeps(rec *Record, trouble bool) (bool, string, error) {
	const submitAt, lookFrom, end = 20 * time.Second, 55 * time.Second, 115 * time.Second
	plain := Job{Ref: "job-000001", Lane: "fare-check", Desk: "sales-team", Shape: "array", Urgency: "standard", Seats: 4, CPUs: 1, MemGB: 1, RideS: 5}
	var plainStarts, members, late atomic.Int32 // tasks of the plain job that started; members done; of these in the last minute
	fleet := &Fleet{
		Describe: func(task string, _ uint64) (TaskSpec, bool) {
			return TaskSpec{CPUs: 1, MemGB: 1, Bundle: "b", ImageGB: 0.5, Run: 5 * time.Second, Cause: "done"}, true
		},
		OnStart: func(machine, task string, attempt uint64) {
			rec.Log("%s runs %s attempt %d", machine, task, attempt)
			if strings.HasPrefix(task, plain.Ref+"/") {
				plainStarts.Add(1)
			}
		},
		OnEnd: func(machine, task string, attempt uint64, cause string) {
			rec.Log("%s ends %s attempt %d: %s", machine, task, attempt, cause)
			if cause == "done" && !strings.HasPrefix(task, plain.Ref+"/") {
				members.Add(1)
				if time.Since(rec.start) > lookFrom {
					late.Add(1)
				}
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
	team := "?team=payouts-team"
	if status, _ := c.Ask(10*time.Second, 5*time.Second, http.MethodPut, "/api/v1/dags/sweep"+team, sweepGraph("sweep")); status != http.StatusCreated && status != http.StatusOK {
		return false, "", fmt.Errorf("the graph was not registered: %d", status)
	}
	runs := 30
	if trouble {
		runs = 4 * 30
	}
	var accepted atomic.Int32
	triggered := make(chan struct{})
	go func() {
		defer close(triggered)
		for i := 0; i < runs && time.Since(rec.start) < lookFrom; i++ {
			time.Sleep(time.Until(rec.start.Add(time.Duration(i) * 20 * time.Second / time.Duration(runs))))
			body := fmt.Sprintf(`{"dag_run_id":"route-%03d","described":true}`, i)
			status, _ := c.Ask(20*time.Second, 5*time.Second, http.MethodPost, "/api/v1/dags/sweep/dagRuns"+team, []byte(body))
			if status == http.StatusOK || status == http.StatusCreated || status == http.StatusConflict {
				accepted.Add(1)
			}
		}
	}()
	time.Sleep(submitAt - time.Since(rec.start))
	if !c.Submit(plain) {
		return false, "", fmt.Errorf("the plain job was not accepted")
	}
	<-triggered
	time.Sleep(lookFrom - time.Since(rec.start))
	before := c.memoryKills()
	time.Sleep(end - time.Since(rec.start))
	kills := c.memoryKills() - before
	nodes := []string{}
	for _, n := range c.Nodes {
		nodes = append(nodes, fmt.Sprintf("%s held at most %d MiB and was killed for it %d times", n.name, n.peakKB/1024, n.memoryKills))
	}
	seen := fmt.Sprintf("%d runs accepted, %d members done in all; in the last minute %d ends of controllers for memory and %d members done; %d of 4 tasks of the plain job started; %s",
		accepted.Load(), members.Load(), kills, late.Load(), plainStarts.Load(), strings.Join(nodes, "; "))
	return kills >= 6, seen, nil
}

func (c *Cluster) memoryKills() (sum int) {
	for _, n := range c.Nodes {
		n.mu.Lock()
		sum += n.memoryKills
		n.mu.Unlock()
	}
	return sum
}
