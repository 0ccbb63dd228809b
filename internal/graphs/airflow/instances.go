package airflow

import (
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// unmapped is the map index of the instance of a step that is not mapped, and of a mapped step whose instances are not
// known yet.
const unmapped = -1

// instanceView is an instance of a step in the API's form.
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
	Job         *string        `json:"job"` // not in Airflow's API: the id of the job that runs the step
}

// viewInstance returns the view of an instance, without the fields that describe its try and its job.
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

// mapIndex returns an instance's map index in the API: its index if the step is mapped, else unmapped.
func mapIndex(s *dag.Step, index int) int {
	if s.Map == nil {
		return unmapped
	}
	return index
}

// tryNumber returns the number, from 1 on, of an instance's current or last try; 0 if it has had none. An instance
// without a job, or whose job was not submitted, has no tries.
func tryNumber(kind dag.Kind, state dag.State, failures int) int {
	tried := state > dag.Scheduled && kind != dag.KindEmpty && state != dag.Skipped && state != dag.UpstreamFailed
	switch {
	case !tried:
		return 0
	case state == dag.Failed && failures > 0:
		return failures // the last failed try is the last try
	default:
		return failures + 1
	}
}

// setTimes sets a try's start, end and duration. A zero end means that the try is still running.
func (x *instanceView) setTimes(begin, end time.Time) {
	x.Start, x.End = timestamp(begin), timestamp(end)
	if !end.IsZero() {
		seconds := end.Sub(begin).Seconds()
		x.DurationS = &seconds
	}
}

// stateName returns the name of the instance's state; empty if it has none yet.
func (x *instanceView) stateName() string {
	if x.State == nil {
		return ""
	}
	return *x.State
}

// instancesOf returns the instances of a run's steps, in the plan's order. A step whose instances are not known yet, or
// that never had any, is represented by one instance with the map index unmapped.
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

// viewInstanceWithTry returns the view of an instance with its job, and with the times of its newest try if that is
// still stored (newest is not nil).
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
