package dagfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	starjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"poppypass/internal/graphs/dag"
)

// loader gathers what a file describes.
type loader struct {
	dags []*dagValue
}

// words are the names that a file knows besides the language's own.
func (l *loader) words() starlark.StringDict {
	words := starlark.StringDict{nameMul: starlark.NewBuiltin("*", mul)}
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
	for _, r := range dag.Rules() {
		rules[upper(r)] = starlark.String(r)
	}
	words["TriggerRule"] = &namespace{"TriggerRule", rules}
	words["json"] = starjson.Module
	return words
}

func upper(s string) string {
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
	g        dag.Graph
	defaults map[string]starlark.Value
	steps    []*stepValue
}

func (d *dagValue) String() string        { return "DAG(" + d.g.ID + ")" }
func (d *dagValue) Type() string          { return "DAG" }
func (d *dagValue) Freeze()               {}
func (d *dagValue) Truth() starlark.Bool  { return true }
func (d *dagValue) Hash() (uint32, error) { return starlark.String(d.g.ID).Hash() }

// graph returns what the file made of it.
func (d *dagValue) graph() *dag.Graph {
	g := d.g
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
	d.g = dag.Graph{
		ID: id, Team: team, Schedule: schedule, Description: description, Zone: zone, Catchup: bool(catchup.Truth()), MaxRuns: runs, MaxTasks: tasks,
	}
	var err error
	if d.g.Start, err = date("start_date", start, where); err != nil {
		return nil, err
	}
	if d.g.End, err = date("end_date", end, where); err != nil {
		return nil, err
	}
	if m, ok := params.(*starlark.Dict); ok {
		d.g.Params = map[string]json.RawMessage{}
		for _, item := range m.Items() {
			key, isString := starlark.AsString(item[0])
			if !isString {
				return nil, errors.New("DAG: the names of params must be strings")
			}
			if d.g.Params[key], err = toJSON(item[1], 0); err != nil {
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
				d.g.Tags = append(d.g.Tags, s)
			}
		}
	}
	l.dags = append(l.dags, d)
	return d, nil
}

// operator makes steps of a kind. partial(...).expand(items = ...) makes a mapped one.
type operator struct {
	l       *loader
	name    string
	kind    dag.Kind
	partial []starlark.Tuple // what partial was given
}

func (o *operator) String() string        { return o.name }
func (o *operator) Type() string          { return "operator" }
func (o *operator) Name() string          { return o.name }
func (o *operator) Freeze()               {}
func (o *operator) Truth() starlark.Bool  { return true }
func (o *operator) Hash() (uint32, error) { return starlark.String(o.name).Hash() }

func (o *operator) AttrNames() []string { return []string{"expand", "partial"} }

func (o *operator) Attr(name string) (starlark.Value, error) {
	switch {
	case name == "partial" && o.partial == nil:
		return starlark.NewBuiltin("partial", func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			if len(args) > 0 {
				return nil, errors.New("partial: name each argument")
			}
			return &operator{l: o.l, name: o.name, kind: o.kind, partial: append([]starlark.Tuple{}, kwargs...)}, nil
		}), nil
	case name == "expand" && o.partial != nil:
		return starlark.NewBuiltin("expand", o.expand), nil
	}
	return nil, nil
}

func (o *operator) expand(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var items starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "items", &items); err != nil {
		return nil, err
	}
	m := &dag.Map{}
	switch v := items.(type) {
	case *output:
		m.Over = v.of.step.ID
	case *starlark.List:
		m.List = make([]json.RawMessage, 0, v.Len())
		if v.Len() > dag.MaxMapped {
			return nil, fmt.Errorf("expand: %d items; up to %d are allowed", v.Len(), dag.MaxMapped)
		}
		for e := range v.Elements() {
			raw, err := toJSON(e, 0)
			if err != nil {
				return nil, fmt.Errorf("expand: %w", err)
			}
			m.List = append(m.List, raw)
		}
	default:
		return nil, fmt.Errorf("expand: items is a %s; it must be a list or a step's output", items.Type())
	}
	made, err := (&operator{l: o.l, name: o.name, kind: o.kind}).CallInternal(t, nil, o.partial)
	if err != nil {
		return nil, err
	}
	made.(*stepValue).step.Map = m
	return made, nil
}

