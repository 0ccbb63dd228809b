package dag

// evaluateStep applies a step's trigger rule, and starts or ends the step if it decides.
func (r *Run) evaluateStep(i int) {
	if s := r.verdict(i); s == Scheduled {
		r.makeReady(i)
	} else if s != None {
		r.finishStep(i, s)
	}
}

// verdict returns what a step's trigger rule makes of it now: Scheduled, it may start; a
// final state, it ends without starting; None, it waits or was decided before.
func (r *Run) verdict(i int) State {
	n := &r.nodes[i]
	if !n.undecided() {
		return None
	}
	return r.Plan.Steps[i].Rule.Evaluate(n.upstream)
}

// makeReady makes a step's instances ready, if it is known how many there are. A step that
// has none ends.
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

// makeMappedReady makes the instances of a mapped step ready, one for each element.
func (r *Run) makeMappedReady(i int) {
	list, known := r.mapElements(i)
	if !known {
		// The step's rule lets it start although the step that gives the list has not
		// succeeded. Once that one has ended there will be no list.
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
		r.nodes[j].upstream.Total += len(list) - 1 // the step counted for one so far
	}
	r.addInstances(i, len(list))
}

// addInstances gives a step its instances, all of them ready.
func (r *Run) addInstances(i, count int) {
	n := &r.nodes[i]
	n.state, n.unfinished = Scheduled, count
	n.instances = make([]Instance, count)
	for k := range n.instances {
		n.instances[k].State = Scheduled
		r.enqueue(Ref{i, k})
	}
}

// finishStep ends a step, and evaluates those that follow it. Steps that end by this are in
// a queue rather than on the stack: a chain of 10,000 skipped steps must not need a stack
// as deep.
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
			switch verdict := r.verdict(j); {
			case verdict == None:
			case verdict == Scheduled && r.Plan.Steps[j].Kind == KindEmpty:
				queue = append(queue, finished{j, Success})
			case verdict == Scheduled:
				r.makeReady(j)
			default:
				queue = append(queue, finished{j, verdict})
			}
		}
	}
}

// setFinal sets the final state of a step, and reports whether it had none yet.
func (r *Run) setFinal(i int, s State) bool {
	n := &r.nodes[i]
	if n.state.Final() {
		return false
	}
	n.state = s
	r.unfinished--
	if len(n.instances) == 0 {
		r.countDownstream(i, s) // it counts as one: it never had instances
	}
	return true
}

// countDownstream counts the end of one instance of a step in all steps that follow it.
func (r *Run) countDownstream(i int, s State) {
	for _, j := range r.Plan.Downstream[i] {
		r.nodes[j].upstream.finish(s)
	}
}
