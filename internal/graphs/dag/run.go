package dag

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/big"
	"time"
)

// Instance is one instance of a step: the only one, or that of one element of what the
// step is mapped over. Its tries are attempts of one job, which the scheduler repeats until
// the job is done or cancelled; the run counts those that failed.
type Instance struct {
	State      State
	Failures   int       // failed attempts of its job since the last clear
	RetryAt    time.Time // until then its job rests; zero: it need not
	StartedAt  time.Time // when its present try began to run; zero: it does not run
	Cancelling bool      // its job is being cancelled: the instance ends as the job does
}

// finish sets the final state of an instance.
func (inst *Instance) finish(s State) {
	inst.State, inst.RetryAt, inst.StartedAt, inst.Cancelling = s, time.Time{}, time.Time{}, false
}

// node is a step in a run.
type node struct {
	generation int // how often the step was cleared
	state      State
	upstream   UpstreamCounts // states of the instances of the steps that it follows
	instances  []Instance     // empty until it is known how many there are
	unfinished int            // instances that have not ended
	result     json.RawMessage
}

// undecided reports whether a step still waits for the steps that it follows.
func (n *node) undecided() bool { return n.state == None && len(n.instances) == 0 }

// outcome returns the final state of a step by those of its instances: any failed one makes
// it failed, otherwise it is the state given.
func (n *node) outcome(otherwise State) State {
	for k := range n.instances {
		if n.instances[k].State == Failed {
			return Failed
		}
	}
	return otherwise
}

// Ref names an instance of a step: both are indexes, the step's into Plan.Steps.
type Ref struct{ Step, Index int }

// Run is one run of a graph: a state machine over the states of its steps. Callers report
// what happened to jobs; the run decides what follows. Submitting and cancelling jobs and
// storing the run (Encode) are left to the caller.
//
// The work for an event is in proportion to the edges that it touches. A Run is not safe
// for concurrent use.
type Run struct {
	Plan *Plan
	ID   string

	nodes         []node // by step
	unfinished    int    // steps that have not ended
	ready         readyHeap
	lastReadySeq  int      // sequence number of the newest entry of ready
	cancellations []string // IDs of jobs to cancel, not taken yet
	orphans       []string // IDs of jobs of earlier generations that are not over
	cancelled     bool     // nothing more is started
}

// NewRun creates a run of a plan. Its first steps are ready at once.
func NewRun(p *Plan, id string) *Run {
	r := &Run{Plan: p, ID: id, nodes: make([]node, len(p.Steps)), unfinished: len(p.Steps)}
	for i := range r.nodes {
		// Each counts for one until it is known how many instances it has.
		r.nodes[i].upstream.Total = len(p.Upstream[i])
	}
	for _, i := range p.Order {
		r.evaluateStep(i)
	}
	return r
}

// JobID returns the ID of an instance's job. It depends on nothing but the names of team,
// graph, run and step, the index and the generation: every leader works out the same, and a
// clear changes it. The form of IDs allows 32 digits, which hold 106 bits of the hash.
func (r *Run) JobID(at Ref) string {
	h := sha256.New()
	for _, part := range []string{r.Plan.Team, r.Plan.ID, r.ID, r.Plan.Steps[at.Step].ID} {
		fmt.Fprintf(h, "%d:%s", len(part), part) // the length keeps different parts from reading the same
	}
	fmt.Fprintf(h, "%d.%d", at.Index, r.nodes[at.Step].generation)
	n := new(big.Int).SetBytes(h.Sum(nil))
	n.Mod(n, new(big.Int).Exp(big.NewInt(10), big.NewInt(32), nil))
	return fmt.Sprintf("job-%032d", n)
}

// Generation returns how often a step was cleared.
func (r *Run) Generation(step int) int { return r.nodes[step].generation }

// StepState returns a step's state and its instances. The instances are the run's own and
// must not be changed.
func (r *Run) StepState(step int) (State, []Instance) {
	return r.nodes[step].state, r.nodes[step].instances
}

// RunState returns the run's state. It ends when all steps have; it has failed if it was
// cancelled, or if a step that none follows has failed.
func (r *Run) RunState() RunState {
	if r.unfinished > 0 {
		return RunRunning
	}
	if r.cancelled {
		return RunFailed
	}
	for i := range r.nodes {
		if len(r.Plan.Downstream[i]) == 0 && r.nodes[i].state.failed() {
			return RunFailed
		}
	}
	return RunSuccess
}

// instance returns an instance; nil if there is none of this name.
func (r *Run) instance(at Ref) *Instance {
	if at.Step < 0 || at.Step >= len(r.nodes) || at.Index < 0 || at.Index >= len(r.nodes[at.Step].instances) {
		return nil
	}
	return &r.nodes[at.Step].instances[at.Index]
}
