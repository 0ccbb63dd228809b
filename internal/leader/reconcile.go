package leader

import (
	"context"

	"poppypass/internal/jobs"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// reconcile compares the stored jobs with the book again and again: one that is stored and in no place here would be
// known to its user and never run. The watch of new jobs names each once; whatever made it miss one, this finds it.
func (l *Loop) reconcile(ctx context.Context) {
	for {
		l.env.sleep(ctx, tuning.ReconcileEvery)
		if ctx.Err() != nil {
			return
		}
		var items []wire.Item
		if _, err := l.store.Spare().ListAll(ctx, jobs.PrefixJob, func(page []wire.Item) error {
			items = append(items, page...)
			return nil
		}); err != nil {
			l.log.Debug("stored jobs unreadable", "err", err)
			continue
		}
		l.post(func() { l.compareJobs(items) })
	}
}

// compareJobs takes in stored jobs that the book lacks. One that ended since they were read is over by what is known of
// final states. Those that came behind what the watch has told are not missing: with a slow state service the listing
// overtakes it, and operators were told of an error.
func (l *Loop) compareJobs(items []wire.Item) {
	var missing, early []wire.Item
	for _, item := range items {
		id := item.Key[len(jobs.PrefixJob):]
		_, over := l.env.Finals.Get(id)
		switch {
		case over || l.book.Jobs[id] != nil:
		case item.Version > l.watched:
			early = append(early, item)
		default:
			missing = append(missing, item)
		}
	}
	if len(early) > 0 {
		l.takeJobs(early)
	}
	if len(missing) == 0 {
		return
	}
	before := len(l.book.Jobs)
	l.takeJobs(missing)
	found := len(l.book.Jobs) - before
	l.env.observe(func(o Observer) { o.Found(found) })
	l.log.Error("stored jobs were missing here", "found", found, "unreadable", len(missing)-found)
}
