package main

import (
	"context"
	"fmt"
	"time"

	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagview"
)

// runResponse contains the fields of a run in an API response that commands use.
type runResponse struct {
	ID    string     `json:"dag_run_id"`
	DAG   string     `json:"dag_id"`
	State string     `json:"state"`
	Type  string     `json:"run_type"`
	Start *time.Time `json:"start_date"`
	End   *time.Time `json:"end_date"`
	Date  *time.Time `json:"logical_date"`
}

// run reads a run with its definition and the instances and tries of its steps. dagID and runID are the IDs of the
// graph and the run.
func (a *graphAPI) run(ctx context.Context, dagID, runID string) (*dagview.Run, error) {
	path := []string{"dags", dagID, "dagRuns", runID}
	var response runResponse
	if err := a.read(ctx, &response, path...); err != nil {
		return nil, err
	}
	plan, err := a.plan(ctx, append(path, "definition")...)
	if err != nil {
		return nil, err
	}
	view := &dagview.Run{Plan: plan, ID: runID, State: response.State, Start: timeOrZero(response.Start), End: timeOrZero(response.End), Now: time.Now()}
	if view.Instances, err = a.instances(ctx, plan, path); err != nil {
		return nil, err
	}
	if view.Tries, err = a.tries(ctx, plan, path); err != nil {
		return nil, err
	}
	return view, nil
}

// plan reads and checks a graph definition.
func (a *graphAPI) plan(ctx context.Context, path ...string) (*dag.Plan, error) {
	var g dag.Graph
	if err := a.read(ctx, &g, path...); err != nil {
		return nil, err
	}
	return dag.NewPlan(&g)
}

// instances reads the instances of the steps of a run. runPath is the path of the run.
func (a *graphAPI) instances(ctx context.Context, plan *dag.Plan, runPath []string) ([]dagview.Instance, error) {
	type instance struct {
		Task  string  `json:"task_id"`
		Index int     `json:"map_index"`
		State *string `json:"state"`
		Try   int     `json:"try_number"`
		Job   *string `json:"job"`
	}
	items, err := listAll[instance](ctx, a, "task_instances", nil, append(runPath, "taskInstances")...)
	if err != nil {
		return nil, err
	}
	var all []dagview.Instance
	for _, item := range items {
		instance := dagview.Instance{Step: plan.Index[item.Task], Index: item.Index, State: dag.None.String(), Try: item.Try}
		if item.State != nil {
			instance.State = *item.State
		}
		if item.Job != nil {
			instance.Job = *item.Job
		}
		all = append(all, instance)
	}
	return all, nil
}

// tries reads the tries of the steps of a run. runPath is the path of the run.
func (a *graphAPI) tries(ctx context.Context, plan *dag.Plan, runPath []string) ([]dagview.Try, error) {
	items, err := listAll[airflow.TryView](ctx, a, "tries", nil, append(runPath, "tries")...)
	if err != nil {
		return nil, err
	}
	var all []dagview.Try
	for _, item := range items {
		try := dagview.Try{Step: plan.Index[item.Task], Index: item.Index, State: item.State}
		if try.Begin, err = parseTime(item.Start); err != nil {
			return nil, err
		}
		if try.End, err = parseTime(item.End); err != nil {
			return nil, err
		}
		all = append(all, try)
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
