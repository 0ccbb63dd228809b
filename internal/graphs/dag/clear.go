package dag

import "slices"

// Orphans returns the IDs of the run's orphans: jobs of earlier generations of cleared steps that have not
// ended. The slice belongs to the run and must not be changed.
func (r *Run) Orphans() []string { return r.orphans }

// OrphanFinished records that an orphan (a job of an earlier generation) has ended.
func (r *Run) OrphanFinished(id string) {
	r.orphans = slices.DeleteFunc(r.orphans, func(o string) bool { return o == id })
}

// Cancel cancels the run: no more jobs are started, and cancellation of the jobs that have not ended is
// requested. The run ends when the last of these jobs has ended.
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
	r.rebuildDerivedState()
}

// cancelInstances cancels the instances of a step that have not ended. An instance whose job is not submitted
// yet becomes Skipped; if its job is submitted, cancellation of the job is requested.
func (r *Run) cancelInstances(i int) {
	n := &r.nodes[i]
	for k := range n.instances {
		switch inst := &n.instances[k]; {
		case inst.State.Final() || inst.Cancelling:
		case inst.State == Scheduled:
			inst.State = Skipped
			n.unfinished--
		default:
			r.cancelJob(InstanceRef{i, k})
		}
	}
}

// StepsToClear returns the steps that a clear would run again, in topological order: the named steps, or all
// steps if names is empty. onlyFailed restricts these to the failed ones (Failed or UpstreamFailed).
// downstream then adds all steps downstream of them. The error is an *UnknownStepError.
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

// namedSteps returns the steps with the given IDs, or all steps if names is empty.
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

// addDownstream adds to a set of steps all steps downstream of them, directly or not.
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

// Clear makes steps run again. Each gets a new generation, so its jobs have new IDs. Cancellation of the jobs
// of the earlier generation that have not ended is requested; they are orphans until they end.
func (r *Run) Clear(steps []int) {
	chosen := map[int]bool{}
	for _, i := range steps {
		chosen[i] = true
		r.orphanJobs(i)
	}
	r.reset(chosen)
}

// orphanJobs adds a step's jobs that are submitted and have not ended to the orphans, and requests their cancellation.
func (r *Run) orphanJobs(i int) {
	for k, inst := range r.nodes[i].instances {
		if !inst.State.Final() && inst.State != Scheduled {
			id := r.JobID(InstanceRef{i, k})
			r.cancellations, r.orphans = append(r.cancellations, id), append(r.orphans, id)
		}
	}
}

// reset returns steps to their initial state, in a new generation, and evaluates them.
func (r *Run) reset(chosen map[int]bool) {
	for i := range chosen {
		n := &r.nodes[i]
		if n.state.Final() {
			r.unfinished++
		}
		*n = node{generation: n.generation + 1}
	}
	r.cancelled = false
	r.rebuildDerivedState()
	for _, i := range r.Plan.Order {
		if chosen[i] {
			r.evaluateStep(i)
		}
	}
}

// rebuildDerivedState computes the counts of upstream states and the queue of ready instances from the states
// of all instances. Events otherwise update them incrementally.
func (r *Run) rebuildDerivedState() {
	for i := range r.nodes {
		r.nodes[i].upstream = r.countUpstream(i)
	}
	r.ready = nil
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if r.nodes[i].instances[k].State == Scheduled {
				r.enqueue(InstanceRef{i, k})
			}
		}
	}
}

// countUpstream counts the instances of a step's directly upstream steps, by state.
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