// CallInternal makes a step.
func (o *operator) CallInternal(_ *starlark.Thread, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if o.partial != nil {
		return nil, errors.New("partial(...) goes with expand(...)")
	}
	d, kwargs, err := o.dagOf(kwargs)
	if err != nil {
		return nil, err
	}
	given := map[string]bool{}
	for _, kv := range kwargs {
		given[string(kv[0].(starlark.String))] = true
	}
	s := dag.Step{Kind: o.kind}
	job := &dag.Job{}
	var rule, pool, retries, weight, slots, past, tasks = "", "", 0, 0, 0, false, 0
	var delay, most, timeout, types starlark.Value = starlark.None, starlark.None, starlark.None, starlark.None
	var backoff bool
	amount := func(p *float64) *number { return &number{p} }
	pairs := []any{"task_id", &s.ID}
	if o.kind != dag.KindEmpty { // what must be given stands first
		pairs = append(pairs, "job_class", &job.Class, "cpus", amount(&job.CPUs), "memory_gb", amount(&job.MemoryGB), "image", &job.Image)
	}
	pairs = append(pairs, "trigger_rule?", &rule, "retries?", &retries, "retry_delay?", &delay, "retry_exponential_backoff?", &backoff,
		"max_retry_delay?", &most, "execution_timeout?", &timeout, "depends_on_past?", &past, "pool?", &pool, "pool_slots?", &slots,
		"priority_weight?", &weight)
	if o.kind != dag.KindEmpty {
		pairs = append(pairs, "urgency?", &job.Urgency, "tasks?", &tasks, "gpus?", amount(&job.GPUs), "image_gb?", amount(&job.ImageGB), "types?", &types, "zone?", &job.Zone,
			"same_zone?", &job.OneZone, "spread?", &job.Spread, "spot?", &job.Spot, "estimate_s?", amount(&job.EstimateS),
			"checkpoint_s?", amount(&job.CheckpointS), "save_s?", amount(&job.SaveS), "account?", &job.Account)
		s.Job = job
	}
	// default_args may hold what other operators take; owner and the like say nothing here.
	for i := 2; i < len(pairs); i += 2 { // all but task_id
		name := strings.TrimSuffix(pairs[i].(string), "?")
		if v, ok := d.defaults[name]; ok && !given[name] {
			kwargs = append(kwargs, starlark.Tuple{starlark.String(name), v})
		}
	}
	if err := starlark.UnpackArgs(o.name, args, kwargs, pairs...); err != nil {
		return nil, err
	}
	s.Rule, s.Pool, s.Retries, s.Weight, s.PoolSlots, s.DependsOnPast, s.Exponential = dag.Rule(rule), pool, retries, weight, slots, past, backoff
	job.Tasks = tasks
	for name, f := range map[string]struct {
		from starlark.Value
		to   *dag.Duration
	}{"retry_delay": {delay, &s.Delay}, "max_retry_delay": {most, &s.MaxDelay}, "execution_timeout": {timeout, &s.Timeout}} {
		if *f.to, err = duration(name, f.from); err != nil {
			return nil, err
		}
	}
	if list, ok := types.(*starlark.List); ok {
		for v := range list.Elements() {
			name, isString := starlark.AsString(v)
			if !isString {
				return nil, fmt.Errorf("%s: types must be names", o.name)
			}
			job.Types = append(job.Types, name)
		}
	}
	if len(d.steps) >= dag.MaxSteps {
		return nil, fmt.Errorf("%s: the graph has more than %d steps", o.name, dag.MaxSteps)
	}
	v := &stepValue{dag: d, step: s}
	d.steps = append(d.steps, v)
	return v, nil
}

// dagOf finds the DAG of a step: the one that is named, or the file's last.
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
		if len(o.l.dags) == 0 {
			return nil, nil, fmt.Errorf("%s: there is no DAG yet", o.name)
		}
		d = o.l.dags[len(o.l.dags)-1]
	}
	return d, rest, nil
}

// number unpacks an int or float.
type number struct{ p *float64 }

// Unpack implements starlark.Unpacker.
func (n *number) Unpack(v starlark.Value) error {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return fmt.Errorf("got %s, want a number from 0 on", v.Type())
	}
	*n.p = f
	return nil
}

// stepValue is a step of a file.
type stepValue struct {
	dag  *dagValue
	step dag.Step
}

func (s *stepValue) String() string        { return "step " + s.step.ID }
func (s *stepValue) Type() string          { return "step" }
func (s *stepValue) Freeze()               {}
func (s *stepValue) Truth() starlark.Bool  { return true }
func (s *stepValue) Hash() (uint32, error) { return starlark.String(s.step.ID).Hash() }

func (s *stepValue) AttrNames() []string {
	return []string{"output", "set_downstream", "set_upstream", "task_id"}
}

func (s *stepValue) Attr(name string) (starlark.Value, error) {
	link := func(up bool) starlark.Value {
		return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			var other starlark.Value
			if err := starlark.UnpackArgs(name, args, kwargs, "other", &other); err != nil {
				return nil, err
			}
			if up {
				return starlark.None, follow(other, s)
			}
			return starlark.None, follow(s, other)
		})
	}
	switch name {
	case "task_id":
		return starlark.String(s.step.ID), nil
	case "output":
		return &output{of: s}, nil
	case "set_upstream":
		return link(true), nil
	case "set_downstream":
		return link(false), nil
	}
	return nil, nil
}

