// Package dagview shows graphs to people and to programs that draw.
package dagview

import (
	"fmt"
	"io"
	"strings"
	"time"

	"poppypass/internal/graphs/dag"
)

// Text says what a graph is: its size, its critical path and when it runs next.
func Text(w io.Writer, p *dag.Plan, now time.Time) error {
	var b strings.Builder
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
	fmt.Fprintf(&b, "%s of %s: %d steps, %d of them jobs and %d mapped, %d edges\n", p.ID, p.Team, len(p.Steps), jobs, mapped, edges)
	path, length := p.CriticalPath()
	fmt.Fprintf(&b, "critical path, %v by the owners' estimates: %s\n", length, abbreviated(path))
	s, err := dag.ParseSchedule(p.Schedule, p.Timezone)
	switch {
	case err != nil:
		return err
	case s == nil:
		b.WriteString("no schedule: it runs when it is triggered\n")
	default:
		fmt.Fprintf(&b, "schedule %q", p.Schedule)
		for at, n := s.Next(now), 0; !at.IsZero() && n < 3; at, n = s.Next(at), n+1 {
			fmt.Fprintf(&b, ", %s", at.Format("2006-01-02 15:04 MST"))
		}
		b.WriteString("\n")
		if p.Start == nil {
			b.WriteString("without a start_date it runs only when it is triggered\n")
		}
	}
	_, err = io.WriteString(w, b.String())
	return err
}

// abbreviated returns a long path's ends.
func abbreviated(path []string) string {
	if len(path) > 12 {
		path = append(append(append([]string{}, path[:6]...), "..."), path[len(path)-5:]...)
	}
	return strings.Join(path, " -> ")
}

// Dot writes a graph in the DOT language. Names of steps hold nothing that it would
// take for its own.
func Dot(w io.Writer, p *dag.Plan) error { return writeDot(w, p, nil) }

// writeDot writes a graph; more gives attributes beside the shape of each step.
func writeDot(w io.Writer, p *dag.Plan, more func(step int) string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n  rankdir=LR;\n  node [shape=box, style=rounded];\n", p.ID)
	for i := range p.Steps {
		s := &p.Steps[i]
		var attrs []string
		switch {
		case s.Kind == dag.KindBranch:
			attrs = append(attrs, "shape=diamond")
		case s.Kind == dag.KindEmpty:
			attrs = append(attrs, "shape=circle")
		case s.Map != nil:
			attrs = append(attrs, "peripheries=2")
		}
		if more != nil {
			attrs = append(attrs, more(i))
		}
		fmt.Fprintf(&b, "  %q", s.ID)
		if len(attrs) > 0 {
			fmt.Fprintf(&b, " [%s]", strings.Join(attrs, ", "))
		}
		b.WriteString(";\n")
	}
	for i := range p.Steps {
		for _, j := range p.Upstream[i] {
			label := ""
			if r := p.Steps[i].Rule; r != "" && r != dag.AllSuccess {
				label = fmt.Sprintf(" [label=%q]", r)
			}
			fmt.Fprintf(&b, "  %q -> %q%s;\n", p.Steps[j].ID, p.Steps[i].ID, label)
		}
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}
