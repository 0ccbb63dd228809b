package airflow

import (
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// unmapped is the map index of an instance of a step that is not mapped, and of a mapped step whose instances are not known yet.
const unmapped = -1

// instanceView is an instance of a step as the API has it.
type instanceView struct {
	Task        string         `json:"task_id"`
	DisplayName string         `json:"task_display_name"`
	DAG         string         `json:"dag_id"`
	Run         string         `json:"dag_run_id"`
	Execution   *string        `json:"execution_date"`
	Start       *string        `json:"start_date"`
	End         *string        `json:"end_date"`
	DurationS   *float64       `json:"duration"`
	State       *string        `json:"state"`
	Try         int            `json:"try_number"`
	MapIndex    int            `json:"map_index"`
	MaxTries    int            `json:"max_tries"`
	Host        string         `json:"hostname"`
	UnixName    string         `json:"unixname"`
	Pool        string         `json:"pool"`
	PoolSlots   int            `json:"pool_slots"`
	Queue       string         `json:"queue"`
	Weight      int            `json:"priority_weight"`
	Operator    string         `json:"operator"`
	Queued      *string        `json:"queued_when"`
	PID         *int           `json:"pid"`
	Config      string         `json:"executor_config"`
	Note        *string        `json:"note"`
	Rendered    map[string]any `json:"rendered_fields"`
	Job         *string        `json:"job"` // beside the API: the id of the job that runs the step
}

// viewInstance returns an instance without its try and its job.
func viewInstance(run *runner.RunView, ref dag.InstanceRef, state dag.State) instanceView {
	step := &run.Run.Plan.Steps[ref.Step]
	pool, slots, weight := poolClaim(step)
	view := instanceView{
		Task:        step.ID,
		DisplayName: step.ID,
		DAG:         run.Graph,
		Run:         run.ID,
		Execution:   timestamp(run.Logical),
		MapIndex:    mapIndex(step, ref.Index),
		MaxTries:    step.Retries,
		Pool:        pool,
		PoolSlots:   slots,
		Queue:       "default",
		Weight:      weight,
		Operator:    operators[step.Kind],
		Config:      "{}",
		Rendered:    map[string]any{},
	}
	if state != dag.None {
		name := state.String()
		view.State = &name
	}
	return view
}

// mapIndex returns the index of an instance as the API has it: only those of mapped steps have one.
func mapIndex(s *dag.Step, index int) int {
	if s.Map == nil {
		return unmapped
	}
	return index
}

// tryNumber returns the number of the try that an instance is at or ended with; 0: there was none. What has no job, or whose job was
// not submitted, has no tries.
func tryNumber(kind dag.Kind, state dag.State, failures int) int {
	tried := state > dag.Scheduled && kind != dag.KindEmpty && state != dag.Skipped && state != dag.UpstreamFailed
	switch {
	case !tried:
		return 0
	case state == dag.Failed && failures > 0:
		return failures // the last of them ended it
	default:
		return failures + 1
	}
}

// setTimes sets when a try began and ended.
func (x *instanceView) setTimes(begin, end time.Time) {
	x.Start, x.End = timestamp(begin), timestamp(end)
	if !end.IsZero() {
		seconds := end.Sub(begin).Seconds()
		x.DurationS = &seconds
	}
}

// stateName returns the name of the instance's state; empty: it has none yet.
func (x *instanceView) stateName() string {
	if x.State == nil {
		return ""
	}
	return *x.State
}

// instancesOf returns the instances of a run's steps, in the plan's order. A step whose instances are not known yet, or that never had
// any, has one.
func instancesOf(run *runner.RunView) []instanceView {
	newest := newestTries(run)
	views := []instanceView{}
	for _, step := range run.Run.Plan.Order {
		state, instances := run.Run.StepState(step)
		if len(instances) == 0 {
			view := viewInstance(run, dag.InstanceRef{Step: step, Index: unmapped}, state)
			view.Try = tryNumber(run.Run.Plan.Steps[step].Kind, state, 0)
			views = append(views, view)
		}
		for index := range instances {
			ref := dag.InstanceRef{Step: step, Index: index}
			views = append(views, viewInstanceWithTry(run, ref, &instances[index], newest[ref]))
		}
	}
	return views
}

// viewInstanceWithTry returns an instance with its job and its newest try, if one is kept.
func viewInstanceWithTry(run *runner.RunView, ref dag.InstanceRef, instance *dag.Instance, newest *runner.Try) instanceView {
	view := viewInstance(run, ref, instance.State)
	view.Try = tryNumber(run.Run.Plan.Steps[ref.Step].Kind, instance.State, instance.Failures)
	if newest != nil {
		view.setTimes(tryTimes(run, newest))
	}
	id := run.Run.JobID(ref)
	view.Job = &id
	return view
}
