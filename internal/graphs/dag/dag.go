// Package dag is the model of graphs: steps that represent jobs, what they wait for,
// and the rules by which their states follow from each other, in the terms that users of
// Airflow know. It does no I/O and keeps no state.
//
// Sources: the names and meanings of fields, trigger rules and states are those of
// Airflow 2's documentation (core concepts: DAGs, tasks, trigger rules, dynamic task
// mapping).
package dag

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of a graph.
const (
	MaxSteps           = 10_000  // of one graph
	MaxEdges           = 200_000 // of one graph
	MaxMappedInstances = 1_000   // instances of one mapped step
	MaxNameBytes       = 200     // bytes of a name
	MaxResultBytes     = 2 << 10 // bytes of a step's result
)

// Kind says what a step does.
type Kind string

// The kinds of steps.
const (
	KindJob    Kind = "job"    // its tasks run on machines
	KindBranch Kind = "branch" // a job whose result names the direct followers that go on
	KindEmpty  Kind = "empty"  // nothing runs: it joins or parts others
)

// Job is what a step's job is made of: the fields of a submission that do not
// follow from the graph.
type Job struct {
	Class       string   `json:"class"`
	Kind        string   `json:"shape,omitempty"`    // array, the default
	Urgency     string   `json:"urgency,omitempty"`  // standard, the default
	Tasks       int      `json:"tasks,omitempty"`    // 1, the default
	CPUs        float64  `json:"cpus"`               // of one task
	GPUs        float64  `json:"gpus,omitempty"`     // of one task
	MemoryGB    float64  `json:"memory_gb"`          // of one task
	Image       string   `json:"image"`              //
	ImageGB     float64  `json:"image_gb,omitempty"` //
	Types       []string `json:"types,omitempty"`    // allowed machine types; none: any
	Zone        string   `json:"zone,omitempty"`
	SameZone    bool     `json:"same_zone,omitempty"`
	Spread      bool     `json:"spread,omitempty"`
	Spot        bool     `json:"spot,omitempty"`
	EstimateS   float64  `json:"estimate_s,omitempty"`
	CheckpointS float64  `json:"checkpoint_s,omitempty"`
	SaveS       float64  `json:"save_s,omitempty"`
	Account     string   `json:"account,omitempty"`
}

// Retry says how often a step is tried and how long it rests before the next try.
type Retry struct {
	Retries     int      `json:"retries,omitempty"`
	Delay       Duration `json:"retry_delay,omitempty"` // 300 s unless given
	Exponential bool     `json:"retry_exponential_backoff,omitempty"`
	MaxDelay    Duration `json:"max_retry_delay,omitempty"`
}

// DefaultRetryDelay is the rest before a retry unless a step says otherwise, as in Airflow.
const DefaultRetryDelay = Duration(5 * time.Minute)

// DelayBefore is the rest before the try with a number, from 1 on. jitter, from 0 to 1,
// spreads those of many steps over the last half of it.
func (r *Retry) DelayBefore(try int, jitter float64) time.Duration {
	d := time.Duration(r.Delay)
	if d <= 0 {
		d = time.Duration(DefaultRetryDelay)
	}
	if !r.Exponential {
		return d
	}
	for i := 1; i < try && d < maxRetryDelay; i++ {
		d *= 2
	}
	if most := time.Duration(r.MaxDelay); most > 0 {
		d = min(d, most)
	}
	d = min(d, maxRetryDelay)
	return d/2 + time.Duration(float64(d/2)*jitter)
}

// maxRetryDelay bounds any rest before a retry.
const maxRetryDelay = 24 * time.Hour

// Step is one step of a graph.
type Step struct {
	ID       string      `json:"task_id"`
	Kind     Kind        `json:"kind"`
	Job      *Job        `json:"job,omitempty"`      // of all kinds but empty
	Upstream []string    `json:"upstream,omitempty"` // the steps that it follows
	Rule     TriggerRule `json:"trigger_rule,omitempty"`
	Retry
	Timeout       Duration `json:"execution_timeout,omitempty"` // of one try, from its start; 0: none
	DependsOnPast bool     `json:"depends_on_past,omitempty"`
	Pool          string   `json:"pool,omitempty"`
	PoolSlots     int      `json:"pool_slots,omitempty"`
	Weight        int      `json:"priority_weight,omitempty"` // among a run's ready steps, when not all may start
	// Map has the step run once for each element: a list given here, or the name of the
	// step whose result is the list.
	Map *Map `json:"expand,omitempty"`
}

