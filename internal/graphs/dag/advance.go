package dag

// evaluateStep applies a step's trigger rule, and makes the step ready or ends it if the rule has decided.
func (r *Run) evaluateStep(i int) {
	if s := r.ruleDecision(i); s == Scheduled {
		r.makeReady(i)
	} else if s != None {
		r.finishStep(i, s)
	}
}

// ruleDecision returns what a step's trigger rule decides now: Scheduled if the step may start, a final state
// if it ends without starting, None if it still waits or was decided before.
func (r *Run) ruleDecision(i int) State {
	n := &r.nodes[i]
	if !n.undecided() {
		return None
	}
	return r.Plan.Steps[i].Rule.Evaluate(n.upstream)
}

// makeReady makes a step's instances ready, if their number is known. A step that needs no instances ends.
func (r *Run) makeReady(i int) {
	s := &r.Plan.Steps[i]
	switch {
	case s.Kind == KindEmpty:
		r.finishStep(i, Success)
	case s.Map != nil:
		r.makeMappedReady(i)
	default:
		r.addInstances(i, 1)
	}
}

// makeMappedReady makes the instances of a mapped step ready, one for each list element. The step is skipped
// if the list is empty.
func (r *Run) makeMappedReady(i int) {
	list, known := r.mapElements(i)
	if !known {
		// The trigger rule lets the step start although the step that provides the list has not succeeded. If
		// that other step has ended, it will never provide a list, so this step cannot run.
		if r.nodes[r.Plan.Index[r.Plan.Steps[i].Map.Over]].state.Final() {
			r.finishStep(i, UpstreamFailed)
		}
		return
	}
	if len(list) == 0 {
		r.finishStep(i, Skipped)
		return
	}
	for _, j := range r.Plan.Downstream[i] {
		r.nodes[j].upstream.Total += len(list) - 1 // until now the step counted as one instance
	}
	r.addInstances(i, len(list))
}

// addInstances creates a step's instances, all of them ready.
func (r *Run) addInstances(i, count int) {
	n := &r.nodes[i]
	n.state, n.unfinished = Scheduled, count
	n.instances = make([]Instance, count)
	for k := range n.instances {
		n.instances[k].State = Scheduled
		r.enqueue(InstanceRef{i, k})
	}
}

// finishStep ends a step and evaluates the steps downstream. Steps that end as a consequence are handled from
// a queue instead of by recursion, so that a chain of 10,000 skipped steps does not need a stack of that
// depth.
func (r *Run) finishStep(i int, s State) {
	type finished struct {
		step  int
		state State
	}
	queue := []finished{{i, s}}
	for len(queue) > 0 {
		f := queue[0]
		queue = queue[1:]
		if !r.setFinal(f.step, f.state) {
			continue
		}
		for _, j := range r.Plan.Downstream[f.step] {
			switch ruleDecision := r.ruleDecision(j); {
			case ruleDecision == None:
			case ruleDecision == Scheduled && r.Plan.Steps[j].Kind == KindEmpty:
				queue = append(queue, finished{j, Success})
			case ruleDecision == Scheduled:
				r.makeReady(j)
			default:
				queue = append(queue, finished{j, ruleDecision})
			}
		}
	}
}

// setFinal sets the final state of a step. It does nothing and returns false if the step has ended before.
func (r *Run) setFinal(i int, s State) bool {
	n := &r.nodes[i]
	if n.state.Final() {
		return false
	}
	n.state = s
	r.unfinished--
	if len(n.instances) == 0 {
		r.countDownstream(i, s) // a step that never had instances counts as one
	}
	return true
}

// countDownstream adds the final state of one instance of a step to the counts of all steps directly downstream.
func (r *Run) countDownstream(i int, s State) {
	for _, j := range r.Plan.Downstream[i] {
		r.nodes[j].upstream.finish(s)
	}
}
