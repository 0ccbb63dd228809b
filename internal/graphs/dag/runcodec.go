package dag

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// storedRun is the stored form of a run, in CBOR. States has one byte for each step, in the order of the graph's
// steps. Steps has an entry only for a step that needs more than its state, which most steps do not. The counts
// of upstream states and the queue of ready instances are not stored, because they can be derived.
type storedRun struct {
	_         struct{} `cbor:",toarray"`
	Format    int
	ID        string
	Cancelled bool
	States    []byte       // by step
	Steps     []storedStep // of the steps that States does not fully describe
	Orphans   []string     // job IDs
}

// runFormat is the version of the stored form.
const runFormat = 1

// storedStep is what a step has in addition to its state.
type storedStep struct {
	_          struct{} `cbor:",toarray"`
	Step       int      // index into Plan.Steps
	Generation int
	Result     []byte           // JSON; empty: none
	States     []byte           // by instance
	Details    []storedInstance // of the instances that States does not fully describe
}

// storedInstance is what an instance has in addition to its state.
type storedInstance struct {
	_           struct{} `cbor:",toarray"`
	Index       int
	Failures    int
	RetryAtMS   int64 // Unix time in milliseconds; 0: none
	StartedAtMS int64 // as RetryAtMS
	Cancelling  bool
}

// unixMS returns a Unix time in milliseconds; 0 for the zero time.
func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMS is the inverse of unixMS.
func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// hasDetails reports whether an instance needs a storedInstance in addition to its state.
func (inst *Instance) hasDetails() bool {
	return inst.Failures > 0 || !inst.RetryAt.IsZero() || !inst.StartedAt.IsZero() || inst.Cancelling
}

// Encode returns the run's stored form, which DecodeRun reads.
func (r *Run) Encode() []byte { return r.EncodeWithout(nil) }

// EncodeWithout returns the run's stored form without the results of some steps. These are stored elsewhere, and the
// decoder's caller restores them (RestoreResult) if it needs them.
func (r *Run) EncodeWithout(separate StepSet) []byte {
	stored := storedRun{Format: runFormat, ID: r.ID, Cancelled: r.cancelled, States: r.encodeStates(), Orphans: r.orphans}
	for i := range r.nodes {
		n := r.nodes[i]
		if separate.Has(i) {
			n.result = nil
		}
		if n.generation > 0 || !n.stateSuffices(r.Plan.Steps[i].Map != nil) {
			stored.Steps = append(stored.Steps, n.encodeStep(i))
		}
	}
	return mustMarshal(stored)
}

// encodeStates returns the states of all steps, one byte for each.
func (r *Run) encodeStates() []byte {
	states := make([]byte, len(r.nodes))
	for i := range r.nodes {
		states[i] = byte(r.nodes[i].state)
	}
	return states
}

// stateSuffices reports whether a step can be restored from its state and generation alone. That is so for most steps:
// they have at most one instance, which is in the same state and has no details.
func (n *node) stateSuffices(mapped bool) bool {
	if len(n.result) > 0 {
		return false
	}
	switch len(n.instances) {
	case 0:
		return true
	case 1:
		return n.instances[0].State == n.state && !n.instances[0].hasDetails() && !mapped
	}
	return false
}

// encodeStep returns the storedStep of the step with index i.
func (n *node) encodeStep(i int) storedStep {
	stored := storedStep{Step: i, Generation: n.generation, Result: n.result}
	for k, inst := range n.instances {
		stored.States = append(stored.States, byte(inst.State))
		if inst.hasDetails() {
			stored.Details = append(stored.Details, storedInstance{
				Index: k, Failures: inst.Failures, RetryAtMS: unixMS(inst.RetryAt), StartedAtMS: unixMS(inst.StartedAt), Cancelling: inst.Cancelling,
			})
		}
	}
	return stored
}

