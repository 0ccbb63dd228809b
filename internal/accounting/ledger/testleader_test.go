package ledger

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// jobArray is a job of some tasks, each of which is expected to run for 10 s.
func jobArray(id string, tasks int) wire.Job {
	return wire.Job{ID: id, Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, Image: "img", EstimateS: 10}
}

// testLeader is a leader's job store and ledger over a state service in memory, with workers
// that the test drives. It knows when each attempt really ran.
type testLeader struct {
	t         testing.TB
	clock     *clockwork.FakeClock
	items     map[string]wire.Item
	revision  uint64
	maxTxnOps int
	settings  *budget.Settings

	store           *jobs.Store
	ledger          *Ledger
	allocations     map[attemptID]*jobs.Allocation // as the present leader knows them
	attempts        map[attemptID]*attemptTruth
	writtenChanges  int // put and deleted so far
	longestTxnBytes int // the longest transaction so far
}

var (
	smallType = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.8, SpotPrice: 0.4}
	testStart = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

func newTestLeader(t testing.TB) *testLeader {
	tl := &testLeader{
		t: t, clock: clockwork.NewFakeClockAt(testStart), items: map[string]wire.Item{}, maxTxnOps: 12, settings: &budget.Settings{},
		attempts: map[attemptID]*attemptTruth{},
	}
	tl.newTerm()
	return tl
}

func (tl *testLeader) now() time.Time { return tl.clock.Now() }

// newTerm begins the term of a new leader, which loads what is stored and gets heartbeats
// from the workers.
func (tl *testLeader) newTerm() {
	tl.t.Helper()
	now := tl.now()
	tl.store, tl.allocations = jobs.NewStore(tl.maxTxnOps), map[attemptID]*jobs.Allocation{}
	var err error
	if tl.ledger, err = New(Config{
		Clock: tl.clock, MaxTxnOps: tl.maxTxnOps, MaxValueKB: 16, MachineTypes: func() []wire.MachineType { return []wire.MachineType{smallType} },
		Budgets: func() *budget.Settings { return tl.settings },
	}, slog.New(slog.DiscardHandler)); err != nil {
		tl.t.Fatal(err)
	}
	tl.loadJobs(now)
	tl.ledger.Loaded(tl.store, now)
	var last *wire.Item
	if segments := tl.itemsWithPrefix(PrefixSegment); len(segments) > 0 {
		last = &segments[len(segments)-1]
	}
	if err := tl.ledger.load(tl.itemsWithPrefix(PrefixPage), last); err != nil {
		tl.t.Fatal(err)
	}
	tl.heartbeat()
}

// loadJobs loads the job store from what is stored.
func (tl *testLeader) loadJobs(now time.Time) {
	tl.t.Helper()
	for _, item := range tl.itemsWithPrefix(jobs.PrefixJob) {
		if _, err := tl.store.LoadJob(item, now, now); err != nil {
			tl.t.Fatal(err)
		}
	}
	for _, item := range tl.itemsWithPrefix(jobs.PrefixProgress) {
		allocations, err := tl.store.LoadProgress(item, now)
		if err != nil {
			tl.t.Fatal(err)
		}
		for _, a := range allocations {
			tl.allocations[attemptIDOf(a)] = a
			if a.Job.Cancelled() {
				a.Stop = &jobs.StopRequest{Reason: charge.Cancelled}
			}
		}
	}
	for _, item := range tl.itemsWithPrefix(jobs.PrefixDetached) {
		tl.store.LoadDetached(item)
	}
	tl.store.FinishLoading()
	if errs := tl.store.TakeChargeErrors(); len(errs) > 0 {
		tl.t.Fatal(errs)
	}
}

// submit stores a job, of the team t unless it names one.
func (tl *testLeader) submit(j wire.Job) *jobs.Job {
	tl.t.Helper()
	if j.Team == "" {
		j.Team = "t"
	}
	if j.CPUs == 0 {
		j.CPUs, j.MemoryGB = 2, 8
	}
	value, err := json.Marshal(jobs.JobRecord{Job: j, AcceptedAtMS: tl.now().UnixMilli()})
	if err != nil {
		tl.t.Fatal(err)
	}
	tl.apply(wire.Txn{If: []wire.Condition{{Key: jobs.KeyFinalState(j.ID)}}, Then: []wire.Change{{Put: jobs.KeyJob(j.ID), Value: value}}})
	out, err := tl.store.LoadJob(tl.items[jobs.KeyJob(j.ID)], tl.now(), tl.now())
	if err != nil {
		tl.t.Fatal(err)
	}
	return out
}

// allocate decides on the next waiting task of a job; nil: none may start.
func (tl *testLeader) allocate(id string) *jobs.Allocation {
	j := tl.store.Jobs[id]
	if j == nil || !j.CanStart() {
		return nil
	}
	i := j.NextWaiting(0)
	if n, _ := tl.ledger.Admit(j, tl.now()); i < 0 || n <= 0 {
		return nil
	}
	a := tl.store.Allocate(j, i, "a-machine-000001", "mombasa-port", 1, tl.now())
	tl.ledger.Placed(a, false, &smallType, tl.now())
	return a
}

// allocateAndRun allocates a task, stores that and has it run.
func (tl *testLeader) allocateAndRun(id string) *jobs.Allocation {
	tl.t.Helper()
	a := tl.allocate(id)
	if a == nil {
		tl.t.Fatalf("nothing of %s may start", id)
	}
	tl.commitAll()
	tl.clock.Advance(time.Second) // the image is fetched
	tl.run(a)
	return a
}
