package dagfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// dagValue is a DAG in a file, as a Starlark value.
type dagValue struct {
	fixedValue
	definition dag.Graph                 // without its steps
	defaults   map[string]starlark.Value // default_args
	steps      []*stepValue
}

func (d *dagValue) String() string        { return "DAG(" + d.definition.ID + ")" }
func (d *dagValue) Type() string          { return "DAG" }
func (d *dagValue) Hash() (uint32, error) { return starlark.String(d.definition.ID).Hash() }

// graph returns the graph that the file describes. If no team is given, the graph's team is
// the owner in default_args.
func (d *dagValue) graph() *dag.Graph {
	graph := d.definition
	if owner, ok := starlark.AsString(d.defaults["owner"]); ok && graph.Team == "" {
		graph.Team = owner
	}
	for _, s := range d.steps {
		graph.Steps = append(graph.Steps, s.definition)
	}
	return &graph
}

// addStep adds a step to a DAG. More than dag.MaxSteps steps are an error.
func (d *dagValue) addStep(operator string, step dag.Step) (starlark.Value, error) {
	if len(d.steps) >= dag.MaxSteps {
		return nil, fmt.Errorf("%s: the graph has more than %d steps", operator, dag.MaxSteps)
	}
	value := &stepValue{dag: d, definition: step}
	d.steps = append(d.steps, value)
	return value, nil
}

// addDefaults adds to kwargs those default arguments that an operator accepts and that kwargs
// does not contain. params has the form of starlark.UnpackArgs. default_args may also contain
// arguments of other operators, or arguments without a meaning for steps, such as owner.
func (d *dagValue) addDefaults(kwargs []starlark.Tuple, params []any) []starlark.Tuple {
	given := map[string]bool{}
	for _, kv := range kwargs {
		given[string(kv[0].(starlark.String))] = true
	}
	for i := 0; i < len(params); i += 2 {
		name := strings.TrimSuffix(params[i].(string), "?")
		if v, ok := d.defaults[name]; ok && !given[name] {
			kwargs = append(kwargs, starlark.Tuple{starlark.String(name), v})
		}
	}
	return kwargs
}

// dagArgs are the arguments of DAG(...) that have another type than the field of the graph.
type dagArgs struct {
	start, end, params, defaults, catchup, tags starlark.Value
}

// newDAG implements DAG(...). It adds a DAG to the loader.
func (l *loader) newDAG(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	d := &dagValue{defaults: map[string]starlark.Value{}}
	graph := &d.definition
	a := dagArgs{starlark.None, starlark.None, starlark.None, starlark.None, starlark.False, starlark.None}
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "dag_id", &graph.ID, "team?", &graph.Team, "schedule?", &graph.Schedule, "description?", &graph.Description,
		"timezone?", &graph.Timezone, "start_date?", &a.start, "end_date?", &a.end, "catchup?", &a.catchup, "max_active_runs?", &graph.MaxRuns,
		"max_active_tasks?", &graph.MaxTasks, "params?", &a.params, "default_args?", &a.defaults, "tags?", &a.tags); err != nil {
		return nil, err
	}
	if err := d.applyArgs(&a); err != nil {
		return nil, err
	}
	l.dags = append(l.dags, d)
	return d, nil
}

// applyArgs sets the DAG's fields and default arguments from the arguments of DAG(...).
func (d *dagValue) applyArgs(a *dagArgs) error {
	graph := &d.definition
	graph.Catchup = bool(a.catchup.Truth())
	if err := d.setDates(a); err != nil {
		return err
	}
	if err := d.setParams(a.params); err != nil {
		return err
	}
	if dict, ok := a.defaults.(*starlark.Dict); ok {
		for _, item := range dict.Items() {
			if key, isString := starlark.AsString(item[0]); isString {
				d.defaults[key] = item[1]
			}
		}
	}
	if list, ok := a.tags.(*starlark.List); ok {
		for v := range list.Elements() {
			if s, isString := starlark.AsString(v); isString {
				graph.Tags = append(graph.Tags, s)
			}
		}
	}
	return nil
}

// setDates sets the start and end date, which are read in the DAG's time zone.
func (d *dagValue) setDates(a *dagArgs) (err error) {
	graph := &d.definition
	location := time.UTC
	if graph.Timezone != "" {
		if location, err = time.LoadLocation(graph.Timezone); err != nil {
			return fmt.Errorf("DAG: timezone %q is not known", graph.Timezone)
		}
	}
	if graph.Start, err = dateOf("start_date", a.start, location); err != nil {
		return err
	}
	graph.End, err = dateOf("end_date", a.end, location)
	return err
}

// setParams sets the parameters of runs from a dict of plain values. A value that is no dict is ignored.
func (d *dagValue) setParams(params starlark.Value) error {
	dict, ok := params.(*starlark.Dict)
	if !ok {
		return nil
	}
	d.definition.Params = map[string]json.RawMessage{}
	for _, item := range dict.Items() {
		key, isString := starlark.AsString(item[0])
		if !isString {
			return errors.New("DAG: the names of params must be strings")
		}
		raw, err := toJSON(item[1], 0)
		if err != nil {
			return fmt.Errorf("DAG: param %s: %w", key, err)
		}
		d.definition.Params[key] = raw
	}
	return nil
}
