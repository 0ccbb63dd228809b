package dagfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// operator makes steps of a kind. partial(...).expand(items = ...) makes a mapped one.
type operator struct {
	l       *loader
	name    string
	kind    dag.Kind
	partial []starlark.Tuple // what partial was given
}

func (o *operator) String() string { return o.name }

func (o *operator) Type() string { return "operator" }

func (o *operator) Name() string { return o.name }

func (o *operator) Freeze() {}

func (o *operator) Truth() starlark.Bool { return true }

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
		if v.Len() > dag.MaxMappedInstances {
			return nil, fmt.Errorf("expand: %d items; up to %d are allowed", v.Len(), dag.MaxMappedInstances)
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
			"same_zone?", &job.SameZone, "spread?", &job.Spread, "spot?", &job.Spot, "estimate_s?", amount(&job.EstimateS),
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
	s.Rule, s.Pool, s.Retries, s.Weight, s.PoolSlots, s.DependsOnPast, s.Exponential = dag.TriggerRule(rule), pool, retries, weight, slots, past, backoff
	job.Tasks = tasks
	for name, f := range map[string]struct {
		from starlark.Value
		to   *dag.Duration
	}{"retry_delay": {delay, &s.Delay}, "max_retry_delay": {most, &s.MaxDelay}, "execution_timeout": {timeout, &s.Timeout}} {
		if *f.to, err = durationOf(name, f.from); err != nil {
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
