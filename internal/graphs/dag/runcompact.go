package dag

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// compactRun is the compact stored form of a run, in CBOR. What storedRun has in entries of single steps is in columns
// here, whose sizes have bounds whatever the states are. Results may be stored elsewhere, and the failures of ended
// instances may be left out. A version that does not know this form refuses to decode it, because the numbers of
// elements differ.
type compactRun struct {
	_              struct{} `cbor:",toarray"`
	Format         int
	ID             string
	Cancelled      bool
	States         []byte            // packed, by step
	Generations    column            // by step
	HasInstances   StepSet           // steps for which InstanceCounts has an entry
	InstanceCounts column            // number of instances, by step with instances
	InstanceStates []byte            // packed, by step with instances and index
	Details        []compactInstance // of the instances that their states do not fully describe
	Results        []compactResult
	Orphans        []string // job IDs
}

// compactInstance is what an instance has in addition to its state.
type compactInstance struct {
	_           struct{} `cbor:",toarray"`
	Step        int      // index into Plan.Steps
	Index       int
	Failures    int
	RetryAtMS   int64 // Unix time in milliseconds; 0: none
	StartedAtMS int64 // as RetryAtMS
	Cancelling  bool
}

// compactResult is the result of a step.
type compactResult struct {
	_      struct{} `cbor:",toarray"`
	Step   int      // index into Plan.Steps
	Result []byte   // JSON
}

// compactRunFormat is the version of the compact stored form.
const compactRunFormat = 2

// CompactOptions says what the compact form of a run leaves out.
type CompactOptions struct {
	// Separate contains the steps whose results are stored elsewhere. The decoder's caller restores them (RestoreResult).
	Separate StepSet
	// DropFailures leaves out how often ended instances failed. Nothing depends on it; it is only displayed.
	DropFailures bool
}

// EncodeCompact returns the run's compact stored form, which DecodeRun also reads.
func (r *Run) EncodeCompact(options CompactOptions) []byte {
	stored := compactRun{
		Format: compactRunFormat, ID: r.ID, Cancelled: r.cancelled, Generations: encodeColumn(r.Generations()), Orphans: r.orphans,
	}
	var states, instanceStates []State
	var counts []int
	for i := range r.nodes {
		n := &r.nodes[i]
		states = append(states, n.state)
		if r.hasInstanceStates(i, options) {
			stored.HasInstances.Add(i)
			counts = append(counts, len(n.instances))
			for k := range n.instances {
				instanceStates = append(instanceStates, n.instances[k].State)
			}
		}
		stored.addStep(i, n, options)
	}
	stored.States, stored.InstanceStates, stored.InstanceCounts = packStates(states), packStates(instanceStates), encodeColumn(counts)
	return mustMarshal(stored)
}

// hasInstanceStates reports whether the states of a step's instances are stored beside the state of the step. The state of
// a step suffices for its only instance if that has not ended, or nothing else of it is stored.
func (r *Run) hasInstanceStates(i int, options CompactOptions) bool {
	n := &r.nodes[i]
	if len(n.instances) != 1 || r.Plan.Steps[i].Map != nil || n.instances[0].State != n.state {
		return len(n.instances) > 0
	}
	return n.state.Final() && n.instances[0].hasDetails() && !options.DropFailures
}

// addStep adds a step's result and the details of its instances.
func (c *compactRun) addStep(i int, n *node, options CompactOptions) {
	if n.result != nil && !options.Separate.Has(i) {
		c.Results = append(c.Results, compactResult{Step: i, Result: n.result})
	}
	for k, inst := range n.instances {
		if inst.hasDetails() && !(inst.State.Final() && options.DropFailures) {
			c.Details = append(c.Details, compactInstance{
				Step: i, Index: k, Failures: inst.Failures, RetryAtMS: unixMS(inst.RetryAt), StartedAtMS: unixMS(inst.StartedAt), Cancelling: inst.Cancelling,
			})
		}
	}
}

