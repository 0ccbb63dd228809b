package runner

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/sim/fakes"
)

// harness is a leader's job store and graphs on a fake state service. The test takes the place of the leader's loop and
// of the workers.
type harness struct {
	t              testing.TB
	clock          *clockwork.FakeClock
	state          *fakes.Store
	store          *statestore.Client
	jobStore       *jobs.Store
	graphs         *Graphs
	cfg            Config
	loadedJobs     map[string]bool // keys of the jobs that the job store has loaded
	completedTasks map[string]int  // number of completed tasks, by job ID
	loopFuncs      chan func()     // functions to run on the loop's goroutine
	endTerm        func()          // ends the term
}

// newHarness creates a world with a leader.
func newHarness(t testing.TB) *harness {
	w := newHarnessWithoutLeader(t, Config{})
	w.changeLeader()
	return w
}

// newHarnessWithoutLeader creates a world without a leader.
func newHarnessWithoutLeader(t testing.TB, cfg Config) *harness {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC))
	state := fakes.NewStore(clock)
	cfg.Clock, cfg.TxnOps, cfg.ValueKB, cfg.Jitter = clock, 12, 16, func() float64 { return 0 }
	return &harness{t: t, clock: clock, state: state, store: statestore.New(state.Addr(), 1e6, 1e6), completedTasks: map[string]int{}, cfg: cfg, endTerm: func() {}}
}

func (w *harness) close() {
	w.endTerm()
	w.state.Close()
}

// commit commits a transaction and returns its revision.
func (w *harness) commit(txn wire.Txn) uint64 {
	w.t.Helper()
	revision, err := w.store.Commit(context.Background(), txn)
	if err != nil {
		w.t.Fatalf("%v: %+v", err, txn.If)
	}
	return revision
}

// list returns the stored records with a key prefix.
func (w *harness) list(prefix string) (out []wire.Item) {
	if _, err := w.store.ListAll(context.Background(), prefix, func(items []wire.Item) error {
		out = append(out, items...)
		return nil
	}); err != nil {
		w.t.Fatal(err)
	}
	return out
}

// changeLeader replaces the leader by a new one, which reads the stored records.
func (w *harness) changeLeader() {
	w.t.Helper()
	w.endTerm()
	ctx, stop := context.WithCancel(context.Background())
	w.endTerm, w.loopFuncs = stop, make(chan func(), 100)
	var err error
	if w.graphs, err = New(w.cfg, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
	w.jobStore, w.loadedJobs = jobs.NewStore(12), map[string]bool{}
	w.loadNewJobs()
	for _, item := range w.list(jobs.PrefixProgress) {
		if _, err := w.jobStore.LoadProgress(item, w.clock.Now()); err != nil {
			w.t.Fatal(err)
		}
	}
	w.jobStore.FinishLoading()
	w.graphs.Loaded(w.jobStore, w.clock.Now())
	reading, asked := true, w.loopFuncs
	take, err := w.graphs.Read(ctx, w.store, func(fn func()) error {
		if reading {
			fn()
			return nil
		}
		asked <- fn
		return nil
	})
	if err != nil {
		w.t.Fatal(err)
	}
	reading = false
	take()
}

// runLoopFunc waits for a function that a goroutine wants to run on the loop's goroutine, and runs it.
func (w *harness) runLoopFunc() {
	w.t.Helper()
	select {
	case fn := <-w.loopFuncs:
		fn()
	case <-time.After(time.Minute):
		w.t.Fatal("no goroutine submitted a function to the loop within a minute")
	}
}

// loadNewJobs loads newly stored jobs into the job store.
func (w *harness) loadNewJobs() {
	for _, item := range w.list(jobs.PrefixJob) {
		if !w.loadedJobs[item.Key] {
			w.loadedJobs[item.Key] = true
			if _, err := w.jobStore.LoadJob(item, w.clock.Now(), w.clock.Now()); err != nil {
				w.t.Fatal(err)
			}
		}
	}
}

// commitNext commits the next transaction of the graphs, if there is one. If answered is false, the leader does not learn
// that it is committed.
func (w *harness) commitNext(answered bool) bool {
	write := w.graphs.NextWrite(w.clock.Now(), 1000)
	if write == nil {
		return false
	}
	if revision := w.commit(write.Txn); answered {
		write.Done(revision)
		w.loadNewJobs()
	}
	return true
}

// commitJobs commits the job store's changes.
func (w *harness) commitJobs() {
	for b := w.jobStore.NextBatch(w.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}); b != nil; b = w.jobStore.NextBatch(w.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}) {
		_, over := w.jobStore.MarkCommitted(b, w.commit(b.Txn))
		for _, o := range over {
			w.graphs.Finished(o, w.clock.Now())
		}
	}
}

// settle commits transactions and runs periodic work until nothing more is due.
func (w *harness) settle() {
	for more := true; more; {
		w.commitJobs()
		w.graphs.Tick(w.clock.Now())
		for w.graphs.describeQueue.inFlight && w.graphs.describeQueue.pause == 0 {
			w.runLoopFunc()
		}
		more = w.commitNext(true) || w.graphs.describeQueue.inFlight && w.graphs.describeQueue.pause == 0
		w.commitJobs()
	}
}

// sourceFunc is a Source that calls a function.
type sourceFunc func([]Description) error

func (f sourceFunc) Describe(_ context.Context, steps []Description) error { return f(steps) }

// acceptAll accepts every description.
func acceptAll([]Description) error { return nil }

