package dag

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A run is stored as CBOR: one byte for the state of each step, in the plan's order of
// steps, and entries only for what most steps do not have. What follows from these (how
// the steps before a step ended, what is ready) is worked out anew.
type storedRun struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	ID      string
	Stopped bool
	States  []byte
	Steps   []storedStep // those with more to tell than their state
	Orphans []string
}

const runFormat = 1

type storedStep struct {
	_          struct{} `cbor:",toarray"`
	Step       int
	Generation int
	Result     []byte
	States     []byte // of its instances
	Details    []storedInstance
}

type storedInstance struct {
	_           struct{} `cbor:",toarray"`
	Index       int
	Failures    int
	RetryAtMS   int64 // time of day; 0: none
	StartedAtMS int64
	Cancelling  bool
}

func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// hasDetails reports whether there is more to an instance than its state.
func (inst *Instance) hasDetails() bool {
	return inst.Failures > 0 || !inst.RetryAt.IsZero() || !inst.StartedAt.IsZero() || inst.Cancelling
}

// Encode returns a run's stored form.
func (r *Run) Encode() []byte {
	s := storedRun{Format: runFormat, ID: r.ID, Stopped: r.cancelled, States: make([]byte, len(r.nodes)), Orphans: r.orphans}
	for i := range r.nodes {
		n := &r.nodes[i]
		s.States[i] = byte(n.state)
		// A step with one instance that has nothing to tell has its state. Most are so.
		plain := len(n.instances) == 0 || len(n.instances) == 1 && n.instances[0].State == n.state && !n.instances[0].hasDetails() && r.Plan.Steps[i].Map == nil
		if plain && n.generation == 0 && len(n.result) == 0 {
			continue
		}
		e := storedStep{Step: i, Generation: n.generation, Result: n.result}
		for k, inst := range n.instances {
			e.States = append(e.States, byte(inst.State))
			if inst.hasDetails() {
				e.Details = append(e.Details, storedInstance{Index: k, Failures: inst.Failures, RetryAtMS: unixMS(inst.RetryAt), StartedAtMS: unixMS(inst.StartedAt), Cancelling: inst.Cancelling})
			}
		}
		s.Steps = append(s.Steps, e)
	}
	raw, err := cbor.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("runs are always encodable: %v", err))
	}
	return raw
}

// DecodeRun reads a run of a plan from its stored form.
func DecodeRun(p *Plan, raw []byte) (*Run, error) {
	var s storedRun
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("stored run of %s is malformed: %w", p.ID, err)
	}
	if s.Format != runFormat || len(s.States) != len(p.Steps) {
		return nil, fmt.Errorf("stored run %s of %s does not fit its graph", s.ID, p.ID)
	}
	r := &Run{Plan: p, ID: s.ID, nodes: make([]node, len(p.Steps)), cancelled: s.Stopped, orphans: s.Orphans}
	if err := r.decodeStates(s.States); err != nil {
		return nil, err
	}
	for i := range s.Steps {
		if err := r.decodeStep(&s.Steps[i]); err != nil {
			return nil, err
		}
	}
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if !r.nodes[i].instances[k].State.Final() {
				r.nodes[i].unfinished++
			}
		}
	}
	r.rebuildDerived()
	return r, nil
}

// decodeStates sets the state of each step.
func (r *Run) decodeStates(stored []byte) error {
	for i := range r.nodes {
		n := &r.nodes[i]
		var err error
		if n.state, err = r.decodeState(stored[i]); err != nil {
			return err
		}
		// What is on its way has an instance; so has what a job has ended, which counts
		// the same without it.
		if n.state != None && !n.state.Final() {
			n.instances = []Instance{{State: n.state}}
		}
		if !n.state.Final() {
			r.unfinished++
		}
	}
	return nil
}

func (r *Run) decodeState(b byte) (State, error) {
	if int(b) >= stateCount {
		return None, fmt.Errorf("stored run %s of %s has an unknown state", r.ID, r.Plan.ID)
	}
	return State(b), nil
}

// decodeStep sets what a step has beside its state.
func (r *Run) decodeStep(e *storedStep) error {
	if e.Step < 0 || e.Step >= len(r.nodes) || len(e.States) > MaxMappedInstances {
		return fmt.Errorf("stored run %s of %s names an unknown step", r.ID, r.Plan.ID)
	}
	n := &r.nodes[e.Step]
	n.generation = e.Generation
	if len(e.Result) > 0 {
		n.result = e.Result
	}
	if len(e.States) > 0 {
		n.instances = make([]Instance, len(e.States))
	}
	for k, b := range e.States {
		var err error
		if n.instances[k].State, err = r.decodeState(b); err != nil {
			return err
		}
	}
	for _, x := range e.Details {
		if x.Index < 0 || x.Index >= len(n.instances) {
			return fmt.Errorf("stored run %s of %s names an unknown instance", r.ID, r.Plan.ID)
		}
		n.instances[x.Index].Failures, n.instances[x.Index].Cancelling = x.Failures, x.Cancelling
		n.instances[x.Index].RetryAt, n.instances[x.Index].StartedAt = fromUnixMS(x.RetryAtMS), fromUnixMS(x.StartedAtMS)
	}
	return nil
}
