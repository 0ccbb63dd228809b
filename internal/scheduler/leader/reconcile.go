package leader

import (
	"context"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// reconcileStoredJobs compares the stored jobs with those in memory, periodically until ctx ends. A job that is
// stored but not in memory would look accepted to its user and never run. The watch reports each new job only once;
// if it misses one, for whatever reason, this comparison finds it.
func (l *Loop) reconcileStoredJobs(ctx context.Context) {
	for {
		l.env.sleep(ctx, tuning.ReconcileEvery)
		if ctx.Err() != nil {
			return
		}
		var items []wire.Item
		if _, err := l.store.LowPriority().ListAll(ctx, jobs.PrefixJob, func(page []wire.Item) error {
			items = append(items, page...)
			return nil
		}); err != nil {
			l.log.Debug("listing the stored jobs failed; trying again later", "err", err)
			continue
		}
		l.post(func() { l.reconcileJobs(items) })
	}
}

// reconcileJobs loads the stored jobs that are not in memory. It counts those that should have been in memory, and those
// that cannot be loaded. If there are any, it reports the first number to the observer and logs both as an error.
func (l *Loop) reconcileJobs(items []wire.Item) {
	now := l.env.Clock.Now()
	unknown := l.notInMemory(items)
	if len(unknown) == 0 {
		return
	}
	l.loadJobs(unknown)
	missed, unreadable := 0, 0
	for _, item := range unknown {
		switch j := l.jobs.Jobs[jobIDOf(item.Key)]; {
		case j == nil:
			unreadable++
		case l.wasMissed(item, j, now):
			missed++
		}
	}
	if missed+unreadable == 0 {
		return
	}
	l.env.observe(func(o Observer) { o.MissingJobsFound(missed) })
	l.log.Error("stored jobs were missing in memory; loaded all but the unreadable ones", "found", missed, "unreadable", unreadable)
}

// notInMemory returns the stored jobs of a listing that are not in memory. Jobs that finished after they were
// listed are left out, if their final states are still remembered.
func (l *Loop) notInMemory(items []wire.Item) []wire.Item {
	var unknown []wire.Item
	for _, item := range items {
		id := jobIDOf(item.Key)
		if _, finished := l.env.FinalStates.Get(id); !finished && l.jobs.Jobs[id] == nil {
			unknown = append(unknown, item)
		}
	}
	return unknown
}

// wasMissed reports whether the watch should already have reported a stored job. A job that is newer than the watch's
// last revision and was accepted within the last JobWatchWait was not missed: with a slow state service, the listing
// may show a job before the watch reports it, and operators must not get an error for that. A watch that stays behind
// for longer than JobWatchWait is an error, unless the whole process was suspended. In that case the listing may be
// handled before the events that the watch received in the meantime. Either this member may no longer act, or the watch
// request has been in flight for longer than the state service waits.
func (l *Loop) wasMissed(item wire.Item, j *jobs.Job, now time.Time) bool {
	if item.Version <= l.loading.watchedRevision {
		return true
	}
	suspended := !l.env.MayAct(l.leadership.Term) || now.Sub(l.loading.watchSentAt) > tuning.JobWatchWait
	return now.Sub(j.EnqueuedAt) > tuning.JobWatchWait && !suspended
}
