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
func viewInstance(v *runner.RunView, at dag.InstanceRef, state dag.State) instanceView {
	s := &v.Run.Plan.Steps[at.Step]
	pool, slots, weight := poolClaim(s)
	x := instanceView{
		Task:        s.ID,
		DisplayName: s.ID,
		DAG:         v.Graph,
		Run:         v.ID,
		Execution:   timestamp(v.Logical),
		MapIndex:    mapIndex(s, at.Index),
		MaxTries:    s.Retries,
		Pool:        pool,
		PoolSlots:   slots,
		Queue:       "default",
		Weight:      weight,
		Operator:    operators[s.Kind],
		Config:      "{}",
		Rendered:    map[string]any{},
	}
	if state != dag.None {
		name := state.String()
		x.State = &name
	}
	return x
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
func instancesOf(v *runner.RunView) []instanceView {
	newest := newestTries(v)
	views := []instanceView{}
	for _, step := range v.Run.Plan.Order {
		state, instances := v.Run.StepState(step)
		if len(instances) == 0 {
			x := viewInstance(v, dag.InstanceRef{Step: step, Index: unmapped}, state)
			x.Try = tryNumber(v.Run.Plan.Steps[step].Kind, state, 0)
			views = append(views, x)
		}
		for index := range instances {
			at := dag.InstanceRef{Step: step, Index: index}
			views = append(views, viewKnownInstance(v, at, &instances[index], newest[at]))
		}
	}
	return views
}

// viewKnownInstance returns an instance with its job and its newest try, if one is kept.
func viewKnownInstance(v *runner.RunView, at dag.InstanceRef, i *dag.Instance, newest *runner.Try) instanceView {
	x := viewInstance(v, at, i.State)
	x.Try = tryNumber(v.Run.Plan.Steps[at.Step].Kind, i.State, i.Failures)
	if newest != nil {
		x.setTimes(tryTimes(v, newest))
	}
	id := v.Run.JobID(at)
	x.Job = &id
	return x
}
