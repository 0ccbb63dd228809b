package jobs

import (
	"time"

	"poppypass/internal/platform/wire"
)

// Batch is one transaction that writes changes of a Store, and the effects that follow once it is committed.
type Batch struct {
	Txn wire.Txn
	// Counts classifies the transaction's changes by purpose.
	Counts BatchCounts

	chunks      []chunkRef    // chunks whose progress records the transaction writes
	allocations []*Allocation // allocations that the transaction commits
	ends        []jobEnd      // jobs that the transaction ends
	// detached holds the records of charges that the transaction detaches. Version is 0 if the transaction
	// writes the record; the record's version is then the revision of the transaction.
	detached []DetachedCharges
}

// BatchCounts counts the changes of a transaction by purpose.
type BatchCounts struct {
	Starts         int // writes of urgent progress records, mostly of allocations whose tasks wait to be started
	Ends           int // writes and deletions that belong to ends of jobs
	Progress       int // writes of lazy progress records, which nobody waits for
	StaleDeletions int // deletions of records that finished jobs left behind
}

// jobEnd is the end of one job in a batch.
type jobEnd struct {
	job   *Job
	state wire.JobState // the final state that the batch stores; empty: it was stored before
}

// FinishedJob is a job whose final state is now stored.
type FinishedJob struct {
	Job   *Job
	State wire.JobState
}

// WriteBudget limits how many of the currently permitted writes one transaction may use.
type WriteBudget struct {
	Changes int // all changes in the transaction; 0: as many as one transaction may hold
	Spare   int // changes among them that nobody waits for
	// Overdue is like Spare, for records that have been dirty for at least LazyMaxWait. The larger of Spare and
	// Overdue applies to them.
	Overdue int
}

// NextBatch builds the next transaction, or returns nil if there is nothing to write. Only one transaction may
// be in flight at a time. Changes that somebody waits for are written first. Otherwise the finished tasks of
// large arrays would use up the write limit, and starts would wait behind them. NextBatch is best called when
// the transaction may be sent at once: changes that have to wait for the write limit then remain in the queue,
// and their order is decided as late as possible.
func (s *Store) NextBatch(now time.Time, budget WriteBudget) *Batch {
	b := newBatchBuilder(s, now, budget)
	s.queue.sort()
	b.addStartsAndEnds()
	if s.queue.flushDue(now) {
		b.addProgress()
		b.deleteStaleRecords()
	}
	s.queue.updateDue()
	if b.changeCount() == 0 {
		return nil
	}
	return b.batch
}

// MarkCommitted records that a batch is stored at a revision of the key-value store. It returns the
// allocations whose tasks may now be started, and the jobs whose final state is now stored.
func (s *Store) MarkCommitted(batch *Batch, revision uint64) (startable []*Allocation, finished []FinishedJob) {
	for _, ref := range batch.chunks {
		s.chunkCommitted(ref, revision)
	}
	for _, d := range batch.detached {
		if d.Version == 0 {
			d.Version = revision
		}
		s.detached = append(s.detached, d)
	}
	for _, a := range batch.allocations {
		a.Committed = true
		if !a.Removed {
			startable = append(startable, a)
		}
	}
	for _, e := range batch.ends {
		s.endCommitted(e.job)
		if e.state != "" {
			finished = append(finished, FinishedJob{e.job, e.state})
			e.job.notifyWaiters(e.state)
		}
	}
	return startable, finished
}

// chunkCommitted records a written chunk's version, and queues the chunk again if it changed during the
// write.
func (s *Store) chunkCommitted(ref chunkRef, revision uint64) {
	c := ref.chunk()
	c.version, c.writing = revision, false
	switch {
	case c.urgent:
		s.queue.pushUrgent(ref)
	case c.dirty:
		s.queue.pushLazy(ref)
	}
}

// endCommitted removes a job whose end is stored.
func (s *Store) endCommitted(j *Job) {
	j.endPending, j.ended = false, true
	delete(s.Jobs, j.ID)
}
