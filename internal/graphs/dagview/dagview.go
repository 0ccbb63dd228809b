// Package dagview renders graphs and their runs as text, as an HTML page, and in the DOT language of Graphviz.
package dagview

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"poppypass/internal/graphs/dag"
)

const (
	maxPathSteps = 12 // length of the longest critical path that is shown in full
	shownFirings = 3  // upcoming firings of a schedule that are shown
)

// Text writes a summary of a graph: its size, its critical path and when it runs next.
func Text(w io.Writer, p *dag.Plan, now time.Time) error {
	schedule, err := dag.ParseSchedule(p.Schedule, p.Timezone)
	if err != nil {
		return err
	}
	var b strings.Builder
	writeSize(&b, p)
	path, length := p.CriticalPath()
	fmt.Fprintf(&b, "critical path, %v by the owners' estimates: %s\n", length, abbreviated(path))
	writeSchedule(&b, p, schedule, now)
	_, err = io.WriteString(w, b.String())
	return err
}

// writeSize writes how many steps and edges a graph has, and how many of the steps are jobs or mapped.
func writeSize(b *strings.Builder, p *dag.Plan) {
	edges, jobs, mapped := 0, 0, 0
	for i := range p.Steps {
		edges += len(p.Upstream[i])
		if p.Steps[i].Job != nil {
			jobs++
		}
		if p.Steps[i].Map != nil {
			mapped++
		}
	}
	fmt.Fprintf(b, "%s of %s: %d steps, %d of them jobs and %d mapped, %d edges\n", p.ID, p.Team, len(p.Steps), jobs, mapped, edges)
}

// writeSchedule writes when a graph runs next.
func writeSchedule(b *strings.Builder, p *dag.Plan, s *dag.Schedule, now time.Time) {
	if s == nil {
		b.WriteString("no schedule: it runs when it is triggered\n")
		return
	}
	fmt.Fprintf(b, "schedule %q", p.Schedule)
	for at, n := s.Next(now), 0; !at.IsZero() && n < shownFirings; at, n = s.Next(at), n+1 {
		fmt.Fprintf(b, ", %s", at.Format("2006-01-02 15:04 MST"))
	}
	b.WriteString("\n")
	if p.Start == nil {
		b.WriteString("without a start_date it runs only when it is triggered\n")
	}
}

// abbreviated returns the step IDs of a path as text. It leaves out the middle of a long path.
func abbreviated(path []string) string {
	if n := len(path); n > maxPathSteps {
		path = slices.Concat(path[:6], []string{"..."}, path[n-5:])
	}
	return strings.Join(path, " -> ")
}
