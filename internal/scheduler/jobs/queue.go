package jobs

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// writeQueue holds what of the store's changes is to be written. A change is urgent when
// somebody waits for it: the starts of tasks and the ends of jobs. Any other is lazy: it waits
// for room to spare, so that changes of one record share a write.
type writeQueue struct {
	urgent []chunkRef       // in the order in which they became so
	lazy   []chunkRef       // the other dirty ones, in the order in which they became so
	ends   []*Job           // whose end is to be written
	stale  []wire.Condition // records of jobs that are over, to be dropped

	flushAt  time.Time // when the oldest lazy change is to be written; zero: there is none
	writeNow bool      // something urgent waits
}

// flushDue reports whether it is time to write what nobody waits for.
func (q *writeQueue) flushDue(now time.Time) bool {
	return !q.flushAt.IsZero() && !now.Before(q.flushAt)
}

// scheduleFlush has lazy changes written within LazyFlush.
func (q *writeQueue) scheduleFlush(now time.Time) {
	if q.flushAt.IsZero() {
		q.flushAt = now.Add(tuning.LazyFlush)
	}
}

// markDirty notes that a chunk's record is out of date. It is written when there is room
// to spare, unless it is marked urgent as well.
func (q *writeQueue) markDirty(ref chunkRef, now time.Time) {
	if c := ref.chunk(); !c.dirty {
		c.dirty, c.dirtySince = true, now
		if !c.writing {
			q.pushLazy(ref)
		}
	}
}

func (q *writeQueue) pushLazy(ref chunkRef) {
	if c := ref.chunk(); !c.queued {
		c.queued = true
		q.lazy = append(q.lazy, ref)
	}
}

// markUrgent has a dirty chunk written before those that nobody waits for.
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

// pushEnd has a job's end written.
func (q *writeQueue) pushEnd(j *Job) {
	if j.ending || j.ended {
		return
	}
	j.ending = true
	q.ends = append(q.ends, j)
	q.writeNow = true
}

// pushStale has a progress record of a job that is over dropped when there is room.
func (q *writeQueue) pushStale(ref chunkRef, now time.Time) {
	q.stale = append(q.stale, wire.Condition{Key: ref.key(), Version: ref.chunk().version})
	if q.flushAt.IsZero() {
		q.flushAt = now
	}
}

// sort puts what waits to be written in the order of the jobs' priorities, so
// that starts of urgent work do not wait behind hundreds of tiny jobs: starts before ends, and
// cancellations, which users wait for, behind the starts of the highest priority only.
func (q *writeQueue) sort() {
	slices.SortStableFunc(q.ends, func(x, y *Job) int { return cmp.Compare(y.endPriority(), x.endPriority()) })
	// What is about to be dropped with its job needs no writing.
	q.urgent = slices.DeleteFunc(q.urgent, func(r chunkRef) bool { return r.job.ending })
	slices.SortStableFunc(q.urgent, func(x, y chunkRef) int { return cmp.Compare(y.job.Priority.Level(), x.job.Priority.Level()) })
}

// endGoesFirst reports whether the first end goes before the first start.
func (q *writeQueue) endGoesFirst() bool {
	return len(q.urgent) == 0 || len(q.ends) > 0 && q.ends[0].endPriority() > q.urgent[0].job.Priority.Level()
}

// updateDue notes, once a batch is gathered, what still waits to be written.
func (q *writeQueue) updateDue() {
	q.writeNow = len(q.ends)+len(q.urgent) > 0
	if len(q.lazy)+len(q.stale) == 0 {
		q.flushAt = time.Time{}
	}
}

// endPriority is the priority of the write of a job's end. A cancellation, which its user
// waits for, has that of production, whose starts still go before it: cancellations that
// came together used to hold them up, although each takes three changes and its tasks are
// being stopped already.
func (j *Job) endPriority() int {
	if j.cancelWanted {
		return wire.PriorityProduction.Level()
	}
	return j.Priority.Level()
}
