package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
)

// load reads the stored jobs and their progress, then follows new jobs.
func (l *Loop) load(ctx context.Context) {
	var revision uint64
	read := func(prefix string, take func([]wire.Item)) bool {
		for pause := tuning.StateRetry; ctx.Err() == nil; pause = min(2*pause, tuning.StateRetryMax) {
			rev, err := l.store.Urgent().ListAll(ctx, prefix, func(items []wire.Item) error {
				_, err := ask(ctx, l, func(answer func(bool)) { take(items); answer(true) })
				return err
			})
			if err == nil {
				if prefix == jobs.PrefixJob {
					revision = rev
				}
				return true
			}
			l.log.Debug("records unreadable", "prefix", prefix, "err", err)
			l.env.sleep(ctx, pause)
		}
		return false
	}
	if !read(jobs.PrefixJob, l.loadJobs) {
		return
	}
	// The progress is gathered first and taken in at once: a repeated reading
	// must not count a place twice.
	var progress []wire.Item
	if !read(jobs.PrefixProgress, func(items []wire.Item) { progress = append(progress, items...) }) {
		return
	}
	// Charges that were moved apart matter only where they are kept.
	var lefts []wire.Item
	if len(l.subsystems) > 0 && !read(jobs.PrefixDetached, func(items []wire.Item) { lefts = append(lefts, items...) }) {
		return
	}
	listed := revision
	l.post(func() { l.loadProgress(progress, lefts); l.watched = listed })
	l.loadImages(ctx)
	go l.reconcileStoredJobs(ctx)
	for ctx.Err() == nil {
		r, err := l.store.Watch(ctx, jobs.PrefixJob, revision, tuning.JobWatch)
		switch {
		case errors.Is(err, errCompacted):
			l.end(fmt.Errorf("missed changes of jobs: %w", err))
			return
		case err != nil:
			l.env.sleep(ctx, tuning.StateRetry)
			continue
		}
		revision = max(revision, r.Revision)
		var items []wire.Item
		for _, e := range r.Events {
			revision = max(revision, e.Version)
			if e.Put != "" {
				items = append(items, wire.Item{Key: e.Put, Value: e.Value, Version: e.Version})
			}
		}
		if told := revision; len(items) > 0 {
			l.post(func() { l.loadJobs(items); l.watched = told })
		}
	}
}

func (l *Loop) loadJobs(items []wire.Item) {
	now := l.env.Clock.Now()
	for _, item := range items {
		id := item.Key[len(jobs.PrefixJob):]
		if _, over := l.env.FinalStates.Get(id); over && l.loaded {
			continue // a late event of a job that is over by now
		}
		known := l.jobs.Jobs[id] != nil
		j, err := l.jobs.LoadJob(item, now, now)
		if err != nil {
			l.log.Error("stored job unreadable", "err", err)
			continue
		}
		if !known {
			if p := l.levels.jobArrived(j); l.loaded {
				l.env.observe(func(o Observer) { o.JobArrived(j.Class, j.Team, p.sizeName()) })
			}
			l.fleet.next = now // rent at once if it finds no room
			if l.arrived++; !l.inInitialBacklog(now) || l.arrived%tuning.FirstStartRushShare == 0 {
				l.fleet.arrivals = append(l.fleet.arrivals, autoscale.Arrival{At: j.WaitingSince, Job: &j.Job})
			}
		}
	}
	l.changed = true
}

// inInitialBacklog tells whether the very first leader has just begun. The jobs that waited
// for that say nothing of those to come: 70 services at once had room kept for 49
// more, a third of the machines for two minutes.
func (l *Loop) inInitialBacklog(now time.Time) bool {
	return l.leadership.Term == 1 && now.Sub(l.startedAt) < tuning.FirstStartRush
}

func (l *Loop) loadProgress(items, lefts []wire.Item) {
	now := l.env.Clock.Now()
	seen := map[string]bool{}
	for _, item := range items {
		if seen[item.Key] {
			continue
		}
		seen[item.Key] = true
		places, err := l.jobs.LoadProgress(item, now)
		if err != nil {
			// Without this record nobody knows where its tasks may be.
			l.end(err)
			return
		}
		for _, p := range places {
			if p.Job.Cancelled() {
				p.Stop = &jobs.StopRequest{Reason: charge.Cancelled}
			}
			l.machines.RestoreAllocation(p, l.startedAt)
		}
	}
	for _, item := range lefts {
		if seen[item.Key] {
			continue
		}
		seen[item.Key] = true
		l.jobs.LoadDetached(item)
	}
	l.jobs.FinishLoading()
	for _, err := range l.jobs.TakeDamaged() {
		l.log.Error("charges are lost", "err", err)
	}
	l.loaded, l.changed = true, true
	for id, p := range l.levels.live {
		p.begun = l.jobs.Jobs[id].Allocated+l.jobs.Jobs[id].Done > 0
	}
	for _, s := range l.subsystems {
		s.Loaded(l.jobs, now)
	}
	l.readSubsystems()
	l.env.observe(func(o Observer) { o.FailoverDone(now.Sub(l.startedAt)) })
	l.log.Info("records loaded", "jobs", len(l.jobs.Jobs), "machines", len(l.machines.Machines),
		"took_ms", now.Sub(l.startedAt).Milliseconds())
}

