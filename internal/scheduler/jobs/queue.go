package jobs

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// WriteDue reports whether changes should be written now.
func (s *Store) WriteDue(now time.Time) bool {
	s.flushLongRunning(now)
	return s.writeNow || s.flushDue(now)
}

// flushDue reports whether it is time to write what nobody waits for.
func (s *Store) flushDue(now time.Time) bool { return !s.flushAt.IsZero() && !now.Before(s.flushAt) }

// scheduleFlush has lazy changes written within LazyFlush.
func (s *Store) scheduleFlush(now time.Time) {
	if s.flushAt.IsZero() {
		s.flushAt = now.Add(tuning.LazyFlush)
	}
}

// FlushSoon has a task's record written soon. It is for a worker that holds many ended
// tasks which it may not forget yet: its heartbeat must not outgrow what a request may be.
func (s *Store) FlushSoon(j *Job, index int) {
	if ref := chunkOf(j, index); !j.ending && ref.chunk().dirty {
		s.markUrgent(ref)
	}
}

// Persisted reports whether the stored record of a task says what memory says.
func (s *Store) Persisted(j *Job, index int) bool {
	c := chunkOf(j, index).chunk()
	// While the job's end is on its way nothing tells of its last tasks: workers that forgot
	// them in an outage had the next leader run them again.
	return !c.dirty && !c.writing && !j.ending
}

// markDirty notes that a chunk's record is out of date. It is written when there is room
// to spare, unless it is marked urgent as well.
func (s *Store) markDirty(ref chunkRef, now time.Time) {
	if c := ref.chunk(); !c.dirty {
		c.dirty, c.dirtySince = true, now
		if !c.writing {
			s.queueLazily(ref)
		}
	}
}

func (s *Store) queueLazily(ref chunkRef) {
	if c := ref.chunk(); !c.queued {
		c.queued = true
		s.lazyQueue = append(s.lazyQueue, ref)
	}
}

// markUrgent has a dirty chunk written before those that nobody waits for.
func (s *Store) markUrgent(ref chunkRef) {
	if c := ref.chunk(); !c.urgent {
		c.urgent = true
		if !c.writing {
			s.queueUrgently(ref)
		}
	}
}

func (s *Store) queueUrgently(ref chunkRef) {
	s.urgentQueue = append(s.urgentQueue, ref)
	s.writeNow = true
}

// queueEnd has a job's end written.
func (s *Store) queueEnd(j *Job) {
	if j.ending || j.ended {
		return
	}
	j.ending = true
	s.endQueue = append(s.endQueue, j)
	s.writeNow = true
}

// queueStale has a progress record of a job that is over dropped when there is room.
func (s *Store) queueStale(ref chunkRef, now time.Time) {
	s.staleRecords = append(s.staleRecords, wire.Condition{Key: ref.key(), Version: ref.chunk().version})
	if s.flushAt.IsZero() {
		s.flushAt = now
	}
}

// sortQueues puts what waits to be written in the order of the jobs' priorities, so
// that starts of urgent work do not wait behind hundreds of tiny jobs: starts before ends, and
// cancellations, which users wait for, behind the starts of the highest priority only.
func (s *Store) sortQueues() {
	slices.SortStableFunc(s.endQueue, func(x, y *Job) int { return cmp.Compare(y.endPriority(), x.endPriority()) })
	// What is about to be dropped with its job needs no writing.
	s.urgentQueue = slices.DeleteFunc(s.urgentQueue, func(r chunkRef) bool { return r.job.ending })
	slices.SortStableFunc(s.urgentQueue, func(x, y chunkRef) int { return cmp.Compare(y.job.Priority.Level(), x.job.Priority.Level()) })
}

// endGoesFirst reports whether the first end goes before the first start.
func (s *Store) endGoesFirst() bool {
	return len(s.urgentQueue) == 0 || len(s.endQueue) > 0 && s.endQueue[0].endPriority() > s.urgentQueue[0].job.Priority.Level()
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
