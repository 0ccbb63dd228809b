package dagfile

import (
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"poppypass/internal/graphs/dag"
)

// stepValue is a step of a file.
type stepValue struct {
	fixedValue
	dag        *dagValue
	definition dag.Step
}

func (s *stepValue) String() string { return "step " + s.definition.ID }

func (s *stepValue) Type() string { return "step" }

func (s *stepValue) Hash() (uint32, error) { return starlark.String(s.definition.ID).Hash() }

func (s *stepValue) AttrNames() []string {
	return []string{"output", "set_downstream", "set_upstream", "task_id"}
}

// Attr implements starlark.HasAttrs.
func (s *stepValue) Attr(name string) (starlark.Value, error) {
	switch name {
	case "task_id":
		return starlark.String(s.definition.ID), nil
	case "output":
		return &output{step: s}, nil
	case "set_upstream":
		return linkMethod(name, func(other starlark.Value) error { return addDependencies(other, s) }), nil
	case "set_downstream":
		return linkMethod(name, func(other starlark.Value) error { return addDependencies(s, other) }), nil
	}
	return nil, nil
}

// linkMethod returns a method of a step that links it with its only argument.
func linkMethod(name string, link func(other starlark.Value) error) starlark.Value {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		var other starlark.Value
		if err := starlark.UnpackArgs(name, args, kwargs, "other", &other); err != nil {
			return nil, err
		}
		return starlark.None, link(other)
	})
}

// Binary is a >> b and a << b; either side may be a list. It implements starlark.HasBinary.
func (s *stepValue) Binary(op syntax.Token, y starlark.Value, side starlark.Side) (starlark.Value, error) {
	before, after := starlark.Value(s), y
	if (op == syntax.LTLT) != (side == starlark.Right) {
		before, after = after, before
	}
	switch op {
	case syntax.GTGT, syntax.LTLT:
		if side == starlark.Right {
			return s, addDependencies(before, after) // the right-hand one, so that a >> b >> c is a chain
		}
		return y, addDependencies(before, after)
	}
	return nil, nil
}

// output is the value that stands for a step's result, which another may be mapped over.
type output struct {
	fixedValue
	step *stepValue
}

func (o *output) String() string { return "output of " + o.step.definition.ID }

func (o *output) Type() string { return "output" }

func (o *output) Hash() (uint32, error) { return o.step.Hash() }

// stepsOf returns the steps of a value: a step, or a list or tuple of them.
func stepsOf(v starlark.Value) ([]*stepValue, error) {
	if s, ok := v.(*stepValue); ok {
		return []*stepValue{s}, nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		return nil, fmt.Errorf("a %s is no step", v.Type())
	}
	var steps []*stepValue
	for e := range starlark.Elements(list) {
		s, ok := e.(*stepValue)
		if !ok {
			return nil, fmt.Errorf("a %s is no step", e.Type())
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// addDependencies makes all steps of one value follow all of another.
func addDependencies(before, after starlark.Value) error {
	up, err := stepsOf(before)
	if err != nil {
		return err
	}
	down, err := stepsOf(after)
	if err != nil {
		return err
	}
	for _, d := range down {
		for _, u := range up {
			if u.dag != d.dag {
				return fmt.Errorf("%s and %s are steps of different DAGs", u.definition.ID, d.definition.ID)
			}
			d.definition.Upstream = append(d.definition.Upstream, u.definition.ID)
		}
		if len(d.definition.Upstream) > dag.MaxEdges {
			return fmt.Errorf("%s follows more than %d steps", d.definition.ID, dag.MaxEdges)
		}
	}
	return nil
}

// chain is chain(a, b, ...): each argument follows the one before.
func chain(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	for i := 1; i < len(args); i++ {
		if err := addDependencies(args[i-1], args[i]); err != nil {
			return nil, fmt.Errorf("chain: %w", err)
		}
	}
	return starlark.None, nil
}
