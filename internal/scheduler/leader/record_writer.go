package leader

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// recordWriter writes the job store's changes, one transaction at a time.
type recordWriter struct {
	inFlight     bool          // whether a transaction is in flight
	inDoubt      atomic.Bool   // whether that transaction may already be applied; set by the goroutine that commits it
	overdueLimit *rate.Limiter // limits the changes that nobody waits for, once they have waited for tuning.LazyMaxWait
}

// newOverdueLimiter returns the limiter of overdue changes, for a state service that allows writeRPS changes per second.
func newOverdueLimiter(writeRPS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(tuning.LazyRateShare*writeRPS), tuning.LazyBurstChanges)
}

// budget returns how much the next transaction may hold. available is how many changes the rate limit on the state
// service allows now, and limit how many it allows at the most. ok is false while too few are available.
func (w *recordWriter) budget(available, limit int, now time.Time) (budget jobs.WriteBudget, ok bool) {
	if available < min(limit, tuning.WriteBatchMinChanges) {
		return budget, false
	}
	budget = jobs.WriteBudget{Changes: available, Spare: available - limit/2, Overdue: int(w.overdueLimit.TokensAt(now))}
	if available >= limit {
		budget.Changes = 0 // as many as a transaction may hold: no more will ever be available
	}
	return budget, true
}

// writeBatch writes the changes of the job store that are due. It assembles the transaction only when the rate
// limit allows it to be sent at once: a transaction of 24 changes once waited half a second for the limit, and
// starts of services that arrived meanwhile had to wait until it was written.
func (l *Loop) writeBatch(now time.Time) {
	if l.writer.inFlight || !l.jobs.WriteDue(now) {
		return
	}
	available, limit := l.store.AvailableWrites()
	budget, ok := l.writer.budget(available, limit, now)
	if !ok {
		return // the next tick tries again
	}
	batch := l.jobs.NextBatch(now, budget)
	if batch == nil {
		return
	}
	if n := min(batch.Counts.Progress, budget.Overdue); n > 0 {
		l.writer.overdueLimit.AllowN(now, n)
	}
	l.writer.inFlight = true
	go func() {
		revision, err := l.commit(batch.Txn, &l.writer.inDoubt)
		if err != nil {
			l.endTerm(err)
			return
		}
		l.post(func() { l.batchWritten(batch, revision, now) })
	}()
}

// batchWritten handles the commit of a batch, whose transaction was begun at started: it sends the machines the starts
// of tasks that are now stored, and announces the final states of jobs.
func (l *Loop) batchWritten(batch *jobs.Batch, revision uint64, started time.Time) {
	l.writer.inFlight = false
	l.env.observe(func(o Observer) { o.RecordsWritten(len(batch.Txn.Then)) })
	l.log.Debug("transaction of job records committed", "starts", batch.Counts.Starts, "ends", batch.Counts.Ends, "progress", batch.Counts.Progress,
		"garbage", batch.Counts.Garbage, "took_ms", l.env.Clock.Since(started).Milliseconds())
	start, finished := l.jobs.MarkCommitted(batch, revision)
	for _, f := range finished {
		l.jobFinished(f)
	}
	l.sendCommands(start)
}

// jobFinished informs the other parts of the loop that a job's final state is stored.
func (l *Loop) jobFinished(f jobs.FinishedJob) {
	l.levels.jobFinished(f.Job.ID)
	l.env.FinalStates.Add(wire.JobStatus{ID: f.Job.ID, State: f.State, Done: f.Job.Done})
	for _, s := range l.subsystems.active {
		s.Finished(f, l.env.Clock.Now())
	}
	l.log.Debug("final state of a job stored", "job", f.Job.ID, "state", f.State)
	l.cycle.wake()
}
