package dag

import "slices"

// Orphans returns the IDs of jobs of earlier generations that are not over. The slice is
// the run's own and must not be changed.
func (r *Run) Orphans() []string { return r.orphans }

// OrphanFinished records that a job of an earlier generation is over.
func (r *Run) OrphanFinished(id string) {
	r.orphans = slices.DeleteFunc(r.orphans, func(o string) bool { return o == id })
}

// Cancel ends a run: nothing more is started, and the jobs that are not over are cancelled.
// The run ends with the last of them.
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
		r.cancelInstances(i)
		if n.unfinished == 0 {
			n.state = n.outcome(Skipped)
			r.unfinished--
		}
	}
	r.rebuildDerived()
}

// cancelInstances skips the instances of a step whose jobs are not submitted, and asks for
// the cancellation of the jobs that are.
func (r *Run) cancelInstances(i int) {
	n := &r.nodes[i]
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
}

// StepsToClear returns the steps that a clear would run again, in the plan's order: those
// named, or all if none is; with onlyFailed of these only the failed ones; with downstream
// also all that follow them. The error is an *UnknownStepError.
func (r *Run) StepsToClear(names []string, downstream, onlyFailed bool) ([]int, error) {
	steps, err := r.namedSteps(names)
	if err != nil {
		return nil, err
	}
	if onlyFailed {
		steps = slices.DeleteFunc(steps, func(i int) bool { return !r.nodes[i].state.failed() })
	}
	chosen := map[int]bool{}
	for _, i := range steps {
		chosen[i] = true
	}
	if downstream {
		r.Plan.addDownstream(chosen)
	}
	var out []int
	for _, i := range r.Plan.Order {
		if chosen[i] {
			out = append(out, i)
		}
	}
	return out, nil
}

// namedSteps returns the steps with these names, or all if there are none.
func (r *Run) namedSteps(names []string) ([]int, error) {
	if len(names) == 0 {
		return slices.Clone(r.Plan.Order), nil
	}
	steps := make([]int, 0, len(names))
	for _, name := range names {
		i, ok := r.Plan.Index[name]
		if !ok {
			return nil, &UnknownStepError{Step: name}
		}
		steps = append(steps, i)
	}
	return steps, nil
}

// addDownstream adds to a set of steps all that follow them, directly or not.
func (p *Plan) addDownstream(set map[int]bool) {
	queue := make([]int, 0, len(set))
	for i := range set {
		queue = append(queue, i)
	}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, j := range p.Downstream[i] {
			if !set[j] {
				set[j] = true
				queue = append(queue, j)
			}
		}
	}
}

// Clear makes steps run again: each gets a new generation, so its jobs have new IDs. The
// jobs of the earlier generation that are not over are cancelled, and are orphans until
// they are.
func (r *Run) Clear(steps []int) {
	chosen := map[int]bool{}
	for _, i := range steps {
		chosen[i] = true
		r.orphanJobs(i)
	}
	r.reset(chosen)
}

// orphanJobs asks for the cancellation of a step's jobs that are submitted and not over.
func (r *Run) orphanJobs(i int) {
	for k, inst := range r.nodes[i].instances {
		if !inst.State.Final() && inst.State != Scheduled {
			id := r.JobID(Ref{i, k})
			r.cancellations, r.orphans = append(r.cancellations, id), append(r.orphans, id)
		}
	}
}

// reset puts steps back to their beginning, in a new generation.
func (r *Run) reset(chosen map[int]bool) {
	for i := range chosen {
		n := &r.nodes[i]
		if n.state.Final() {
			r.unfinished++
		}
		*n = node{generation: n.generation + 1}
	}
	r.cancelled = false
	r.rebuildDerived()
	for _, i := range r.Plan.Order {
		if chosen[i] {
			r.evaluateStep(i)
		}
	}
}

// rebuildDerived works out from the states of all instances what events otherwise update
// one by one: the counts of upstream states and the queue of what is ready.
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

// countUpstream counts the states of the instances of the steps that a step follows.
func (r *Run) countUpstream(i int) (c UpstreamCounts) {
	for _, j := range r.Plan.Upstream[i] {
		n := &r.nodes[j]
		if len(n.instances) == 0 {
			c.Add(n.state, 1)
			continue
		}
		for k := range n.instances {
			c.Add(n.instances[k].State, 1)
		}
	}
	return c
}