// Binary is a >> b and a << b; either side may be a list.
func (s *stepValue) Binary(op syntax.Token, y starlark.Value, side starlark.Side) (starlark.Value, error) {
	before, after := starlark.Value(s), y
	if (op == syntax.LTLT) != (side == starlark.Right) {
		before, after = after, before
	}
	switch op {
	case syntax.GTGT, syntax.LTLT:
		if side == starlark.Right {
			return s, follow(before, after) // the right-hand one, so that a >> b >> c is a chain
		}
		return y, follow(before, after)
	}
	return nil, nil
}

// output represents a step's result, which another may be mapped over.
type output struct{ of *stepValue }

func (o *output) String() string        { return "output of " + o.of.step.ID }
func (o *output) Type() string          { return "output" }
func (o *output) Freeze()               {}
func (o *output) Truth() starlark.Bool  { return true }
func (o *output) Hash() (uint32, error) { return o.of.Hash() }

// stepsOf returns the steps of a value: a step, or a list or tuple of them.
func stepsOf(v starlark.Value) ([]*stepValue, error) {
	if s, ok := v.(*stepValue); ok {
		return []*stepValue{s}, nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		return nil, fmt.Errorf("a %s is no step", v.Type())
	}
	var out []*stepValue
	for e := range starlark.Elements(list) {
		s, ok := e.(*stepValue)
		if !ok {
			return nil, fmt.Errorf("a %s is no step", e.Type())
		}
		out = append(out, s)
	}
	return out, nil
}

// follow has all steps of one value follow all of another.
func follow(before, after starlark.Value) error {
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
				return fmt.Errorf("%s and %s are steps of different DAGs", u.step.ID, d.step.ID)
			}
			d.step.Upstream = append(d.step.Upstream, u.step.ID)
		}
		if len(d.step.Upstream) > dag.MaxEdges {
			return fmt.Errorf("%s follows more than %d steps", d.step.ID, dag.MaxEdges)
		}
	}
	return nil
}

// chain has each of its arguments follow the one before.
func chain(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	for i := 1; i < len(args); i++ {
		if err := follow(args[i-1], args[i]); err != nil {
			return nil, fmt.Errorf("chain: %w", err)
		}
	}
	return starlark.None, nil
}

// timedelta returns a time in seconds.
func timedelta(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var days, hours, minutes, seconds float64
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "days?", &number{&days}, "hours?", &number{&hours}, "minutes?", &number{&minutes}, "seconds?", &number{&seconds}); err != nil {
		return nil, err
	}
	return starlark.Float(days*86400 + hours*3600 + minutes*60 + seconds), nil
}

// datetime returns a date as text, which the DAG reads in its own time zone.
func datetime(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var y, m, d, h, minute int
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "year", &y, "month", &m, "day", &d, "hour?", &h, "minute?", &minute); err != nil {
		return nil, err
	}
	return starlark.String(fmt.Sprintf("%04d-%02d-%02dT%02d:%02d:00", y, m, d, h, minute)), nil
}

func date(name string, v starlark.Value, where *time.Location) (*time.Time, error) {
	if v == starlark.None {
		return nil, nil
	}
	s, ok := starlark.AsString(v)
	if ok {
		for _, layout := range []string{time.RFC3339, "2006-01-02T15:04:05", time.DateOnly} {
			if t, err := time.ParseInLocation(layout, s, where); err == nil {
				return &t, nil
			}
		}
	}
	return nil, fmt.Errorf("DAG: %s is %v; it must be a date such as 2026-12-01 or datetime(2026, 12, 1)", name, v)
}

func duration(name string, v starlark.Value) (dag.Duration, error) {
	if v == starlark.None {
		return 0, nil
	}
	f, ok := starlark.AsFloat(v)
	if !ok || !(f >= 0) || f > 366*86400 {
		return 0, fmt.Errorf("%s is %v; it must be seconds or timedelta(...)", name, v)
	}
	return dag.Duration(f * float64(time.Second)), nil
}

// toJSON returns a plain value as JSON.
func toJSON(v starlark.Value, depth int) (json.RawMessage, error) {
	if depth > 8 {
		return nil, errors.New("it is nested too deeply")
	}
	var out any
	switch v := v.(type) {
	case starlark.NoneType:
	case starlark.Bool:
		out = bool(v)
	case starlark.String:
		out = string(v)
	case starlark.Int:
		return json.RawMessage(v.String()), nil
	case starlark.Float:
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
			return nil, errors.New("a number is not finite")
		}
		out = float64(v)
	case *starlark.List:
		list := make([]json.RawMessage, 0, v.Len())
		for e := range v.Elements() {
			raw, err := toJSON(e, depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, raw)
		}
		out = list
	case *starlark.Dict:
		m := map[string]json.RawMessage{}
		for _, item := range v.Items() {
			key, ok := starlark.AsString(item[0])
			if !ok {
				return nil, errors.New("a key is no string")
			}
			raw, err := toJSON(item[1], depth+1)
			if err != nil {
				return nil, err
			}
			m[key] = raw
		}
		out = m
	default:
		return nil, fmt.Errorf("a %s is no plain value", v.Type())
	}
	return json.Marshal(out)
}
