package dagfile

import (
	"errors"
	"fmt"

	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// operator is a callable Starlark value that makes steps of one kind.
// partial(...).expand(items = ...) makes a mapped step.
type operator struct {
	fixedValue
	loader  *loader
	name    string
	kind    dag.Kind
	partial []starlark.Tuple // the arguments of partial(...); nil if it was not called
}

func (o *operator) String() string { return o.name }

func (o *operator) Type() string { return "operator" }

func (o *operator) Name() string { return o.name }

func (o *operator) Hash() (uint32, error) { return starlark.String(o.name).Hash() }

func (o *operator) AttrNames() []string { return []string{"expand", "partial"} }

// Attr implements starlark.HasAttrs.
func (o *operator) Attr(name string) (starlark.Value, error) {
	switch {
	case name == "partial" && o.partial == nil:
		return starlark.NewBuiltin("partial", o.bindPartial), nil
	case name == "expand" && o.partial != nil:
		return starlark.NewBuiltin("expand", o.expand), nil
	}
	return nil, nil
}

// bindPartial implements partial(...). It returns an operator that stores the arguments for expand and cannot be called.
func (o *operator) bindPartial(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if len(args) > 0 {
		return nil, errors.New("partial: all arguments must be given by name")
	}
	return &operator{loader: o.loader, name: o.name, kind: o.kind, partial: append([]starlark.Tuple{}, kwargs...)}, nil
}

// expand implements expand(items = ...). It makes a mapped step with the arguments of partial(...).
func (o *operator) expand(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var items starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "items", &items); err != nil {
		return nil, err
	}
	mapped, err := mapOver(items)
	if err != nil {
		return nil, fmt.Errorf("expand: %w", err)
	}
	step, err := (&operator{loader: o.loader, name: o.name, kind: o.kind}).CallInternal(t, nil, o.partial)
	if err != nil {
		return nil, err
	}
	step.(*stepValue).definition.Map = mapped
	return step, nil
}

// mapOver returns the mapping of a step over items, which are a list of plain values or a step's output.
func mapOver(items starlark.Value) (*dag.Map, error) {
	switch v := items.(type) {
	case *output:
		return &dag.Map{Over: v.step.definition.ID}, nil
	case *starlark.List:
		if v.Len() > dag.MaxMappedInstances {
			return nil, fmt.Errorf("%d items; up to %d are allowed", v.Len(), dag.MaxMappedInstances)
		}
		list, err := listToJSON(v, 0)
		return &dag.Map{List: list}, err
	}
	return nil, fmt.Errorf("items is a %s; it must be a list or a step's output", items.Type())
}

// CallInternal implements starlark.Callable. It makes a step.
func (o *operator) CallInternal(_ *starlark.Thread, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if o.partial != nil {
		return nil, errors.New("partial(...) must be followed by expand(...)")
	}
	d, kwargs, err := o.dagOf(kwargs)
	if err != nil {
		return nil, err
	}
	arguments := newStepArgs(o.kind)
	params := arguments.params()
	kwargs = d.addDefaults(kwargs, params[2:]) // task_id, the first parameter, has no default
	if err := starlark.UnpackArgs(o.name, args, kwargs, params...); err != nil {
		return nil, err
	}
	step, err := arguments.build(o.name)
	if err != nil {
		return nil, err
	}
	return d.addStep(o.name, step)
}

// dagOf returns the DAG of a step and the arguments other than dag. The DAG is the argument
// dag, or else the last DAG that the file has described so far.
func (o *operator) dagOf(kwargs []starlark.Tuple) (*dagValue, []starlark.Tuple, error) {
	var rest []starlark.Tuple
	var d *dagValue
	for _, kv := range kwargs {
		if kv[0].(starlark.String) != "dag" {
			rest = append(rest, kv)
			continue
		}
		var ok bool
		if d, ok = kv[1].(*dagValue); !ok {
			return nil, nil, fmt.Errorf("%s: dag is a %s", o.name, kv[1].Type())
		}
	}
	if d == nil {
		if len(o.loader.dags) == 0 {
			return nil, nil, fmt.Errorf("%s: there is no DAG yet", o.name)
		}
		d = o.loader.dags[len(o.loader.dags)-1]
	}
	return d, rest, nil
}
