package dagfile

import (
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"poppypass/internal/graphs/dag"
)

// stepValue is a step in a file, as a Starlark value.
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

// linkMethod returns a built-in method of a step with one argument. The method calls link, which adds the dependency
// between the step and the argument.
func linkMethod(name string, link func(other starlark.Value) error) starlark.Value {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		var other starlark.Value
		if err := starlark.UnpackArgs(name, args, kwargs, "other", &other); err != nil {
			return nil, err
		}
		return starlark.None, link(other)
	})
}

// Binary implements starlark.HasBinary for a >> b and a << b. Either side may be a list of steps.
func (s *stepValue) Binary(op syntax.Token, y starlark.Value, side starlark.Side) (starlark.Value, error) {
	before, after := starlark.Value(s), y
	if (op == syntax.LTLT) != (side == starlark.Right) {
		before, after = after, before
	}
	switch op {
	case syntax.GTGT, syntax.LTLT:
		if side == starlark.Right {
			return s, addDependencies(before, after) // the right-hand operand, so that a >> b >> c is a chain
		}
		return y, addDependencies(before, after)
	}
	return nil, nil
}

// output is a Starlark value that represents a step's future result. Another step can be mapped over it.
type output struct {
	fixedValue
	step *stepValue
}

func (o *output) String() string { return "output of " + o.step.definition.ID }

func (o *output) Type() string { return "output" }

func (o *output) Hash() (uint32, error) { return o.step.Hash() }

// stepsOf returns the steps in a value, which is a step or a list or tuple of steps.
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

// addDependencies makes each step in after depend on each step in before.
func addDependencies(before, after starlark.Value) error {
	upstream, err := stepsOf(before)
	if err != nil {
		return err
	}
	downstream, err := stepsOf(after)
	if err != nil {
		return err
	}
	for _, dependent := range downstream {
		for _, dependency := range upstream {
			if dependency.dag != dependent.dag {
				return fmt.Errorf("%s and %s are steps of different DAGs", dependency.definition.ID, dependent.definition.ID)
			}
			dependent.definition.Upstream = append(dependent.definition.Upstream, dependency.definition.ID)
		}
		if len(dependent.definition.Upstream) > dag.MaxEdges {
			return fmt.Errorf("%s follows more than %d steps", dependent.definition.ID, dag.MaxEdges)
		}
	}
	return nil
}

// chain implements chain(a, b, ...). Each argument depends on the argument before it.
func chain(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	for i := 1; i < len(args); i++ {
		if err := addDependencies(args[i-1], args[i]); err != nil {
			return nil, fmt.Errorf("chain: %w", err)
		}
	}
	return starlark.None, nil
}
