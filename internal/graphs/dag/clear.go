package dag

import (
	"fmt"
	"slices"
)

// Orphans returns the jobs of earlier generations that are not over.
func (r *Run) Orphans() []string { return r.orphans }

// OrphanFinished records that a job of an earlier generation is over.
func (r *Run) OrphanFinished(id string) {
	r.orphans = slices.DeleteFunc(r.orphans, func(o string) bool { return o == id })
}

// Cancel ends a run: nothing more begins, and the jobs that are not over are cancelled;
// the run ends with the last of them.
func (r *Run) Cancel() {
	if r.unfinished == 0 {
		return
	}
	r.cancelled = true
	for i := range r.nodes {
		n := &r.nodes[i]
		if n.state.Final() {
			continue
		}
		for k := range n.instances {
			switch inst := &n.instances[k]; {
			case inst.State.Final() || inst.Cancelling:
			case inst.State == Scheduled:
				inst.State = Skipped
				n.unfinished--
			default:
				r.cancelJob(Ref{i, k})
			}
		}
		if n.unfinished == 0 {
			n.state = Skipped
			for k := range n.instances {
				if n.instances[k].State == Failed {
					n.state = Failed
				}
			}
			r.unfinished--
		}
	}
	r.rebuildDerived()
}

// StepsToClear returns the steps that a clear would have run again: those named, or all if none is,
// of these only what has failed if that is wanted, and with below all that follow them. They
// come in the plan's order.
func (r *Run) StepsToClear(names []string, below, onlyFailed bool) ([]int, error) {
	var queue []int
	for _, name := range names {
		i, ok := r.Plan.Index[name]
		if !ok {
			return nil, fmt.Errorf("there is no step %q", name)
		}
		queue = append(queue, i)
	}
	if len(names) == 0 {
		queue = slices.Clone(r.Plan.Order)
	}
	if onlyFailed {
		queue = slices.DeleteFunc(queue, func(i int) bool {
			s := r.nodes[i].state
			return s != Failed && s != UpstreamFailed
		})
	}
	chosen := map[int]bool{}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if chosen[i] {
			continue
		}
		chosen[i] = true
		if below {
			queue = append(queue, r.Plan.Downstream[i]...)
		}
	}
	var out []int
	for _, i := range r.Plan.Order {
		if chosen[i] {
			out = append(out, i)
		}
	}
	return out, nil
}

// Clear has steps run again: each gets a new generation, so its jobs have new ids. Jobs of
// theirs that are not over are cancelled.
func (r *Run) Clear(steps []int) {
	chosen := map[int]bool{}
	for _, i := range steps {
		chosen[i] = true
		n := &r.nodes[i]
		for k := range n.instances {
			if s := n.instances[k].State; !s.Final() && s != Scheduled {
				id := r.JobID(Ref{i, k})
				r.cancellations, r.orphans = append(r.cancellations, id), append(r.orphans, id)
			}
		}
	}
	r.reset(chosen)
}

// reset begins steps anew.
func (r *Run) reset(chosen map[int]bool) {
	for i := range chosen {
		n := &r.nodes[i]
		if n.state.Final() {
			r.unfinished++
		}
		r.nodes[i] = node{generation: n.generation + 1}
	}
	r.cancelled = false
	r.rebuildDerived()
	for _, i := range r.Plan.Order {
		if chosen[i] {
			r.evaluateStep(i)
		}
	}
}

// rebuildDerived works out anew how the steps before each step ended, and what is ready.
func (r *Run) rebuildDerived() {
	for i := range r.nodes {
		r.nodes[i].upstream = r.countUpstream(i)
	}
	r.ready = nil
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if r.nodes[i].instances[k].State == Scheduled {
				r.enqueue(Ref{i, k})
			}
		}
	}
}

// countUpstream counts how the steps before a step ended.
func (r *Run) countUpstream(i int) (e UpstreamCounts) {
	for _, j := range r.Plan.Upstream[i] {
		n := &r.nodes[j]
		if len(n.instances) == 0 {
			e.Add(n.state, 1)
			continue
		}
		for k := range n.instances {
			e.Add(n.instances[k].State, 1)
		}
	}
	return e
}
