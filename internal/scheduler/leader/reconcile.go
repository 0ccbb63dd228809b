package leader

import (
	"context"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// reconcileStoredJobs compares the stored jobs with those in memory again and again: one that is stored and not in memory would be
// known to its user and never run. The watch of new jobs names each once; whatever made it miss one, this finds it.
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
			l.log.Debug("stored jobs unreadable", "err", err)
			continue
		}
		l.post(func() { l.reconcileJobs(items) })
	}
}

// reconcileJobs loads stored jobs that are not in memory, and tells operators of those that should have been.
func (l *Loop) reconcileJobs(items []wire.Item) {
	now := l.env.Clock.Now()
	unknown := l.notInMemory(items)
	if len(unknown) == 0 {
		return
	}
	l.loadJobs(unknown)
	found, unreadable := 0, 0
	for _, item := range unknown {
		switch j := l.jobs.Jobs[jobIDOf(item.Key)]; {
		case j == nil:
			unreadable++
		case l.wasMissed(item, j, now):
			found++
		}
	}
	if found+unreadable == 0 {
		return
	}
	l.env.observe(func(o Observer) { o.MissingJobsFound(found) })
	l.log.Error("stored jobs were missing here", "found", found, "unreadable", unreadable)
}

// notInMemory are those of some stored jobs that are not in memory. One that ended since they were read is over by what is known of
// final states.
func (l *Loop) notInMemory(items []wire.Item) []wire.Item {
	var unknown []wire.Item
	for _, item := range items {
		id := jobIDOf(item.Key)
		if _, over := l.env.FinalStates.Get(id); !over && l.jobs.Jobs[id] == nil {
			unknown = append(unknown, item)
		}
	}
	return unknown
}

// wasMissed reports whether the watch should have told of a job. One that came behind what the watch has told, and not long ago, is not
// missing: with a slow state service the listing overtakes the watch, and operators were told of an error. A watch that stands still
// is an error, unless the whole process stood
// still: then the right to act is over, and the listing may come in before what the watch had brought meanwhile.
func (l *Loop) wasMissed(item wire.Item, j *jobs.Job, now time.Time) bool {
	return item.Version <= l.loading.jobsRevision || now.Sub(j.EnqueuedAt) > tuning.JobWatch && l.env.Valid(l.leadership.Term)
}