// Map is what a step is mapped over: one of the two.
type Map struct {
	List []json.RawMessage `json:"list,omitempty"`
	Over string            `json:"over,omitempty"` // a step
}

// Graph is a graph of steps as its team describes it.
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

// Duration is a time that JSON gives in seconds.
type Duration time.Duration

// MarshalJSON returns the seconds.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).Seconds()) }

// UnmarshalJSON reads seconds.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var s float64
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	if !(s >= 0) || s > maxDuration.Seconds() {
		return fmt.Errorf("%v s is not a duration from 0 to %v", s, maxDuration)
	}
	*d = Duration(s * float64(time.Second))
	return nil
}

const maxDuration = 366 * 24 * time.Hour

// Error is what is wrong with a graph. Step is empty when it is not one step's fault.
type Error struct {
	Graph, Step, Text string
}

func (e *Error) Error() string {
	if e.Step == "" {
		return fmt.Sprintf("graph %s: %s", e.Graph, e.Text)
	}
	return fmt.Sprintf("graph %s, step %s: %s", e.Graph, e.Step, e.Text)
}

// Plan is a graph that was checked, with its edges by index. It is not changed any more.
type Plan struct {
	Graph
	Index      map[string]int
	Upstream   [][]int // the steps that each one follows
	Downstream [][]int // those that follow it
	Order      []int   // each step behind those that it follows
}

// NewPlan checks a graph, and returns its plan. The error is an *Error, in one line.
func NewPlan(g *Graph) (*Plan, error) {
	fault := func(step, format string, args ...any) error {
		return &Error{Graph: g.ID, Step: step, Text: fmt.Sprintf(format, args...)}
	}
	if !ValidName(g.ID) {
		return nil, fault("", "dag_id is not a name of letters, digits, dashes, dots and underscores")
	}
	if g.Team == "" || len(g.Team) > MaxNameBytes {
		return nil, fault("", "the team is missing")
	}
	if len(g.Steps) == 0 || len(g.Steps) > MaxSteps {
		return nil, fault("", "it has %d steps; 1 to %d are allowed", len(g.Steps), MaxSteps)
	}
	if g.MaxRuns < 0 || g.MaxTasks < 0 {
		return nil, fault("", "max_active_runs or max_active_tasks is negative")
	}
	if g.Start != nil && g.End != nil && g.End.Before(*g.Start) {
		return nil, fault("", "it ends before it starts")
	}
	if _, err := ParseSchedule(g.Schedule, g.Timezone); err != nil {
		return nil, fault("", "%v", err)
	}
	p := &Plan{Graph: *g, Index: make(map[string]int, len(g.Steps)), Upstream: make([][]int, len(g.Steps)), Downstream: make([][]int, len(g.Steps))}
	for i := range g.Steps {
		s := &g.Steps[i]
		if !ValidName(s.ID) {
			return nil, fault(s.ID, "task_id is not a name of letters, digits, dashes, dots and underscores")
		}
		if _, twice := p.Index[s.ID]; twice {
			return nil, fault(s.ID, "the name is used twice")
		}
		p.Index[s.ID] = i
	}
	edges := 0
	for i := range g.Steps {
		s := &g.Steps[i]
		if err := s.check(); err != nil {
			return nil, fault(s.ID, "%v", err)
		}
		for _, name := range s.upstreamNames() {
			j, ok := p.Index[name]
			if !ok {
				return nil, fault(s.ID, "it follows %q, which is no step of this graph", name)
			}
			if !slices.Contains(p.Upstream[i], j) {
				p.Upstream[i] = append(p.Upstream[i], j)
				p.Downstream[j] = append(p.Downstream[j], i)
				edges++
			}
		}
		if s.Map != nil && s.Map.Over != "" && g.Steps[p.Index[s.Map.Over]].Map != nil {
			return nil, fault(s.ID, "it is mapped over %q, which is mapped itself", s.Map.Over)
		}
	}
	if edges > MaxEdges {
		return nil, fault("", "it has %d edges; up to %d are allowed", edges, MaxEdges)
	}
	if cycle := p.sortTopologically(); cycle != nil {
		return nil, fault("", "its steps follow each other in a circle: %s", strings.Join(cycle, " -> "))
	}
	return p, nil
}

