package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"poppypass/internal/graphs/dag"
)

// graphRetries is the case of steps that must not be repeated. A team has 65 graphs of 190 steps that do not run, and one
// of 52 steps side by side, each the transfer of a payout, without retries. That one is triggered three times, one after the
// other. Each step's job fails 8 to 10 s after its start, as a transfer that the bank refuses. With the trouble the state
// service answers slowly for 25 s each time, and the leading controller crashes once, so that the steps fail while nobody
// leads. Without it nothing happens.
//
// The rule is broken if a step without retries is run again after its only try has failed.
func graphRetries(rec *record, trouble bool) (bool, string) {
	const steps, others, rounds = 52, 65, 3
	w := newWorld(rec, ecuador())
	w.startAll()
	for k := range others {
		g := &dag.Graph{ID: fmt.Sprintf("other-%d", k), Team: "fares-team"}
		for i := range 190 {
			g.Steps = append(g.Steps, dag.Step{ID: fmt.Sprintf("payout-%03d-%s", i, hexDigits(20)), Kind: dag.KindJob, Job: &dag.Job{
				Class: "payout", CPUs: 2, MemoryGB: 1.6, Image: "img-payout@sha256:" + hexDigits(32), ImageGB: 0.1, EstimateS: 9}})
		}
		raw, _ := json.Marshal(g)
		w.repeat("PUT", "/api/v1/dags/"+g.ID+"?team=fares-team", raw)
	}
	g := &dag.Graph{ID: "settlement", Team: "fares-team", MaxTasks: 100}
	for i := range steps {
		g.Steps = append(g.Steps, dag.Step{ID: fmt.Sprintf("transfer-%02d", i), Kind: dag.KindJob, Retry: dag.Retry{Retries: 0}, Job: &dag.Job{
			Class: "bank-transfer", CPUs: 2, MemoryGB: 1.6, Image: "img-transfer", ImageGB: 0.1, EstimateS: 9, Types: []string{"small-4"}}})
	}
	plan, err := dag.NewPlan(g)
	if err != nil {
		fatal(err)
	}
	raw, _ := json.Marshal(g)
	w.repeat("PUT", "/api/v1/dags/settlement?team=fares-team", raw)
	again := 0
	var all []string
	for round := range rounds {
		name := fmt.Sprintf("night-%d", round+1)
		run := dag.NewRun(plan, name)
		ids := make([]string, steps)
		w.mu.Lock()
		for i := range steps { // the client describes each step's job to the workers before it triggers the run
			j := &job{ID: run.JobID(dag.InstanceRef{Step: i}), Team: g.Team, Shape: "array", Seats: 1, CPUs: 2, MemGB: 1.6, Image: "img-transfer", ImageGB: 0.1, Run: 9 * time.Second, Fails: true, doneTasks: map[int]bool{}}
			w.jobs[j.ID] = j
			ids[i] = j.ID
		}
		w.mu.Unlock()
		w.repeat("POST", "/api/v1/dags/settlement/dagRuns?team=fares-team", []byte(`{"dag_run_id":"`+name+`","described":true}`))
		w.failSteps(ids, trouble, round)
		all = append(all, ids...)
	}
	w.mu.Lock()
	for i, id := range all {
		if n := w.starts[id+"/0"]; n > 1 {
			again++
			rec.log("RULE", "transfer-%02d of night-%d (%s), which has no retries, ran %d times", i%steps, i/steps+1, id, n)
		}
	}
	w.mu.Unlock()
	w.copyLogs(os.Getenv("CASE_LOG_LEVEL") != "", 400)
	return again == 0 && w.ends == 0, fmt.Sprintf("%d of %d steps without retries ran again after they had failed", again, rounds*steps)
}

// failSteps waits until steps run and have failed. With the trouble, in all rounds but the first, the leader crashes shortly
// before they fail, while the state service is slow.
func (w *world) failSteps(ids []string, trouble bool, round int) {
	running := func() (n int) {
		for _, id := range ids {
			n += w.onOf(id)
		}
		return n
	}
	for until := time.Now().Add(20 * time.Second); running() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			fatal(fmt.Errorf("no step runs"))
		}
	}
	first := time.Now()
	time.Sleep(time.Until(first.Add(6500 * time.Millisecond)))
	w.rec.log("note", "%d of %d steps run", running(), len(ids))
	if trouble && round == 1 {
		w.rec.log("trouble", "from now on the state service takes 30 to 90 ms for an answer, 30 times the usual 1 to 3 ms, for 40 s")
		w.state.mu.Lock()
		w.state.delay = func(string) time.Duration { return time.Duration(30+rand.IntN(61)) * time.Millisecond }
		w.state.mu.Unlock()
		time.AfterFunc(40*time.Second, func() {
			w.state.mu.Lock()
			w.state.delay = nil
			w.state.mu.Unlock()
			w.rec.log("trouble", "the state service is as fast as usual")
		})
	}
	time.Sleep(time.Until(first.Add(7400 * time.Millisecond)))
	if trouble && round > 0 {
		n := w.node(w.state.leader())
		w.rec.log("trouble", "%s, which leads, crashes; it is back after 8 s", n.name)
		n.kill()
		time.AfterFunc(8*time.Second, func() { w.start(n) })
	}
	time.Sleep(time.Until(first.Add([]time.Duration{16, 20, 26}[round] * time.Second)))
}

// hexDigits returns n random bytes in hexadecimal digits.
func hexDigits(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rand.IntN(256))
	}
	return fmt.Sprintf("%x", b)
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
