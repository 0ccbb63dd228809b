package graphs

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"poppypass/internal/dag"
	"poppypass/internal/jobs"
	"poppypass/internal/roster"
	"poppypass/internal/standin"
	"poppypass/internal/statestore"
	"poppypass/internal/wire"
)

func TestMain(m *testing.M) { os.Exit(standin.FixedSeed(m)) }

// world is a leader's book and graphs over a stand-in of the state service, and workers
// that the test drives.
type world struct {
	t      testing.TB
	clock  *clockwork.FakeClock
	state  *standin.State
	store  *statestore.Client
	book   *jobs.Book
	graphs *Graphs
	known  map[string]bool // jobs that the book took in
	ends   map[string]int  // tasks that completed, by job: it must be once
}

func newWorld(t testing.TB) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC))
	state := standin.NewState(clock)
	w := &world{t: t, clock: clock, state: state, store: statestore.New(state.Addr(), 1e6, 1e6), ends: map[string]int{}}
	w.lead()
	return w
}

func (w *world) commit(txn wire.Txn) uint64 {
	w.t.Helper()
	revision, err := w.store.Commit(context.Background(), txn)
	if err != nil {
		w.t.Fatalf("%v: %+v", err, txn.If)
	}
	return revision
}

func (w *world) list(prefix string) (out []wire.Item) {
	if _, err := w.store.ListAll(context.Background(), prefix, func(items []wire.Item) error {
		out = append(out, items...)
		return nil
	}); err != nil {
		w.t.Fatal(err)
	}
	return out
}

