package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// tiny has a team submit one array of many small tasks beside another team's service. With the disruption the tasks are
// small and many, without it they are fewer and larger, and take as many processors in all.
func tiny(rec *Record, trouble bool) (bool, string, error) {
	service := Job{Ref: "job-000001", Lane: "seat-booking", Desk: "sales-team", Shape: "service", Urgency: "production", Seats: 4, CPUs: 1, MemGB: 1.6, Apart: true}
	array := Job{Ref: "job-000002", Lane: "kiosk-probes", Desk: "field-team", Shape: "array", Urgency: "low", Seats: 104, CPUs: 1, MemGB: 1, RideS: 30}
	if trouble {
		array.Seats, array.CPUs, array.MemGB = 2600, 0.04, 0.04
	}
	var replicasLost, done, starts atomic.Int32
	fleet := &Fleet{
		Describe: func(task string, _ uint64) (TaskSpec, bool) {
			if strings.HasPrefix(task, service.Ref+"/") {
				return TaskSpec{CPUs: service.CPUs, MemGB: service.MemGB, Bundle: "service", ImageGB: 0.3, Run: time.Hour, Cause: "done"}, true
			}
			return TaskSpec{CPUs: array.CPUs, MemGB: array.MemGB, Bundle: "probe", ImageGB: 0.3, Run: 30 * time.Second, Cause: "done"}, true
		},
		OnStart: func(machine, task string, attempt uint64) {
			if strings.HasPrefix(task, array.Ref+"/") {
				starts.Add(1)
			}
			rec.Log("%s runs %s attempt %d", machine, task, attempt)
		},
		OnEnd: func(machine, task string, attempt uint64, cause string) {
			rec.Log("%s ends %s attempt %d: %s", machine, task, attempt, cause)
			switch {
			case strings.HasPrefix(task, service.Ref+"/") && cause == "lease ended":
				replicasLost.Add(1)
			case cause == "done":
				done.Add(1)
			}
		},
	}
	d := smallDeployment()
	d.Teams = []Team{{"sales-team", 32, 64}, {"field-team", 32, 136}}
	d.Types = []MachineType{{SKU: "big-64", CPUs: 64, MemGB: 512, CacheGB: 25, FetchGB: 0.6, Rate: 3.42, Spot: 1.05, StartupS: 3, Yards: []string{"quito-north", "guayaquil-south"}}}
	d.Capacity = 1
	c, err := StartCluster(rec, d, fleet)
	if err != nil {
		return false, "", err
	}
	defer c.Stop()
	if err := c.WaitReady(15 * time.Second); err != nil {
		return false, "", err
	}
	if !c.Submit(service) {
		return false, "", fmt.Errorf("the service was not accepted")
	}
	time.Sleep(15*time.Second - time.Since(rec.start))
	if !c.Submit(array) {
		return false, "", fmt.Errorf("the array was not accepted")
	}
	for time.Since(rec.start) < 112*time.Second {
		time.Sleep(5 * time.Second)
		if c.Poll(array.Ref) == "done" {
			break
		}
	}
	var state struct {
		Status string
		Done   int
	}
	_, raw := c.Ask(2*time.Second, 2*time.Second, http.MethodGet, "/v2/runs/"+array.Ref, nil)
	_ = json.Unmarshal(raw, &state)
	seen := fmt.Sprintf("the array of %d tasks is %q with %d done, %d starts, %d tasks were done; %d replicas of the service were killed by the lease", array.Seats, state.Status, state.Done, starts.Load(), done.Load(), replicasLost.Load())
	return state.Status != "done" && replicasLost.Load() > 0, seen, nil
}
