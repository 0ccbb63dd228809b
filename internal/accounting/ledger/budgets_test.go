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

// newTestLeaderWithBudgets returns a leader with budgets from the operators' properties.
func newTestLeaderWithBudgets(t *testing.T, properties map[string]string) *testLeader {
	t.Helper()
	tl := newTestLeader(t)
	tl.setBudgets(properties)
	tl.newTerm()
	return tl
}

// setBudgets replaces the operators' budgets by those from properties.
func (tl *testLeader) setBudgets(properties map[string]string) {
	tl.t.Helper()
	tl.settings = &budget.Settings{}
	for key, value := range properties {
		if err := tl.settings.Set(key, value); err != nil {
			tl.t.Fatal(err)
		}
	}
}

// Guards against an array job that exceeds its budget by starting all its tasks in one scheduling cycle: each start
// reserves the task's expected usage, so it counts for the next starts of the same cycle.
func TestStartedTasksOfAnArrayReserveTheirBudget(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "1"}) // 3,600 core-seconds: 180 tasks of 2 cores for 10 s
	tl.submit(arrayJob("job-1", 10_000))
	var allocated []*jobs.Allocation
	for a := tl.allocate("job-1"); a != nil; a = tl.allocate("job-1") {
		allocated = append(allocated, a)
	}
	if len(allocated) != 180 {
		t.Fatalf("%d tasks started, want 180", len(allocated))
	}
	tl.commitAll()
	tl.clock.Advance(time.Second)
	for _, a := range allocated {
		tl.run(a)
	}
	tl.clock.Advance(20 * time.Second) // twice the estimate
	for _, a := range allocated {
		tl.end(a, wire.ExitDone, false)
	}
	tl.commitAll()
	tl.ledger.Tick(tl.now())
	if a := tl.allocate("job-1"); a != nil {
		t.Error("a task started although the budget is spent")
	}
	n, reason := tl.ledger.Admit(tl.store.Jobs["job-1"], tl.now())
	if n != 0 || reason == "" {
		t.Errorf("%d tasks may start, for the reason %q; want none, with a reason", n, reason)
	}
	// The budget is exceeded by the time that the running tasks took beyond their estimates.
	if v := tl.ledger.budgets.Views("t")[0]; v.Used != 2 || v.State != "spent" {
		t.Errorf("the budget is %+v, want 2 core-hours used and the state spent", v)
	}
	// The budget is raised. From the first tasks the tracker has learned that a task takes twice its estimate.
	tl.setBudgets(map[string]string{"budget.t.day.core-hours": "3"})
	tl.ledger.Tick(tl.now())
	n = 0
	for tl.allocate("job-1") != nil {
		n++
	}
	if n < 90 || n > 100 {
		t.Errorf("%d more tasks started, want 90 to 100", n)
	}
	// A new leader computes the same usage.
	tl.commitAll()
	tl.newTerm()
	if n, _ := tl.ledger.Admit(tl.store.Jobs["job-1"], tl.now()); n > 90 {
		t.Errorf("a new leader lets %d tasks start, want at most 90", n)
	}
	tl.checkAgainstTruth()
}

// Guards against machines that are rented for every job of a team whose budget allows only a few tasks: LimitStarts
// allots the remainder of the budget to the jobs in the order of their placement.
func TestJobsShareTheRestOfABudget(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "0.05"}) // 180 core-seconds: 9 tasks
	var waiting []*jobs.Job
	for i, priority := range []wire.Priority{wire.PriorityLow, wire.PriorityNormal, wire.PriorityHigh, wire.PriorityProduction} {
		j := arrayJob(fmt.Sprintf("job-%d", i), 4)
		j.Priority = priority
		waiting = append(waiting, tl.submit(j))
	}
	for range 2 { // the second call gives the same result, because LimitStarts leaves nothing reserved
		counts := []int{4, 4, 4, 4}
		tl.ledger.LimitStarts(waiting, counts, tl.now())
		if !slices.Equal(counts, []int{0, 1, 4, 4}) {
			t.Fatalf("LimitStarts allows %v, want [0 1 4 4]", counts)
		}
	}
}

func TestSpentBudgetLetsTasksStartInTheNextPeriod(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "0.01", "budget.t.carry-over": "0.5"}) // 36 core-seconds
	j := arrayJob("job-1", 100)
	j.EstimateS = 3600 // one task alone exceeds the budget
	tl.submit(j)
	a := tl.allocateAndRun("job-1")
	if tl.allocate("job-1") != nil {
		t.Error("a second task started while the first runs")
	}
	tl.clock.Advance(time.Minute)
	tl.end(a, wire.ExitDone, false)
	tl.commitAll()
	tl.ledger.Tick(tl.now())
	if tl.allocate("job-1") != nil {
		t.Error("another task started although the budget is spent")
	}
	tl.clock.Advance(24 * time.Hour)
	tl.ledger.Tick(tl.now())
	if tl.allocate("job-1") == nil {
		t.Error("no task starts on the next day")
	}
	tl.checkAgainstTruth()
}

func TestDrainingBudgetStopsRunningTasksOnceAtItsThreshold(t *testing.T) {
	tl := newTestLeaderWithBudgets(t, map[string]string{"budget.t.day.core-hours": "0.1", "budget.t.when-spent": "drain", "budget.t.drain-at": "0.5"})
	batchJob := arrayJob("job-1", 1)
	batchJob.EstimateS, batchJob.CheckpointS, batchJob.SaveS = 60, 10, 4
	tl.submit(batchJob)
	serviceJob := wire.Job{ID: "job-2", Class: "s", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 1}
	tl.submit(serviceJob)
	a, replica := tl.allocateAndRun("job-1"), tl.allocateAndRun("job-2")
	if stopped := tl.ledger.Tick(tl.now()); len(stopped) != 0 {
		t.Fatal("a task is stopped before the drain threshold is reached")
	}
	tl.clock.Advance(time.Minute) // 240 core-seconds; draining starts at 180
	stopped := tl.ledger.Tick(tl.now())
	if len(stopped) != 1 || stopped[0] != a || a.Stop.Reason != charge.OverBudget || a.Stop.GraceS < 4 || replica.Stop != nil {
		t.Fatalf("the stopped allocations are %v, want only the batch task, with a grace period", stopped)
	}
	if stoppedAgain := tl.ledger.Tick(tl.now()); len(stoppedAgain) != 0 {
		t.Error("a task that is being stopped is stopped again")
	}
	tl.end(a, wire.ExitStopped, false)
	tl.checkAgainstTruth()
	if c := tl.onlyCharge(attemptIDOf(a)); c.Outcome != charge.OverBudget {
		t.Errorf("charged %+v", c)
	}
}
