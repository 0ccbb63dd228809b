package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"poppypass/internal/graphs/dag"
)

// graphResults is the case of results. A run has 12 steps side by side and one after them. Each step's job posts a result,
// of 2,000 characters with the trouble and of 20 without it; a result may have 2 KiB. Nothing else happens.
//
// The rule is broken if the run, which nobody cancels, does not have all its steps run to their ends.
func graphResults(rec *record, trouble bool) (bool, string) {
	const steps = 12
	w := newWorld(rec, ecuador())
	w.startAll()
	g := &dag.Graph{ID: "settlement", Team: "fares-team", MaxTasks: 100}
	var up []string
	for i := range steps + 1 {
		s := dag.Step{ID: fmt.Sprintf("sign-%02d", i), Kind: dag.KindJob, Job: &dag.Job{
			Class: "sign", CPUs: 1, MemoryGB: 1.6, Image: "img-sign", ImageGB: 0.1, EstimateS: 20}}
		if i == steps {
			s.ID, s.Upstream = "send", up
		}
		up = append(up, s.ID)
		g.Steps = append(g.Steps, s)
	}
	plan, err := dag.NewPlan(g)
	if err != nil {
		fatal(err)
	}
	run := dag.NewRun(plan, "night")
	var ids []string
	for i := range steps + 1 {
		j := &job{ID: run.JobID(dag.InstanceRef{Step: i}), Team: g.Team, Shape: "array", Seats: 1, CPUs: 1, MemGB: 1.6, Image: "img-sign", ImageGB: 0.1, Run: 20 * time.Second, doneTasks: map[int]bool{}}
		w.jobs[j.ID] = j
		ids = append(ids, j.ID)
	}
	raw, _ := json.Marshal(g)
	w.repeat("PUT", "/api/v1/dags/settlement?team=fares-team", raw)
	w.repeat("POST", "/api/v1/dags/settlement/dagRuns?team=fares-team", []byte(`{"dag_run_id":"night","described":true}`))
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, id := range ids {
			n += w.onOf(id)
		}
		if n == steps {
			break
		}
		if time.Now().After(until) {
			fatal(fmt.Errorf("the steps do not run"))
		}
	}
	length := 20
	if trouble {
		length = 2000
	}
	unanswered := 0
	for i := range steps {
		b := make([]byte, length*3/4)
		for k := range b {
			b[k] = byte(rand.IntN(256))
		}
		body, _ := json.Marshal(map[string]any{"key": "return_value", "value": base64.StdEncoding.EncodeToString(b)})
		path := fmt.Sprintf("/api/v1/dags/settlement/dagRuns/night/taskInstances/sign-%02d/xcomEntries?team=fares-team", i)
		status := 0
		for try := 0; try < 3 && status/100 != 2; try++ {
			var out map[string]any
			n := w.anyNode()
			status, out = w.ask(userClient, n, "POST", path, body)
			rec.log("user", "result of sign-%02d (%d bytes) at %s: %d %v", i, len(body), n.name, status, out["detail"])
			if status/100 == 4 {
				break
			}
		}
		if status/100 != 2 {
			unanswered++
		}
	}
	state := ""
	for begin := time.Now(); time.Since(begin) < 55*time.Second && state != "success"; time.Sleep(3 * time.Second) {
		status, out := w.ask(userClient, w.anyNode(), "GET", "/api/v1/dags/settlement/dagRuns/night?team=fares-team", nil)
		state, _ = out["state"].(string)
		rec.log("user", "the run: %d, state %v", status, state)
	}
	done, withdrawn := 0, 0
	for i, id := range ids[:steps] {
		status, out := w.ask(userClient, w.anyNode(), "GET", "/v2/runs/"+id, nil)
		rec.log("user", "GET /v2/runs/%s (sign-%02d): %d %v", id, i, status, out)
		if out["status"] == "withdrawn" {
			withdrawn++
		}
	}
	w.mu.Lock()
	for _, id := range ids {
		done += len(w.jobs[id].doneTasks)
	}
	w.mu.Unlock()
	w.copyLogs(os.Getenv("CASE_LOG_LEVEL") != "", 100)
	return done == steps+1 && w.ends == 0, fmt.Sprintf("the run, which nobody cancelled, is shown as %s; %d of %d steps were done; %d steps' jobs are withdrawn; %d results were not taken", state, done, steps+1, withdrawn, unanswered)
}

func init() { scenarios["graph-results"] = graphResults }
