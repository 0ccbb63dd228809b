package leader

import (
	"context"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// reconcileStoredJobs compares the stored jobs with the book again and again: one that is stored and in no place here would be
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

// reconcileJobs takes in stored jobs that the book lacks. One that ended since they were read is over by what is known of
// final states. One that came behind what the watch has told, and not long ago, is not missing: with a slow state service the
// listing overtakes the watch, and operators were told of an error. A watch that stands still is one, unless the whole process stood
// still: then the right to act is over, and the listing may come in before what the watch had brought meanwhile.
func (l *Loop) reconcileJobs(items []wire.Item) {
	now := l.env.Clock.Now()
	var lacked []wire.Item
	for _, item := range items {
		id := item.Key[len(jobs.PrefixJob):]
		if _, over := l.env.FinalStates.Get(id); !over && l.jobs.Jobs[id] == nil {
			lacked = append(lacked, item)
		}
	}
	if len(lacked) == 0 {
		return
	}
	l.loadJobs(lacked)
	found, unreadable := 0, 0
	for _, item := range lacked {
		switch j := l.jobs.Jobs[item.Key[len(jobs.PrefixJob):]]; {
		case j == nil:
			unreadable++
		case item.Version <= l.watched || now.Sub(j.EnqueuedAt) > tuning.JobWatch && l.env.Valid(l.leadership.Term):
			found++
		}
	}
	if found+unreadable == 0 {
		return
	}
	l.env.observe(func(o Observer) { o.MissingJobsFound(found) })
	l.log.Error("stored jobs were missing here", "found", found, "unreadable", unreadable)
}
