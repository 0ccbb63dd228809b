package dagview

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"poppypass/internal/graphs/dag"
)

// Run is a run of a graph as people look at it.
type Run struct {
	Plan       *dag.Plan
	ID, State  string
	Start, End time.Time // zero: not yet
	Now        time.Time
	Instances  []Instance
	Tries      []Try
}

// Instance is an instance of a step.
type Instance struct {
	Step  int
	Index int    // -1: the step is not mapped
	State string // none if it waits
	Try   int
	Job   string
}

// Try is one try of an instance. End is zero while it runs.
type Try struct {
	Step, Index int
	Begin, End  time.Time
	State       string
}

// RunText says how a run goes: its state, and each instance that is not done, or all.
func RunText(w io.Writer, r *Run, all bool) error {
	counts := map[string]int{}
	for _, x := range r.Instances {
		counts[x.State]++
	}
	var parts []string
	for _, state := range states {
		if n := counts[state.Name]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state.Name))
		}
	}
	if _, err := fmt.Fprintf(w, "%s of %s: %s; %s\n", r.ID, r.Plan.ID, r.State, strings.Join(parts, ", ")); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "STEP\tSTATE\tTRY\tTOOK\tJOB"); err != nil {
		return err
	}
	took := map[[2]int]time.Duration{}
	for _, x := range r.Tries {
		took[[2]int{x.Step, x.Index}] += x.endOr(r.Now).Sub(x.Begin)
	}
	for _, x := range r.Instances {
		if !all && (x.State == dag.Success.String() || x.State == dag.None.String()) {
			continue
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%s\n", r.name(x), x.State, x.Try, took[[2]int{x.Step, x.Index}].Round(time.Second), x.Job); err != nil {
			return err
		}
	}
	return t.Flush()
}

func (t *Try) endOr(now time.Time) time.Time {
	if t.End.IsZero() {
		return now
	}
	return t.End
}

func (r *Run) name(x Instance) string {
	if x.Index < 0 {
		return r.Plan.Steps[x.Step].ID
	}
	return fmt.Sprintf("%s[%d]", r.Plan.Steps[x.Step].ID, x.Index)
}

// state is a state with its colour: Airflow's.
type state struct{ Name, Colour string }

var states = []state{
	{"success", "#2e8b57"}, {"running", "#7fff00"}, {"failed", "#e0311f"}, {"up_for_retry", "#ffd700"}, {"upstream_failed", "#ffa500"},
	{"skipped", "#ff8fc7"}, {"queued", "#a9a9a9"}, {"scheduled", "#d2b48c"}, {"none", "#eeeeee"},
}

func colourOf(name string) string {
	if i := slices.IndexFunc(states, func(s state) bool { return s.Name == name }); i >= 0 {
		return states[i].Colour
	}
	return "#eeeeee"
}

// What a page draws at the most: a browser still moves through as much.
const (
	maxBoxes = 600
	maxBars  = 2000
)

// Sizes of the drawing, in pixels.
const (
	boxWidth, boxHeight = 150, 26
	gapAcross, gapDown  = 50, 12
	rowHeight           = 18
	chartWidth          = 900
	labelWidth          = 220
)

type box struct {
	X, Y                int
	Name, Title, Colour string
}

type edge struct{ X1, Y1, X2, Y2, Mid int }

type bar struct {
	X, Width, Y   float64
	Title, Colour string
}

type row struct {
	Y    int
	Name string
}

type tick struct {
	X    float64
	Text string
}

//go:embed run.html.tmpl
var pageText string

var page = template.Must(template.New("run").Parse(pageText))

// RunHTML writes a page that needs nothing else: the graph drawn with its states, and a
// Gantt of the tries.
func RunHTML(w io.Writer, r *Run) error {
	v := struct {
		Run                       *Run
		States                    []state
		Boxes                     []box
		Edges                     []edge
		Width, Height             int
		Rows                      []row
		Bars                      []bar
		Ticks                     []tick
		ChartWidth, ChartHeight   int
		BoxWidth, BoxHeight, Left int
		Note                      string
	}{Run: r, States: states, BoxWidth: boxWidth, BoxHeight: boxHeight, Left: labelWidth, ChartWidth: labelWidth + chartWidth + 40}
	v.Boxes, v.Edges, v.Width, v.Height = r.layOut()
	v.Rows, v.Bars, v.Ticks, v.ChartHeight = r.gantt()
	if n := len(r.Plan.Steps); n > maxBoxes {
		v.Note = fmt.Sprintf("The first %d of %d steps are drawn.", maxBoxes, n)
	}
	return page.Execute(w, v)
}

