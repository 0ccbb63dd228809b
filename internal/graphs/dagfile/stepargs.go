package dagfile

import (
	"fmt"

	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// stepArgs are the arguments of an operator. Arguments that have another type than the field
// of the step are stored separately; build converts them.
type stepArgs struct {
	step                     dag.Step
	job                      dag.Job
	rule                     string
	delay, maxDelay, timeout starlark.Value // seconds or None
	types                    starlark.Value // a list of names or None
}

// newStepArgs returns the arguments of an operator of a kind, set to their defaults.
func newStepArgs(kind dag.Kind) *stepArgs {
	return &stepArgs{step: dag.Step{Kind: kind}, delay: starlark.None, maxDelay: starlark.None, timeout: starlark.None, types: starlark.None}
}

// params returns the parameters' names and destinations in the form of starlark.UnpackArgs.
// task_id is the first parameter, and required parameters precede optional ones.
func (a *stepArgs) params() []any {
	params := []any{"task_id", &a.step.ID}
	if a.hasJob() {
		params = append(params, a.requiredJobParams()...)
	}
	params = append(params, a.stepParams()...)
	if a.hasJob() {
		params = append(params, a.optionalJobParams()...)
	}
	return params
}

// hasJob reports whether steps of the operator's kind have a job.
func (a *stepArgs) hasJob() bool { return a.step.Kind != dag.KindEmpty }

// requiredJobParams returns the required parameters of a job.
func (a *stepArgs) requiredJobParams() []any {
	job := &a.job
	return []any{"job_class", &job.Class, "cpus", &number{&job.CPUs}, "memory_gb", &number{&job.MemoryGB}, "image", &job.Image}
}

// stepParams returns the optional parameters that all operators have.
func (a *stepArgs) stepParams() []any {
	step := &a.step
	return []any{
		"trigger_rule?", &a.rule, "retries?", &step.Retries, "retry_delay?", &a.delay, "retry_exponential_backoff?", &step.Exponential,
		"max_retry_delay?", &a.maxDelay, "execution_timeout?", &a.timeout, "depends_on_past?", &step.DependsOnPast,
		"pool?", &step.Pool, "pool_slots?", &step.PoolSlots, "priority_weight?", &step.Weight,
	}
}

// optionalJobParams returns the optional parameters of a job.
func (a *stepArgs) optionalJobParams() []any {
	job := &a.job
	return []any{
		"urgency?", &job.Urgency, "tasks?", &job.Tasks, "gpus?", &number{&job.GPUs}, "image_gb?", &number{&job.ImageGB}, "types?", &a.types,
		"zone?", &job.Zone, "same_zone?", &job.SameZone, "spread?", &job.Spread, "spot?", &job.Spot, "estimate_s?", &number{&job.EstimateS},
		"checkpoint_s?", &number{&job.CheckpointS}, "save_s?", &number{&job.SaveS}, "account?", &job.Account,
	}
}

// build returns the step that the arguments describe. operator is the operator's name, for errors.
func (a *stepArgs) build(operator string) (dag.Step, error) {
	step := a.step
	step.Rule = dag.Rule(a.rule)
	for _, duration := range []struct {
		name  string
		value starlark.Value
		to    *dag.Duration
	}{{"retry_delay", a.delay, &step.Delay}, {"max_retry_delay", a.maxDelay, &step.MaxDelay}, {"execution_timeout", a.timeout, &step.Timeout}} {
		var err error
		if *duration.to, err = durationOf(duration.name, duration.value); err != nil {
			return dag.Step{}, err
		}
	}
	types, err := namesOf(a.types)
	if err != nil {
		return dag.Step{}, fmt.Errorf("%s: types must be names", operator)
	}
	if a.hasJob() {
		a.job.Types = types
		step.Job = &a.job
	}
	return step, nil
}
