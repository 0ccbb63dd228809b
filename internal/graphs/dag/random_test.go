package dag

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In random runs of random graphs, the following holds after each event: the counts that events
// update equal a recount, no step still waits after its trigger rule has decided, and a final state
// changes only by a clear. A run that is encoded and decoded has the same states, and each run ends.
func TestRandomRunsStayConsistentAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := NewPlan(drawGraph(t))
		if err != nil {
			t.Fatal(err)
		}
		x := &randomRun{t: t, run: NewRun(p, "run"), now: noon}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			before := x.stepStates()
			x.now = x.now.Add(time.Second)
			cleared := x.drawEvent()
			x.checkSteps(before, cleared)
		}
		x.finish()
	})
}

// drawGraph returns a random graph of up to 12 steps of all kinds.
func drawGraph(t *rapid.T) *Graph {
	n := rapid.IntRange(1, 12).Draw(t, "steps")
	g := &Graph{ID: "g", Team: "t"}
	for i := range n {
		s := Step{ID: fmt.Sprint("s", i), Kind: KindJob, Job: &Job{}, Rule: Rule(rapid.SampledFrom(rules).Draw(t, "rule"))}
		for j := range i {
			if rapid.IntRange(0, 2).Draw(t, "edge") == 0 {
				s.Upstream = append(s.Upstream, fmt.Sprint("s", j))
			}
		}
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0:
			s.Kind, s.Job = KindEmpty, nil
		case 1:
			s.Map = &Map{List: make([]json.RawMessage, rapid.IntRange(0, 3).Draw(t, "elements"))}
		case 2:
			if j := rapid.IntRange(0, n).Draw(t, "over"); j < i && g.Steps[j].Map == nil && g.Steps[j].Kind == KindJob {
				s.Map = &Map{Over: fmt.Sprint("s", j)}
			}
		case 3:
			s.Kind = KindBranch
		case 4:
			s.Retries = 1
		}
		g.Steps = append(g.Steps, s)
	}
	return g
}

// randomRun is a run that random events are applied to.
type randomRun struct {
	t       *rapid.T
	run     *Run
	started []InstanceRef // instances whose jobs were started and are not known to have ended
	now     time.Time
}

// stepStates returns the states of all steps, by step.
func (x *randomRun) stepStates() []State {
	states := make([]State, len(x.run.nodes))
	for i := range states {
		states[i] = x.run.nodes[i].state
	}
	return states
}

// drawEvent applies a random event to the run. If it is a clear, it returns the steps whose state changed.
func (x *randomRun) drawEvent() (cleared map[int]bool) {
	switch event := rapid.IntRange(0, 9).Draw(x.t, "event"); {
	case event == 0:
		return x.clear()
	case event == 2 && rapid.IntRange(0, 9).Draw(x.t, "cancel") == 0:
		x.run.Cancel()
	case event == 1:
		x.storeAndRead()
	case event < 5:
		x.started = append(x.started, x.run.runReady(x.now)...)
	case len(x.started) > 0:
		x.jobEvent()
	}
	return nil
}

// clear clears a random step and all steps downstream of it. It returns the steps whose state changed.
func (x *randomRun) clear() map[int]bool {
	before := x.stepStates()
	i := rapid.IntRange(0, len(before)-1).Draw(x.t, "clear")
	x.run.clearFrom(x.t, x.run.Plan.Steps[i].ID)
	cleared := map[int]bool{}
	for j := range before {
		cleared[j] = x.run.nodes[j].state != before[j]
	}
	return cleared
}

// storeAndRead replaces the run by the one decoded from its stored form, which must have the same states.
func (x *randomRun) storeAndRead() {
	r := x.run
	decoded, err := DecodeRun(r.Plan, r.Encode())
	if err != nil {
		x.t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded.stateNames(), r.stateNames()) || decoded.unfinished != r.unfinished || decoded.RunState() != r.RunState() {
		x.t.Fatalf("decoded run has states %v, was %v", decoded.stateNames(), r.stateNames())
	}
	x.run = decoded
}

// jobEvent applies a random event to one of the started jobs.
func (x *randomRun) jobEvent() {
	k := rapid.IntRange(0, len(x.started)-1).Draw(x.t, "job")
	ref := x.started[k]
	if inst := x.run.instance(ref); inst == nil || inst.State.Final() || inst.State == Scheduled {
		x.started = slices.Delete(x.started, k, k+1)
		return
	}
	switch rapid.IntRange(0, 3).Draw(x.t, "end") {
	case 0:
		x.run.AttemptFailed(ref, x.now, 0)
	case 1:
		x.run.TaskRunning(ref, x.now)
	default:
		if err := x.run.finishJob(ref, x.drawResult(ref)); err != nil && x.run.Plan.Steps[ref.Step].Kind != KindBranch {
			x.t.Fatal(err)
		}
	}
}

// drawResult returns a result of a step: a list, which for a branch contains random directly
// downstream steps.
func (x *randomRun) drawResult(ref InstanceRef) json.RawMessage {
	p := x.run.Plan
	if p.Steps[ref.Step].Kind != KindBranch {
		return json.RawMessage(`[1,2]`)
	}
	var picked []string
	for _, j := range p.Downstream[ref.Step] {
		if rapid.Bool().Draw(x.t, "picked") {
			picked = append(picked, p.Steps[j].ID)
		}
	}
	result, _ := json.Marshal(picked) // cannot fail: it is a list of strings
	return result
}

// checkSteps compares the run's counts with a recount, and its states with those before the event.
func (x *randomRun) checkSteps(before []State, cleared map[int]bool) {
	r, t := x.run, x.t
	unfinished := 0
	for i := range r.nodes {
		n, s := &r.nodes[i], &r.Plan.Steps[i]
		if want := r.countUpstream(i); n.upstream != want {
			t.Fatalf("s%d has upstream counts %+v, a recount gives %+v", i, n.upstream, want)
		}
		if !n.state.Final() {
			unfinished++
		}
		if before[i].Final() && n.state != before[i] && !cleared[i] {
			t.Fatalf("s%d changed from the final state %v to %v without a clear", i, before[i], n.state)
		}
		if decision := s.Rule.Evaluate(n.upstream); n.state == None && !r.cancelled && decision != None && (decision != Scheduled || s.Map == nil || s.Map.Over == "") {
			t.Fatalf("s%d waits, though its rule decides %v after %+v", i, decision, n.upstream)
		}
	}
	if unfinished != r.unfinished {
		t.Fatalf("%d steps are unfinished, but the run counts %d", unfinished, r.unfinished)
	}
}

// finish completes jobs until none is left, and checks that the run has ended.
func (x *randomRun) finish() {
	r := x.run
	for range 4 * len(r.nodes) * 4 {
		for _, ref := range append(x.started, r.runReady(x.now)...) {
			_ = r.finishJob(ref, json.RawMessage(`[]`)) // with an empty list, a branch picks no step
		}
		x.started = nil
		for i := range r.nodes {
			for k := range r.nodes[i].instances {
				if !r.nodes[i].instances[k].State.Final() {
					x.started = append(x.started, InstanceRef{i, k})
				}
			}
		}
	}
	if r.RunState() == RunRunning {
		x.t.Fatalf("the run does not end: %v", r.stateNames())
	}
}
