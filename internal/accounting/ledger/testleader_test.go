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

// arrayJob returns a job with the given number of tasks, each with an estimated run time of 10 s.
func arrayJob(id string, tasks int) wire.Job {
	return wire.Job{ID: id, Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, Image: "img", EstimateS: 10}
}

// testLeader is a leader's job store and ledger, with an in-memory state service and simulated workers that the test
// controls. It records when each attempt really ran, as the ground truth for its charge.
type testLeader struct {
	t             testing.TB
	clock         *clockwork.FakeClock
	items         map[string]wire.Item // the stored records, by key
	revision      uint64
	maxTxnChanges int
	settings      *budget.Settings // the operators' current budgets

	store           *jobs.Store
	ledger          *Ledger
	allocations     map[attemptID]*jobs.Allocation // those that the current leader knows
	attempts        map[attemptID]*attemptTruth    // all that were started, under any leader
	writtenChanges  int                            // number of puts and deletions so far
	longestTxnBytes int                            // size of the longest transaction so far
}

var (
	smallType = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.8, SpotPrice: 0.4}
	testStart = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

func newTestLeader(t testing.TB) *testLeader {
	tl := &testLeader{
		t: t, clock: clockwork.NewFakeClockAt(testStart), items: map[string]wire.Item{}, maxTxnChanges: 12, settings: &budget.Settings{},
		attempts: map[attemptID]*attemptTruth{},
	}
	tl.newTerm()
	return tl
}

func (tl *testLeader) now() time.Time { return tl.clock.Now() }

// newTerm starts the term of a new leader, which loads the stored records and receives a heartbeat from each worker.
func (tl *testLeader) newTerm() {
	tl.t.Helper()
	now := tl.now()
	tl.store, tl.allocations = jobs.NewStore(tl.maxTxnChanges), map[attemptID]*jobs.Allocation{}
	var err error
	if tl.ledger, err = New(Config{
		Clock: tl.clock, MaxTxnChanges: tl.maxTxnChanges, MaxValueKiB: 16, MachineTypes: func() []wire.MachineType { return []wire.MachineType{smallType} },
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

// loadJobs loads the job store from the stored records.
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

// submit stores a job. If the job has no team, its team is t.
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
	loaded, err := tl.store.LoadJob(tl.items[jobs.KeyJob(j.ID)], tl.now(), tl.now())
	if err != nil {
		tl.t.Fatal(err)
	}
	return loaded
}

// allocate allocates the next waiting task of a job, without storing that; nil if none may start.
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

// allocateAndRun allocates a task, stores the allocation and starts the task at its worker.
func (tl *testLeader) allocateAndRun(id string) *jobs.Allocation {
	tl.t.Helper()
	a := tl.allocate(id)
	if a == nil {
		tl.t.Fatalf("no task of %s may start", id)
	}
	tl.commitAll()
	tl.clock.Advance(time.Second) // the time to fetch the image
	tl.run(a)
	return a
}