// upstreamNames names the steps that a step waits for.
func (s *Step) upstreamNames() []string {
	if s.Map != nil && s.Map.Over != "" && !slices.Contains(s.Upstream, s.Map.Over) {
		return append(slices.Clip(s.Upstream), s.Map.Over)
	}
	return s.Upstream
}

func (s *Step) check() error {
	switch s.Kind {
	case KindJob, KindBranch:
		if s.Job == nil {
			return errors.New("its job is missing")
		}
	case KindEmpty:
		if s.Job != nil {
			return errors.New("an empty step has no job")
		}
		if s.Map != nil {
			return errors.New("an empty step is not mapped")
		}
	default:
		return fmt.Errorf("kind %q is unknown; it can be job, branch or empty", s.Kind)
	}
	switch {
	case s.Job != nil && s.Job.Kind != "" && s.Job.Kind != "array":
		return errors.New("its job is not an array: nothing else comes to an end")
	case s.Kind == KindBranch && s.Map != nil:
		return errors.New("a branch is not mapped")
	case !s.Rule.Known():
		return fmt.Errorf("trigger_rule %q is unknown; it can be %s", s.Rule, strings.Join(TriggerRules(), ", "))
	case s.Retries < 0 || s.Retries > 100:
		return fmt.Errorf("retries is %d; 0 to 100 are allowed", s.Retries)
	case s.PoolSlots < 0 || s.Weight < 0:
		return errors.New("pool_slots or priority_weight is negative")
	case s.Map != nil && (s.Map.Over != "") == (s.Map.List != nil):
		return errors.New("expand takes either a list or a step")
	case s.Map != nil && len(s.Map.List) > MaxMappedInstances:
		return fmt.Errorf("it is mapped over %d elements; up to %d are allowed", len(s.Map.List), MaxMappedInstances)
	}
	return nil
}

// ValidName reports whether a text is a name: 1 to MaxNameBytes letters, digits, dashes, dots and underscores.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-' || c == '.') {
			return false
		}
	}
	return true
}

// sortTopologically puts the steps in an order in which each stands behind those that it follows; a
// circle is given by name instead.
func (p *Plan) sortTopologically() (cycle []string) {
	left := make([]int, len(p.Steps)) // steps that are still before it
	var ready []int
	for i := range p.Steps {
		if left[i] = len(p.Upstream[i]); left[i] == 0 {
			ready = append(ready, i)
		}
	}
	p.Order = make([]int, 0, len(p.Steps))
	for len(ready) > 0 {
		i := ready[0]
		ready = ready[1:]
		p.Order = append(p.Order, i)
		for _, j := range p.Downstream[i] {
			if left[j]--; left[j] == 0 {
				ready = append(ready, j)
			}
		}
	}
	if len(p.Order) == len(p.Steps) {
		return nil
	}
	// Every step that is left follows another one that is left: going back from any
	// of them comes round.
	at := slices.IndexFunc(left, func(n int) bool { return n > 0 })
	seen := map[int]int{}
	var path []int
	for {
		if from, again := seen[at]; again {
			path = append(path[from:], at)
			break
		}
		seen[at] = len(path)
		path = append(path, at)
		at = p.Upstream[at][slices.IndexFunc(p.Upstream[at], func(j int) bool { return left[j] > 0 })]
	}
	slices.Reverse(path)
	for _, i := range path[:min(len(path), 12)] {
		cycle = append(cycle, p.Steps[i].ID)
	}
	if len(path) > 12 {
		cycle = append(cycle, "...")
	}
	return cycle
}

// CriticalPath returns the chain of steps that takes longest by their owners'
// estimates, and how long that is. Waits and fetches are not in it.
func (p *Plan) CriticalPath() (path []string, length time.Duration) {
	end := make([]time.Duration, len(p.Steps)) // when each would end at the earliest
	from := make([]int, len(p.Steps))
	last := -1
	for _, i := range p.Order {
		from[i] = -1
		var begin time.Duration
		for _, j := range p.Upstream[i] {
			if from[i] < 0 || end[j] > begin {
				begin, from[i] = end[j], j
			}
		}
		end[i] = begin
		if job := p.Steps[i].Job; job != nil {
			end[i] += time.Duration(job.EstimateS * float64(time.Second))
		}
		if last < 0 || end[i] > end[last] {
			last = i
		}
	}
	length = end[last]
	for i := last; i >= 0; i = from[i] {
		path = append(path, p.Steps[i].ID)
	}
	slices.Reverse(path)
	return path, length
}
