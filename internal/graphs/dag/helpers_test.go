package dag

import (
	"encoding/json"
	"testing"
	"time"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// step returns a step that runs a job, with the given upstream steps.
func step(id string, upstream ...string) Step {
	return Step{ID: id, Kind: KindJob, Job: &Job{Class: "c", CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}, Upstream: upstream}
}

// changed returns a copy of a step with a change applied.
func changed(s Step, change func(*Step)) Step {
	change(&s)
	return s
}

// newTestPlan returns the plan of a graph with the given steps.
func newTestPlan(t testing.TB, steps ...Step) *Plan {
	t.Helper()
	p, err := NewPlan(&Graph{ID: "g", Team: "t", Steps: steps})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// stateNames returns the names of the states of a run's steps, by step ID.
func (r *Run) stateNames() map[string]string {
	out := map[string]string{}
	for i := range r.nodes {
		out[r.Plan.Steps[i].ID] = r.nodes[i].state.String()
	}
	return out
}

// runReady reports all ready instances as submitted and running, and returns them.
func (r *Run) runReady(now time.Time) []InstanceRef {
	refs := r.TakeReady(1 << 20)
	for _, ref := range refs {
		r.JobSubmitted(ref)
		r.TaskRunning(ref, now)
	}
	return refs
}

// finishJob reports the job of an instance as done. Before that, it sets the step's result,
// unless result is nil or the step is mapped.
func (r *Run) finishJob(ref InstanceRef, result json.RawMessage) error {
	if result != nil && r.Plan.Steps[ref.Step].Map == nil {
		if err := r.SetResult(ref.Step, result); err != nil {
			return err
		}
	}
	return r.JobDone(ref)
}

// clearFrom clears a step and all steps downstream of it.
func (r *Run) clearFrom(t interface{ Fatal(...any) }, id string) {
	steps, err := r.StepsToClear([]string{id}, true, false)
	if err != nil {
		t.Fatal(err)
	}
	r.Clear(steps)
}

// ref returns the first instance of a step.
func (r *Run) ref(id string) InstanceRef { return InstanceRef{Step: r.Plan.Index[id]} }
