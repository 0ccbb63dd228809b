package jobs

import (
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// minEndChanges is the number of changes for which a batch must have room before a job's end is added to it:
// the job's final state, the job record and one progress record.
const minEndChanges = 3

// addNextEnd adds the first queued end, and reports whether there was room for it.
func (b *batchBuilder) addNextEnd() bool {
	q := b.queue
	if !b.hasRoom(minEndChanges) || !b.writeChargesBeforeEnd(q.ends[0]) {
		return false
	}
	j := q.ends[0]
	q.ends = q.ends[1:]
	b.endJob(j)
	return true
}

// writeChargesBeforeEnd reports whether the job's unwritten charges fit into the transaction together with
// the job's end. If they do not, it writes them as far as there is room, and a later batch writes the end.
func (b *batchBuilder) writeChargesBeforeEnd(j *Job) bool {
	chunks, oversized := j.chunksWithUnwrittenCharges()
	fit := len(chunks) <= tuning.JobEndMaxChunks && b.hasRoom(2+len(chunks)) && b.hasRoomFor(chunks...)
	if !oversized && (len(chunks) == 0 || fit) {
		return true
	}
	for _, ref := range chunks {
		if !b.hasRoomFor(ref) {
			break
		}
		b.writeProgress(ref)
	}
	return false
}

// chunksWithUnwrittenCharges returns the job's dirty chunks that have charges. oversized reports whether one
// of them has more charges than one record may hold. Kinds of machines that no charge refers to are dropped.
func (j *Job) chunksWithUnwrittenCharges() (chunks []chunkRef, oversized bool) {
	for n := range j.chunks {
		if c := &j.chunks[n]; c.dirty && len(c.pack.Charges) > 0 {
			c.dropUnusedKinds()
			chunks = append(chunks, chunkRef{j, n})
			oversized = oversized || len(c.pack.Charges) > tuning.DetachChargesMax || exceeds(&c.pack, chargeRecordBytes)
		}
	}
	return chunks, oversized
}

// endJob stores a job's final state, unless it is already stored, and deletes or detaches the job's other
// records.
func (b *batchBuilder) endJob(j *Job) {
	end := jobEnd{job: j}
	j.endSent = true
	if !j.cancelled {
		end.state = wire.StateDone
		if j.Done < len(j.Tasks) {
			end.state = wire.StateCancelled
		}
		b.put(KeyFinalState(j.ID), 0, wire.EncodeRecord(FinalState{State: end.state, Done: j.Done}))
	}
	b.deleteKey(KeyJob(j.ID), j.version)
	for n := range j.chunks {
		b.deleteOrDetachChunk(chunkRef{j, n})
	}
	b.batch.ends = append(b.batch.ends, end)
}

// deleteOrDetachChunk handles a chunk of a job that ends. A record with charges becomes a record of detached
// charges. Any other record is deleted in this transaction, or in a later one if this one has no room.
func (b *batchBuilder) deleteOrDetachChunk(ref chunkRef) {
	c := ref.chunk()
	dirty := c.dirty
	c.dirty, c.urgent = false, false
	switch {
	case len(c.pack.Charges) > 0:
		b.detachWholeRecord(ref, dirty)
	case c.version == 0: // no record is stored
	case b.hasRoom(1):
		b.deleteKey(ref.key(), c.version)
	default:
		b.queue.pushStale(ref, b.now)
	}
}

// detachWholeRecord turns the progress record of an ending job into a record of detached charges under the
// same key. The record is written only if the chunk is dirty; otherwise the stored record already contains all
// charges.
func (b *batchBuilder) detachWholeRecord(ref chunkRef, dirty bool) {
	c := ref.chunk()
	d := DetachedCharges{Key: ref.key(), Pack: &c.pack, Version: c.version}
	if dirty {
		b.put(d.Key, c.version, wire.EncodeRecord(detachedRecord{Charges: charge.EncodePack(&c.pack)}))
		d.Version = 0
	}
	b.batch.detached = append(b.batch.detached, d)
}
