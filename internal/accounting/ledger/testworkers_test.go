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

// attemptID identifies an attempt.
type attemptID struct {
	job     string
	task    int
	attempt uint64
}

// attemptTruth is the ground truth about an attempt that was started.
type attemptTruth struct {
	beganAt, endedAt time.Time       // zero: not yet
	reason           wire.ExitReason // of the end, as the worker reports it
	lost             bool            // the machine was lost, or its worker's incarnation is over
}

func attemptIDOf(a *jobs.Allocation) attemptID { return attemptID{a.Job.ID, a.Index, a.Attempt} }

// run makes a started attempt run on its worker, and then reports all attempts to the leader.
func (tl *testLeader) run(a *jobs.Allocation) {
	if truth := tl.attempts[attemptIDOf(a)]; truth != nil && truth.beganAt.IsZero() && truth.endedAt.IsZero() {
		truth.beganAt = tl.now()
	}
	tl.heartbeat()
}

// end makes an attempt end on its worker, and then reports all attempts to the leader.
func (tl *testLeader) end(a *jobs.Allocation, reason wire.ExitReason, lost bool) {
	if truth := tl.attempts[attemptIDOf(a)]; truth != nil && truth.endedAt.IsZero() {
		truth.endedAt, truth.reason, truth.lost = tl.now(), reason, lost
	}
	tl.heartbeat()
}

// sortedAttempts returns the IDs of the leader's allocations in a deterministic order.
func (tl *testLeader) sortedAttempts() []attemptID {
	return slices.SortedFunc(maps.Keys(tl.allocations), func(a, b attemptID) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// heartbeat reports the state of all attempts to the leader, as the leader's loop does with the workers' heartbeats.
func (tl *testLeader) heartbeat() {
	now := tl.now()
	for _, id := range tl.sortedAttempts() {
		a, truth := tl.allocations[id], tl.attempts[id]
		if a.Removed {
			delete(tl.allocations, id)
			continue
		}
		if truth == nil {
			continue
		}
		if !truth.beganAt.IsZero() && truth.endedAt.IsZero() && a.State == "" {
			a.State = wire.TaskRunning
			tl.store.MarkRunning(a, now)
		}
		if truth.endedAt.IsZero() {
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