// startTask starts the first waiting task of a job, and returns its allocation; nil if no task may start.
func (w *harness) startTask(id string) *jobs.Allocation {
	j := w.jobStore.Jobs[id]
	if j == nil || !j.CanStart() || j.NextWaiting(0) < 0 {
		return nil
	}
	if n, _ := w.graphs.Admit(j, w.clock.Now()); n == 0 {
		return nil
	}
	p := w.jobStore.Allocate(j, j.NextWaiting(0), "n-1", "a", 1, w.clock.Now())
	w.commitJobs()
	p.State = wire.TaskRunning
	w.graphs.Tick(w.clock.Now())
	return p
}

// endAttempt ends a task's attempt, unless it has ended already.
func (w *harness) endAttempt(p *jobs.Allocation, why wire.ExitReason) {
	if p.Removed {
		return
	}
	w.graphs.Ended(machines.Outcome{Allocation: p, Reason: why}, w.clock.Now())
	if why == wire.ExitDone {
		w.completedTasks[p.Job.ID]++
		w.jobStore.MarkDone(p, w.clock.Now())
		return
	}
	w.jobStore.MarkLost(p, w.clock.Now())
}

// completeJobs completes the first task of all jobs that run or may start.
func (w *harness) completeJobs() {
	for _, id := range w.liveJobs() {
		pl := w.startTask(id)
		if j := w.jobStore.Jobs[id]; pl == nil && j != nil {
			pl = j.Tasks[0].Allocation
		}
		if pl != nil {
			w.endAttempt(pl, wire.ExitDone)
		}
	}
	w.settle()
}

// answer is the answer to a command.
type answer struct {
	status int    // 0 if there is no answer yet
	text   string // reason, if the command was refused
}

// send sends a command, whose answer may arrive later.
func (w *harness) send(verb string, o Order) *answer {
	w.t.Helper()
	if o.Team == "" {
		o.Team = "the team"
	}
	if o.Graph == "" {
		o.Graph = "g"
	}
	raw, err := json.Marshal(o)
	if err != nil {
		w.t.Fatal(err)
	}
	a := &answer{}
	if err := w.graphs.Command(leader.Command{URI: PathOrders + verb, Body: raw}, w.clock.Now(), func(got leader.Answer) {
		if a.status != 0 {
			w.t.Errorf("command %s is answered twice", verb)
		}
		a.status = got.Status
		if e, ok := got.Body.(wire.Error); ok {
			a.text = e.Error
		}
	}); err != nil {
		w.t.Fatal("the command is unknown:", err)
	}
	return a
}

// sendAndSettle sends a command that starts no goroutine, settles, and checks the status of the answer. It returns the
// reason if the command was refused.
func (w *harness) sendAndSettle(verb string, o Order, want int) string {
	w.t.Helper()
	a := w.send(verb, o)
	w.settle()
	if a.status != want {
		w.t.Fatalf("command %s %+v: answered with %d %q, want %d", verb, o, a.status, a.text, want)
	}
	return a.text
}

// upload stores a definition, and returns the command that registers it.
func (w *harness) upload(p *dag.Plan) Order {
	w.t.Helper()
	hash, n, err := NewReader(w.store).Store(w.t.Context(), &p.Graph)
	if err != nil {
		w.t.Fatal(err)
	}
	return Order{Team: p.Team, Graph: p.ID, Def: hash, Parts: n}
}

// register uploads and registers a graph.
func (w *harness) register(p *dag.Plan) *answer {
	w.t.Helper()
	a := w.send(DoPut, w.upload(p))
	for w.graphs.fetchingHash != "" {
		w.runLoopFunc()
	}
	w.settle()
	return a
}

// registerAndTrigger registers a graph and triggers a run of it.
func (w *harness) registerAndTrigger(p *dag.Plan, run string) {
	w.t.Helper()
	if a := w.register(p); a.status >= http.StatusBadRequest || a.status == 0 {
		w.t.Fatalf("registering the graph: %+v", a)
	}
	w.sendAndSettle(DoTrigger, Order{Run: run, Described: true}, http.StatusCreated)
}

// liveJobs returns the sorted IDs of the unfinished jobs.
func (w *harness) liveJobs() []string { return slices.Sorted(maps.Keys(w.jobStore.Jobs)) }

// storedRun returns a run from its stored record.
func (w *harness) storedRun(p *dag.Plan, id string) *dag.Run {
	w.t.Helper()
	item, ok := w.state.Value(keyRun(p.Team, p.ID, id))
	if !ok {
		w.t.Fatal("the run is not stored")
	}
	var rec runRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		w.t.Fatal(err)
	}
	r, err := decodeRun(w.graphs.codec, &rec, p)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

// step returns a step with a small job, downstream of the given steps.
func step(id string, up ...string) dag.Step {
	return dag.Step{ID: id, Kind: dag.KindJob, Job: &dag.Job{Class: "c", CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}, Upstream: up}
}

// newPlanWith returns the plan of a graph of these steps, after change, if not nil, has modified the graph.
func newPlanWith(t testing.TB, change func(*dag.Graph), steps ...dag.Step) *dag.Plan {
	t.Helper()
	d := &dag.Graph{ID: "g", Team: "the team", Steps: steps}
	if change != nil {
		change(d)
	}
	p, err := dag.NewPlan(d)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// newPlan returns the plan of a graph of these steps.
func newPlan(t testing.TB, steps ...dag.Step) *dag.Plan {
	t.Helper()
	return newPlanWith(t, nil, steps...)
}
