package dagview

import (
	"fmt"
	"slices"
	"time"

	"poppypass/internal/graphs/dag"
)

// Sizes of the chart, in pixels.
const (
	rowHeight   = 18
	chartWidth  = 900 // of the time axis
	chartTop    = 30  // above the first row
	labelWidth  = 220
	minBarWidth = 2
)

const (
	axisParts   = 6  // intervals between the ticks of the time axis
	maxRowLabel = 32 // bytes
)

// bar is a try in the chart.
type bar struct {
	X, Width, Y   float64
	Title, Colour string
}

// row is the label of an instance.
type row struct {
	Y    int
	Name string
}

// tick is a label of the time axis.
type tick struct {
	X    float64
	Text string
}

// chart is a Gantt chart of a run's tries: a row for each instance that had any, in the
// order in which they first began.
type chart struct {
	rows   []row
	bars   []bar
	ticks  []tick
	height int

	run      *Run
	from, to time.Time       // of the time axis
	rowOf    map[dag.Ref]int // by instance
}

// newChart draws the first maxBars tries of a run.
func newChart(r *Run) *chart {
	c := &chart{height: chartTop, run: r, rowOf: map[dag.Ref]int{}}
	if len(r.Tries) == 0 {
		return c
	}
	tries := slices.Clone(r.Tries)
	slices.SortStableFunc(tries, func(a, b Try) int { return a.Begin.Compare(b.Begin) })
	c.setAxis(tries)
	for i := range tries[:min(len(tries), maxBars)] {
		c.addBar(&tries[i])
	}
	c.addTicks()
	c.height = chartTop + 10 + len(c.rows)*rowHeight
	return c
}

// setAxis has the time axis reach from the first begin to the last end, a second at least.
// tries are in the order of their begin.
func (c *chart) setAxis(tries []Try) {
	c.from, c.to = tries[0].Begin, tries[0].Begin.Add(time.Second)
	for i := range tries {
		if end := tries[i].endOr(c.run.Now); end.After(c.to) {
			c.to = end
		}
	}
}

// pixels returns the length of a duration on the time axis.
func (c *chart) pixels(d time.Duration) float64 {
	return d.Seconds() * (chartWidth / c.to.Sub(c.from).Seconds())
}

// addBar draws a try in the row of its instance.
func (c *chart) addBar(t *Try) {
	name := c.run.name(t.ref())
	n := c.addRow(t.ref(), name)
	length := t.endOr(c.run.Now).Sub(t.Begin)
	c.bars = append(c.bars, bar{
		X: labelWidth + c.pixels(t.Begin.Sub(c.from)), Width: max(minBarWidth, c.pixels(length)), Y: float64(chartTop + n*rowHeight + 2), Colour: colourOf(t.State),
		Title: fmt.Sprintf("%s: %s, %v from %s", name, t.State, length.Round(100*time.Millisecond), t.Begin.UTC().Format(time.TimeOnly)),
	})
}

// addRow returns the row of an instance; its first try adds it.
func (c *chart) addRow(at dag.Ref, name string) int {
	n, ok := c.rowOf[at]
	if !ok {
		n = len(c.rows)
		c.rowOf[at] = n
		c.rows = append(c.rows, row{Y: chartTop + (n+1)*rowHeight - 6, Name: truncated(name, maxRowLabel)})
	}
	return n
}

// addTicks labels the time axis.
func (c *chart) addTicks() {
	for i := range axisParts + 1 {
		at := c.to.Sub(c.from) * time.Duration(i) / axisParts
		c.ticks = append(c.ticks, tick{X: labelWidth + c.pixels(at), Text: c.from.Add(at).UTC().Format(time.TimeOnly)})
	}
}
