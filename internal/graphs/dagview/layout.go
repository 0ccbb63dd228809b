package dagview

import (
	"cmp"
	"slices"
	"strings"

	"poppypass/internal/graphs/dag"
)

// Sizes of the drawing of a graph, in pixels.
const (
	boxWidth, boxHeight = 150, 26
	gapAcross, gapDown  = 50, 12
	margin              = 10
)

const (
	maxBoxName    = 22 // bytes
	maxTitleLines = 20 // instances that the title of a box lists
)

// box is a step in the drawing.
type box struct {
	X, Y                int
	Name, Title, Colour string
}

// edge is a curve between two boxes; Mid is where it is steepest.
type edge struct{ X1, Y1, X2, Y2, Mid int }

// graphLayout is the drawing of a graph in columns, each step behind all that it follows.
type graphLayout struct {
	boxes         []box
	edges         []edge
	width, height int

	plan    *dag.Plan
	column  []int        // of each step
	used    []int        // boxes in each column
	boxOf   map[int]*box // by step; nil: not drawn
	summary []stepSummary
}

// newGraphLayout lays out the first maxBoxes steps of a run, in topological order.
func newGraphLayout(r *Run) *graphLayout {
	l := &graphLayout{plan: r.Plan, column: make([]int, len(r.Plan.Steps)), boxOf: map[int]*box{}, summary: r.summarize()}
	for _, i := range r.Plan.Order[:min(len(r.Plan.Order), maxBoxes)] {
		l.addBox(i)
		l.addEdges(i)
	}
	return l
}

// addBox draws a step in the column behind those of all steps that it follows.
func (l *graphLayout) addBox(i int) {
	for _, j := range l.plan.Upstream[i] {
		l.column[i] = max(l.column[i], l.column[j]+1)
	}
	column := l.column[i]
	for len(l.used) <= column {
		l.used = append(l.used, 0)
	}
	b := box{
		X: margin + column*(boxWidth+gapAcross), Y: margin + l.used[column]*(boxHeight+gapDown), Name: truncated(l.plan.Steps[i].ID, maxBoxName),
		Title: strings.Join(l.summary[i].lines, "\n"), Colour: colourOf(cmp.Or(l.summary[i].worst, dag.None.String())),
	}
	l.used[column]++
	l.boxes = append(l.boxes, b)
	l.boxOf[i] = &b
	l.width, l.height = max(l.width, b.X+boxWidth+margin), max(l.height, b.Y+boxHeight+margin)
}

// addEdges draws the edges to a step. The steps that it follows stand before it in the
// order, so they are drawn.
func (l *graphLayout) addEdges(i int) {
	to := l.boxOf[i]
	for _, j := range l.plan.Upstream[i] {
		from := l.boxOf[j]
		x1, x2 := from.X+boxWidth, to.X
		l.edges = append(l.edges, edge{x1, from.Y + boxHeight/2, x2, to.Y + boxHeight/2, (x1 + x2) / 2})
	}
}

// stepSummary is what a box shows of a step's instances.
type stepSummary struct {
	worst string // the state that needs most attention
	lines []string
}

// statesByAttention orders states by how much attention they need.
var statesByAttention = []string{"none", "success", "skipped", "scheduled", "queued", "running", "up_for_retry", "upstream_failed", "failed"}

// summarize returns what to show of each step.
func (r *Run) summarize() []stepSummary {
	attention := func(state string) int { return slices.Index(statesByAttention, state) }
	out := make([]stepSummary, len(r.Plan.Steps))
	for _, x := range r.Instances {
		s := &out[x.Step]
		if attention(x.State) >= attention(s.worst) {
			s.worst = x.State
		}
		if len(s.lines) < maxTitleLines {
			s.lines = append(s.lines, r.name(x.ref())+": "+x.State)
		}
	}
	return out
}
