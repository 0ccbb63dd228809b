// Package dag models graphs (DAGs) of steps that run jobs: the steps, their dependencies, and the rules that
// derive each step's state from the states of the steps upstream. It does no I/O, reads no clock and starts
// no goroutine.
//
// A Graph is what a team registers. NewPlan validates it and resolves its edges. A Run is the state machine
// of one execution of a Plan.
//
// The names and meanings of fields, trigger rules and states are those of Airflow 2's documentation (core
// concepts: DAGs, tasks, trigger rules, dynamic task mapping).
package dag

import (
	"encoding/json"
	"slices"
	"time"
)

// Limits of a graph.
const (
	MaxSteps           = 10_000  // steps per graph
	MaxEdges           = 200_000 // edges per graph
	MaxMappedInstances = 1_000   // instances per mapped step
	MaxNameBytes       = 200     // length of a graph's, step's or team's name
	MaxResultBytes     = 2 << 10 // length of a step's result, as JSON
	maxRetries         = 100     // retries per step
)

// Kind is the kind of a step: what it runs.
type Kind string

// The kinds of steps.
const (
	KindJob    Kind = "job"    // runs a job, whose tasks run on machines
	KindBranch Kind = "branch" // runs a job whose result names the directly downstream steps to run
	KindEmpty  Kind = "empty"  // runs nothing; only connects other steps
)

// Job describes a step's job: the fields of a job submission that the graph itself does not determine.
type Job struct {
	Class       string   `json:"class"`
	Kind        string   `json:"shape,omitempty"`   // only "array", the default
	Urgency     string   `json:"urgency,omitempty"` // default: standard
	Tasks       int      `json:"tasks,omitempty"`   // number of tasks; default: 1
	CPUs        float64  `json:"cpus"`              // per task
	GPUs        float64  `json:"gpus,omitempty"`    // per task
	MemoryGB    float64  `json:"memory_gb"`         // per task
	Image       string   `json:"image"`
	ImageGB     float64  `json:"image_gb,omitempty"`
	Types       []string `json:"types,omitempty"` // allowed machine types; empty: any
	Zone        string   `json:"zone,omitempty"`
	SameZone    bool     `json:"same_zone,omitempty"`
	Spread      bool     `json:"spread,omitempty"`
	Spot        bool     `json:"spot,omitempty"`
	EstimateS   float64  `json:"estimate_s,omitempty"`
	CheckpointS float64  `json:"checkpoint_s,omitempty"`
	SaveS       float64  `json:"save_s,omitempty"`
	Account     string   `json:"account,omitempty"`
}

// Step is one step of a graph.
type Step struct {
	ID       string   `json:"task_id"`
	Kind     Kind     `json:"kind"`
	Job      *Job     `json:"job,omitempty"`      // nil if and only if Kind is KindEmpty
	Upstream []string `json:"upstream,omitempty"` // IDs of the steps directly upstream, to which the trigger rule applies
	Rule     Rule     `json:"trigger_rule,omitempty"`
	Retry
	Timeout       Duration `json:"execution_timeout,omitempty"` // limit on the running time of one try; 0: none
	DependsOnPast bool     `json:"depends_on_past,omitempty"`
	Pool          string   `json:"pool,omitempty"`
	PoolSlots     int      `json:"pool_slots,omitempty"`
	Weight        int      `json:"priority_weight,omitempty"` // ready steps of a run with a greater weight are submitted first
	// Map makes the step run once for each element of a list, which is given here or is the result of another step.
	Map *Map `json:"expand,omitempty"`
}

// upstreamIDs returns the IDs of the steps directly upstream: those listed in Upstream, and the step whose
// result this one is mapped over.
func (s *Step) upstreamIDs() []string {
	if s.mappedOverStep() && !slices.Contains(s.Upstream, s.Map.Over) {
		return append(slices.Clip(s.Upstream), s.Map.Over)
	}
	return s.Upstream
}

// mappedOverStep reports whether the step is mapped over the result of another step.
func (s *Step) mappedOverStep() bool { return s.Map != nil && s.Map.Over != "" }

// Map says what a step is mapped over. Exactly one of its fields is set.
type Map struct {
	List []json.RawMessage `json:"list,omitempty"`
	Over string            `json:"over,omitempty"` // ID of the step whose result is the list
}

// Graph is a graph of steps as its team describes it, not yet validated. NewPlan validates it.
type Graph struct {
	ID          string                     `json:"dag_id"`
	Team        string                     `json:"team"`
	Description string                     `json:"description,omitempty"`
	Schedule    string                     `json:"schedule,omitempty"` // cron or a preset (ParseSchedule); empty: runs only when triggered
	Timezone    string                     `json:"timezone,omitempty"` // IANA time zone of the schedule; empty: UTC
	Start       *time.Time                 `json:"start_date,omitempty"`
	End         *time.Time                 `json:"end_date,omitempty"`
	Catchup     bool                       `json:"catchup,omitempty"`
	MaxRuns     int                        `json:"max_active_runs,omitempty"`  // runs that may be active at a time; default: 16
	MaxTasks    int                        `json:"max_active_tasks,omitempty"` // jobs of all runs that may be active at a time; default: 16
	Params      map[string]json.RawMessage `json:"params,omitempty"`
	Tags        []string                   `json:"tags,omitempty"`
	Steps       []Step                     `json:"tasks"`
}
