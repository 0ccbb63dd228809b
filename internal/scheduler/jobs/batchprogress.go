package jobs

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// addProgress adds dirty chunks that nobody waits for, in the order in which they were queued, within the
// budget for them.
func (b *batchBuilder) addProgress() {
	q, before := b.queue, b.changeCount()
	for n := len(q.lazy); n > 0; n-- {
		ref := q.lazy[0]
		c := ref.chunk()
		if c.dirty && !ref.job.ended {
			age := b.now.Sub(c.dirtySince)
			if b.changeCount() >= before+b.budget.lazy(age) || !b.hasRoomFor(ref) {
				break
			}
			if age < tuning.LazyWriteDelay { // the chunk was written with a start while it was queued, and has changed again since
				q.lazy = append(q.lazy[1:], ref)
				continue
			}
		}
		q.lazy, c.inLazyQueue = q.lazy[1:], false
		b.writeProgress(ref)
	}
	b.batch.Counts.Progress = b.changeCount() - before
}

// lazy returns the maximum number of lazy changes, which nobody waits for, in one transaction. waited is how
// long the next lazy change has waited.
func (w WriteBudget) lazy(waited time.Duration) int {
	if waited >= tuning.LazyMaxWait {
		return max(w.Spare, w.Overdue)
	}
	return w.Spare
}

// deleteStaleRecords deletes records that finished jobs left behind, within the spare budget.
func (b *batchBuilder) deleteStaleRecords() {
	q, before := b.queue, b.changeCount()
	for len(q.stale) > 0 && b.hasRoom(1) && b.changeCount() < before+b.budget.Spare {
		stale := q.stale[0]
		q.stale = q.stale[1:]
		b.deleteKey(stale.Key, stale.Version)
	}
	b.batch.Counts.StaleDeletions = b.changeCount() - before
}

// writeProgress adds the write of a chunk's record, unless the record is up to date or the job has ended.
func (b *batchBuilder) writeProgress(ref chunkRef) {
	c := ref.chunk()
	if !c.dirty || ref.job.ended {
		return
	}
	b.detachCharges(ref)
	value, uncommitted := ref.encode(b.metered)
	c.dirty, c.urgent, c.writing = false, false, true
	b.requireJob(ref.job)
	b.put(ref.key(), c.version, value)
	b.batch.chunks = append(b.batch.chunks, ref)
	b.batch.allocations = append(b.batch.allocations, uncommitted...)
}

// detachCharges moves charges of a chunk to records of their own if its record has no room for them. It is called
// before the chunk's own record is written, and leaves room for that record.
func (b *batchBuilder) detachCharges(ref chunkRef) {
	c := ref.chunk()
	for _, n := range ref.chargesToDetach() {
		if !b.hasRoom(2) {
			return
		}
		d, value := c.detachOldCharges(n)
		b.put(d.Key, 0, value)
		b.batch.detached = append(b.batch.detached, d)
	}
	if exceeds(&c.pack, ref.roomForCharges()) {
		c.dropUnusedKinds()
	}
}

// requireJob adds the condition that the job record still has the version that was loaded. Every write of
// progress has this condition, so a repeated or late transaction cannot recreate progress of a job that has
// ended.
func (b *batchBuilder) requireJob(j *Job) {
	if !b.requiredJobs[j.ID] {
		b.requiredJobs[j.ID] = true
		b.require(KeyJob(j.ID), j.version)
	}
}
