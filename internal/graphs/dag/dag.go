// Package dag is the model of graphs: steps that represent jobs, their dependencies, and
// the rules by which their states follow from each other, in the terms that users of
// Airflow know. It does no I/O, reads no clock and starts no goroutine.
//
// A Graph is what a team registers. NewPlan validates it and resolves its edges. A Run is
// the state machine of one execution of a Plan.
//
// Sources: the names and meanings of fields, trigger rules and states are those of
// Airflow 2's documentation (core concepts: DAGs, tasks, trigger rules, dynamic task
// mapping).
package dag

import (
	"encoding/json"
	"slices"
	"time"
)

// Bounds of a graph.
const (
	MaxSteps           = 10_000  // steps of one graph
	MaxEdges           = 200_000 // edges of one graph
	MaxMappedInstances = 1_000   // instances of one mapped step
	MaxNameBytes       = 200     // length of a name
	MaxResultBytes     = 2 << 10 // length of a step's result
	maxRetries         = 100     // retries of one step
)

// Kind says what a step does.
type Kind string

// The kinds of steps.
const (
	KindJob    Kind = "job"    // its tasks run on machines
	KindBranch Kind = "branch" // a job whose result names the direct followers that run
	KindEmpty  Kind = "empty"  // nothing runs: it joins or separates other steps
)

// Job describes a step's job: the fields of a submission that do not follow from the
// graph.
type Job struct {
	Class       string   `json:"class"`
	Kind        string   `json:"shape,omitempty"`   // array, the default
	Urgency     string   `json:"urgency,omitempty"` // standard, the default
	Tasks       int      `json:"tasks,omitempty"`   // 1, the default
	CPUs        float64  `json:"cpus"`              // of one task
	GPUs        float64  `json:"gpus,omitempty"`    // of one task
	MemoryGB    float64  `json:"memory_gb"`         // of one task
	Image       string   `json:"image"`
	ImageGB     float64  `json:"image_gb,omitempty"`
	Types       []string `json:"types,omitempty"` // allowed machine types; none: any
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
	Job      *Job     `json:"job,omitempty"`      // of all kinds but empty
	Upstream []string `json:"upstream,omitempty"` // IDs of the steps that it follows
	Rule     Rule     `json:"trigger_rule,omitempty"`
	Retry
	Timeout       Duration `json:"execution_timeout,omitempty"` // of one try, from its start; 0: none
	DependsOnPast bool     `json:"depends_on_past,omitempty"`
	Pool          string   `json:"pool,omitempty"`
	PoolSlots     int      `json:"pool_slots,omitempty"`
	Weight        int      `json:"priority_weight,omitempty"` // orders a run's ready steps when not all may start
	// Map makes the step run once for each element of a list: one given here, or the
	// result of another step.
	Map *Map `json:"expand,omitempty"`
}

// upstreamNames returns the IDs of the steps that a step waits for: those that it names,
// and the one that it is mapped over.
func (s *Step) upstreamNames() []string {
	if s.mappedOverStep() && !slices.Contains(s.Upstream, s.Map.Over) {
		return append(slices.Clip(s.Upstream), s.Map.Over)
	}
	return s.Upstream
}

// mappedOverStep reports whether the list that a step is mapped over is another step's
// result.
func (s *Step) mappedOverStep() bool { return s.Map != nil && s.Map.Over != "" }

// Map is what a step is mapped over. Exactly one of the fields is set.
type Map struct {
	List []json.RawMessage `json:"list,omitempty"`
	Over string            `json:"over,omitempty"` // ID of the step whose result is the list
}

// Graph is a graph of steps as its team describes it. NewPlan validates it.
type Graph struct {
	ID          string                     `json:"dag_id"`
	Team        string                     `json:"team"`
	Description string                     `json:"description,omitempty"`
	Schedule    string                     `json:"schedule,omitempty"` // cron, or empty: only when triggered
	Timezone    string                     `json:"timezone,omitempty"` // in which the schedule is read; UTC
	Start       *time.Time                 `json:"start_date,omitempty"`
	End         *time.Time                 `json:"end_date,omitempty"`
	Catchup     bool                       `json:"catchup,omitempty"`
	MaxRuns     int                        `json:"max_active_runs,omitempty"`  // 16 unless given
	MaxTasks    int                        `json:"max_active_tasks,omitempty"` // steps of all runs at a time; 16 unless given
	Params      map[string]json.RawMessage `json:"params,omitempty"`
	Tags        []string                   `json:"tags,omitempty"`
	Steps       []Step                     `json:"tasks"`
}
