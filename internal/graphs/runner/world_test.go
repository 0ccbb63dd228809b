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

// world is a leader's job store and graphs on a fake state service. The test takes the place of the leader's loop and
// of the workers.
type world struct {
	t      testing.TB
	clock  *clockwork.FakeClock
	state  *fakes.Store
	store  *statestore.Client
	book   *jobs.Store
	graphs *Graphs
	cfg    Config
	known  map[string]bool // keys of the jobs that the job store has loaded
	ends   map[string]int  // number of completed tasks, by job ID
	asked  chan func()     // functions to run on the loop's goroutine
	stop   func()          // ends the term
}

// newWorld creates a world with a leader.
func newWorld(t testing.TB) *world {
	w := newWorldWith(t, Config{})
	w.lead()
	return w
}

// newWorldWith creates a world without a leader.
func newWorldWith(t testing.TB, cfg Config) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC))
	state := fakes.NewStore(clock)
	cfg.Clock, cfg.TxnOps, cfg.ValueKB, cfg.Jitter = clock, 12, 16, func() float64 { return 0 }
	return &world{t: t, clock: clock, state: state, store: statestore.New(state.Addr(), 1e6, 1e6), ends: map[string]int{}, cfg: cfg, stop: func() {}}
}

func (w *world) close() {
	w.stop()
	w.state.Close()
}

// commit commits a transaction and returns its revision.
func (w *world) commit(txn wire.Txn) uint64 {
	w.t.Helper()
	revision, err := w.store.Commit(context.Background(), txn)
	if err != nil {
		w.t.Fatalf("%v: %+v", err, txn.If)
	}
	return revision
}

// list returns the stored records with a key prefix.
func (w *world) list(prefix string) (out []wire.Item) {
	if _, err := w.store.ListAll(context.Background(), prefix, func(items []wire.Item) error {
		out = append(out, items...)
		return nil
	}); err != nil {
		w.t.Fatal(err)
	}
	return out
}

// lead replaces the leader by a new one, which reads the stored records.
func (w *world) lead() {
	w.t.Helper()
	w.stop()
	ctx, stop := context.WithCancel(context.Background())
	w.stop, w.asked = stop, make(chan func(), 100)
	var err error
	if w.graphs, err = New(w.cfg, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
	w.book, w.known = jobs.NewStore(12), map[string]bool{}
	w.watch()
	for _, item := range w.list(jobs.PrefixProgress) {
		if _, err := w.book.LoadProgress(item, w.clock.Now()); err != nil {
			w.t.Fatal(err)
		}
	}
	w.book.FinishLoading()
	w.graphs.Loaded(w.book, w.clock.Now())
	reading, asked := true, w.asked
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

// answered waits for a function that a goroutine wants to run on the loop's goroutine, and runs it.
func (w *world) answered() {
	w.t.Helper()
	select {
	case fn := <-w.asked:
		fn()
	case <-time.After(time.Minute):
		w.t.Fatal("no goroutine submitted a function to the loop within a minute")
	}
}

// watch loads newly stored jobs into the job store.
func (w *world) watch() {
	for _, item := range w.list(jobs.PrefixJob) {
		if !w.known[item.Key] {
			w.known[item.Key] = true
			if _, err := w.book.LoadJob(item, w.clock.Now(), w.clock.Now()); err != nil {
				w.t.Fatal(err)
			}
		}
	}
}

// next commits the next transaction of the graphs, if there is one. If answered is false, the leader does not learn
// that it is committed.
func (w *world) next(answered bool) bool {
	write := w.graphs.NextWrite(w.clock.Now(), 1000)
	if write == nil {
		return false
	}
	if revision := w.commit(write.Txn); answered {
		write.Done(revision)
		w.watch()
	}
	return true
}

// flush commits the job store's changes.
func (w *world) flush() {
	for b := w.book.NextBatch(w.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}); b != nil; b = w.book.NextBatch(w.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}) {
		_, over := w.book.MarkCommitted(b, w.commit(b.Txn))
		for _, o := range over {
			w.graphs.Finished(o, w.clock.Now())
		}
	}
}

