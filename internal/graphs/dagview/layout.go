package dagview

import (
	"cmp"
	"slices"
	"strings"

	"poppypass/internal/graphs/dag"
)

// Dimensions of the drawing of a graph, in pixels.
const (
	boxWidth, boxHeight = 150, 26
	columnGap, rowGap   = 50, 12 // between columns, and between the boxes of a column
	margin              = 10
)

const (
	maxBoxName    = 22 // length of a step's ID, in bytes
	maxTitleLines = 20 // instances listed in the title of a box
)

// box is a step in the drawing. Title is the tooltip text.
type box struct {
	X, Y                int
	Name, Title, Colour string
}

// edge is a curve between two boxes. Mid is the x coordinate of its control points, at which it is steepest.
type edge struct{ X1, Y1, X2, Y2, Mid int }

// graphLayout is the drawing of a graph in columns. Each step is in a column to the right of all its upstream steps.
type graphLayout struct {
	boxes         []box
	edges         []edge
	width, height int

	plan      *dag.Plan
	column    []int         // index of the column, by step
	boxCounts []int         // number of boxes, by column
	boxOf     map[int]*box  // by step; nil: not drawn
	summaries []stepSummary // by step
}

// newGraphLayout lays out the first maxBoxes steps of a run, in topological order.
func newGraphLayout(r *Run) *graphLayout {
	l := &graphLayout{plan: r.Plan, column: make([]int, len(r.Plan.Steps)), boxOf: map[int]*box{}, summaries: r.summarize()}
	for _, i := range r.Plan.Order[:min(len(r.Plan.Order), maxBoxes)] {
		l.addBox(i)
		l.addEdges(i)
	}
	return l
}

// addBox adds the box of a step, in the first column to the right of all its upstream steps.
func (l *graphLayout) addBox(i int) {
	for _, j := range l.plan.Upstream[i] {
		l.column[i] = max(l.column[i], l.column[j]+1)
	}
	column := l.column[i]
	for len(l.boxCounts) <= column {
		l.boxCounts = append(l.boxCounts, 0)
	}
	b := box{
		X: margin + column*(boxWidth+columnGap), Y: margin + l.boxCounts[column]*(boxHeight+rowGap), Name: truncated(l.plan.Steps[i].ID, maxBoxName),
		Title: strings.Join(l.summaries[i].lines, "\n"), Colour: colourOf(cmp.Or(l.summaries[i].worst, dag.None.String())),
	}
	l.boxCounts[column]++
	l.boxes = append(l.boxes, b)
	l.boxOf[i] = &b
	l.width, l.height = max(l.width, b.X+boxWidth+margin), max(l.height, b.Y+boxHeight+margin)
}

// addEdges adds the edges to a step. Its upstream steps precede it in the topological order, so they already
// have boxes.
func (l *graphLayout) addEdges(i int) {
	to := l.boxOf[i]
	for _, j := range l.plan.Upstream[i] {
		from := l.boxOf[j]
		x1, x2 := from.X+boxWidth, to.X
		l.edges = append(l.edges, edge{x1, from.Y + boxHeight/2, x2, to.Y + boxHeight/2, (x1 + x2) / 2})
	}
}

// stepSummary is what a box shows about a step's instances.
type stepSummary struct {
	worst string   // the most severe state (statesBySeverity); empty: no instances
	lines []string // an instance and its state per line
}

// statesBySeverity lists the states by how much they need a user's attention, in ascending order.
var statesBySeverity = []string{"none", "success", "skipped", "scheduled", "queued", "running", "up_for_retry", "upstream_failed", "failed"}

// summarize returns a summary of each step's instances, by step.
func (r *Run) summarize() []stepSummary {
	severity := func(state string) int { return slices.Index(statesBySeverity, state) }
	out := make([]stepSummary, len(r.Plan.Steps))
	for _, inst := range r.Instances {
		s := &out[inst.Step]
		if severity(inst.State) >= severity(s.worst) {
			s.worst = inst.State
		}
		if len(s.lines) < maxTitleLines {
			s.lines = append(s.lines, r.instanceName(inst.ref())+": "+inst.State)
		}
	}
	return out
}
