package dag

import (
	"container/heap"
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
	State    State
	Failures int       // of its job's attempts, since the last clear
	Hold     time.Time // until then its job rests; zero: it need not
	Begun    time.Time // when its present try began to run; zero: it does not run
	Ending   bool      // its job is being cancelled: how that ends is how the instance ends
}

// node is the state of a step in a run.
type node struct {
	generation int // one more with each clear
	state      State
	before     Ends       // how the instances of the steps before it ended
	instances  []Instance // none until it is known how many there are
	open       int        // instances that have not ended
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

	nodes   []node
	open    int // steps that have not ended
	ready   readyHeap
	seq     int      // of the newest that became ready
	cancels []string // jobs that are to be cancelled
	orphans []string // jobs of earlier generations that are not over
	stopped bool     // it was cancelled: nothing more begins
}

// NewRun begins a run of a plan. Its first steps are ready at once.
func NewRun(p *Plan, id string) *Run {
	r := &Run{Plan: p, ID: id, nodes: make([]node, len(p.Steps)), open: len(p.Steps)}
	for i := range r.nodes {
		for range p.Up[i] {
			r.nodes[i].before.All++ // each counts for one until it is known how many instances it has
		}
	}
	for _, i := range p.Order {
		r.judge(i)
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

// Push records what a step leaves for those that follow, before its job is done. The
// newest counts.
func (r *Run) Push(step int, result json.RawMessage) error {
	n, s := &r.nodes[step], &r.Plan.Steps[step]
	switch {
	case s.Map != nil || s.Kind == KindEmpty:
		return fmt.Errorf("step %s is mapped or empty, and leaves no result", s.ID)
	case n.state.Final() || len(n.instances) == 0 || n.instances[0].State == Scheduled:
		return fmt.Errorf("step %s does not run", s.ID)
	case len(result) > MaxResult:
		return fmt.Errorf("the result of %s has %d bytes; up to %d are allowed", s.ID, len(result), MaxResult)
	case !json.Valid(result):
		return fmt.Errorf("the result of %s is not JSON", s.ID)
	}
	n.result = slices.Clone(result)
	return nil
}

// Waits reports whether an instance is ready and not submitted.
func (r *Run) Waits(at Ref) bool {
	x := r.instance(at)
	return x != nil && x.State == Scheduled && !r.stopped
}

// Holds reports whether an instance waits, and its job has this id: it was neither
// cleared nor cancelled since that was worked out.
func (r *Run) Holds(at Ref, id string) bool { return r.Waits(at) && r.JobID(at) == id }

// Orphans returns the jobs of earlier generations that are not over.
func (r *Run) Orphans() []string { return r.orphans }

// Parted records that a job of an earlier generation is over.
func (r *Run) Parted(id string) {
	r.orphans = slices.DeleteFunc(r.orphans, func(o string) bool { return o == id })
}

// State returns a step's state, and its instances.
func (r *Run) State(step int) (State, []Instance) {
	return r.nodes[step].state, r.nodes[step].instances
}

// RunState returns the run's state: it has failed when one of the steps that none
// follows has, and ends when all steps have.
func (r *Run) RunState() RunState {
	if r.open > 0 {
		return RunRunning
	}
	if r.stopped {
		return RunFailed
	}
	for i := range r.nodes {
		if s := r.nodes[i].state; len(r.Plan.Down[i]) == 0 && (s == Failed || s == UpstreamFailed) {
			return RunFailed
		}
	}
	return RunSuccess
}

// judge looks whether a step that waits may begin or never will.
func (r *Run) judge(i int) {
	n := &r.nodes[i]
	if n.state != None || len(n.instances) > 0 {
		return
	}
	switch verdict := r.Plan.Steps[i].Rule.Judge(n.before); verdict {
	case None:
	case Scheduled:
		r.begin(i)
	default:
		r.end(i, verdict)
	}
}

// begin makes a step's instances ready, if it is known how many there are.
func (r *Run) begin(i int) {
	n, s := &r.nodes[i], &r.Plan.Steps[i]
	if s.Kind == KindEmpty {
		r.end(i, Success)
		return
	}
	count := 1
	if s.Map != nil {
		list, known := r.elements(i)
		if !known {
			// Its rule lets it begin without the list's step having ended well.
			if up := r.nodes[r.Plan.Index[s.Map.Over]].state; up.Final() {
				r.end(i, UpstreamFailed)
			}
			return
		}
		if count = len(list); count == 0 {
			r.end(i, Skipped)
			return
		}
		for _, j := range r.Plan.Down[i] {
			r.nodes[j].before.All += count - 1
		}
	}
	n.state, n.open = Scheduled, count
	n.instances = make([]Instance, count)
	for k := range n.instances {
		n.instances[k].State = Scheduled
		r.enqueue(Ref{i, k})
	}
}

// elements returns what a mapped step is mapped over; known is false while that is open.
func (r *Run) elements(i int) (list []json.RawMessage, known bool) {
	m := r.Plan.Steps[i].Map
	if m.Over == "" {
		return m.List, true
	}
	up := &r.nodes[r.Plan.Index[m.Over]]
	if up.state != Success || up.result == nil {
		return nil, false
	}
	if json.Unmarshal(up.result, &list) != nil || len(list) > MaxMapped {
		return nil, false
	}
	return list, true
}

// Element returns the element that an instance is mapped to; nil for a step that is not
// mapped.
func (r *Run) Element(at Ref) json.RawMessage {
	if r.Plan.Steps[at.Step].Map == nil {
		return nil
	}
	list, known := r.elements(at.Step)
	if !known || at.Index >= len(list) {
		return nil
	}
	return list[at.Index]
}

// end ends a step, and tells those that follow it. Ends come in a queue: a chain of
// 10,000 steps that are passed over must not take as deep a stack.
func (r *Run) end(i int, s State) {
	type ended struct {
		step  int
		state State
	}
	queue := []ended{{i, s}}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		n := &r.nodes[e.step]
		if n.state.Final() {
			continue
		}
		n.state = e.state
		r.open--
		if len(n.instances) == 0 {
			// It counts as one: its instances were never told apart.
			for _, j := range r.Plan.Down[e.step] {
				r.nodes[j].before.add(e.state, 1)
			}
		}
		for _, j := range r.Plan.Down[e.step] {
			f := &r.nodes[j]
			if f.state != None || len(f.instances) > 0 {
				continue
			}
			switch verdict := r.Plan.Steps[j].Rule.Judge(f.before); {
			case verdict == None:
			case verdict == Scheduled && r.Plan.Steps[j].Kind == KindEmpty:
				queue = append(queue, ended{j, Success})
			case verdict == Scheduled:
				r.begin(j)
			default:
				queue = append(queue, ended{j, verdict})
			}
		}
	}
}

// add counts an end of one that is counted in All already.
func (e *Ends) add(s State, n int) {
	e.Add(s, n)
	e.All -= n
}

// Next returns up to n instances that are ready, those of the greatest weight first, then
// in the order in which they became ready. Whoever takes them submits their jobs, and says
// so (Submitted).
func (r *Run) Next(n int) []Ref {
	var out []Ref
	for len(out) < n && r.ready.Len() > 0 {
		at := heap.Pop(&r.ready).(readyRef).Ref
		if r.Waits(at) {
			out = append(out, at)
		}
	}
	return out
}

// Ready is how many instances are ready at most.
func (r *Run) Ready() int { return r.ready.Len() }

// Cancels returns the jobs that are to be cancelled, since it was last asked.
func (r *Run) Cancels() []string {
	out := r.cancels
	r.cancels = nil
	return out
}

func (r *Run) instance(at Ref) *Instance {
	if at.Step < 0 || at.Step >= len(r.nodes) || at.Index < 0 || at.Index >= len(r.nodes[at.Step].instances) {
		return nil
	}
	return &r.nodes[at.Step].instances[at.Index]
}

// Submitted records that an instance's job is accepted.
func (r *Run) Submitted(at Ref) {
	if x := r.instance(at); x != nil && x.State == Scheduled {
		x.State = Queued
		r.follow(at.Step)
	}
}

// Withdrawn records that an instance's job could not be stored.
func (r *Run) Withdrawn(at Ref) {
	if x := r.instance(at); x != nil && x.State == Queued {
		x.State = Scheduled
		r.follow(at.Step)
		r.enqueue(at)
	}
}

// Running records that a task of an instance's job runs.
func (r *Run) Running(at Ref, now time.Time) {
	if x := r.instance(at); x != nil && !x.Ending && (x.State == Queued || x.State == UpForRetry) {
		x.State, x.Begun, x.Hold = Running, now, time.Time{}
		r.follow(at.Step)
	}
}

// Failure records that an attempt of an instance's job failed. Its job rests, or, when
// its tries are used up, is cancelled and the instance has failed.
func (r *Run) Failure(at Ref, now time.Time, jitter float64) {
	x := r.instance(at)
	if x == nil || x.State.Final() || x.State == Scheduled || x.Ending {
		return
	}
	x.Failures++
	x.Begun = time.Time{}
	s := &r.Plan.Steps[at.Step]
	if x.Failures > s.Retries {
		r.fail(at)
		return
	}
	x.State, x.Hold = UpForRetry, now.Add(s.Pause(x.Failures, jitter))
	r.follow(at.Step)
}

// fail has the job of an instance, which the core would try for ever, cancelled. The
// instance ends with its job: one that completes before its cancellation is stored has
// succeeded. Otherwise a step could be called failed whose job is done.
func (r *Run) fail(at Ref) {
	x := r.instance(at)
	x.Ending, x.Hold, x.Begun = true, time.Time{}, time.Time{}
	r.cancels = append(r.cancels, r.JobID(at))
}

// Ending returns the jobs that are being cancelled, for a new leader.
func (r *Run) Ending() (jobs []string) {
	jobs = slices.Clone(r.orphans)
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if x := &r.nodes[i].instances[k]; x.Ending && !x.State.Final() {
				jobs = append(jobs, r.JobID(Ref{i, k}))
			}
		}
	}
	return jobs
}