// writeBatch writes the book's changes, one transaction at a time. It is put together once it may be sent: a
// transaction of 24 changes once waited half a second for the limit, and starts of services that came
// meanwhile waited behind it.
func (l *Loop) writeBatch(now time.Time) {
	if l.writing || !l.jobs.WriteDue(now) {
		return
	}
	ready, most := l.store.AvailableWrites()
	if ready < min(most, tuning.WriteBatchMin) {
		return // the tick looks again
	}
	budget := jobs.WriteBudget{Changes: ready, Spare: ready - most/2, Overdue: int(l.overdue.TokensAt(now))}
	if ready >= most {
		budget.Changes = 0 // more will never be ready
	}
	batch := l.jobs.NextBatch(now, budget)
	if batch == nil {
		return
	}
	if n := min(batch.Counts.Progress, budget.Overdue); n > 0 {
		l.overdue.AllowN(now, n)
	}
	l.writing = true
	go func() {
		revision, err := l.commit(batch.Txn, &l.doubt)
		if err != nil {
			l.end(err)
			return
		}
		l.post(func() { l.batchWritten(batch, revision, now) })
	}()
}

// commit brings a transaction to a definite outcome. It is repeated unchanged
// until it has one; its guards make sure that only one of the tries is applied. doubt, if it is not nil, tells meanwhile whether
// it may be carried out already, and after that until it is taken in; not while all tries were refused, as in an outage.
func (l *Loop) commit(t wire.Txn, doubt *atomic.Bool) (uint64, error) {
	t.If = append([]wire.Condition{l.leadership.Guard}, t.If...)
	unsure := false
	for pause := tuning.StateRetry; ; pause = min(2*pause, tuning.StateRetryMax) {
		if err := l.ended.Err(); err != nil {
			return 0, err
		}
		if doubt != nil {
			doubt.Store(true)
		}
		revision, err := l.store.Commit(l.ended, t)
		if err == nil {
			return revision, nil
		}
		var conflict *conflictError
		switch {
		case errors.As(err, &conflict):
			if slices.Contains(conflict.Failed, l.leadership.Guard.Key) {
				return 0, fmt.Errorf("%w: %w", errDeposed, err)
			}
			if !unsure {
				return 0, fmt.Errorf("%w: %w", errChanged, err)
			}
			// An earlier try without an answer was applied. All its changes
			// have the same revision, so one of them tells.
			if revision, err = l.revisionOfApplied(t); err == nil {
				return revision, nil
			}
			if !errors.Is(err, errUnknown) && !errors.Is(err, errNotExecuted) {
				return 0, err
			}
		case errors.Is(err, errUnknown):
			unsure = true
		case errors.Is(err, errNotExecuted):
			if doubt != nil && !unsure {
				doubt.Store(false)
			}
		default:
			return 0, fmt.Errorf("records cannot be stored: %w", err)
		}
		l.log.Debug("commit repeated", "err", err)
		l.env.sleep(l.ended, pause)
	}
}

// revisionOfApplied finds the revision of a transaction that was applied without an answer.
func (l *Loop) revisionOfApplied(t wire.Txn) (uint64, error) {
	for _, change := range t.Then {
		if change.Put == "" {
			continue
		}
		item, ok, err := l.store.Get(l.ended, change.Put)
		switch {
		case err != nil:
			return 0, err
		case !ok || !sameJSON(item.Value, change.Value):
			return 0, fmt.Errorf("%w: record %s", errChanged, change.Put)
		}
		return item.Version, nil
	}
	return 0, nil // only deletions: nobody needs their revision
}

func (l *Loop) batchWritten(batch *jobs.Batch, revision uint64, begun time.Time) {
	l.writing = false
	l.env.observe(func(o Observer) { o.RecordsWritten(len(batch.Txn.Then)) })
	l.log.Debug("written", "starts", batch.Counts.Starts, "ends", batch.Counts.Ends, "progress", batch.Counts.Progress,
		"garbage", batch.Counts.Garbage, "took_ms", l.env.Clock.Since(begun).Milliseconds())
	start, over := l.jobs.MarkCommitted(batch, revision)
	for _, o := range over {
		l.levels.jobFinished(o.Job.ID)
		l.env.FinalStates.Add(wire.JobStatus{ID: o.Job.ID, State: o.State, Done: o.Job.Done})
		for _, s := range l.subsystems {
			s.Finished(o, l.env.Clock.Now())
		}
		l.log.Debug("job over", "job", o.Job.ID, "state", o.State)
		l.changed = true
	}
	l.sendCommands(start)
}
