package dag

import (
	"encoding/json"
	"fmt"
	"slices"
)

// evaluateStep looks whether a step that waits may begin or never will.
func (r *Run) evaluateStep(i int) {
	n := &r.nodes[i]
	if n.state != None || len(n.instances) > 0 {
		return
	}
	switch verdict := r.Plan.Steps[i].Rule.Evaluate(n.upstream); verdict {
	case None:
	case Scheduled:
		r.makeReady(i)
	default:
		r.finishStep(i, verdict)
	}
}

// makeReady makes a step's instances ready, if it is known how many there are.
func (r *Run) makeReady(i int) {
	n, s := &r.nodes[i], &r.Plan.Steps[i]
	if s.Kind == KindEmpty {
		r.finishStep(i, Success)
		return
	}
	count := 1
	if s.Map != nil {
		list, known := r.mapElements(i)
		if !known {
			// Its rule lets it begin without the list's step having ended well.
			if up := r.nodes[r.Plan.Index[s.Map.Over]].state; up.Final() {
				r.finishStep(i, UpstreamFailed)
			}
			return
		}
		if count = len(list); count == 0 {
			r.finishStep(i, Skipped)
			return
		}
		for _, j := range r.Plan.Downstream[i] {
			r.nodes[j].upstream.Total += count - 1
		}
	}
	n.state, n.unfinished = Scheduled, count
	n.instances = make([]Instance, count)
	for k := range n.instances {
		n.instances[k].State = Scheduled
		r.enqueue(Ref{i, k})
	}
}

// mapElements returns what a mapped step is mapped over; known is false while that is open.
func (r *Run) mapElements(i int) (list []json.RawMessage, known bool) {
	m := r.Plan.Steps[i].Map
	if m.Over == "" {
		return m.List, true
	}
	up := &r.nodes[r.Plan.Index[m.Over]]
	if up.state != Success || up.result == nil {
		return nil, false
	}
	if json.Unmarshal(up.result, &list) != nil || len(list) > MaxMappedInstances {
		return nil, false
	}
	return list, true
}

// Element returns the element that an instance is mapped to; nil for a step that is not
// mapped.
func (r *Run) Element(at Ref) json.RawMessage {
	if r.Plan.Steps[at.Step].Map == nil {
		return nil
	}
	list, known := r.mapElements(at.Step)
	if !known || at.Index >= len(list) {
		return nil
	}
	return list[at.Index]
}

// finishStep ends a step, and tells those that follow it. Ends come in a queue: a chain of
// 10,000 steps that are passed over must not take as deep a stack.
func (r *Run) finishStep(i int, s State) {
	type ended struct {
		step  int
		state State
	}
	queue := []ended{{i, s}}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		n := &r.nodes[e.step]
		if n.state.Final() {
			continue
		}
		n.state = e.state
		r.unfinished--
		if len(n.instances) == 0 {
			// It counts as one: its instances were never told apart.
			for _, j := range r.Plan.Downstream[e.step] {
				r.nodes[j].upstream.addCounted(e.state, 1)
			}
		}
		for _, j := range r.Plan.Downstream[e.step] {
			f := &r.nodes[j]
			if f.state != None || len(f.instances) > 0 {
				continue
			}
			switch verdict := r.Plan.Steps[j].Rule.Evaluate(f.upstream); {
			case verdict == None:
			case verdict == Scheduled && r.Plan.Steps[j].Kind == KindEmpty:
				queue = append(queue, ended{j, Success})
			case verdict == Scheduled:
				r.makeReady(j)
			default:
				queue = append(queue, ended{j, verdict})
			}
		}
	}
}

// addCounted counts an end of one that is counted in All already.
func (e *UpstreamCounts) addCounted(s State, n int) {
	e.Add(s, n)
	e.Total -= n
}

// skipUnpicked passes over the direct followers that a branch did not pick, but for those
// that follow one that it picked.
func (r *Run) skipUnpicked(i int, result json.RawMessage) error {
	var picked []string
	if json.Unmarshal(result, &picked) != nil {
		var one string
		if json.Unmarshal(result, &one) != nil {
			return fmt.Errorf("the result of %s names no steps", r.Plan.Steps[i].ID)
		}
		picked = []string{one}
	}
	keep := map[int]bool{}
	var queue []int
	for _, name := range picked {
		j, ok := r.Plan.Index[name]
		if !ok || !slices.Contains(r.Plan.Downstream[i], j) {
			return fmt.Errorf("the result of %s names %q, which does not follow it", r.Plan.Steps[i].ID, name)
		}
		keep[j] = true
		queue = append(queue, j)
	}
	for len(queue) > 0 {
		j := queue[0]
		queue = queue[1:]
		for _, k := range r.Plan.Downstream[j] {
			if !keep[k] {
				keep[k] = true
				queue = append(queue, k)
			}
		}
	}
	for _, j := range r.Plan.Downstream[i] {
		if !keep[j] && r.nodes[j].state == None && len(r.nodes[j].instances) == 0 {
			r.finishStep(j, Skipped)
		}
	}
	return nil
}

// updateStepState sets a step's state by those of its instances: the one that is furthest on.
func (r *Run) updateStepState(i int) {
	n := &r.nodes[i]
	if n.state.Final() {
		return
	}
	n.state = Scheduled
	for k := range n.instances {
		if s := n.instances[k].State; !s.Final() && s > n.state {
			n.state = s
		}
	}
}