// Late fails an instance whose present try has run for longer than it may, and reports
// whether that is so.
func (r *Run) Late(at Ref, now time.Time) bool {
	x, limit := r.instance(at), time.Duration(r.Plan.Steps[at.Step].Timeout)
	if x == nil || limit == 0 || x.State != Running || x.Ending || now.Before(x.Begun.Add(limit)) {
		return false
	}
	r.fail(at)
	return true
}

// Done records that an instance's job is done. An error says that what it left (Push) is
// not what the step's kind asks for; the instance has failed then.
func (r *Run) Done(at Ref) error {
	x := r.instance(at)
	if x == nil || x.State.Final() {
		return nil
	}
	if r.Plan.Steps[at.Step].Kind == KindBranch {
		if err := r.branch(at.Step, r.nodes[at.Step].result); err != nil {
			r.over(at, Failed)
			return err
		}
	}
	r.over(at, Success)
	return nil
}

// branch passes over the direct followers that a branch did not pick, but for those
// that follow one that it picked.
func (r *Run) branch(i int, result json.RawMessage) error {
	var picked []string
	if json.Unmarshal(result, &picked) != nil {
		var one string
		if json.Unmarshal(result, &one) != nil {
			return fmt.Errorf("the result of %s names no steps", r.Plan.Steps[i].ID)
		}
		picked = []string{one}
	}
	keep := map[int]bool{}
	var queue []int
	for _, name := range picked {
		j, ok := r.Plan.Index[name]
		if !ok || !slices.Contains(r.Plan.Down[i], j) {
			return fmt.Errorf("the result of %s names %q, which does not follow it", r.Plan.Steps[i].ID, name)
		}
		keep[j] = true
		queue = append(queue, j)
	}
	for len(queue) > 0 {
		j := queue[0]
		queue = queue[1:]
		for _, k := range r.Plan.Down[j] {
			if !keep[k] {
				keep[k] = true
				queue = append(queue, k)
			}
		}
	}
	for _, j := range r.Plan.Down[i] {
		if !keep[j] && r.nodes[j].state == None && len(r.nodes[j].instances) == 0 {
			r.end(j, Skipped)
		}
	}
	return nil
}

