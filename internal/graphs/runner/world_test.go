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

// harness is a leader's job store and graphs on a fake state service. The test acts as the leader's loop and as the
// workers.
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

// newHarness creates a harness with a leader.
func newHarness(t testing.TB) *harness {
	h := newHarnessWithoutLeader(t, Config{})
	h.changeLeader()
	return h
}

// newHarnessWithoutLeader creates a harness without a leader.
func newHarnessWithoutLeader(t testing.TB, cfg Config) *harness {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC))
	state := fakes.NewStore(clock)
	cfg.Clock, cfg.MaxTxnChanges, cfg.MaxValueKiB, cfg.Jitter = clock, 12, 16, func() float64 { return 0 }
	return &harness{t: t, clock: clock, state: state, store: statestore.New(state.Addr(), 1e6, 1e6), completedTasks: map[string]int{}, cfg: cfg, endTerm: func() {}}
}

func (h *harness) close() {
	h.endTerm()
	h.state.Close()
}

// commit commits a transaction and returns its revision.
func (h *harness) commit(txn wire.Txn) uint64 {
	h.t.Helper()
	revision, err := h.store.Commit(context.Background(), txn)
	if err != nil {
		h.t.Fatalf("%v: %+v", err, txn.If)
	}
	return revision
}

// list returns the stored records with a key prefix.
func (h *harness) list(prefix string) (out []wire.Item) {
	if _, err := h.store.ListAll(context.Background(), prefix, func(items []wire.Item) error {
		out = append(out, items...)
		return nil
	}); err != nil {
		h.t.Fatal(err)
	}
	return out
}

// changeLeader replaces the leader by a new one, which reads the stored records.
func (h *harness) changeLeader() {
	h.t.Helper()
	h.endTerm()
	ctx, cancel := context.WithCancel(context.Background())
	h.endTerm, h.loopFuncs = cancel, make(chan func(), 100)
	var err error
	if h.graphs, err = New(h.cfg, slog.New(slog.DiscardHandler)); err != nil {
		h.t.Fatal(err)
	}
	h.jobStore, h.loadedJobs = jobs.NewStore(12), map[string]bool{}
	h.loadNewJobs()
	for _, item := range h.list(jobs.PrefixProgress) {
		if _, err := h.jobStore.LoadProgress(item, h.clock.Now()); err != nil {
			h.t.Fatal(err)
		}
	}
	h.jobStore.FinishLoading()
	h.graphs.Loaded(h.jobStore, h.clock.Now())
	loading, loopFuncs := true, h.loopFuncs
	apply, err := h.graphs.Read(ctx, h.store, func(fn func()) error {
		if loading {
			fn()
			return nil
		}
		loopFuncs <- fn
		return nil
	})
	if err != nil {
		h.t.Fatal(err)
	}
	loading = false
	apply()
}

// runLoopFunc waits for a function that a goroutine wants to run on the loop's goroutine, and runs it.
func (h *harness) runLoopFunc() {
	h.t.Helper()
	select {
	case fn := <-h.loopFuncs:
		fn()
	case <-time.After(time.Minute):
		h.t.Fatal("no goroutine submitted a function to the loop within a minute")
	}
}

// loadNewJobs loads newly stored jobs into the job store.
func (h *harness) loadNewJobs() {
	for _, item := range h.list(jobs.PrefixJob) {
		if !h.loadedJobs[item.Key] {
			h.loadedJobs[item.Key] = true
			if _, err := h.jobStore.LoadJob(item, h.clock.Now(), h.clock.Now()); err != nil {
				h.t.Fatal(err)
			}
		}
	}
}

// commitNext commits the next transaction of the graphs, and reports whether there is one. If answered is false, the
// leader does not learn that it is committed.
func (h *harness) commitNext(answered bool) bool {
	write := h.graphs.NextWrite(h.clock.Now(), 1000)
	if write == nil {
		return false
	}
	if revision := h.commit(write.Txn); answered {
		write.Done(revision)
		h.loadNewJobs()
	}
	return true
}

// commitJobs commits the job store's changes.
func (h *harness) commitJobs() {
	for b := h.jobStore.NextBatch(h.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}); b != nil; b = h.jobStore.NextBatch(h.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}) {
		_, finished := h.jobStore.MarkCommitted(b, h.commit(b.Txn))
		for _, o := range finished {
			h.graphs.Finished(o, h.clock.Now())
		}
	}
}

// settle commits transactions and runs periodic work until nothing more is due.
func (h *harness) settle() {
	for more := true; more; {
		h.commitJobs()
		h.graphs.Tick(h.clock.Now())
		for h.graphs.describeQueue.inFlight && h.graphs.describeQueue.pause == 0 {
			h.runLoopFunc()
		}
		more = h.commitNext(true) || h.graphs.describeQueue.inFlight && h.graphs.describeQueue.pause == 0
		h.commitJobs()
	}
}

// sourceFunc is a DescriptionSource that calls a function.
type sourceFunc func([]Description) error

func (f sourceFunc) Describe(_ context.Context, steps []Description) error { return f(steps) }

// acceptAll accepts every description.
func acceptAll([]Description) error { return nil }

