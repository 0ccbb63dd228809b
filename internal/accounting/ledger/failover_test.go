package ledger

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against charges that are lost or duplicated when a leader fails between an attempt's end and its charge, between
// the charge and its roll-up, or after a transaction that was applied but not answered.
func TestEachAttemptIsChargedOnceWheneverALeaderFails(t *testing.T) {
	steps := []func(*testLeader){
		func(tl *testLeader) { tl.commitBatch(true) },
		func(tl *testLeader) { tl.commitBatch(false); tl.newTerm() },
		func(tl *testLeader) { tl.newTerm() },
		func(tl *testLeader) { tl.ledger.detachedSince = time.Time{}; tl.commitLedgerWrite(true) },
		func(tl *testLeader) {
			tl.ledger.detachedSince = time.Time{}
			if tl.commitLedgerWrite(false) {
				tl.newTerm()
			}
		},
	}
	// Try all sequences of four steps, with repetition. The base-n digits of order are the indexes of the steps. The job
	// ends after each sequence.
	n := len(steps)
	for order := range n * n * n * n {
		tl := newTestLeader(t)
		tl.submit(arrayJob("job-1", 2))
		a, b := tl.allocateAndRun("job-1"), tl.allocateAndRun("job-1")
		tl.clock.Advance(20 * time.Second)
		tl.end(a, wire.ExitError, false) // the task is retried
		tl.end(b, wire.ExitDone, false)
		for o, i := order, 0; i < 4; o, i = o/n, i+1 {
			steps[o%n](tl)
			tl.clock.Advance(time.Second)
		}
		tl.commitAll()
		retry := tl.allocateAndRun("job-1")
		tl.clock.Advance(20 * time.Second)
		tl.end(retry, wire.ExitDone, false)
		for o, i := order, 0; i < 4; o, i = o/n, i+1 {
			steps[n-1-o%n](tl)
		}
		tl.checkAgainstTruth()
		tl.rollUpAll()
		tl.checkAgainstTruth()
		if stored, _ := tl.storedCharges(); len(stored) != 3 {
			t.Fatalf("order %d: %d attempts are charged, want 3", order, len(stored))
		}
		if len(tl.itemsWithPrefix(jobs.PrefixProgress))+len(tl.itemsWithPrefix(jobs.PrefixDetached)) != 0 {
			t.Fatalf("order %d: records of a job that ended and was rolled up are not deleted", order)
		}
	}
}

// A failover loses no run time: a task's start time is stored once the task has run for StartTimeStoreDelay.
func TestStartTimeSurvivesAFailover(t *testing.T) {
	tl := newTestLeader(t)
	tl.submit(arrayJob("job-1", 1))
	a := tl.allocate("job-1")
	tl.commitAll()
	tl.clock.Advance(5 * time.Second) // the time to fetch the image
	tl.run(a)
	tl.clock.Advance(tuning.StartTimeStoreDelay)
	tl.commitAll()
	tl.newTerm()
	tl.clock.Advance(10 * time.Second)
	a = tl.allocations[attemptIDOf(a)]
	tl.end(a, wire.ExitDone, false)
	tl.checkAgainstTruth()
	if c := tl.onlyCharge(attemptIDOf(a)); c.RunMS != 20_000 || c.Flags != 0 {
		t.Errorf("charged %+v", c)
	}
}
