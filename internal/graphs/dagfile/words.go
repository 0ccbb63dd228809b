package dagfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	starjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// loader gathers what a file describes.
type loader struct {
	dags []*dagValue
}

// predeclared are the names that a file knows besides the language's own.
func (l *loader) predeclared() starlark.StringDict {
	words := starlark.StringDict{mulBuiltin: starlark.NewBuiltin("*", mul)}
	builtin := func(name string, fn func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)) {
		words[name] = starlark.NewBuiltin(name, fn)
	}
	builtin("DAG", l.newDAG)
	for name, kind := range map[string]dag.Kind{"JobOperator": dag.KindJob, "BranchJobOperator": dag.KindBranch, "EmptyOperator": dag.KindEmpty} {
		words[name] = &operator{l: l, name: name, kind: kind}
	}
	builtin("chain", chain)
	builtin("timedelta", timedelta)
	builtin("datetime", datetime)
	builtin("range", boundedRange)
	rules := starlark.StringDict{}
	for _, r := range dag.TriggerRules() {
		rules[upperASCII(r)] = starlark.String(r)
	}
	words["TriggerRule"] = &namespace{"TriggerRule", rules}
	words["json"] = starjson.Module
	return words
}

func upperASCII(s string) string {
	b := []byte(s)
	for i := range b {
		if b[i] >= 'a' && b[i] <= 'z' {
			b[i] -= 'a' - 'A'
		}
	}
	return string(b)
}

// namespace is a value whose attributes are constants.
type namespace struct {
	name  string
	attrs starlark.StringDict
}

func (n *namespace) String() string                           { return n.name }
func (n *namespace) Type() string                             { return n.name }
func (n *namespace) Freeze()                                  {}
func (n *namespace) Truth() starlark.Bool                     { return true }
func (n *namespace) Hash() (uint32, error)                    { return 0, errors.New("unhashable") }
func (n *namespace) Attr(name string) (starlark.Value, error) { return n.attrs[name], nil }
func (n *namespace) AttrNames() []string                      { return n.attrs.Keys() }

func boundedRange(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	v, err := starlark.Call(t, starlark.Universe["range"], args, kwargs)
	if err == nil && starlark.Len(v) > maxRange {
		return nil, fmt.Errorf("range has %d elements; up to %d are allowed", starlark.Len(v), maxRange)
	}
	return v, err
}

// dagValue is a DAG of a file.
type dagValue struct {
	described dag.Graph
	defaults  map[string]starlark.Value
	steps     []*stepValue
}

func (d *dagValue) String() string        { return "DAG(" + d.described.ID + ")" }
func (d *dagValue) Type() string          { return "DAG" }
func (d *dagValue) Freeze()               {}
func (d *dagValue) Truth() starlark.Bool  { return true }
func (d *dagValue) Hash() (uint32, error) { return starlark.String(d.described.ID).Hash() }

// graph returns what the file made of it.
func (d *dagValue) graph() *dag.Graph {
	g := d.described
	if owner, ok := starlark.AsString(d.defaults["owner"]); ok && g.Team == "" {
		g.Team = owner
	}
	for _, s := range d.steps {
		g.Steps = append(g.Steps, s.step)
	}
	return &g
}

func (l *loader) newDAG(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	d := &dagValue{defaults: map[string]starlark.Value{}}
	var id, team, schedule, description, zone string
	var start, end, params, defaults, catchup, tags starlark.Value = starlark.None, starlark.None, starlark.None, starlark.None, starlark.False, starlark.None
	var runs, tasks int
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "dag_id", &id, "team?", &team, "schedule?", &schedule, "description?", &description,
		"timezone?", &zone, "start_date?", &start, "end_date?", &end, "catchup?", &catchup, "max_active_runs?", &runs,
		"max_active_tasks?", &tasks, "params?", &params, "default_args?", &defaults, "tags?", &tags); err != nil {
		return nil, err
	}
	where := time.UTC
	if zone != "" {
		var err error
		if where, err = time.LoadLocation(zone); err != nil {
			return nil, fmt.Errorf("DAG: timezone %q is not known", zone)
		}
	}
	d.described = dag.Graph{
		ID: id, Team: team, Schedule: schedule, Description: description, Timezone: zone, Catchup: bool(catchup.Truth()), MaxRuns: runs, MaxTasks: tasks,
	}
	var err error
	if d.described.Start, err = dateOf("start_date", start, where); err != nil {
		return nil, err
	}
	if d.described.End, err = dateOf("end_date", end, where); err != nil {
		return nil, err
	}
	if m, ok := params.(*starlark.Dict); ok {
		d.described.Params = map[string]json.RawMessage{}
		for _, item := range m.Items() {
			key, isString := starlark.AsString(item[0])
			if !isString {
				return nil, errors.New("DAG: the names of params must be strings")
			}
			if d.described.Params[key], err = toJSON(item[1], 0); err != nil {
				return nil, fmt.Errorf("DAG: param %s: %w", key, err)
			}
		}
	}
	if m, ok := defaults.(*starlark.Dict); ok {
		for _, item := range m.Items() {
			if key, isString := starlark.AsString(item[0]); isString {
				d.defaults[key] = item[1]
			}
		}
	}
	if list, ok := tags.(*starlark.List); ok {
		for v := range list.Elements() {
			if s, isString := starlark.AsString(v); isString {
				d.described.Tags = append(d.described.Tags, s)
			}
		}
	}
	l.dags = append(l.dags, d)
	return d, nil
}
