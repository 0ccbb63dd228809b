package main

import (
	"context"
	"fmt"
	"time"

	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagview"
)

// runAnswer is what a command needs of a run.
type runAnswer struct {
	ID    string     `json:"dag_run_id"`
	DAG   string     `json:"dag_id"`
	State string     `json:"state"`
	Type  string     `json:"run_type"`
	Start *time.Time `json:"start_date"`
	End   *time.Time `json:"end_date"`
	Date  *time.Time `json:"logical_date"`
}

// run reads a run, with what became of its steps, to be shown.
func (a *graphAPI) run(ctx context.Context, id, run string) (*dagview.Run, error) {
	path := []string{"dags", id, "dagRuns", run}
	var r runAnswer
	if err := a.read(ctx, &r, path...); err != nil {
		return nil, err
	}
	plan, err := a.plan(ctx, append(path, "definition")...)
	if err != nil {
		return nil, err
	}
	v := &dagview.Run{Plan: plan, ID: run, State: r.State, Start: timeOrZero(r.Start), End: timeOrZero(r.End), Now: time.Now()}
	if v.Instances, err = a.instances(ctx, plan, path); err != nil {
		return nil, err
	}
	if v.Tries, err = a.tries(ctx, plan, path); err != nil {
		return nil, err
	}
	return v, nil
}

// plan reads and checks a graph's definition.
func (a *graphAPI) plan(ctx context.Context, path ...string) (*dag.Plan, error) {
	var g dag.Graph
	if err := a.read(ctx, &g, path...); err != nil {
		return nil, err
	}
	return dag.NewPlan(&g)
}

// instances reads the instances of a run's steps.
func (a *graphAPI) instances(ctx context.Context, p *dag.Plan, run []string) ([]dagview.Instance, error) {
	type instance struct {
		Task  string  `json:"task_id"`
		Index int     `json:"map_index"`
		State *string `json:"state"`
		Try   int     `json:"try_number"`
		Job   *string `json:"job"`
	}
	items, err := list[instance](ctx, a, "task_instances", nil, append(run, "taskInstances")...)
	if err != nil {
		return nil, err
	}
	var all []dagview.Instance
	for _, x := range items {
		i := dagview.Instance{Step: p.Index[x.Task], Index: x.Index, State: dag.None.String(), Try: x.Try}
		if x.State != nil {
			i.State = *x.State
		}
		if x.Job != nil {
			i.Job = *x.Job
		}
		all = append(all, i)
	}
	return all, nil
}

// tries reads the tries of a run's steps.
func (a *graphAPI) tries(ctx context.Context, p *dag.Plan, run []string) ([]dagview.Try, error) {
	items, err := list[airflow.TryView](ctx, a, "tries", nil, append(run, "tries")...)
	if err != nil {
		return nil, err
	}
	var all []dagview.Try
	for _, t := range items {
		x := dagview.Try{Step: p.Index[t.Task], Index: t.Index, State: t.State}
		if x.Begin, err = parseTime(t.Start); err != nil {
			return nil, err
		}
		if x.End, err = parseTime(t.End); err != nil {
			return nil, err
		}
		all = append(all, x)
	}
	return all, nil
}

// parseTime reads a time of an answer; nil is the zero time.
func parseTime(text *string) (time.Time, error) {
	if text == nil {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, *text)
	if err != nil {
		return at, fmt.Errorf("malformed answer: %w", err)
	}
	return at, nil
}

func timeOrZero(at *time.Time) time.Time {
	if at == nil {
		return time.Time{}
	}
	return *at
}
