package dag

import "slices"

// maxCycleNames bounds how many steps of a cycle an error names.
const maxCycleNames = 12

// sortTopologically fills Order, in which each step stands behind those that it follows. If
// there is no such order, it returns the names of a cycle instead.
func (p *Plan) sortTopologically() (cycle []string) {
	waitsFor := make([]int, len(p.Steps)) // how many of the steps that it follows are not in the order yet
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

// findCycle returns the steps of a cycle, the first one again at the end. waitsFor is what
// the topological sort left: every step that still waits follows another one that does, so
// going upstream from any of them comes back to a step that was seen.
func (p *Plan) findCycle(waitsFor []int) []int {
	waits := func(i int) bool { return waitsFor[i] > 0 }
	at := slices.IndexFunc(waitsFor, func(n int) bool { return n > 0 })
	seen := map[int]int{} // the place of each step in the path
	var path []int
	for {
		if from, again := seen[at]; again {
			path = append(path[from:], at)
			slices.Reverse(path) // from each step to the one that follows it
			return path
		}
		seen[at] = len(path)
		path = append(path, at)
		at = p.Upstream[at][slices.IndexFunc(p.Upstream[at], waits)]
	}
}

// cycleNames returns the names of a cycle's steps; a long one is cut.
func (p *Plan) cycleNames(path []int) (names []string) {
	for _, i := range path[:min(len(path), maxCycleNames)] {
		names = append(names, p.Steps[i].ID)
	}
	if len(path) > maxCycleNames {
		names = append(names, "...")
	}
	return names
}
