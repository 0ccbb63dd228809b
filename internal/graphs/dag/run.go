package dag

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/big"
	"slices"
	"time"
)

// RunState is the state of a run.
type RunState uint8

// The states of runs, by Airflow's names.
const (
	RunRunning RunState = iota
	RunSuccess
	RunFailed
)

var runStateNames = [...]string{"running", "success", "failed"}

// String returns the state's name.
func (s RunState) String() string { return runStateNames[s] }

// MarshalText returns the state's name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Instance is one instance of a step: the only one, or that of one element of what it
// is mapped over. Its tries are attempts of one job, which the core repeats; the run
// counts those that failed.
type Instance struct {
	State      State
	Failures   int       // of its job's attempts, since the last clear
	RetryAt    time.Time // until then its job rests; zero: it need not
	StartedAt  time.Time // when its present try began to run; zero: it does not run
	Cancelling bool      // its job is being cancelled: how that ends is how the instance ends
}

// node is the state of a step in a run.
type node struct {
	generation int // one more with each clear
	state      State
	upstream   UpstreamCounts // how the instances of the steps before it ended
	instances  []Instance     // none until it is known how many there are
	unfinished int            // instances that have not ended
	result     json.RawMessage
}

// Ref names an instance of a step.
type Ref struct{ Step, Index int }

// Run is one run of a graph: the states of its steps, and how they follow from what
// happens. It decides; others submit jobs, cancel them and store what it says (Encode).
// Each event takes work in proportion to the edges that it touches. It is not safe for
// concurrent use.
type Run struct {
	Plan *Plan
	ID   string

	nodes         []node
	unfinished    int // steps that have not ended
	ready         readyHeap
	lastReadySeq  int      // of the newest that became ready
	cancellations []string // jobs that are to be cancelled
	orphans       []string // jobs of earlier generations that are not over
	cancelled     bool     // it was cancelled: nothing more begins
}

// NewRun begins a run of a plan. Its first steps are ready at once.
func NewRun(p *Plan, id string) *Run {
	r := &Run{Plan: p, ID: id, nodes: make([]node, len(p.Steps)), unfinished: len(p.Steps)}
	for i := range r.nodes {
		for range p.Upstream[i] {
			r.nodes[i].upstream.Total++ // each counts for one until it is known how many instances it has
		}
	}
	for _, i := range p.Order {
		r.evaluateStep(i)
	}
	return r
}

// JobID is the id of an instance's job: the same whoever works it out, and another one
// after each clear. The id's form allows 32 digits, which is 106 bits of the hash.
func (r *Run) JobID(at Ref) string {
	h := sha256.New()
	for _, part := range []string{r.Plan.Team, r.Plan.ID, r.ID, r.Plan.Steps[at.Step].ID} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	fmt.Fprintf(h, "%d.%d", at.Index, r.nodes[at.Step].generation)
	n := new(big.Int).SetBytes(h.Sum(nil))
	n.Mod(n, new(big.Int).Exp(big.NewInt(10), big.NewInt(32), nil))
	return fmt.Sprintf("job-%032d", n)
}

// Generation is how often a step was cleared.
func (r *Run) Generation(step int) int { return r.nodes[step].generation }

// Result is what a step left for those that follow; nil: nothing yet.
func (r *Run) Result(step int) json.RawMessage { return r.nodes[step].result }

// SetResult records what a step leaves for those that follow, before its job is done. The
// newest counts.
func (r *Run) SetResult(step int, result json.RawMessage) error {
	n, s := &r.nodes[step], &r.Plan.Steps[step]
	switch {
	case s.Map != nil || s.Kind == KindEmpty:
		return fmt.Errorf("step %s is mapped or empty, and leaves no result", s.ID)
	case n.state.Final() || len(n.instances) == 0 || n.instances[0].State == Scheduled:
		return fmt.Errorf("step %s does not run", s.ID)
	case len(result) > MaxResultBytes:
		return fmt.Errorf("the result of %s has %d bytes; up to %d are allowed", s.ID, len(result), MaxResultBytes)
	case !json.Valid(result):
		return fmt.Errorf("the result of %s is not JSON", s.ID)
	}
	n.result = slices.Clone(result)
	return nil
}

// StepState returns a step's state, and its instances.
func (r *Run) StepState(step int) (State, []Instance) {
	return r.nodes[step].state, r.nodes[step].instances
}

// RunState returns the run's state: it has failed when one of the steps that none
// follows has, and ends when all steps have.
func (r *Run) RunState() RunState {
	if r.unfinished > 0 {
		return RunRunning
	}
	if r.cancelled {
		return RunFailed
	}
	for i := range r.nodes {
		if s := r.nodes[i].state; len(r.Plan.Downstream[i]) == 0 && (s == Failed || s == UpstreamFailed) {
			return RunFailed
		}
	}
	return RunSuccess
}
