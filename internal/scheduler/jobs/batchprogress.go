package jobs

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// addProgress adds dirty chunks that nobody waits for, the oldest first, within the budget
// for them.
func (b *batchBuilder) addProgress() {
	q, before := b.queue, b.changes()
	for n := len(q.lazy); n > 0; n-- {
		ref := q.lazy[0]
		c := ref.chunk()
		if c.dirty && !ref.job.ended {
			age := b.now.Sub(c.dirtySince)
			if b.changes() >= before+b.budget.lazy(age) || !b.hasRoomFor(ref) {
				break
			}
			if age < tuning.LazyFlush { // it was written for a start meanwhile, and changed again
				q.lazy = append(q.lazy[1:], ref)
				continue
			}
		}
		q.lazy, c.queued = q.lazy[1:], false
		b.writeProgress(ref)
	}
	b.batch.Counts.Progress = b.changes() - before
}

// lazy is how many changes that nobody waits for may be in a transaction before one that
// has waited for some time.
func (w WriteBudget) lazy(waited time.Duration) int {
	if waited >= tuning.LazyMax {
		return max(w.Spare, w.Overdue)
	}
	return w.Spare
}

// dropStaleRecords drops what jobs that are over left behind, as far as there is room to spare.
func (b *batchBuilder) dropStaleRecords() {
	q, before := b.queue, b.changes()
	for len(q.stale) > 0 && b.hasRoom(1) && b.changes() < before+b.budget.Spare {
		stale := q.stale[0]
		q.stale = q.stale[1:]
		b.drop(stale.Key, stale.Version)
	}
	b.batch.Counts.Garbage = b.changes() - before
}

// writeProgress writes a chunk's record, unless it is up to date or goes with its job.
func (b *batchBuilder) writeProgress(ref chunkRef) {
	c := ref.chunk()
	if !c.dirty || ref.job.ended {
		return
	}
	b.detachCharges(c)
	value, uncommitted := ref.encode(b.metered)
	c.dirty, c.urgent, c.writing = false, false, true
	b.guardJob(ref.job)
	b.put(ref.key(), c.version, value)
	b.batch.chunks = append(b.batch.chunks, ref)
	b.batch.allocations = append(b.batch.allocations, uncommitted...)
}

// detachCharges moves charges of a chunk that is about to be written to records of their
// own, if there are many.
func (b *batchBuilder) detachCharges(c *progressChunk) {
	for b.hasRoom(2) {
		d, value, ok := c.detachOldCharges()
		if !ok {
			return
		}
		b.put(d.Key, 0, value)
		b.batch.detached = append(b.batch.detached, d)
	}
}

// guardJob makes it a condition that a job is still stored as it was loaded. Progress is
// only written under it: a job that is over can never come back to life.
func (b *batchBuilder) guardJob(j *Job) {
	if !b.guarded[j.ID] {
		b.guarded[j.ID] = true
		b.require(KeyJob(j.ID), j.version)
	}
}
