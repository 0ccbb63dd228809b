package dag

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/big"
	"time"
)

// Instance is an instance of a step. A mapped step has one instance for each list element, any other step has
// one. All tries of an instance are attempts of the same job, which the scheduler retries until the job is done
// or cancelled. The run counts the failed attempts.
type Instance struct {
	State      State
	Failures   int       // failed attempts of its job since the step was last cleared
	RetryAt    time.Time // its job does not start again before this time; zero: no delay
	StartedAt  time.Time // when its current try began to run; zero: it does not run
	Cancelling bool      // cancellation of its job is requested; the instance ends when the job does
}

// finish sets the final state s and clears the fields that only an unfinished instance uses.
func (inst *Instance) finish(s State) {
	inst.State, inst.RetryAt, inst.StartedAt, inst.Cancelling = s, time.Time{}, time.Time{}, false
}

// node is the state of a step in a run.
type node struct {
	generation int // number of times that the step was cleared
	state      State
	upstream   UpstreamCounts  // counts of the instances of its directly upstream steps
	instances  []Instance      // empty until the step is ready; stays empty if the step ends before that
	unfinished int             // number of instances that have not ended
	result     json.RawMessage // nil: none yet
}

// undecided reports whether the step still waits for upstream steps: it has neither started nor ended.
func (n *node) undecided() bool { return n.state == None && len(n.instances) == 0 }

// outcome returns the final state of a step whose instances have ended: Failed if any of them failed,
// otherwise the given state.
func (n *node) outcome(otherwise State) State {
	for k := range n.instances {
		if n.instances[k].State == Failed {
			return Failed
		}
	}
	return otherwise
}

// InstanceRef identifies an instance of a step. Step is an index into Plan.Steps, Index the number of the instance, from 0.
type InstanceRef struct{ Step, Index int }

// Run is one run of a graph: a state machine over the states of its steps. Callers report what happened to
// jobs, and the run decides which steps start, end or are skipped. Submitting and cancelling jobs and storing
// the run (Encode) are left to the caller.
//
// The cost of an event is proportional to the number of edges that it affects. A Run is not safe for concurrent use.
type Run struct {
	Plan *Plan
	ID   string

	nodes         []node // by step
	unfinished    int    // number of steps that have not ended
	ready         readyHeap
	lastReadySeq  int      // sequence number of the newest entry of ready
	cancellations []string // IDs of jobs to cancel that TakeCancellations has not returned yet
	orphans       []string // IDs of jobs of earlier generations that have not ended
	cancelled     bool     // Cancel was called, and no step was cleared since: no more jobs are started
}

// NewRun creates a run of a plan. Steps without upstream steps are ready at once.
func NewRun(p *Plan, id string) *Run {
	r := &Run{Plan: p, ID: id, nodes: make([]node, len(p.Steps)), unfinished: len(p.Steps)}
	for i := range r.nodes {
		// Each upstream step counts as one instance until the number of its instances is known.
		r.nodes[i].upstream.Total = len(p.Upstream[i])
	}
	for _, i := range p.Order {
		r.evaluateStep(i)
	}
	return r
}

// JobID returns the ID of an instance's job. The ID depends only on the team, the IDs of graph, run and step,
// the instance's index and the step's generation, so every leader computes the same ID, and clearing the step
// changes it. The format of job IDs allows 32 digits, which hold 106 bits of the hash.
func (r *Run) JobID(ref InstanceRef) string {
	h := sha256.New()
	for _, part := range []string{r.Plan.Team, r.Plan.ID, r.ID, r.Plan.Steps[ref.Step].ID} {
		fmt.Fprintf(h, "%d:%s", len(part), part) // the length prefix keeps different parts from giving the same hash input
	}
	fmt.Fprintf(h, "%d.%d", ref.Index, r.nodes[ref.Step].generation)
	n := new(big.Int).SetBytes(h.Sum(nil))
	n.Mod(n, new(big.Int).Exp(big.NewInt(10), big.NewInt(32), nil))
	return fmt.Sprintf("job-%032d", n)
}

// Generation returns the number of times that a step was cleared.
func (r *Run) Generation(step int) int { return r.nodes[step].generation }

// StepState returns a step's state and its instances. The slice belongs to the run and must not be changed.
func (r *Run) StepState(step int) (State, []Instance) {
	return r.nodes[step].state, r.nodes[step].instances
}

// RunState returns the run's state. The run ends when all its steps have ended. It has failed if it was
// cancelled, or if a step with no downstream steps is Failed or UpstreamFailed.
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

// instance returns the instance that ref identifies; nil if there is none.
func (r *Run) instance(ref InstanceRef) *Instance {
	if ref.Step < 0 || ref.Step >= len(r.nodes) || ref.Index < 0 || ref.Index >= len(r.nodes[ref.Step].instances) {
		return nil
	}
	return &r.nodes[ref.Step].instances[ref.Index]
}
