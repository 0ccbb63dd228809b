package dagview

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

// Largest numbers of elements that a page draws. A browser still scrolls smoothly through that many.
const (
	maxBoxes = 600
	maxBars  = 2000
)

//go:embed run.html.tmpl
var pageText string

var page = template.Must(template.New("run").Parse(pageText))

// pageData is the data for the template of a page. The template accesses the fields by name.
type pageData struct {
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
}

// RunHTML writes a self-contained HTML page, without links to other resources: the graph with the states of
// its steps, and a Gantt chart of the tries.
func RunHTML(w io.Writer, r *Run) error {
	graph, chart := newGraphLayout(r), newChart(r)
	data := pageData{
		Run: r, States: states, BoxWidth: boxWidth, BoxHeight: boxHeight, Left: labelWidth,
		Boxes: graph.boxes, Edges: graph.edges, Width: graph.width, Height: graph.height,
		Rows: chart.rows, Bars: chart.bars, Ticks: chart.ticks, ChartWidth: labelWidth + chartWidth + 40, ChartHeight: chart.height,
	}
	if n := len(r.Plan.Steps); n > maxBoxes {
		data.Note = fmt.Sprintf("The first %d of %d steps are drawn.", maxBoxes, n)
	}
	return page.Execute(w, data)
}

// truncated returns s, or its first n-1 bytes and an ellipsis if it is longer than n bytes.
func truncated(s string, n int) string {
	if len(s) > n {
		return s[:n-1] + "…"
	}
	return s
}
