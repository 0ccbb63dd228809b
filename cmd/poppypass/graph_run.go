package main

import (
	"context"
	"fmt"
	"time"

	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagview"
)

// runAnswer contains the fields of a run in an API response that commands use.
type runAnswer struct {
	ID    string     `json:"dag_run_id"`
	DAG   string     `json:"dag_id"`
	State string     `json:"state"`
	Type  string     `json:"run_type"`
	Start *time.Time `json:"start_date"`
	End   *time.Time `json:"end_date"`
	Date  *time.Time `json:"logical_date"`
}

// run reads a run with its definition and the instances and tries of its steps.
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

// plan reads and checks a graph definition.
func (a *graphAPI) plan(ctx context.Context, path ...string) (*dag.Plan, error) {
	var g dag.Graph
	if err := a.read(ctx, &g, path...); err != nil {
		return nil, err
	}
	return dag.NewPlan(&g)
}

// instances reads the instances of the steps of a run. run is the path of the run.
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

// tries reads the tries of the steps of a run. run is the path of the run.
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

// parseTime parses a time in a response; nil gives the zero time.
func parseTime(text *string) (time.Time, error) {
	if text == nil {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, *text)
	if err != nil {
		return at, fmt.Errorf("malformed response: %w", err)
	}
	return at, nil
}

func timeOrZero(at *time.Time) time.Time {
	if at == nil {
		return time.Time{}
	}
	return *at
}