// settle commits transactions and runs periodic work until nothing more is due.
func (w *world) settle() {
	for more := true; more; {
		w.flush()
		w.graphs.Tick(w.clock.Now())
		for w.graphs.source.busy && w.graphs.source.pause == 0 {
			w.answered()
		}
		more = w.next(true) || w.graphs.source.busy && w.graphs.source.pause == 0
		w.flush()
	}
}

// sourceFunc is a Source that calls a function.
type sourceFunc func([]Description) error

func (f sourceFunc) Describe(_ context.Context, steps []Description) error { return f(steps) }

// describes accepts every description.
func describes([]Description) error { return nil }

// place starts the first waiting task of a job, and returns its allocation; nil if no task may start.
func (w *world) place(id string) *jobs.Allocation {
	j := w.book.Jobs[id]
	if j == nil || !j.CanStart() || j.NextWaiting(0) < 0 {
		return nil
	}
	if n, _ := w.graphs.Admit(j, w.clock.Now()); n == 0 {
		return nil
	}
	p := w.book.Allocate(j, j.NextWaiting(0), "n-1", "a", 1, w.clock.Now())
	w.flush()
	p.State = wire.TaskRunning
	w.graphs.Tick(w.clock.Now())
	return p
}

// end ends a task's attempt, unless it has ended already.
func (w *world) end(p *jobs.Allocation, why wire.ExitReason) {
	if p.Removed {
		return
	}
	w.graphs.Ended(machines.Outcome{Allocation: p, Reason: why}, w.clock.Now())
	if why == wire.ExitDone {
		w.ends[p.Job.ID]++
		w.book.MarkDone(p, w.clock.Now())
		return
	}
	w.book.MarkLost(p, w.clock.Now())
}

// finish completes the first task of all jobs that run or may start.
func (w *world) finish() {
	for _, id := range w.live() {
		pl := w.place(id)
		if j := w.book.Jobs[id]; pl == nil && j != nil {
			pl = j.Tasks[0].Allocation
		}
		if pl != nil {
			w.end(pl, wire.ExitDone)
		}
	}
	w.settle()
}

// answers is the answer to a command.
type answers struct {
	status int    // 0 if there is no answer yet
	text   string // reason, if the command was refused
}

// order sends a command, whose answer may arrive later.
func (w *world) order(verb string, o Order) *answers {
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
	a := &answers{}
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

// ordered sends a command that starts no goroutine, settles, and checks the status of the answer. It returns the
// reason if the command was refused.
func (w *world) ordered(verb string, o Order, want int) string {
	w.t.Helper()
	a := w.order(verb, o)
	w.settle()
	if a.status != want {
		w.t.Fatalf("command %s %+v: answered with %d %q, want %d", verb, o, a.status, a.text, want)
	}
	return a.text
}

// upload stores a definition, and returns the command that registers it.
func (w *world) upload(p *dag.Plan) Order {
	w.t.Helper()
	hash, n, err := NewReader(w.store).Store(w.t.Context(), &p.Graph)
	if err != nil {
		w.t.Fatal(err)
	}
	return Order{Team: p.Team, Graph: p.ID, Def: hash, Parts: n}
}

// register uploads and registers a graph.
func (w *world) register(p *dag.Plan) *answers {
	w.t.Helper()
	a := w.order(DoPut, w.upload(p))
	for w.graphs.fetching != "" {
		w.answered()
	}
	w.settle()
	return a
}

// begin registers a graph and triggers a run of it.
func (w *world) begin(p *dag.Plan, run string) {
	w.t.Helper()
	if a := w.register(p); a.status >= http.StatusBadRequest || a.status == 0 {
		w.t.Fatalf("registering the graph: %+v", a)
	}
	w.ordered(DoTrigger, Order{Run: run, Described: true}, http.StatusCreated)
}

// live returns the sorted IDs of the unfinished jobs.
func (w *world) live() []string { return slices.Sorted(maps.Keys(w.book.Jobs)) }

// run returns a run from its stored record.
func (w *world) run(p *dag.Plan, id string) *dag.Run {
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

// graphOf returns the plan of a graph of these steps, after change, if not nil, has modified the graph.
func graphOf(t testing.TB, change func(*dag.Graph), steps ...dag.Step) *dag.Plan {
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

// check returns the plan of a graph of these steps.
func check(t testing.TB, steps ...dag.Step) *dag.Plan {
	t.Helper()
	return graphOf(t, nil, steps...)
}