// layOut lays the steps out in columns, each behind all that it follows.
func (r *Run) layOut() (boxes []box, edges []edge, width, height int) {
	worst := make([]string, len(r.Plan.Steps))
	titles := make([][]string, len(r.Plan.Steps))
	rank := func(name string) int {
		return slices.Index([]string{"none", "success", "skipped", "scheduled", "queued", "running", "up_for_retry", "upstream_failed", "failed"}, name)
	}
	for _, x := range r.Instances {
		if rank(x.State) >= rank(worst[x.Step]) {
			worst[x.Step] = x.State
		}
		if len(titles[x.Step]) < 20 {
			titles[x.Step] = append(titles[x.Step], r.name(x)+": "+x.State)
		}
	}
	column := make([]int, len(r.Plan.Steps))
	var rows []int
	at := make([]box, len(r.Plan.Steps))
	drawn := make([]bool, len(r.Plan.Steps))
	for _, i := range r.Plan.Order {
		for _, j := range r.Plan.Upstream[i] {
			column[i] = max(column[i], column[j]+1)
		}
		if len(boxes) == maxBoxes {
			continue
		}
		for len(rows) <= column[i] {
			rows = append(rows, 0)
		}
		b := box{
			X: 10 + column[i]*(boxWidth+gapAcross), Y: 10 + rows[column[i]]*(boxHeight+gapDown), Name: truncated(r.Plan.Steps[i].ID, 22),
			Title: strings.Join(titles[i], "\n"), Colour: colourOf(cmp.Or(worst[i], "none")),
		}
		rows[column[i]]++
		boxes = append(boxes, b)
		at[i], drawn[i] = b, true
		width, height = max(width, b.X+boxWidth+10), max(height, b.Y+boxHeight+10)
		for _, j := range r.Plan.Upstream[i] {
			if drawn[j] {
				x1, x2 := at[j].X+boxWidth, b.X
				edges = append(edges, edge{x1, at[j].Y + boxHeight/2, x2, b.Y + boxHeight/2, (x1 + x2) / 2})
			}
		}
	}
	return boxes, edges, width, height
}

func truncated(s string, n int) string {
	if len(s) > n {
		return s[:n-1] + "…"
	}
	return s
}

// gantt lays the tries out in rows, one for each instance that had any, in the order in
// which they first began.
func (r *Run) gantt() (rows []row, bars []bar, ticks []tick, height int) {
	height = 30
	if len(r.Tries) == 0 {
		return nil, nil, nil, height
	}
	tries := slices.Clone(r.Tries)
	slices.SortStableFunc(tries, func(a, b Try) int { return a.Begin.Compare(b.Begin) })
	from, to := tries[0].Begin, tries[0].Begin.Add(time.Second)
	for i := range tries {
		if end := tries[i].endOr(r.Now); end.After(to) {
			to = end
		}
	}
	scale := chartWidth / to.Sub(from).Seconds()
	lines := map[[2]int]int{}
	for _, t := range tries[:min(len(tries), maxBars)] {
		key := [2]int{t.Step, t.Index}
		n, ok := lines[key]
		if !ok {
			n = len(rows)
			lines[key] = n
			rows = append(rows, row{Y: 30 + n*rowHeight + rowHeight - 6, Name: truncated(r.name(Instance{Step: t.Step, Index: t.Index}), 32)})
		}
		length := t.endOr(r.Now).Sub(t.Begin)
		bars = append(bars, bar{
			X: labelWidth + t.Begin.Sub(from).Seconds()*scale, Width: max(2, length.Seconds()*scale), Y: float64(30 + n*rowHeight + 2), Colour: colourOf(t.State),
			Title: fmt.Sprintf("%s: %s, %v from %s", r.name(Instance{Step: t.Step, Index: t.Index}), t.State, length.Round(100*time.Millisecond), t.Begin.UTC().Format(time.TimeOnly)),
		})
	}
	for i := range 7 {
		at := to.Sub(from) * time.Duration(i) / 6
		ticks = append(ticks, tick{X: labelWidth + at.Seconds()*scale, Text: from.Add(at).UTC().Format(time.TimeOnly)})
	}
	return rows, bars, ticks, 40 + len(rows)*rowHeight
}

// RunDot writes a run in the DOT language, with the states in colour.
func RunDot(w io.Writer, r *Run) error {
	colours := make([]string, len(r.Plan.Steps))
	for _, x := range r.Instances {
		colours[x.Step] = colourOf(x.State)
	}
	return writeDot(w, r.Plan, func(i int) string {
		return fmt.Sprintf("style=\"rounded,filled\", fillcolor=%q", cmp.Or(colours[i], "#eeeeee"))
	})
}
