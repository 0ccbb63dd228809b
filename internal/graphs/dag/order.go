package dag

import "slices"

// maxCycleNames is the largest number of a cycle's steps that an error names.
const maxCycleNames = 12

// sortTopologically fills Order, in which each step follows all steps upstream of it. If there is no such
// order, it returns the IDs of a cycle's steps instead.
func (p *Plan) sortTopologically() (cycle []string) {
	waitsFor := make([]int, len(p.Steps)) // by step: the number of upstream steps that are not in Order yet
	var ready []int
	for i := range p.Steps {
		if waitsFor[i] = len(p.Upstream[i]); waitsFor[i] == 0 {
			ready = append(ready, i)
		}
	}
	p.Order = make([]int, 0, len(p.Steps))
	for len(ready) > 0 {
		i := ready[0]
		ready = ready[1:]
		p.Order = append(p.Order, i)
		for _, j := range p.Downstream[i] {
			if waitsFor[j]--; waitsFor[j] == 0 {
				ready = append(ready, j)
			}
		}
	}
	if len(p.Order) == len(p.Steps) {
		return nil
	}
	return p.cycleNames(p.findCycle(waitsFor))
}

// findCycle returns the steps of a cycle, with the first one repeated at the end. pendingUpstream contains
// the counts that the topological sort ended with. Every step with a count above zero has such a step
// upstream, so a walk upstream from any of them returns to a step that it has visited.
func (p *Plan) findCycle(waitsFor []int) []int {
	waits := func(i int) bool { return waitsFor[i] > 0 }
	at := slices.IndexFunc(waitsFor, func(n int) bool { return n > 0 })
	seen := map[int]int{} // index in path, by step
	var path []int
	for {
		if from, again := seen[at]; again {
			path = append(path[from:], at)
			slices.Reverse(path) // the walk went upstream; the result is in the direction of the edges
			return path
		}
		seen[at] = len(path)
		path = append(path, at)
		at = p.Upstream[at][slices.IndexFunc(p.Upstream[at], waits)]
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
