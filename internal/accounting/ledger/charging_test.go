package ledger

import (
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func TestEndedAttemptIsChargedForItsRunTimeAndOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		end     func(tl *testLeader, a *jobs.Allocation)
		outcome charge.Outcome
		flags   charge.Flag
	}{
		{"done", func(tl *testLeader, a *jobs.Allocation) { tl.end(a, wire.ExitDone, false) }, charge.Done, 0},
		{"failed", func(tl *testLeader, a *jobs.Allocation) { tl.end(a, wire.ExitError, false) }, charge.Failed, 0},
		{"its machine or its worker's incarnation is gone", func(tl *testLeader, a *jobs.Allocation) { tl.end(a, wire.ExitStopped, true) }, charge.Lost, charge.UpperBound},
		{"drained", func(tl *testLeader, a *jobs.Allocation) {
			a.Stop = &jobs.StopRequest{Reason: charge.Drained}
			tl.end(a, wire.ExitStopped, false)
		}, charge.Drained, 0},
		{"preempted", func(tl *testLeader, a *jobs.Allocation) {
			a.Stop = &jobs.StopRequest{Reason: charge.Preempted}
			tl.end(a, wire.ExitStopped, false)
		}, charge.Preempted, 0},
		{"its job is cancelled", func(tl *testLeader, a *jobs.Allocation) {
			tl.store.Cancel(a.Job, func(wire.JobState) {})
			tl.commitAll()
			tl.end(a, wire.ExitStopped, false)
		}, charge.Cancelled, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tl := newTestLeader(t)
			tl.submit(arrayJob("job-1", 1))
			a := tl.allocateAndRun("job-1")
			tl.clock.Advance(30 * time.Second)
			c.end(tl, a)
			tl.checkAgainstTruth()
			got := tl.onlyCharge(attemptIDOf(a))
			if got.Outcome != c.outcome || got.Flags != c.flags || got.RunMS != 30_000 {
				t.Errorf("charged %+v", got)
			}
			// The task uses half of the processors and half of the memory of a machine that costs 0.8 per hour, for 30 s.
			if want := int64(3333); got.Money != want { // 0.8 / 2 * 30 / 3600
				t.Errorf("costs %d, want %d", got.Money, want)
			}
			tl.rollUpAll()
			tl.checkAgainstTruth()
		})
	}
}

// If a day ends while a task runs, the charge of the task is split at the day's end, so the bill of that day is complete
// although the task continues to run.
func TestDayEndSplitsTheChargeOfARunningTask(t *testing.T) {
	tl := newTestLeader(t)
	tl.submit(arrayJob("job-1", 1))
	a := tl.allocateAndRun("job-1")
	tl.clock.Advance(13*time.Hour - time.Second) // from noon to one hour after midnight
	tl.ledger.Tick(tl.now())
	tl.rollUpAll()
	chargedMS := func(day string) int64 {
		return tl.ledger.totals(Query{From: day, To: day, By: []string{"day"}}, tl.now()).Sum.RunMS
	}
	if got := chargedMS("2026-12-01"); got != 12*3600_000-1000 {
		t.Errorf("the first day is charged for %d ms, want 12 h less 1 s", got)
	}
	if got := chargedMS("2026-12-02"); got != 0 {
		t.Errorf("the second day is charged for %d ms while the task runs, want none", got)
	}
	tl.newTerm() // the new leader continues to charge from the end of the day
	tl.clock.Advance(time.Hour)
	tl.end(tl.allocations[attemptIDOf(a)], wire.ExitDone, false)
	tl.checkAgainstTruth()
	if got := chargedMS("2026-12-02"); got != 2*3600_000 {
		t.Errorf("the second day is charged for %d ms, want 2 h", got)
	}
	if got := tl.ledger.totals(Query{By: []string{"day"}}, tl.now()).Sum.Attempts; got != 1 {
		t.Errorf("%d attempts are counted, want 1", got)
	}
}