// lead begins with a new leader.
func (w *world) lead() {
	w.t.Helper()
	var err error
	if w.graphs, err = New(Config{Clock: w.clock, TxnOps: 12, ValueKB: 16, Jitter: func() float64 { return 0 }}, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
	w.book, w.known = jobs.NewBook(12), map[string]bool{}
	w.watch()
	for _, item := range w.list(jobs.PrefixRun) {
		if _, err := w.book.LoadRun(item, w.clock.Now()); err != nil {
			w.t.Fatal(err)
		}
	}
	w.book.Loaded()
	w.graphs.Loaded(w.book, w.clock.Now())
	take, err := w.graphs.Read(context.Background(), w.store, func(fn func()) error { fn(); return nil })
	if err != nil {
		w.t.Fatal(err)
	}
	take()
}

// watch has the book take in jobs that were stored.
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

// next does one of the graphs' transactions.
func (w *world) next(answered bool) bool {
	write := w.graphs.Next(w.clock.Now(), 1000)
	if write == nil {
		return false
	}
	if revision := w.commit(write.Txn); answered {
		write.Done(revision)
		w.watch()
	}
	return true
}

// flush stores the book's changes.
func (w *world) flush() {
	for b := w.book.Take(w.clock.Now().Add(time.Hour), 1000); b != nil; b = w.book.Take(w.clock.Now().Add(time.Hour), 1000) {
		_, over := w.book.Written(b, w.commit(b.Txn))
		for _, o := range over {
			w.graphs.Over(o, w.clock.Now())
		}
	}
}

// settle does all that is due.
func (w *world) settle() {
	for more := true; more; {
		w.flush()
		w.graphs.Tick(w.clock.Now())
		more = w.next(true)
		w.flush()
	}
}

// place has the first waiting task of a job run.
func (w *world) place(id string) *jobs.Place {
	j := w.book.Jobs[id]
	if j == nil || !j.Open() || j.NextWaiting(0) < 0 {
		return nil
	}
	if n, _ := w.graphs.Admit(j, w.clock.Now()); n == 0 {
		return nil
	}
	p := w.book.Place(j, j.NextWaiting(0), "n-1", "a", 1, w.clock.Now())
	w.flush()
	p.State = wire.TaskRunning
	w.graphs.Tick(w.clock.Now())
	return p
}

// end ends a task's attempt.
func (w *world) end(p *jobs.Place, why wire.Why) {
	if p.Removed {
		return
	}
	w.graphs.Ended(roster.Outcome{Place: p, Why: why}, w.clock.Now())
	if why == wire.WhyDone {
		w.ends[p.Job.ID]++
		w.book.Finished(p, w.clock.Now())
		return
	}
	w.book.Gone(p, w.clock.Now())
}

func (w *world) begin(p *dag.Plan, run string) {
	w.t.Helper()
	told := fmt.Errorf("not told")
	w.graphs.Begin(p, run, w.clock.Now(), func(err error) { told = err })
	w.settle()
	if told != nil {
		w.t.Fatal(told)
	}
}

// live names the jobs that wait or run.
func (w *world) live() []string { return slices.Sorted(maps.Keys(w.book.Jobs)) }

// run gives a run as it is stored.
func (w *world) run(p *dag.Plan, id string) *dag.Run {
	w.t.Helper()
	plans, err := assemble(w.graphs.codec, w.list(PrefixDef))
	if err != nil {
		w.t.Fatal(err)
	}
	item, ok := w.state.Value(keyRun(p.Team, p.ID, id))
	if !ok {
		w.t.Fatal("the run is not stored")
	}
	r, _, err := decodeRun(w.graphs.codec, item, plans)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

func step(id string, up ...string) dag.Step {
	return dag.Step{ID: id, Kind: dag.KindJob, Job: &dag.Job{Class: "c", CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}, Upstream: up}
}

func check(t testing.TB, steps ...dag.Step) *dag.Plan {
	t.Helper()
	p, err := dag.Check(&dag.Graph{ID: "g", Team: "the team", Steps: steps})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestAGraphFromItsBeginToItsEnd(t *testing.T) {
	w := newWorld(t)
	defer w.state.Close()
	flaky := step("flaky", "first")
	flaky.Retries, flaky.Delay = 1, dag.Duration(time.Minute)
	p := check(t, step("first"), flaky, step("last", "flaky"))
	w.begin(p, "one")
	if len(w.live()) != 1 {
		t.Fatalf("submitted are %v", w.live())
	}
	w.end(w.place(w.live()[0]), wire.WhyDone)
	w.settle()
	id := w.live()[0]
	w.end(w.place(id), wire.WhyError)
	w.settle()
	// It rests before its next try, while the last step waits; a new leader knows that.
	w.lead()
	if w.place(id) != nil || len(w.live()) != 1 {
		t.Fatalf("does not rest: %v", w.live())
	}
	w.clock.Advance(time.Minute)
	w.end(w.place(id), wire.WhyDone)
	w.settle()
	w.end(w.place(w.live()[0]), wire.WhyDone)
	w.settle()
	if r := w.run(p, "one"); r.RunState() != dag.RunSuccess || len(w.live()) != 0 || len(w.graphs.runs) != 0 {
		t.Errorf("the run is %v, %d runs are live", r.RunState(), len(w.graphs.runs))
	}
	var told error
	w.graphs.Begin(p, "one", w.clock.Now(), func(err error) { told = err })
	write := w.graphs.Next(w.clock.Now(), 1000)
	if _, err := w.store.Commit(t.Context(), write.Txn); err == nil {
		t.Error("the run is stored twice")
	}
	if write.Conflict(); told != ErrExists {
		t.Errorf("told %v", told)
	}
}

// Its tries are used up: the core would go on, so the graph cancels the job.
func TestAStepThatFailsForGood(t *testing.T) {
	w := newWorld(t)
	defer w.state.Close()
	late := step("late")
	late.Timeout = dag.Duration(time.Minute)
	p := check(t, step("bad"), late, step("never", "bad"))
	w.begin(p, "one")
	ids := w.live()
	for _, id := range ids {
		if pl := w.place(id); id == w.graphs.runs[keyRun("the team", "g", "one")].run.JobID(dag.Ref{}) {
			w.end(pl, wire.WhyError)
		}
	}
	w.settle()
	w.clock.Advance(time.Minute)
	w.settle()
	for _, id := range w.live() {
		for i := range w.book.Jobs[id].Tasks {
			if pl := w.book.Jobs[id].Tasks[i].Place; pl != nil {
				w.end(pl, wire.WhyStopped)
			}
		}
	}
	w.settle()
	if r := w.run(p, "one"); r.RunState() != dag.RunFailed {
		t.Errorf("the run is %v", r.RunState())
	}
	for _, id := range ids {
		if item, ok := w.state.Value(jobs.KeyEnd(id)); !ok || !strings.Contains(string(item.Value), string(wire.StateCancelled)) {
			t.Errorf("%s is not cancelled: %s", id, item.Value)
		}
	}
}

// The largest graph is stored in parts and submitted a few steps at a time.
func TestTheLargestGraphIsStored(t *testing.T) {
	w := newWorld(t)
	defer w.state.Close()
	var steps []dag.Step
	for i := range dag.MaxSteps {
		s := step(fmt.Sprintf("a-step-with-a-name-%d", i*7919%dag.MaxSteps))
		s.Job.EstimateS = float64(i * 31 % 977)
		steps = append(steps, s)
	}
	p := check(t, steps...)
	w.begin(p, "one")
	if n := len(w.live()); n != 16 {
		t.Errorf("%d steps are submitted at once", n)
	}
	if n := len(w.list(PrefixDef)); n < 2 {
		t.Errorf("it is stored in %d parts", n)
	}
	w.lead()
	if len(w.graphs.byJob) != 16 {
		t.Errorf("a new leader knows %d steps", len(w.graphs.byJob))
	}
}

// The property: with leaders that die at any write, answered or not, every step of every
// run comes to one end, and no task of a step completes twice.
func TestEveryStepEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t)
		defer w.state.Close()
		n := rapid.IntRange(1, 6).Draw(rt, "steps")
		var steps []dag.Step
		for i := range n {
			s := step(fmt.Sprint("s", i))
			s.Retries, s.Delay = rapid.IntRange(0, 1).Draw(rt, "retries"), dag.Duration(time.Second)
			s.Rule = dag.Rule(rapid.SampledFrom(dag.Rules()).Draw(rt, "rule"))
			for j := range i {
				if rapid.Bool().Draw(rt, "edge") {
					s.Upstream = append(s.Upstream, fmt.Sprint("s", j))
				}
			}
			steps = append(steps, s)
		}
		p := check(t, steps...)
		w.begin(p, "one")
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				w.lead()
			case 1:
				if w.next(false) {
					w.lead()
				}
			case 2:
				w.next(true)
			case 3:
				// The book's write is applied, and its leader never knows.
				if b := w.book.Take(w.clock.Now().Add(time.Hour), 1000); b != nil {
					w.commit(b.Txn)
					w.lead()
				}
			case 4:
				w.clock.Advance(time.Second)
				w.graphs.Tick(w.clock.Now())
			default:
				for _, id := range w.live() {
					pl := w.place(id)
					if pl == nil {
						if j := w.book.Jobs[id]; j != nil && j.Tasks[0].Place != nil {
							pl = j.Tasks[0].Place
						}
					}
					if pl != nil {
						w.end(pl, rapid.SampledFrom([]wire.Why{wire.WhyDone, wire.WhyError, wire.WhyStopped}).Draw(rt, "why"))
						break
					}
				}
			}
		}
		for range 20 * n { // to the end
			w.clock.Advance(2 * time.Second)
			w.settle()
			for _, id := range w.live() {
				pl := w.place(id)
				if pl == nil && w.book.Jobs[id] != nil {
					pl = w.book.Jobs[id].Tasks[0].Place
				}
				if pl != nil {
					w.end(pl, wire.WhyDone)
				}
			}
		}
		w.settle()
		r := w.run(p, "one")
		if r.RunState() == dag.RunRunning || len(w.live()) != 0 || len(w.graphs.byJob) != 0 {
			rt.Fatalf("the run is %v; live are %v and %d steps", r.RunState(), w.live(), len(w.graphs.byJob))
		}
		for i := range p.Steps {
			id := r.JobID(dag.Ref{Step: i})
			item, ended := w.state.Value(jobs.KeyEnd(id))
			state, _ := r.State(i)
			switch {
			case state == dag.Success && (!ended || !strings.Contains(string(item.Value), string(wire.StateDone))),
				state == dag.Failed && (!ended || !strings.Contains(string(item.Value), string(wire.StateCancelled))),
				(state == dag.Skipped || state == dag.UpstreamFailed) && ended:
				rt.Fatalf("step %d is %v, its job %q", i, state, item.Value)
			}
		}
	})
}
