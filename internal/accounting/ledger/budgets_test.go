package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// newTestLeaderWithBudgets returns a leader with budgets from properties.
func newTestLeaderWithBudgets(t *testing.T, properties map[string]string) *testLeader {
	t.Helper()
	tl := newTestLeader(t)
	tl.setBudgets(properties)
	tl.newTerm()
	return tl
}

// setBudgets replaces the operators' budgets.
func (tl *testLeader) setBudgets(properties map[string]string) {
	tl.t.Helper()
	tl.settings = &budget.Settings{}
	for key, value := range properties {
		if err := tl.settings.Set(key, value); err != nil {
			tl.t.Fatal(err)
		}
	}
}

// Guards against an array that starts past its budget at once: each start reserves what it
// is expected to use, also those of the same scheduling cycle.
func TestStartedTasksOfAnArrayReserveTheirBudget(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "1"}) // 3,600 core-seconds: 180 tasks of 2 cores for 10 s
	tl.submit(jobArray("job-1", 10_000))
	var placed []*jobs.Allocation
	for a := tl.allocate("job-1"); a != nil; a = tl.allocate("job-1") {
		placed = append(placed, a)
	}
	if len(placed) != 180 {
		t.Fatalf("%d tasks start, want 180", len(placed))
	}
	tl.commitAll()
	tl.clock.Advance(time.Second)
	for _, a := range placed {
		tl.run(a)
	}
	tl.clock.Advance(20 * time.Second) // twice what was expected
	for _, a := range placed {
		tl.end(a, wire.ExitDone, false)
	}
	tl.commitAll()
	tl.ledger.Tick(tl.now())
	if a := tl.allocate("job-1"); a != nil {
		t.Error("more starts though the budget is spent")
	}
	n, reason := tl.ledger.Admit(tl.store.Jobs["job-1"], tl.now())
	if n != 0 || reason == "" {
		t.Errorf("%d may start, since %q", n, reason)
	}
	// The overdraft is what the running tasks took beyond their estimates.
	if v := tl.ledger.budgets.Views("t")[0]; v.Used != 2 || v.State != "spent" {
		t.Errorf("the budget is %+v", v)
	}
	// It is raised meanwhile; and the tasks are known to take twice their estimate now.
	tl.setBudgets(map[string]string{"budget.t.day.core-hours": "3"})
	tl.ledger.Tick(tl.now())
	n = 0
	for tl.allocate("job-1") != nil {
		n++
	}
	if n < 90 || n > 100 {
		t.Errorf("%d more start, want about 90", n)
	}
	// A new leader counts the same, and the next day begins anew.
	tl.commitAll()
	tl.newTerm()
	if n, _ := tl.ledger.Admit(tl.store.Jobs["job-1"], tl.now()); n > 90 {
		t.Errorf("a new leader lets %d start", n)
	}
	tl.checkAgainstTruth()
}

// Guards against machines that are bought for every job of a team whose budget allows a few
// tasks only: LimitStarts shares the rest of the budget among the jobs, in their order.
func TestJobsShareTheRestOfABudget(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "0.05"}) // 180 core-seconds: 9 tasks
	var waiting []*jobs.Job
	for i, priority := range []wire.Priority{wire.PriorityLow, wire.PriorityNormal, wire.PriorityHigh, wire.PriorityProduction} {
		j := jobArray(fmt.Sprintf("job-%d", i), 4)
		j.Priority = priority
		waiting = append(waiting, tl.submit(j))
	}
	for range 2 { // it reserves nothing
		counts := []int{4, 4, 4, 4}
		tl.ledger.LimitStarts(waiting, counts, tl.now())
		if !slices.Equal(counts, []int{0, 1, 4, 4}) {
			t.Fatalf("may consider %v", counts)
		}
	}
}

func TestSpentBudgetLetsTasksStartInTheNextPeriod(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "0.01", "budget.t.carry-over": "0.5"}) // 36 core-seconds
	j := jobArray("job-1", 100)
	j.EstimateS = 3600 // one alone is beyond the budget
	tl.submit(j)
	a := tl.allocateAndRun("job-1")
	if tl.allocate("job-1") != nil {
		t.Error("a second task starts beside it")
	}
	tl.clock.Advance(time.Minute)
	tl.end(a, wire.ExitDone, false)
	tl.commitAll()
	tl.ledger.Tick(tl.now())
	if tl.allocate("job-1") != nil {
		t.Error("another task starts though the budget is spent")
	}
	tl.clock.Advance(24 * time.Hour)
	tl.ledger.Tick(tl.now())
	if tl.allocate("job-1") == nil {
		t.Error("nothing starts on the next day")
	}
	tl.checkAgainstTruth()
}

func TestDrainingBudgetStopsRunningTasksOnceAtItsMark(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "0.1", "budget.t.when-spent": "drain", "budget.t.drain-at": "0.5"})
	batch := jobArray("job-1", 1)
	batch.EstimateS, batch.CheckpointS, batch.SaveS = 60, 10, 4
	tl.submit(batch)
	service := wire.Job{ID: "job-2", Class: "s", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 1}
	tl.submit(service)
	a, replica := tl.allocateAndRun("job-1"), tl.allocateAndRun("job-2")
	if stop := tl.ledger.Tick(tl.now()); len(stop) != 0 {
		t.Fatal("something is stopped at once")
	}
	tl.clock.Advance(time.Minute) // 240 core-seconds of 180
	stop := tl.ledger.Tick(tl.now())
	if len(stop) != 1 || stop[0] != a || a.Stop.Reason != charge.OverBudget || a.Stop.GraceS < 4 || replica.Stop != nil {
		t.Fatalf("stopped are %v", stop)
	}
	if again := tl.ledger.Tick(tl.now()); len(again) != 0 {
		t.Error("what stops already is stopped again")
	}
	tl.end(a, wire.ExitStopped, false)
	tl.checkAgainstTruth()
	if c := tl.onlyCharge(attemptIDOf(a)); c.Outcome != charge.OverBudget {
		t.Errorf("charged %+v", c)
	}
}
