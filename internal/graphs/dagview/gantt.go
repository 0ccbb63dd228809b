package dagview

import (
	"fmt"
	"slices"
	"time"

	"poppypass/internal/graphs/dag"
)

// Dimensions of the Gantt chart, in pixels.
const (
	rowHeight   = 18
	chartWidth  = 900 // width of the time axis
	chartTop    = 30  // space above the first row
	labelWidth  = 220 // space left of the time axis, for the names of the instances
	minBarWidth = 2
)

const (
	axisIntervals = 6  // number of intervals between the ticks of the time axis
	maxRowName    = 32 // length of an instance's name, in bytes
)

// bar is a try in the chart. The coordinates are in pixels.
type bar struct {
	X, Width, Y   float64
	Title, Colour string
}

// row is the label of an instance's row.
type row struct {
	Y    int
	Name string
}

// tick is a tick of the time axis, with its label.
type tick struct {
	X    float64
	Text string
}

// chart is a Gantt chart of a run's tries. It has a row for each instance with at least one try, in the order
// in which their first tries began.
type chart struct {
	rows   []row
	bars   []bar
	ticks  []tick
	height int // in pixels

	run                *Run
	axisStart, axisEnd time.Time               // range of the time axis
	rowOf              map[dag.InstanceRef]int // index into rows, by instance
}

// newChart returns a chart of the first maxBars tries of a run, ordered by their start.
func newChart(r *Run) *chart {
	c := &chart{height: chartTop, run: r, rowOf: map[dag.InstanceRef]int{}}
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

// setAxis sets the range of the time axis: from the start of the first try to the latest end of a try, and at
// least one second. tries must be sorted by start.
func (c *chart) setAxis(tries []Try) {
	c.axisStart, c.axisEnd = tries[0].Begin, tries[0].Begin.Add(time.Second)
	for i := range tries {
		if end := tries[i].endOr(c.run.Now); end.After(c.axisEnd) {
			c.axisEnd = end
		}
	}
}

// pixels returns the length of a duration on the time axis.
func (c *chart) pixels(d time.Duration) float64 {
	return d.Seconds() * (chartWidth / c.axisEnd.Sub(c.axisStart).Seconds())
}

// addBar adds the bar of a try to the row of its instance.
func (c *chart) addBar(t *Try) {
	instanceName := c.run.instanceName(t.ref())
	rowIndex := c.addRow(t.ref(), instanceName)
	length := t.endOr(c.run.Now).Sub(t.Begin)
	c.bars = append(c.bars, bar{
		X: labelWidth + c.pixels(t.Begin.Sub(c.axisStart)), Width: max(minBarWidth, c.pixels(length)), Y: float64(chartTop + rowIndex*rowHeight + 2), Colour: colourOf(t.State),
		Title: fmt.Sprintf("%s: %s, %v from %s", instanceName, t.State, length.Round(100*time.Millisecond), t.Begin.UTC().Format(time.TimeOnly)),
	})
}

// addRow returns the index of an instance's row. It adds the row if the instance has none yet.
func (c *chart) addRow(ref dag.InstanceRef, instanceName string) int {
	index, ok := c.rowOf[ref]
	if !ok {
		index = len(c.rows)
		c.rowOf[ref] = index
		c.rows = append(c.rows, row{Y: chartTop + (index+1)*rowHeight - 6, Name: truncated(instanceName, maxRowName)})
	}
	return index
}

// addTicks adds the ticks of the time axis.
func (c *chart) addTicks() {
	for i := range axisIntervals + 1 {
		offset := c.axisEnd.Sub(c.axisStart) * time.Duration(i) / axisIntervals
		c.ticks = append(c.ticks, tick{X: labelWidth + c.pixels(offset), Text: c.axisStart.Add(offset).UTC().Format(time.TimeOnly)})
	}
}
