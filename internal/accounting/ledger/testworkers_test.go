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

func attemptIDOf(p *jobs.Allocation) attemptID { return attemptID{p.Job.ID, p.Index, p.Attempt} }

// run has a started task begin to run.
func (tl *testLeader) run(p *jobs.Allocation) {
	if tr := tl.attempts[attemptIDOf(p)]; tr != nil && tr.began.IsZero() && tr.ended.IsZero() {
		tr.began = tl.now()
	}
	tl.heartbeat()
}

// end has an attempt end at its worker.
func (tl *testLeader) end(p *jobs.Allocation, why wire.ExitReason, lost bool) {
	if tr := tl.attempts[attemptIDOf(p)]; tr != nil && tr.ended.IsZero() {
		tr.ended, tr.reason, tr.lost = tl.now(), why, lost
	}
	tl.heartbeat()
}

// sortedAttempts gives the places in an order that is the same every time.
func (tl *testLeader) sortedAttempts() []attemptID {
	return slices.SortedFunc(maps.Keys(tl.allocations), func(a, b attemptID) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// heartbeat has the leader hear what each worker knows, as the loop would.
func (tl *testLeader) heartbeat() {
	now := tl.now()
	for _, k := range tl.sortedAttempts() {
		p, tr := tl.allocations[k], tl.attempts[k]
		if p.Removed {
			delete(tl.allocations, k)
			continue
		}
		if tr == nil {
			continue
		}
		if !tr.began.IsZero() && tr.ended.IsZero() && p.State == "" {
			p.State = wire.TaskRunning
			tl.store.MarkRunning(p, now)
		}
		if tr.ended.IsZero() {
			continue
		}
		tl.ledger.Ended(machines.Outcome{Allocation: p, Reason: tr.reason, Lost: tr.lost}, now)
		if tr.reason == wire.ExitDone {
			tl.store.MarkDone(p, now)
		} else {
			tl.store.MarkLost(p, now)
		}
	}
}
