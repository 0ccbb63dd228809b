package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"poppypass/internal/graphs/dag"
)

// graphRetries is the case of steps that must not be repeated. A team triggers a graph of 52 steps side by side, each the
// transfer of a payout, without retries. Each step's job fails 8 to 10 s after its start, as a transfer that the bank
// refuses. With the trouble the state service answers slowly and the leading controller crashes, so that the steps fail
// while nobody leads. Without it nothing happens.
//
// The rule is broken if a step without retries is run again after its only try has failed.
func graphRetries(rec *record, trouble bool) (bool, string) {
	const steps = 52
	w := newWorld(rec, ecuador())
	w.startAll()
	g := &dag.Graph{ID: "settlement", Team: "fares-team", MaxTasks: 100}
	for i := range steps {
		g.Steps = append(g.Steps, dag.Step{ID: fmt.Sprintf("transfer-%02d", i), Kind: dag.KindJob, Retry: dag.Retry{Retries: 0}, Job: &dag.Job{
			Class: "bank-transfer", CPUs: 2, MemoryGB: 1.6, Image: "img-transfer", ImageGB: 0.1, EstimateS: 9, Types: []string{"small-4"}}})
	}
	plan, err := dag.NewPlan(g)
	if err != nil {
		fatal(err)
	}
	run := dag.NewRun(plan, "night")
	var ids []string
	for i := range steps { // the client describes each step's job to the workers before it triggers the run
		j := &job{ID: run.JobID(dag.InstanceRef{Step: i}), Team: g.Team, Shape: "array", Seats: 1, CPUs: 2, MemGB: 1.6, Image: "img-transfer", ImageGB: 0.1, Run: 9 * time.Second, Fails: true, doneTasks: map[int]bool{}}
		w.jobs[j.ID] = j
		ids = append(ids, j.ID)
		rec.log("user", "step transfer-%02d is %s", i, j.ID)
	}
	raw, _ := json.Marshal(g)
	w.repeat("PUT", "/api/v1/dags/settlement?team=fares-team", raw)
	w.repeat("POST", "/api/v1/dags/settlement/dagRuns?team=fares-team", []byte(`{"dag_run_id":"night","described":true}`))
	running := func() int {
		n := 0
		for _, id := range ids {
			n += w.onOf(id)
		}
		return n
	}
	for until := time.Now().Add(30 * time.Second); running() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			fatal(fmt.Errorf("no step runs"))
		}
	}
	first := time.Now()
	time.Sleep(time.Until(first.Add(6500 * time.Millisecond)))
	rec.log("note", "%d of %d steps run", running(), steps)
	if trouble {
		rec.log("trouble", "from now on the state service takes 120 to 180 ms for an answer, 30 times the usual 4 to 6 ms, for 30 s")
		w.state.mu.Lock()
		w.state.delay = func(string) time.Duration { return time.Duration(120+rand.IntN(60)) * time.Millisecond }
		w.state.mu.Unlock()
		time.AfterFunc(30*time.Second, func() { w.state.mu.Lock(); w.state.delay = nil; w.state.mu.Unlock() })
	}
	time.Sleep(time.Until(first.Add(7400 * time.Millisecond)))
	if trouble {
		n := w.node(w.state.leader())
		rec.log("trouble", "%s, which leads, crashes; it is back after 8 s", n.name)
		n.kill()
		time.AfterFunc(8*time.Second, func() { w.start(n) })
	}
	time.Sleep(45 * time.Second)
	again := 0
	w.mu.Lock()
	for i, id := range ids {
		if n := w.starts[id+"/0"]; n > 1 {
			again++
			rec.log("RULE", "transfer-%02d (%s), which has no retries, ran %d times", i, id, n)
		}
	}
	w.mu.Unlock()
	_, out := w.ask(userClient, w.anyNode(), "GET", "/api/v1/dags/settlement/dagRuns/night/taskInstances?team=fares-team", nil)
	if list, ok := out["task_instances"].([]any); ok {
		for _, x := range list {
			if m, ok := x.(map[string]any); ok {
				rec.log("user", "the service shows %v: state %v, try_number %v, max_tries %v", m["task_id"], m["state"], m["try_number"], m["max_tries"])
			}
		}
	}
	w.copyLogs(os.Getenv("CASE_LOG_LEVEL") != "", 400)
	return again == 0 && w.ends == 0, fmt.Sprintf("%d of %d steps without retries ran again after they had failed", again, steps)
}

// repeat sends a request until it is answered below 300, or 409: carried out before.
func (w *world) repeat(method, path string, body []byte) {
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		n := w.anyNode()
		status, out := w.ask(userClient, n, method, path, body)
		w.rec.log("user", "%s %s at %s: %d %v", method, path, n.name, status, out["detail"])
		if status >= 200 && status < 300 || status == 409 {
			return
		}
		if time.Now().After(until) {
			fatal(fmt.Errorf("%s %s is not carried out", method, path))
		}
	}
}

func init() { scenarios["graph-retries"] = graphRetries }
