package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"poppypass/internal/graphs/dag"
)

// graphPause is the case of a paused graph. A team triggers three graphs, one after the other. The first occupies all 128
// slots of the team's default pool for 25 s, so the other two wait. With the trouble the team pauses the second. Without
// it nothing is paused. Nothing else happens.
//
// The rule is broken if the third graph, which is not paused, starts none of its steps within 45 s after the first has
// ended, though nothing else runs.
func graphPause(rec *record, trouble bool) (bool, string) {
	w := newWorld(rec, ecuador())
	w.startAll()
	trigger := func(name string, steps int) (ids []string) {
		g := &dag.Graph{ID: name, Team: "fares-team", MaxTasks: 200}
		for i := range steps {
			g.Steps = append(g.Steps, dag.Step{ID: fmt.Sprintf("part-%03d", i), Kind: dag.KindJob, Job: &dag.Job{
				Class: "route-part", CPUs: 0.25, MemoryGB: 0.5, Image: "img-part", ImageGB: 0.1, EstimateS: 25}})
		}
		plan, err := dag.NewPlan(g)
		if err != nil {
			fatal(err)
		}
		run := dag.NewRun(plan, "night")
		w.mu.Lock()
		for i := range steps { // the client describes each step's job to the workers before it triggers the run
			j := &job{ID: run.JobID(dag.InstanceRef{Step: i}), Team: g.Team, Shape: "array", Seats: 1, CPUs: 0.25, MemGB: 0.5, Image: "img-part", ImageGB: 0.1, Run: 25 * time.Second, doneTasks: map[int]bool{}}
			w.jobs[j.ID] = j
			ids = append(ids, j.ID)
		}
		w.mu.Unlock()
		raw, _ := json.Marshal(g)
		w.repeat("PUT", "/api/v1/dags/"+name+"?team=fares-team", raw)
		w.repeat("POST", "/api/v1/dags/"+name+"/dagRuns?team=fares-team", []byte(`{"dag_run_id":"night","described":true}`))
		return ids
	}
	count := func(ids []string) (started, done int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, id := range ids {
			started += min(1, w.starts[id+"/0"])
			done += len(w.jobs[id].doneTasks)
		}
		return started, done
	}
	first := trigger("first", 128)
	wait := func(what string, limit time.Duration, reached func() bool) {
		for until := time.Now().Add(limit); !reached(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(until) {
				fatal(fmt.Errorf("%s: not reached", what))
			}
		}
		rec.log("note", "%s", what)
	}
	wait("all steps of the first graph have started", 24*time.Second, func() bool { n, _ := count(first); return n == len(first) })
	second := trigger("second", 4)
	time.Sleep(time.Second)
	third := trigger("third", 4)
	time.Sleep(time.Second)
	if trouble {
		w.repeat("PATCH", "/api/v1/dags/second?team=fares-team", []byte(`{"is_paused":true}`))
	}
	if a, _ := count(second); a > 0 {
		fatal(fmt.Errorf("the second graph did not have to wait"))
	}
	wait("all steps of the first graph are done", 45*time.Second, func() bool { _, n := count(first); return n == len(first) })
	ended, started := time.Now(), 0
	for ; time.Since(ended) < 45*time.Second; time.Sleep(5 * time.Second) {
		for _, name := range []string{"first", "second", "third"} {
			status, out := w.ask(userClient, w.anyNode(), "GET", "/api/v1/dags/"+name+"/dagRuns/night?team=fares-team", nil)
			rec.log("user", "the run of %s: %d, state %v", name, status, out["state"])
		}
		if started, _ = count(third); started == len(third) {
			break
		}
	}
	after := time.Since(ended).Round(time.Second)
	b, _ := count(second)
	w.copyLogs(os.Getenv("CASE_LOG_LEVEL") != "", 400)
	return started > 0 && w.ends == 0, fmt.Sprintf("%v after the first graph's end, with nothing else to run, %d of the 4 steps of the third graph, which is not paused, have started (second graph: %d of 4)", after, started, b)
}

func init() { scenarios["graph-pause"] = graphPause }
