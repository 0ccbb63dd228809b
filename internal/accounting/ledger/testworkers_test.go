package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// attemptID names an attempt.
type attemptID struct {
	job     string
	task    int
	attempt uint64
}

// attemptTruth is what really happened to an attempt that was started.
type attemptTruth struct {
	began, ended time.Time       // zero: not yet
	reason       wire.ExitReason // as its worker reports it
	lost         bool            // its machine is gone
}

func attemptIDOf(a *jobs.Allocation) attemptID { return attemptID{a.Job.ID, a.Index, a.Attempt} }

// run has a started task begin to run at its worker.
func (tl *testLeader) run(a *jobs.Allocation) {
	if truth := tl.attempts[attemptIDOf(a)]; truth != nil && truth.began.IsZero() && truth.ended.IsZero() {
		truth.began = tl.now()
	}
	tl.heartbeat()
}

// end has an attempt end at its worker.
func (tl *testLeader) end(a *jobs.Allocation, reason wire.ExitReason, lost bool) {
	if truth := tl.attempts[attemptIDOf(a)]; truth != nil && truth.ended.IsZero() {
		truth.ended, truth.reason, truth.lost = tl.now(), reason, lost
	}
	tl.heartbeat()
}

// sortedAttempts returns the leader's allocations in an order that is the same every time.
func (tl *testLeader) sortedAttempts() []attemptID {
	return slices.SortedFunc(maps.Keys(tl.allocations), func(a, b attemptID) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// heartbeat reports to the leader what each worker knows, as the loop would.
func (tl *testLeader) heartbeat() {
	now := tl.now()
	for _, k := range tl.sortedAttempts() {
		a, truth := tl.allocations[k], tl.attempts[k]
		if a.Removed {
			delete(tl.allocations, k)
			continue
		}
		if truth == nil {
			continue
		}
		if !truth.began.IsZero() && truth.ended.IsZero() && a.State == "" {
			a.State = wire.TaskRunning
			tl.store.MarkRunning(a, now)
		}
		if truth.ended.IsZero() {
			continue
		}
		tl.ledger.Ended(machines.Outcome{Allocation: a, Reason: truth.reason, Lost: truth.lost}, now)
		if truth.reason == wire.ExitDone {
			tl.store.MarkDone(a, now)
		} else {
			tl.store.MarkLost(a, now)
		}
	}
}
