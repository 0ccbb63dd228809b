package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// loadState tracks which stored records are in memory.
type loadState struct {
	done            bool   // whether all records are loaded; until then nothing is placed, and no attempt counts as ended
	watchedRevision uint64 // the revision up to which the watch has reported new jobs
	// watchSentAt is when the watch request was sent whose answer the loop handles next.
	watchSentAt time.Time
}

// load reads the stored jobs and their progress, then loads new jobs as the watch reports them. It runs in a
// goroutine of its own until ctx ends.
func (l *Loop) load(ctx context.Context) {
	revision, ok := l.readAll(ctx, jobs.PrefixJob, func(items []wire.Item) error {
		return l.do(ctx, func() { l.loadJobs(items) })
	})
	if !ok {
		return
	}
	// All progress records are read before any is loaded: a listing that is retried returns records repeatedly, and
	// an allocation must not be counted twice.
	progress, ok := l.gatherAll(ctx, jobs.PrefixProgress)
	if !ok {
		return
	}
	// Charges that were detached from their progress records are of use only where charges are recorded.
	var detached []wire.Item
	if len(l.subsystems.active) > 0 {
		if detached, ok = l.gatherAll(ctx, jobs.PrefixDetached); !ok {
			return
		}
	}
	l.post(func() { l.loadProgress(progress, detached); l.loading.watchedRevision = revision })
	l.loadImages(ctx)
	go l.reconcileStoredJobs(ctx)
	l.followJobs(ctx, revision)
}

// readAll lists the records below a prefix and passes them to handle. It repeats the listing until it succeeds, so handle
// may get an item more than once. The revision is that of the listing. ok is false if ctx ended first.
func (l *Loop) readAll(ctx context.Context, prefix string, handle func([]wire.Item) error) (revision uint64, ok bool) {
	ok = l.retry(ctx, func() (err error) {
		if revision, err = l.store.Urgent().ListAll(ctx, prefix, handle); err != nil {
			return fmt.Errorf("reading records below %s: %w", prefix, err)
		}
		return nil
	})
	return revision, ok
}

// gatherAll returns the records below a prefix. After a retry, some may occur more than once.
func (l *Loop) gatherAll(ctx context.Context, prefix string) (items []wire.Item, ok bool) {
	_, ok = l.readAll(ctx, prefix, func(page []wire.Item) error {
		items = append(items, page...)
		return nil
	})
	return items, ok
}

// followJobs loads the jobs that are stored after a revision, as the state service's watch reports them. If the
// watch can no longer report all changes, the term ends, and the next leader reads all records.
func (l *Loop) followJobs(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sentAt := l.env.Clock.Now()
		l.post(func() { l.loading.watchSentAt = sentAt })
		response, err := l.store.Watch(ctx, jobs.PrefixJob, revision, tuning.JobWatchWait)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			l.endTerm(fmt.Errorf("the watch missed changes of jobs: %w", err))
			return
		case err != nil:
			l.env.sleep(ctx, tuning.StateRetryPause)
			continue
		}
		revision = max(revision, response.Revision)
		var items []wire.Item
		for _, e := range response.Events {
			revision = max(revision, e.Version)
			if e.Put != "" {
				items = append(items, wire.Item{Key: e.Put, Value: e.Value, Version: e.Version})
			}
		}
		if upTo := revision; len(items) > 0 {
			l.post(func() { l.loadJobs(items); l.loading.watchedRevision = upTo })
		}
	}
}

// jobIDOf returns the job's ID in the key of a stored job.
func jobIDOf(key string) string { return key[len(jobs.PrefixJob):] }

// loadJobs loads stored jobs. It skips those that are in memory already and, once all records are loaded, those that have
// finished.
func (l *Loop) loadJobs(items []wire.Item) {
	now := l.env.Clock.Now()
	for _, item := range items {
		id := jobIDOf(item.Key)
		if _, finished := l.env.FinalStates.Get(id); finished && l.loading.done {
			continue // a late event of a job that has finished since
		}
		loaded := l.jobs.Jobs[id] != nil
		j, err := l.jobs.LoadJob(item, now, now)
		if err != nil {
			l.log.Error("stored job cannot be loaded; skipping it", "err", err)
			continue
		}
		if !loaded {
			l.jobArrived(j, now)
		}
	}
	l.cycle.wake()
}

// jobArrived informs the other parts of the loop of a job that was not in memory before.
func (l *Loop) jobArrived(j *jobs.Job, now time.Time) {
	size := l.levels.jobArrived(j).sizeName()
	if l.loading.done {
		l.env.observe(func(o Observer) { o.JobArrived(j.Class, j.Team, size) })
	}
	l.fleet.planSoon(now) // rent machines at once if the job fits on none
	l.arrivals.add(j, l.inInitialBacklog(now))
}

// loadProgress loads all progress records, and the charges that were detached from them. This completes the loading.
func (l *Loop) loadProgress(progress, detached []wire.Item) {
	now := l.env.Clock.Now()
	seen := map[string]bool{}
	for _, item := range progress {
		if seen[item.Key] {
			continue
		}
		seen[item.Key] = true
		if err := l.restoreAllocations(item, now); err != nil {
			// Without this record, the leader does not know where the record's tasks may be running.
			l.endTerm(err)
			return
		}
	}
	for _, item := range detached {
		if !seen[item.Key] {
			seen[item.Key] = true
			l.jobs.LoadDetached(item)
		}
	}
	l.finishLoading(now)
}

// restoreAllocations loads a progress record and restores its allocations: the tasks may be running on the machines that
// the record names.
func (l *Loop) restoreAllocations(item wire.Item, now time.Time) error {
	allocations, err := l.jobs.LoadProgress(item, now)
	if err != nil {
		return err
	}
	for _, a := range allocations {
		if a.Job.Cancelled() {
			a.Stop = &jobs.StopRequest{Reason: charge.Cancelled}
		}
		l.machines.RestoreAllocation(a, l.startedAt)
	}
	return nil
}

// finishLoading begins the work of the term, now that all records are in memory.
func (l *Loop) finishLoading(now time.Time) {
	l.jobs.FinishLoading()
	for _, err := range l.jobs.TakeChargeErrors() {
		l.log.Error("stored charges cannot be decoded; they are lost", "err", err)
	}
	l.loading.done = true
	l.cycle.wake()
	for id, live := range l.levels.live {
		live.begun = l.jobs.Jobs[id].Allocated+l.jobs.Jobs[id].Done > 0
	}
	for _, s := range l.subsystems.active {
		s.Loaded(l.jobs, now)
	}
	l.readSubsystems()
	took := now.Sub(l.startedAt)
	l.env.observe(func(o Observer) { o.FailoverDone(took) })
	l.log.Info("stored records loaded; scheduling begins", "jobs", len(l.jobs.Jobs), "machines", len(l.machines.Machines), "took_ms", took.Milliseconds())
}
