package dagview

import (
	"fmt"
	"io"
	"strings"

	"poppypass/internal/graphs/dag"
)

// Dot writes a graph in the DOT language. IDs of graphs and steps have no characters that
// need more than quotes there (dag.ValidName).
func Dot(w io.Writer, p *dag.Plan) error { return writeDot(w, p, nil) }

// writeDot writes a graph; extra, if not nil, returns attributes of a step beside its shape.
func writeDot(w io.Writer, p *dag.Plan, extra func(step int) string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n  rankdir=LR;\n  node [shape=box, style=rounded];\n", p.ID)
	for i := range p.Steps {
		attrs := shapeOf(&p.Steps[i])
		if extra != nil {
			attrs = append(attrs, extra(i))
		}
		fmt.Fprintf(&b, "  %q", p.Steps[i].ID)
		if len(attrs) > 0 {
			fmt.Fprintf(&b, " [%s]", strings.Join(attrs, ", "))
		}
		b.WriteString(";\n")
	}
	for i := range p.Steps {
		label := edgeLabel(p.Steps[i].Rule)
		for _, j := range p.Upstream[i] {
			fmt.Fprintf(&b, "  %q -> %q%s;\n", p.Steps[j].ID, p.Steps[i].ID, label)
		}
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// shapeOf returns the attributes by which kinds of steps look different.
func shapeOf(s *dag.Step) []string {
	switch {
	case s.Kind == dag.KindBranch:
		return []string{"shape=diamond"}
	case s.Kind == dag.KindEmpty:
		return []string{"shape=circle"}
	case s.Map != nil:
		return []string{"peripheries=2"}
	}
	return nil
}

// edgeLabel returns the attributes of the edges to a step: its trigger rule, but for the
// default.
func edgeLabel(r dag.Rule) string {
	if r == "" || r == dag.AllSuccess {
		return ""
	}
	return fmt.Sprintf(" [label=%q]", r)
}