// decodeCompactRun restores a run from its compact form.
func decodeCompactRun(p *Plan, raw []byte) (*Run, error) {
	var stored compactRun
	if err := cbor.Unmarshal(raw, &stored); err != nil {
		return nil, fmt.Errorf("%w of %s is malformed: %w", ErrStoredRun, p.ID, err)
	}
	states, statesFit := unpackStates(stored.States, len(p.Steps))
	generations, generationsFit := stored.Generations.decode(len(p.Steps))
	steps, stepsFit := stored.storedSteps(len(p.Steps))
	if !statesFit || !generationsFit || !stepsFit {
		return nil, fmt.Errorf("%w %s of %s does not fit its graph", ErrStoredRun, stored.ID, p.ID)
	}
	for i, generation := range generations {
		steps[i].Generation = generation
	}
	return restoreRun(p, &storedRun{ID: stored.ID, Cancelled: stored.Cancelled, States: states, Steps: steps, Orphans: stored.Orphans})
}

// storedSteps returns the columns as entries of n steps, as storedRun has them, without generations. ok is false if they
// do not fit together.
func (c *compactRun) storedSteps(n int) (steps []storedStep, ok bool) {
	steps = make([]storedStep, n)
	for i := range steps {
		steps[i].Step = i
	}
	if !c.addInstanceStates(steps) {
		return nil, false
	}
	for _, result := range c.Results {
		if result.Step < 0 || result.Step >= n {
			return nil, false
		}
		steps[result.Step].Result = result.Result
	}
	for _, d := range c.Details {
		if d.Step < 0 || d.Step >= n {
			return nil, false
		}
		step := &steps[d.Step]
		step.Details = append(step.Details, storedInstance{Index: d.Index, Failures: d.Failures, RetryAtMS: d.RetryAtMS, StartedAtMS: d.StartedAtMS, Cancelling: d.Cancelling})
	}
	return steps, true
}

// addInstanceStates adds the states of instances to the entries of their steps. It returns false if they do not fit.
func (c *compactRun) addInstanceStates(steps []storedStep) (ok bool) {
	var withInstances []int
	for i := range steps {
		if c.HasInstances.Has(i) {
			withInstances = append(withInstances, i)
		}
	}
	counts, ok := c.InstanceCounts.decode(len(withInstances))
	if !ok {
		return false
	}
	total := 0
	for _, count := range counts {
		if count > MaxMappedInstances {
			return false
		}
		total += count
	}
	states, ok := unpackStates(c.InstanceStates, total)
	if !ok {
		return false
	}
	for k, i := range withInstances {
		steps[i].States, states = states[:counts[k]], states[counts[k]:]
	}
	return true
}

// Generations returns how often each step was cleared, by step.
func (r *Run) Generations() []int { return r.GenerationsAfterClear(nil) }

// GenerationsAfterClear returns the generations that all steps would have after a Clear of the given steps, by step.
func (r *Run) GenerationsAfterClear(steps []int) []int {
	generations := make([]int, len(r.nodes))
	for i := range r.nodes {
		generations[i] = r.nodes[i].generation
	}
	for _, i := range steps {
		generations[i]++
	}
	return generations
}

// ExpectedInstanceCounts returns how many instances each mapped step has once it is ready, as far as that is known now,
// in the order of the steps. It is 0 for a step that is mapped over a result that does not exist yet.
func (r *Run) ExpectedInstanceCounts() (counts []int) {
	for i := range r.nodes {
		if m := r.Plan.Steps[i].Map; m != nil {
			counts = append(counts, r.expectedInstances(i, m))
		}
	}
	return counts
}

// expectedInstances returns how many instances a mapped step has once it is ready.
func (r *Run) expectedInstances(i int, m *Map) int {
	if n := len(r.nodes[i].instances); n > 0 {
		return n
	}
	if m.Over == "" {
		return len(m.List)
	}
	list, _ := decodeList(r.nodes[r.Plan.Index[m.Over]].result)
	return len(list)
}

// MapsOver reports whether a step is mapped over the result of the given step.
func (p *Plan) MapsOver(step int) bool {
	for _, j := range p.Downstream[step] {
		if m := p.Steps[j].Map; m != nil && m.Over == p.Steps[step].ID {
			return true
		}
	}
	return false
}
