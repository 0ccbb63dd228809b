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
	overdueLimit *rate.Limiter // limits the rate of overdue changes: lazy ones that have waited for tuning.LazyMaxWait
}

// newOverdueLimiter returns the limiter of the rate of overdue changes, for a state service that allows writeRPS changes
// per second.
func newOverdueLimiter(writeRPS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(tuning.LazyRateShare*writeRPS), tuning.LazyBurstChanges)
}

// budget returns the write budget of the next transaction. available is the number of changes that the rate limit for the
// state service allows now, and burst the largest number that it ever allows at once. ok is false while too few changes
// are available.
func (w *recordWriter) budget(available, burst int, now time.Time) (budget jobs.WriteBudget, ok bool) {
	if available < min(burst, tuning.WriteBatchMinChanges) {
		return budget, false
	}
	budget = jobs.WriteBudget{Changes: available, Spare: available - burst/2, Overdue: int(w.overdueLimit.TokensAt(now))}
	if available >= burst {
		budget.Changes = 0 // 0: as many as a transaction may hold; no more will ever be available
	}
	return budget, true
}

// writeBatch writes the changes of the job store that are due. It assembles the transaction only when the rate limit
// allows it to be sent at once. Otherwise a transaction of 24 changes could wait half a second for the limit, and starts
// of services that arrive in the meantime would have to wait until it is written.
func (l *Loop) writeBatch(now time.Time) {
	if l.writer.inFlight || !l.jobs.WriteDue(now) {
		return
	}
	available, burst := l.store.AvailableWrites()
	budget, ok := l.writer.budget(available, burst, now)
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

// batchWritten handles the commit of a batch that writeBatch began to write at started. It sends the machines the start
// commands of the allocations that are now stored, and announces the final states of jobs.
func (l *Loop) batchWritten(batch *jobs.Batch, revision uint64, started time.Time) {
	l.writer.inFlight = false
	l.env.observe(func(o Observer) { o.RecordsWritten(len(batch.Txn.Then)) })
	l.log.Debug("transaction of job records committed", "starts", batch.Counts.Starts, "ends", batch.Counts.Ends, "progress", batch.Counts.Progress,
		"garbage", batch.Counts.StaleDeletions, "took_ms", l.env.Clock.Since(started).Milliseconds())
	startable, finished := l.jobs.MarkCommitted(batch, revision)
	for _, f := range finished {
		l.jobFinished(f)
	}
	l.sendCommands(startable)
}

// jobFinished informs the other parts of the loop that a job's final state is stored.
func (l *Loop) jobFinished(f jobs.FinishedJob) {
	l.levels.jobFinished(f.Job.ID)
	l.env.FinalStates.Add(wire.JobStatus{ID: f.Job.ID, State: f.State, Done: f.Job.Done})
	for _, s := range l.subsystems.active {
		s.Finished(f, l.env.Clock.Now())
	}
	l.log.Debug("final state of a job stored; requesting a scheduling cycle", "job", f.Job.ID, "state", f.State)
	l.cycle.wake()
}
