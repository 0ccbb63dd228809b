// Package jobs holds the leader's state of accepted jobs: their tasks, the machine on which each task may
// be, and the records of this state in the key-value store.
//
// Each change is made in memory first and marks the affected records as dirty. NextBatch gathers dirty
// records into one transaction. MarkCommitted applies the effects of a stored transaction. A task may be
// started only after the record that names its allocation is stored. A job's end is reported only after it
// is stored.
//
// Only the leader's loop uses the Store, which is not safe for concurrent use.
package jobs

import (
	"time"

	"poppypass/internal/platform/wire"
)

// Store holds the live jobs. Arguments named now are times of the leader's clock.
type Store struct {
	Jobs map[string]*Job // by job ID

	// Metered is whether resource use is charged. If so, progress records contain the times from which
	// charges are computed.
	Metered bool

	maxTxnChanges int // maximum number of changes in one transaction
	queue         writeQueue

	newlyRunning []*Allocation     // allocations in the order in which they were first seen running; their ChargedFrom may not be stored yet
	detached     []DetachedCharges // not yet returned by TakeDetached
	chargeErrors []error           // not yet returned by TakeChargeErrors
}

// NewStore returns an empty store. maxTxnChanges is the maximum number of changes in one transaction.
func NewStore(maxTxnChanges int) *Store {
	return &Store{Jobs: map[string]*Job{}, maxTxnChanges: maxTxnChanges}
}

// Allocate assigns a waiting task to a machine under a new attempt number. The task may be started once the
// allocation is committed.
func (s *Store) Allocate(j *Job, index int, machine, zone string, incarnation uint64, now time.Time) *Allocation {
	t := &j.Tasks[index]
	t.Attempt++
	a := &Allocation{
		Job: j, Index: index, Attempt: t.Attempt, Machine: machine, Zone: zone, Incarnation: incarnation,
		KnownSince: now, AllocatedAt: now,
	}
	j.allocate(a)
	s.queue.markDirty(a.chunkRef(), now)
	s.queue.markUrgent(a.chunkRef())
	return a
}

// MarkDone records that an allocated task completed.
func (s *Store) MarkDone(a *Allocation, now time.Time) {
	if a.Removed {
		return
	}
	a.Job.release(a, Done)
	a.Job.Done++
	s.markReleased(a, now)
}

// MarkLost records that a task is proven gone from its machine without having completed. The task waits
// for another allocation.
func (s *Store) MarkLost(a *Allocation, now time.Time) {
	if a.Removed {
		return
	}
	j := a.Job
	if j.Waiting() == 0 {
		j.WaitingSince = now
	}
	j.release(a, Waiting)
	j.firstWaiting = min(j.firstWaiting, a.Index)
	s.markReleased(a, now)
}

// markReleased queues the writes that follow from the end of an allocation.
func (s *Store) markReleased(a *Allocation, now time.Time) {
	s.queue.markDirty(a.chunkRef(), now)
	s.queue.scheduleFlush(now)
	s.queueEndIfFinished(a.Job)
}

// Cancel requests the cancellation of a job. No more of the job's tasks are started. The cancellation is stored
// once all its tasks are proven gone. fn is called with the job's final state once that state is stored.
func (s *Store) Cancel(j *Job, fn func(wire.JobState)) {
	if j.cancelled {
		fn(wire.StateCancelled)
		return
	}
	j.waiters = append(j.waiters, fn)
	if j.endPending || j.cancelWanted {
		return // fn is called when the pending end or cancellation is stored
	}
	j.cancelWanted = true
	s.queueEndIfFinished(j)
}

// queueEndIfFinished queues the write of a job's end if all its tasks are done, or if it is cancelled and
// none of its tasks is allocated. If the stored job record already says that it is cancelled, the write only
// deletes the job's records.
func (s *Store) queueEndIfFinished(j *Job) {
	if j.Done == len(j.Tasks) || j.Cancelled() && j.Allocated == 0 {
		s.queue.pushEnd(j)
	}
}

// WriteDue reports whether changes should be written now.
func (s *Store) WriteDue(now time.Time) bool {
	s.flushLongRunning(now)
	return s.queue.writeNow || s.queue.flushDue(now)
}

// FlushSoon marks a task's record as urgent if it is dirty. It is called when a worker reports many ended
// tasks. The worker must retain each of them until its end is stored, and without the early write the worker's
// heartbeat could exceed the size limit of a request.
func (s *Store) FlushSoon(j *Job, index int) {
	if ref := chunkRefOf(j, index); !j.endPending && ref.chunk().dirty {
		s.queue.markUrgent(ref)
	}
}

// Persisted reports whether the stored record of a task is up to date with memory.
func (s *Store) Persisted(j *Job, index int) bool {
	c := chunkRefOf(j, index).chunk()
	// While the write of the job's end is pending, no stored record says that the job's last tasks ended. If
	// the workers forgot these tasks now and the leader changed in an outage, the next leader would run them
	// again.
	return !c.dirty && !c.writing && !j.endPending
}
