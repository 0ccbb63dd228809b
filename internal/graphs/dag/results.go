package dag

import (
	"encoding/json"
	"slices"
)

// Result returns the result that a step passes to the steps downstream; nil if there is none yet.
func (r *Run) Result(step int) json.RawMessage { return r.nodes[step].result }

// SetResult records the result that a step passes to the steps downstream. It is allowed while the step's job
// is submitted and has not ended, and replaces an earlier result. The error is a *ResultError.
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

// RestoreResult sets a step's result to one that SetResult accepted earlier; nil removes the result.
func (r *Run) RestoreResult(step int, result json.RawMessage) { r.nodes[step].result = result }

// decodeList decodes a result that a step may be mapped over. ok is false if it is no list or too long.
func decodeList(result json.RawMessage) (list []json.RawMessage, ok bool) {
	if json.Unmarshal(result, &list) != nil || len(list) > MaxMappedInstances {
		return nil, false
	}
	return list, true
}

// mapElements returns the list that a mapped step is mapped over. known is false while there is no valid list;
// there may never be one.
func (r *Run) mapElements(i int) (list []json.RawMessage, known bool) {
	m := r.Plan.Steps[i].Map
	if m.Over == "" {
		return m.List, true
	}
	source := &r.nodes[r.Plan.Index[m.Over]]
	if source.state != Success || source.result == nil {
		return nil, false
	}
	return decodeList(source.result)
}

// Element returns the list element of an instance of a mapped step; nil for a step that is not mapped.
func (r *Run) Element(ref InstanceRef) json.RawMessage {
	if r.Plan.Steps[ref.Step].Map == nil {
		return nil
	}
	list, known := r.mapElements(ref.Step)
	if !known || ref.Index >= len(list) {
		return nil
	}
	return list[ref.Index]
}

// skipUnpicked skips the steps directly downstream of a branch that the branch's result does not pick. Steps
// that are also downstream of a picked one, directly or not, are not skipped. The error is a *ResultError.
func (r *Run) skipUnpicked(i int) error {
	picked, err := r.pickedSteps(i)
	if err != nil {
		return err
	}
	r.Plan.addDownstream(picked)
	for _, j := range r.Plan.Downstream[i] {
		if !picked[j] && r.nodes[j].undecided() {
			r.finishStep(j, Skipped)
		}
	}
	return nil
}

// pickedSteps returns the directly downstream steps that a branch's result names. The result is a list of
// step IDs or a single ID.
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
