package dag

import (
	"slices"
	"strings"
	"time"
)

// Plan is a validated graph whose edges are given by indexes into Steps. It is immutable, so runs and
// goroutines may share it.
type Plan struct {
	Graph
	Index      map[string]int // index into Steps, by step ID
	Upstream   [][]int        // by step: the steps directly upstream, without duplicates
	Downstream [][]int        // by step: the steps directly downstream
	Order      []int          // all steps in topological order: each follows all steps upstream of it
}

// NewPlan validates a graph and returns its plan. The error is an *Error without line breaks.
func NewPlan(g *Graph) (*Plan, error) {
	if err := g.validate(); err != nil {
		return nil, err
	}
	p := &Plan{
		Graph: *g, Index: make(map[string]int, len(g.Steps)), Upstream: make([][]int, len(g.Steps)), Downstream: make([][]int, len(g.Steps)),
	}
	if err := p.indexSteps(); err != nil {
		return nil, err
	}
	edges := 0
	for i := range p.Steps {
		added, err := p.addStep(i)
		if err != nil {
			return nil, err
		}
		edges += added
	}
	if edges > MaxEdges {
		return nil, p.errorf("", "it has %d edges; up to %d are allowed", edges, MaxEdges)
	}
	if cycle := p.sortTopologically(); cycle != nil {
		return nil, p.errorf("", "its steps follow each other in a circle: %s", strings.Join(cycle, " -> "))
	}
	return p, nil
}

// indexSteps fills Index. It returns an error if a step's ID is invalid or not unique.
func (p *Plan) indexSteps() error {
	for i := range p.Steps {
		id := p.Steps[i].ID
		if !ValidName(id) {
			return p.errorf(id, "task_id is not a name of letters, digits, dashes, dots and underscores")
		}
		if _, duplicate := p.Index[id]; duplicate {
			return p.errorf(id, "the name is used twice")
		}
		p.Index[id] = i
	}
	return nil
}

// addStep validates a step and adds the edges from its upstream steps. It returns the number of edges added.
func (p *Plan) addStep(i int) (edges int, err error) {
	s := &p.Steps[i]
	if err := s.validate(); err != nil {
		return 0, p.errorf(s.ID, "%v", err)
	}
	for _, name := range s.upstreamIDs() {
		j, ok := p.Index[name]
		if !ok {
			return 0, p.errorf(s.ID, "it follows %q, which is no step of this graph", name)
		}
		if !slices.Contains(p.Upstream[i], j) {
			p.Upstream[i] = append(p.Upstream[i], j)
			p.Downstream[j] = append(p.Downstream[j], i)
			edges++
		}
	}
	if s.mappedOverStep() && p.Steps[p.Index[s.Map.Over]].Map != nil {
		return 0, p.errorf(s.ID, "it is mapped over %q, which is mapped itself", s.Map.Over)
	}
	return edges, nil
}

// CriticalPath returns the step IDs of the chain of steps that takes longest by their owners' estimates, and
// the duration of that chain. Time spent waiting or fetching images is not included.
func (p *Plan) CriticalPath() (path []string, length time.Duration) {
	finish := make([]time.Duration, len(p.Steps)) // by step: the earliest time at which it can end, from the start of the run
	previous := make([]int, len(p.Steps))         // by step: the upstream step that ends last; -1: no upstream step
	last := -1
	for _, i := range p.Order {
		var begin time.Duration
		previous[i], begin = p.lastUpstream(i, finish)
		finish[i] = begin + p.Steps[i].estimate()
		if last < 0 || finish[i] > finish[last] {
			last = i
		}
	}
	for i := last; i >= 0; i = previous[i] {
		path = append(path, p.Steps[i].ID)
	}
	slices.Reverse(path)
	return path, finish[last]
}

// lastUpstream returns the upstream step that ends last, and when it ends. Without upstream steps it returns -1 and 0.
func (p *Plan) lastUpstream(i int, finish []time.Duration) (last int, end time.Duration) {
	last = -1
	for _, j := range p.Upstream[i] {
		if last < 0 || finish[j] > end {
			last, end = j, finish[j]
		}
	}
	return last, end
}

// estimate returns the owner's estimate of the step's duration; 0 for a step without a job.
func (s *Step) estimate() time.Duration {
	if s.Job == nil {
		return 0
	}
	return time.Duration(s.Job.EstimateS * float64(time.Second))
}