// startTask starts the first waiting task of a job, and returns its allocation; nil if no task may start.
func (h *harness) startTask(id string) *jobs.Allocation {
	j := h.jobStore.Jobs[id]
	if j == nil || !j.CanStart() || j.NextWaiting(0) < 0 {
		return nil
	}
	if n, _ := h.graphs.Admit(j, h.clock.Now()); n == 0 {
		return nil
	}
	alloc := h.jobStore.Allocate(j, j.NextWaiting(0), "n-1", "a", 1, h.clock.Now())
	h.commitJobs()
	alloc.State = wire.TaskRunning
	h.graphs.Tick(h.clock.Now())
	return alloc
}

// endAttempt ends a task's attempt, unless it has ended already.
func (h *harness) endAttempt(alloc *jobs.Allocation, reason wire.ExitReason) {
	if alloc.Removed {
		return
	}
	h.graphs.Ended(machines.Outcome{Allocation: alloc, Reason: reason}, h.clock.Now())
	if reason == wire.ExitDone {
		h.completedTasks[alloc.Job.ID]++
		h.jobStore.MarkDone(alloc, h.clock.Now())
		return
	}
	h.jobStore.MarkLost(alloc, h.clock.Now())
}

// completeJobs completes the first task of all jobs that run or may start.
func (h *harness) completeJobs() {
	for _, id := range h.liveJobs() {
		alloc := h.startTask(id)
		if j := h.jobStore.Jobs[id]; alloc == nil && j != nil {
			alloc = j.Tasks[0].Allocation
		}
		if alloc != nil {
			h.endAttempt(alloc, wire.ExitDone)
		}
	}
	h.settle()
}

// answer is the answer to a command.
type answer struct {
	status int    // 0 if there is no answer yet
	text   string // reason, if the command was refused
}

// send sends a command, whose answer may arrive later.
func (h *harness) send(verb string, cmd Command) *answer {
	h.t.Helper()
	if cmd.Team == "" {
		cmd.Team = "the team"
	}
	if cmd.Graph == "" {
		cmd.Graph = "g"
	}
	raw, err := json.Marshal(cmd)
	if err != nil {
		h.t.Fatal(err)
	}
	a := &answer{}
	if err := h.graphs.Command(leader.Command{URI: PathCommands + verb, Body: raw}, h.clock.Now(), func(reply leader.Answer) {
		if a.status != 0 {
			h.t.Errorf("command %s is answered twice", verb)
		}
		a.status = reply.Status
		if e, ok := reply.Body.(wire.Error); ok {
			a.text = e.Error
		}
	}); err != nil {
		h.t.Fatal("the command is unknown:", err)
	}
	return a
}

// sendAndSettle sends a command that starts no goroutine, settles, and checks the status of the answer. It returns the
// reason if the command was refused.
func (h *harness) sendAndSettle(verb string, cmd Command, want int) string {
	h.t.Helper()
	a := h.send(verb, cmd)
	h.settle()
	if a.status != want {
		h.t.Fatalf("command %s of run %q, step %q: answered with %d %q, want %d", verb, cmd.Run, cmd.Step, a.status, a.text, want)
	}
	return a.text
}

// upload stores a definition, and returns the command that registers it.
func (h *harness) upload(plan *dag.Plan) Command {
	h.t.Helper()
	hash, n, err := NewReader(h.store).StoreDefinition(h.t.Context(), &plan.Graph)
	if err != nil {
		h.t.Fatal(err)
	}
	return Command{Team: plan.Team, Graph: plan.ID, Def: hash, Parts: n}
}

// register uploads and registers a graph.
func (h *harness) register(p *dag.Plan) *answer {
	h.t.Helper()
	a := h.send(CommandRegister, h.upload(p))
	for h.graphs.fetchingHash != "" {
		h.runLoopFunc()
	}
	h.settle()
	return a
}

// registerAndTrigger registers a graph and triggers a run of it.
func (h *harness) registerAndTrigger(p *dag.Plan, run string) {
	h.t.Helper()
	if a := h.register(p); a.status >= http.StatusBadRequest || a.status == 0 {
		h.t.Fatalf("registering the graph: %+v", a)
	}
	h.sendAndSettle(CommandTrigger, Command{Run: run, Described: true}, http.StatusCreated)
}

// liveJobs returns the sorted IDs of the unfinished jobs.
func (h *harness) liveJobs() []string { return slices.Sorted(maps.Keys(h.jobStore.Jobs)) }

// storedRun returns a run from its stored record.
func (h *harness) storedRun(plan *dag.Plan, id string) *dag.Run {
	h.t.Helper()
	item, ok := h.state.Value(keyRun(plan.Team, plan.ID, id))
	if !ok {
		h.t.Fatal("the run is not stored")
	}
	var rec runRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		h.t.Fatal(err)
	}
	r, err := decodeRun(h.graphs.codec, &rec, plan)
	if err != nil {
		h.t.Fatal(err)
	}
	return r
}

// step returns a step with a small job, downstream of the given steps.
func step(id string, upstream ...string) dag.Step {
	return dag.Step{ID: id, Kind: dag.KindJob, Job: &dag.Job{Class: "c", CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}, Upstream: upstream}
}

// newPlanWith returns the plan of a graph of these steps, after change, if not nil, has modified the graph.
func newPlanWith(t testing.TB, change func(*dag.Graph), steps ...dag.Step) *dag.Plan {
	t.Helper()
	graph := &dag.Graph{ID: "g", Team: "the team", Steps: steps}
	if change != nil {
		change(graph)
	}
	p, err := dag.NewPlan(graph)
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
