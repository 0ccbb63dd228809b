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

// loadState is which stored records are in memory.
type loadState struct {
	done         bool   // all records are in; before, nothing is placed or concluded
	jobsRevision uint64 // the revision up to which the watch has told of new jobs
}

// load reads the stored jobs and their progress, then follows new jobs. It runs beside the loop until ctx ends.
func (l *Loop) load(ctx context.Context) {
	revision, ok := l.readAll(ctx, jobs.PrefixJob, func(items []wire.Item) error {
		return l.do(ctx, func() { l.loadJobs(items) })
	})
	if !ok {
		return
	}
	// The progress is gathered first and loaded at once: a repeated reading
	// must not count an allocation twice.
	progress, ok := l.gatherAll(ctx, jobs.PrefixProgress)
	if !ok {
		return
	}
	// Charges that were detached from their progress matter only where they are kept.
	var detached []wire.Item
	if len(l.subsystems.joined) > 0 {
		if detached, ok = l.gatherAll(ctx, jobs.PrefixDetached); !ok {
			return
		}
	}
	l.post(func() { l.loadProgress(progress, detached); l.loading.jobsRevision = revision })
	l.loadImages(ctx)
	go l.reconcileStoredJobs(ctx)
	l.followJobs(ctx, revision)
}

// readAll lists the records below a prefix, again until it succeeds: handle may be called with an item more than once. ok is
// false if ctx ended before.
func (l *Loop) readAll(ctx context.Context, prefix string, handle func([]wire.Item) error) (revision uint64, ok bool) {
	ok = l.retry(ctx, func() (err error) {
		if revision, err = l.store.Urgent().ListAll(ctx, prefix, handle); err != nil {
			return fmt.Errorf("reading records below %s: %w", prefix, err)
		}
		return nil
	})
	return revision, ok
}

// gatherAll gives the records below a prefix, some perhaps repeatedly.
func (l *Loop) gatherAll(ctx context.Context, prefix string) (items []wire.Item, ok bool) {
	_, ok = l.readAll(ctx, prefix, func(page []wire.Item) error {
		items = append(items, page...)
		return nil
	})
	return items, ok
}

// followJobs loads new jobs from a revision on, as the state service's watch tells of them.
func (l *Loop) followJobs(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		r, err := l.store.Watch(ctx, jobs.PrefixJob, revision, tuning.JobWatch)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
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
		if seen := revision; len(items) > 0 {
			l.post(func() { l.loadJobs(items); l.loading.jobsRevision = seen })
		}
	}
}

// jobIDOf gives the job of a stored job's key.
func jobIDOf(key string) string { return key[len(jobs.PrefixJob):] }

// loadJobs loads stored jobs; those that are in memory already, or are over, change nothing.
func (l *Loop) loadJobs(items []wire.Item) {
	now := l.env.Clock.Now()
	for _, item := range items {
		id := jobIDOf(item.Key)
		if _, over := l.env.FinalStates.Get(id); over && l.loading.done {
			continue // a late event of a job that is over by now
		}
		known := l.jobs.Jobs[id] != nil
		j, err := l.jobs.LoadJob(item, now, now)
		if err != nil {
			l.log.Error("stored job unreadable", "err", err)
			continue
		}
		if !known {
			l.jobArrived(j, now)
		}
	}
	l.cycle.wake()
}

// jobArrived tells the other parts of a job that was not in memory before.
func (l *Loop) jobArrived(j *jobs.Job, now time.Time) {
	size := l.levels.jobArrived(j).sizeName()
	if l.loading.done {
		l.env.observe(func(o Observer) { o.JobArrived(j.Class, j.Team, size) })
	}
	l.fleet.planSoon(now) // rent at once if it finds no room
	l.arrivals.add(j, l.inInitialBacklog(now))
}

// loadProgress loads all progress records, with the charges that were detached from them. Then everything is in memory.
func (l *Loop) loadProgress(progress, detached []wire.Item) {
	now := l.env.Clock.Now()
	seen := map[string]bool{}
	for _, item := range progress {
		if seen[item.Key] {
			continue
		}
		seen[item.Key] = true
		if err := l.restoreAllocations(item, now); err != nil {
			// Without this record nobody knows where its tasks may be.
			l.end(err)
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

// restoreAllocations loads a progress record: its tasks may run where it says.
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

// finishLoading begins the work of the term: all records are in memory.
func (l *Loop) finishLoading(now time.Time) {
	l.jobs.FinishLoading()
	for _, err := range l.jobs.TakeDamaged() {
		l.log.Error("charges are lost", "err", err)
	}
	l.loading.done = true
	l.cycle.wake()
	for id, live := range l.levels.live {
		live.begun = l.jobs.Jobs[id].Allocated+l.jobs.Jobs[id].Done > 0
	}
	for _, s := range l.subsystems.joined {
		s.Loaded(l.jobs, now)
	}
	l.readSubsystems()
	took := now.Sub(l.startedAt)
	l.env.observe(func(o Observer) { o.FailoverDone(took) })
	l.log.Info("records loaded", "jobs", len(l.jobs.Jobs), "machines", len(l.machines.Machines), "took_ms", took.Milliseconds())
}
