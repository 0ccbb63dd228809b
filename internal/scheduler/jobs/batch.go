package jobs

import (
	"time"

	"poppypass/internal/platform/wire"
)

// Batch is one transaction of the store's changes.
type Batch struct {
	Txn wire.Txn
	// Counts says how many of its changes serve what.
	Counts BatchCounts

	chunks      []chunkRef
	allocations []*Allocation     // that the transaction commits
	ends        []jobEnd          // of jobs
	detached    []DetachedCharges // their version is that of the batch, if 0
}

// BatchCounts are numbers of changes, by what they serve.
type BatchCounts struct {
	Starts   int // records of allocations whose tasks wait to be started
	Ends     int // ends of jobs, with what goes with them
	Progress int // records that nobody waits for
	Garbage  int // drops of what jobs that are over left behind
}

// jobEnd is a job's end in a batch.
type jobEnd struct {
	job   *Job
	state wire.JobState // the state that it stores; empty: it was stored before
}

// FinishedJob is a job that came to a final state.
type FinishedJob struct {
	Job   *Job
	State wire.JobState
}

// WriteBudget is how much of the limit on changes a transaction may use.
type WriteBudget struct {
	Changes int // all that go into it; 0: as many as one transaction holds
	Spare   int // those of them that nobody waits for
	Overdue int // the same, for records that have waited for LazyMax
}

// NextBatch gathers the next transaction, or returns nil when there is nothing to write.
// Only one may be on its way at a time. What somebody waits for goes first: finished tasks
// of large arrays would otherwise use up the limit on changes, and starts wait
// behind them. It is best called once the changes may be written at once: what has
// to wait for the limit anyway is then put in order as late as can be.
func (s *Store) NextBatch(now time.Time, budget WriteBudget) *Batch {
	b := newBatchBuilder(s, now, budget)
	s.queue.sort()
	b.addStartsAndEnds()
	if s.queue.flushDue(now) {
		b.addProgress()
		b.dropStaleRecords()
	}
	s.queue.updateDue()
	if b.changes() == 0 {
		return nil
	}
	return b.batch
}

// MarkCommitted records that a batch is stored at a revision. It returns the allocations
// whose tasks may now be started, and the jobs that came to a final state.
func (s *Store) MarkCommitted(b *Batch, revision uint64) (start []*Allocation, over []FinishedJob) {
	for _, ref := range b.chunks {
		s.chunkCommitted(ref, revision)
	}
	for _, d := range b.detached {
		if d.Version == 0 {
			d.Version = revision
		}
		s.detached = append(s.detached, d)
	}
	for _, a := range b.allocations {
		a.Committed = true
		if !a.Removed {
			start = append(start, a)
		}
	}
	for _, e := range b.ends {
		s.endCommitted(e.job)
		if e.state != "" {
			over = append(over, FinishedJob{e.job, e.state})
			e.job.notifyWaiters(e.state)
		}
	}
	return start, over
}

// chunkCommitted queues a written chunk again if it changed meanwhile.
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

func (s *Store) endCommitted(j *Job) {
	j.ending, j.ended = false, true
	delete(s.Jobs, j.ID)
}
