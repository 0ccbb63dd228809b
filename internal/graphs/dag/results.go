package dag

import (
	"encoding/json"
	"slices"
)

// Result returns what a step left for those that follow; nil: nothing yet.
func (r *Run) Result(step int) json.RawMessage { return r.nodes[step].result }

// SetResult records what a step leaves for those that follow, while its job runs. The
// newest counts. The error is a *ResultError.
func (r *Run) SetResult(step int, result json.RawMessage) error {
	n, s := &r.nodes[step], &r.Plan.Steps[step]
	switch {
	case s.Map != nil || s.Kind == KindEmpty:
		return resultError(s.ID, "step %s is mapped or empty, and leaves no result", s.ID)
	case n.state.Final() || len(n.instances) == 0 || n.instances[0].State == Scheduled:
		return resultError(s.ID, "step %s does not run", s.ID)
	case len(result) > MaxResultBytes:
		return resultError(s.ID, "the result of %s has %d bytes; up to %d are allowed", s.ID, len(result), MaxResultBytes)
	case !json.Valid(result):
		return resultError(s.ID, "the result of %s is not JSON", s.ID)
	}
	n.result = slices.Clone(result)
	return nil
}

// mapElements returns what a mapped step is mapped over; known is false while there is no
// such list, which may be for ever.
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

// skipUnpicked skips the direct followers of a branch that its result does not pick, but
// for those that also follow, directly or not, one that it picks. The error is a
// *ResultError.
func (r *Run) skipUnpicked(i int) error {
	keep, err := r.pickedSteps(i)
	if err != nil {
		return err
	}
	r.Plan.addDownstream(keep)
	for _, j := range r.Plan.Downstream[i] {
		if !keep[j] && r.nodes[j].undecided() {
			r.finishStep(j, Skipped)
		}
	}
	return nil
}

// pickedSteps returns the direct followers that a branch's result names: a list of names,
// or a single one.
func (r *Run) pickedSteps(i int) (map[int]bool, error) {
	id, result := r.Plan.Steps[i].ID, r.nodes[i].result
	var names []string
	if json.Unmarshal(result, &names) != nil {
		var one string
		if json.Unmarshal(result, &one) != nil {
			return nil, resultError(id, "the result of %s names no steps", id)
		}
		names = []string{one}
	}
	picked := map[int]bool{}
	for _, name := range names {
		j, ok := r.Plan.Index[name]
		if !ok || !slices.Contains(r.Plan.Downstream[i], j) {
			return nil, resultError(id, "the result of %s names %q, which does not follow it", id, name)
		}
		picked[j] = true
	}
	return picked, nil
}
