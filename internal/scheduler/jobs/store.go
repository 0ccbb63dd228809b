// Package jobs holds the accepted jobs: their tasks, where each task may be, and the
// records of all that in the key-value store.
//
// A change is made in memory first and marks the records that it concerns. NextBatch
// gathers marked records into one transaction, and MarkCommitted applies that it is
// stored. A task may be started only once the record that names its allocation is
// stored, and a job's end is told only once it is stored.
//
// The Store belongs to the leader's loop and is not safe for concurrent use.
package jobs

import (
	"time"

	"poppypass/internal/platform/wire"
)

// Store holds the live jobs. The times that its methods take are the leader's clock.
type Store struct {
	Jobs map[string]*Job

	// Metered tells that what tasks take is charged: the times that charges count from
	// are stored then.
	Metered bool

	txnOps int // changes that one transaction may hold
	queue  writeQueue

	newlyRunning []*Allocation // seen to run, in that order
	detached     []DetachedCharges
	damaged      []error
}

// NewStore makes an empty store; txnOps is how many changes one transaction may hold.
func NewStore(txnOps int) *Store { return &Store{Jobs: map[string]*Job{}, txnOps: txnOps} }

// Allocate decides that a waiting task goes to a machine. The task may be started once
// the allocation is committed.
func (s *Store) Allocate(j *Job, index int, machine, zone string, incarnation uint64, now time.Time) *Allocation {
	t := &j.Tasks[index]
	t.Attempt++
	a := &Allocation{
		Job: j, Index: index, Attempt: t.Attempt, Machine: machine, Zone: zone, Incarnation: incarnation,
		KnownSince: now, AllocatedAt: now,
	}
	j.allocate(a)
	s.queue.markDirty(a.chunk(), now)
	s.queue.markUrgent(a.chunk())
	return a
}

// MarkDone records that an allocated task has completed.
func (s *Store) MarkDone(a *Allocation, now time.Time) {
	if a.Removed {
		return
	}
	a.Job.release(a, Done)
	a.Job.Done++
	s.markReleased(a, now)
}

// MarkLost records that a task is proven gone from its machine without completing; it
// waits again.
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

// markReleased has what follows from the end of an allocation written.
func (s *Store) markReleased(a *Allocation, now time.Time) {
	s.queue.markDirty(a.chunk(), now)
	s.queue.scheduleFlush(now)
	s.checkEnd(a.Job)
}

// Cancel requests that a job is cancelled; fn is told the final state once it is stored.
// That is stored once all its tasks are gone: until then no more are started.
func (s *Store) Cancel(j *Job, fn func(wire.JobState)) {
	if j.cancelled {
		fn(wire.StateCancelled)
		return
	}
	j.waiters = append(j.waiters, fn)
	if j.ending || j.cancelWanted {
		return // fn learns how it ends
	}
	j.cancelWanted = true
	s.checkEnd(j)
}

// checkEnd queues the end of a job whose tasks are all done, the cancellation of
// one that is to be cancelled and whose tasks are all gone, or the dropping of one that was.
func (s *Store) checkEnd(j *Job) {
	if j.Done == len(j.Tasks) || j.Cancelled() && j.Allocated == 0 {
		s.queue.pushEnd(j)
	}
}

// WriteDue reports whether changes should be written now.
func (s *Store) WriteDue(now time.Time) bool {
	s.flushLongRunning(now)
	return s.queue.writeNow || s.queue.flushDue(now)
}

// FlushSoon has a task's record written soon. It is for a worker that holds many ended
// tasks which it may not forget yet: its heartbeat must not outgrow what a request may be.
func (s *Store) FlushSoon(j *Job, index int) {
	if ref := chunkOf(j, index); !j.ending && ref.chunk().dirty {
		s.queue.markUrgent(ref)
	}
}

// Persisted reports whether the stored record of a task says what memory says.
func (s *Store) Persisted(j *Job, index int) bool {
	c := chunkOf(j, index).chunk()
	// While the job's end is on its way nothing tells of its last tasks: workers that forgot
	// them in an outage had the next leader run them again.
	return !c.dirty && !c.writing && !j.ending
}