// Gone records that an instance's job was cancelled by somebody: it has failed.
func (r *Run) Gone(at Ref) { r.over(at, Failed) }

// over ends an instance, and the step with its last one.
func (r *Run) over(at Ref, s State) {
	x := r.instance(at)
	if x == nil || x.State.Final() {
		return
	}
	x.State, x.Hold, x.Begun, x.Ending = s, time.Time{}, time.Time{}, false
	n := &r.nodes[at.Step]
	n.open--
	for _, j := range r.Plan.Down[at.Step] {
		r.nodes[j].before.add(s, 1)
	}
	if n.open > 0 {
		// Those that wait for one end only need not wait for all.
		for _, j := range r.Plan.Down[at.Step] {
			r.judge(j)
		}
		r.follow(at.Step)
		return
	}
	worst := Success
	for k := range n.instances {
		if n.instances[k].State == Failed {
			worst = Failed
		}
	}
	r.end(at.Step, worst)
}

// follow sets a step's state by those of its instances: the one that is furthest on.
func (r *Run) follow(i int) {
	n := &r.nodes[i]
	if n.state.Final() {
		return
	}
	n.state = Scheduled
	for k := range n.instances {
		if s := n.instances[k].State; !s.Final() && s > n.state {
			n.state = s
		}
	}
}

