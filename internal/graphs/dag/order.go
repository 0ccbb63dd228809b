package dag

import "slices"

// maxCycleNames is the largest number of a cycle's steps that an error names.
const maxCycleNames = 12

// sortTopologically fills Order, in which each step follows all steps upstream of it. If there is no such
// order, it returns the IDs of a cycle's steps instead.
func (p *Plan) sortTopologically() (cycle []string) {
	pendingUpstream := make([]int, len(p.Steps)) // by step: the number of upstream steps that are not in Order yet
	var ready []int
	for i := range p.Steps {
		if pendingUpstream[i] = len(p.Upstream[i]); pendingUpstream[i] == 0 {
			ready = append(ready, i)
		}
	}
	p.Order = make([]int, 0, len(p.Steps))
	for len(ready) > 0 {
		i := ready[0]
		ready = ready[1:]
		p.Order = append(p.Order, i)
		for _, j := range p.Downstream[i] {
			if pendingUpstream[j]--; pendingUpstream[j] == 0 {
				ready = append(ready, j)
			}
		}
	}
	if len(p.Order) == len(p.Steps) {
		return nil
	}
	return p.cycleNames(p.findCycle(pendingUpstream))
}

// findCycle returns the steps of a cycle, with the first one repeated at the end. pendingUpstream contains
// the counts that the topological sort ended with. Each step with a count above zero has a step with a count
// above zero directly upstream, so a walk upstream along these steps returns to a step that it has visited.
func (p *Plan) findCycle(pendingUpstream []int) []int {
	isPending := func(i int) bool { return pendingUpstream[i] > 0 }
	current := slices.IndexFunc(pendingUpstream, func(n int) bool { return n > 0 })
	position := map[int]int{} // index in path, by step
	var path []int
	for {
		if start, visited := position[current]; visited {
			path = append(path[start:], current)
			slices.Reverse(path) // the walk went upstream; the result is in the direction of the edges
			return path
		}
		position[current] = len(path)
		path = append(path, current)
		current = p.Upstream[current][slices.IndexFunc(p.Upstream[current], isPending)]
	}
}

// cycleNames returns the IDs of a cycle's steps. After maxCycleNames of them it ends with an ellipsis.
func (p *Plan) cycleNames(path []int) (names []string) {
	for _, i := range path[:min(len(path), maxCycleNames)] {
		names = append(names, p.Steps[i].ID)
	}
	if len(path) > maxCycleNames {
		names = append(names, "...")
	}
	return names
}