// DecodeRun restores a run of a plan from a form that Encode, EncodeWithout or EncodeCompact returns. Each error wraps
// ErrStoredRun.
func DecodeRun(p *Plan, raw []byte) (*Run, error) {
	var fields []cbor.RawMessage
	var format int
	if cbor.Unmarshal(raw, &fields) == nil && len(fields) > 0 && cbor.Unmarshal(fields[0], &format) == nil && format == compactRunFormat {
		return decodeCompactRun(p, raw)
	}
	var stored storedRun
	if err := cbor.Unmarshal(raw, &stored); err != nil {
		return nil, fmt.Errorf("%w of %s is malformed: %w", ErrStoredRun, p.ID, err)
	}
	if stored.Format != runFormat {
		return nil, fmt.Errorf("%w %s of %s does not fit its graph", ErrStoredRun, stored.ID, p.ID)
	}
	return restoreRun(p, &stored)
}

// restoreRun restores a run of a plan from its decoded stored form.
func restoreRun(p *Plan, stored *storedRun) (*Run, error) {
	if len(stored.States) != len(p.Steps) {
		return nil, fmt.Errorf("%w %s of %s does not fit its graph", ErrStoredRun, stored.ID, p.ID)
	}
	r := &Run{Plan: p, ID: stored.ID, nodes: make([]node, len(p.Steps)), cancelled: stored.Cancelled, orphans: stored.Orphans}
	if err := r.decodeStates(stored.States); err != nil {
		return nil, err
	}
	for i := range stored.Steps {
		if err := r.decodeStep(&stored.Steps[i]); err != nil {
			return nil, err
		}
	}
	for i := range r.nodes {
		r.nodes[i].unfinished = r.nodes[i].countUnfinished()
	}
	r.rebuildDerivedState()
	return r, nil
}

// countUnfinished returns the number of instances that have not ended.
func (n *node) countUnfinished() (count int) {
	for k := range n.instances {
		if !n.instances[k].State.Final() {
			count++
		}
	}
	return count
}

// decodeStates sets the state of each step, and adds the instance of each step that is ready or running.
func (r *Run) decodeStates(stored []byte) error {
	for i := range r.nodes {
		n := &r.nodes[i]
		var err error
		if n.state, err = r.decodeState(stored[i]); err != nil {
			return err
		}
		// A step that is ready or running has one instance unless its storedStep says otherwise. The instance
		// of a step that ended with its job is not restored: in the counts of the steps downstream, a step
		// without instances counts once, as a step with one instance does.
		if n.state != None && !n.state.Final() {
			n.instances = []Instance{{State: n.state}}
		}
		if !n.state.Final() {
			r.unfinished++
		}
	}
	return nil
}

// decodeState converts a stored byte to a state. A byte that is not the number of a state is an error.
func (r *Run) decodeState(b byte) (State, error) {
	if int(b) >= stateCount {
		return None, fmt.Errorf("%w %s of %s has an unknown state", ErrStoredRun, r.ID, r.Plan.ID)
	}
	return State(b), nil
}

// decodeStep sets what a step has in addition to its state.
func (r *Run) decodeStep(stored *storedStep) error {
	if stored.Step < 0 || stored.Step >= len(r.nodes) || len(stored.States) > MaxMappedInstances {
		return fmt.Errorf("%w %s of %s names an unknown step", ErrStoredRun, r.ID, r.Plan.ID)
	}
	n := &r.nodes[stored.Step]
	n.generation = stored.Generation
	if len(stored.Result) > 0 {
		n.result = stored.Result
	}
	if len(stored.States) > 0 {
		n.instances = make([]Instance, len(stored.States))
	}
	for k, b := range stored.States {
		var err error
		if n.instances[k].State, err = r.decodeState(b); err != nil {
			return err
		}
	}
	for _, details := range stored.Details {
		if details.Index < 0 || details.Index >= len(n.instances) {
			return fmt.Errorf("%w %s of %s names an unknown instance", ErrStoredRun, r.ID, r.Plan.ID)
		}
		n.instances[details.Index].Failures, n.instances[details.Index].Cancelling = details.Failures, details.Cancelling
		n.instances[details.Index].RetryAt, n.instances[details.Index].StartedAt = fromUnixMS(details.RetryAtMS), fromUnixMS(details.StartedAtMS)
	}
	return nil
}
