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
	inFlight bool          // a transaction is
	inDoubt  atomic.Bool   // that transaction may be carried out already; set by the goroutine that commits it
	overdue  *rate.Limiter // changes that nobody waits for, once they have waited long
}

// newOverdueLimiter makes the limiter of overdue changes, for a state service that takes so many changes a second.
func newOverdueLimiter(writeRPS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(tuning.LazyShare*writeRPS), tuning.LazyMin)
}

// budget is what the next transaction may hold, when so many changes of at most so many are available by the state service's
// limit; ok is false while too few are.
func (w *recordWriter) budget(available, limit int, now time.Time) (budget jobs.WriteBudget, ok bool) {
	if available < min(limit, tuning.WriteBatchMin) {
		return budget, false
	}
	budget = jobs.WriteBudget{Changes: available, Spare: available - limit/2, Overdue: int(w.overdue.TokensAt(now))}
	if available >= limit {
		budget.Changes = 0 // more will never be available
	}
	return budget, true
}

// writeBatch writes what is due of the job store's changes. The transaction is put together once it may be sent: a
// transaction of 24 changes once waited half a second for the limit, and starts of services that came
// meanwhile waited behind it.
func (l *Loop) writeBatch(now time.Time) {
	if l.writer.inFlight || !l.jobs.WriteDue(now) {
		return
	}
	available, limit := l.store.AvailableWrites()
	budget, ok := l.writer.budget(available, limit, now)
	if !ok {
		return // the tick looks again
	}
	batch := l.jobs.NextBatch(now, budget)
	if batch == nil {
		return
	}
	if n := min(batch.Counts.Progress, budget.Overdue); n > 0 {
		l.writer.overdue.AllowN(now, n)
	}
	l.writer.inFlight = true
	go func() {
		revision, err := l.commit(batch.Txn, &l.writer.inDoubt)
		if err != nil {
			l.end(err)
			return
		}
		l.post(func() { l.batchWritten(batch, revision, now) })
	}()
}

// batchWritten goes on with what waited for a transaction, which was begun at a time: starts are sent, and final states are told.
func (l *Loop) batchWritten(batch *jobs.Batch, revision uint64, begun time.Time) {
	l.writer.inFlight = false
	l.env.observe(func(o Observer) { o.RecordsWritten(len(batch.Txn.Then)) })
	l.log.Debug("records written", "starts", batch.Counts.Starts, "ends", batch.Counts.Ends, "progress", batch.Counts.Progress,
		"garbage", batch.Counts.Garbage, "took_ms", l.env.Clock.Since(begun).Milliseconds())
	start, finished := l.jobs.MarkCommitted(batch, revision)
	for _, f := range finished {
		l.jobFinished(f)
	}
	l.sendCommands(start)
}

// jobFinished tells the other parts that a job's final state is stored.
func (l *Loop) jobFinished(f jobs.FinishedJob) {
	l.levels.jobFinished(f.Job.ID)
	l.env.FinalStates.Add(wire.JobStatus{ID: f.Job.ID, State: f.State, Done: f.Job.Done})
	for _, s := range l.subsystems.joined {
		s.Finished(f, l.env.Clock.Now())
	}
	l.log.Debug("job finished", "job", f.Job.ID, "state", f.State)
	l.cycle.wake()
}
