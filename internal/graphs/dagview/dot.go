package dagview

import (
	"fmt"
	"io"
	"strings"

	"poppypass/internal/graphs/dag"
)

// Dot writes a graph in the DOT language. The IDs of graphs and steps are quoted and need no escaping
// (dag.ValidName).
func Dot(w io.Writer, p *dag.Plan) error { return writeDot(w, p, nil) }

// writeDot writes a graph in the DOT language. extraAttrs, if not nil, returns further attributes of a step,
// in addition to its shape.
func writeDot(w io.Writer, p *dag.Plan, extraAttrs func(step int) string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n  rankdir=LR;\n  node [shape=box, style=rounded];\n", p.ID)
	for i := range p.Steps {
		attrs := shapeAttrs(&p.Steps[i])
		if extraAttrs != nil {
			attrs = append(attrs, extraAttrs(i))
		}
		fmt.Fprintf(&b, "  %q", p.Steps[i].ID)
		if len(attrs) > 0 {
			fmt.Fprintf(&b, " [%s]", strings.Join(attrs, ", "))
		}
		b.WriteString(";\n")
	}
	for i := range p.Steps {
		label := edgeAttrs(p.Steps[i].Rule)
		for _, j := range p.Upstream[i] {
			fmt.Fprintf(&b, "  %q -> %q%s;\n", p.Steps[j].ID, p.Steps[i].ID, label)
		}
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// shapeAttrs returns the attributes that give each kind of step its own look.
func shapeAttrs(s *dag.Step) []string {
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

// edgeAttrs returns the attributes of the edges to a step: its trigger rule as the label, unless that is the
// default rule.
func edgeAttrs(r dag.Rule) string {
	if r == "" || r == dag.AllSuccess {
		return ""
	}
	return fmt.Sprintf(" [label=%q]", r)
}