// Cancel ends a run: nothing more begins, and the jobs that are not over are cancelled;
// the run ends with the last of them.
func (r *Run) Cancel() {
	if r.open == 0 {
		return
	}
	r.stopped = true
	for i := range r.nodes {
		n := &r.nodes[i]
		if n.state.Final() {
			continue
		}
		for k := range n.instances {
			switch x := &n.instances[k]; {
			case x.State.Final() || x.Ending:
			case x.State == Scheduled:
				x.State = Skipped
				n.open--
			default:
				r.fail(Ref{i, k})
			}
		}
		if n.open == 0 {
			n.state = Skipped
			for k := range n.instances {
				if n.instances[k].State == Failed {
					n.state = Failed
				}
			}
			r.open--
		}
	}
	r.recount()
}

// Chosen returns the steps that a clear would have run again: those named, or all if none is,
// of these only what has failed if that is wanted, and with below all that follow them. They
// come in the plan's order.
func (r *Run) Chosen(names []string, below, onlyFailed bool) ([]int, error) {
	var queue []int
	for _, name := range names {
		i, ok := r.Plan.Index[name]
		if !ok {
			return nil, fmt.Errorf("there is no step %q", name)
		}
		queue = append(queue, i)
	}
	if len(names) == 0 {
		queue = slices.Clone(r.Plan.Order)
	}
	if onlyFailed {
		queue = slices.DeleteFunc(queue, func(i int) bool {
			s := r.nodes[i].state
			return s != Failed && s != UpstreamFailed
		})
	}
	chosen := map[int]bool{}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if chosen[i] {
			continue
		}
		chosen[i] = true
		if below {
			queue = append(queue, r.Plan.Down[i]...)
		}
	}
	var out []int
	for _, i := range r.Plan.Order {
		if chosen[i] {
			out = append(out, i)
		}
	}
	return out, nil
}

// Clear has steps run again: each gets a new generation, so its jobs have new ids. Jobs of
// theirs that are not over are cancelled.
func (r *Run) Clear(steps []int) {
	chosen := map[int]bool{}
	for _, i := range steps {
		chosen[i] = true
		n := &r.nodes[i]
		for k := range n.instances {
			if s := n.instances[k].State; !s.Final() && s != Scheduled {
				id := r.JobID(Ref{i, k})
				r.cancels, r.orphans = append(r.cancels, id), append(r.orphans, id)
			}
		}
	}
	r.reset(chosen)
}

// reset begins steps anew.
func (r *Run) reset(chosen map[int]bool) {
	for i := range chosen {
		n := &r.nodes[i]
		if n.state.Final() {
			r.open++
		}
		r.nodes[i] = node{generation: n.generation + 1}
	}
	r.stopped = false
	r.recount()
	for _, i := range r.Plan.Order {
		if chosen[i] {
			r.judge(i)
		}
	}
}

// recount works out anew how the steps before each step ended, and what is ready.
func (r *Run) recount() {
	for i := range r.nodes {
		r.nodes[i].before = r.endsBefore(i)
	}
	r.ready = nil
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if r.nodes[i].instances[k].State == Scheduled {
				r.enqueue(Ref{i, k})
			}
		}
	}
}

// endsBefore counts how the steps before a step ended.
func (r *Run) endsBefore(i int) (e Ends) {
	for _, j := range r.Plan.Up[i] {
		n := &r.nodes[j]
		if len(n.instances) == 0 {
			e.Add(n.state, 1)
			continue
		}
		for k := range n.instances {
			e.Add(n.instances[k].State, 1)
		}
	}
	return e
}

// readyHeap orders ready instances by weight, then by when they became ready.
type readyHeap []readyRef

type readyRef struct {
	Ref
	weight, seq int
}

func (r *Run) enqueue(at Ref) {
	w := max(1, r.Plan.Steps[at.Step].Weight)
	r.seq++
	heap.Push(&r.ready, readyRef{at, w, r.seq})
}

func (h readyHeap) Len() int { return len(h) }
func (h readyHeap) Less(i, j int) bool {
	if h[i].weight != h[j].weight {
		return h[i].weight > h[j].weight
	}
	return h[i].seq < h[j].seq
}
func (h readyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) { *h = append(*h, x.(readyRef)) }

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
