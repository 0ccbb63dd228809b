package jobs

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// writeQueue holds the store's changes that are to be written. A change is urgent if somebody waits for it:
// the start of a task or the end of a job. Any other change is lazy: it waits until the write limit has spare
// room, so that several changes of one record share a write.
type writeQueue struct {
	urgent []chunkRef       // urgent chunks; sort puts them in order of priority
	lazy   []chunkRef       // chunks with lazy changes, in queueing order; some may be urgent too, or written by now
	ends   []*Job           // jobs whose end is to be written
	stale  []wire.Condition // records of finished jobs, to be deleted

	flushAt  time.Time // time from which lazy changes are written; zero: not scheduled
	writeNow bool      // an urgent change waits
}

// flushDue reports whether it is time to write lazy changes.
func (q *writeQueue) flushDue(now time.Time) bool {
	return !q.flushAt.IsZero() && !now.Before(q.flushAt)
}

// scheduleFlush sets the time for writing lazy changes to LazyWriteDelay from now, unless one is already set.
func (q *writeQueue) scheduleFlush(now time.Time) {
	if q.flushAt.IsZero() {
		q.flushAt = now.Add(tuning.LazyWriteDelay)
	}
}

// markDirty records that a chunk's stored record is out of date. The record is written when there is spare
// room, or earlier if the chunk is also marked urgent.
func (q *writeQueue) markDirty(ref chunkRef, now time.Time) {
	if c := ref.chunk(); !c.dirty {
		c.dirty, c.dirtySince = true, now
		if !c.writing {
			q.pushLazy(ref)
		}
	}
}

// pushLazy adds a chunk to the lazy queue, unless it is already there.
func (q *writeQueue) pushLazy(ref chunkRef) {
	if c := ref.chunk(); !c.inLazyQueue {
		c.inLazyQueue = true
		q.lazy = append(q.lazy, ref)
	}
}

// markUrgent puts a dirty chunk before those that nobody waits for. If its record is being written now, the
// chunk is queued once that write is committed.
func (q *writeQueue) markUrgent(ref chunkRef) {
	if c := ref.chunk(); !c.urgent {
		c.urgent = true
		if !c.writing {
			q.pushUrgent(ref)
		}
	}
}

func (q *writeQueue) pushUrgent(ref chunkRef) {
	q.urgent = append(q.urgent, ref)
	q.writeNow = true
}

// pushEnd queues the write of a job's end, unless it is already queued, in flight or stored.
func (q *writeQueue) pushEnd(j *Job) {
	if j.endPending || j.ended {
		return
	}
	j.endPending = true
	q.ends = append(q.ends, j)
	q.writeNow = true
}

// pushStale queues a progress record of a finished job for deletion when there is spare room.
func (q *writeQueue) pushStale(ref chunkRef, now time.Time) {
	q.stale = append(q.stale, wire.Condition{Key: ref.key(), Version: ref.chunk().version})
	if q.flushAt.IsZero() {
		q.flushAt = now
	}
}

// sort puts the urgent changes in order of the jobs' priorities, so that starts of high-priority jobs do not
// wait behind hundreds of tiny jobs. Within a priority, starts come before ends. Users wait for cancellations,
// so these count as ends of the highest priority (endPriority), and only starts of that priority precede them.
func (q *writeQueue) sort() {
	slices.SortStableFunc(q.ends, func(x, y *Job) int { return cmp.Compare(y.endPriority(), x.endPriority()) })
	// Records of ending jobs need no write of their own: the job's end deletes or detaches them.
	q.urgent = slices.DeleteFunc(q.urgent, func(r chunkRef) bool { return r.job.endPending })
	slices.SortStableFunc(q.urgent, func(x, y chunkRef) int { return cmp.Compare(y.job.Priority.Level(), x.job.Priority.Level()) })
}

// endGoesFirst reports whether the first queued end is written before the first urgent chunk.
func (q *writeQueue) endGoesFirst() bool {
	return len(q.urgent) == 0 || len(q.ends) > 0 && q.ends[0].endPriority() > q.urgent[0].job.Priority.Level()
}

// updateDue is called after a batch is built. It sets writeNow and flushAt according to the changes that
// remain queued.
func (q *writeQueue) updateDue() {
	q.writeNow = len(q.ends)+len(q.urgent) > 0
	if len(q.lazy)+len(q.stale) == 0 {
		q.flushAt = time.Time{}
	}
}

// endPriority returns the priority level of the write of a job's end. A cancellation has the level of
// production jobs because its user waits for it. Starts of production jobs are still written before it: each
// cancellation needs three changes, and its tasks are already being stopped. When many simultaneous
// cancellations were written first, they delayed those starts.
func (j *Job) endPriority() int {
	if j.cancelWanted {
		return wire.PriorityProduction.Level()
	}
	return j.Priority.Level()
}
