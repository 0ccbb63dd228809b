package jobs

import (
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// minEndChanges is how many changes a job's end takes at the least: its final state,
// its record and one progress record.
const minEndChanges = 3

// addNextEnd writes the first end, and reports whether it had room.
func (b *batchBuilder) addNextEnd() bool {
	q := b.queue
	if !b.hasRoom(minEndChanges) || !b.settleCharges(q.ends[0]) {
		return false
	}
	j := q.ends[0]
	q.ends = q.ends[1:]
	b.endJob(j)
	return true
}

// settleCharges reports whether the charges that a job's end brings along fit the
// transaction with it. If not, it writes them as far as there is room: the end then goes
// with a later batch.
func (b *batchBuilder) settleCharges(j *Job) bool {
	charged, long := j.unwrittenCharges()
	few := len(charged) <= tuning.EndChunks && b.hasRoom(2+len(charged)) && b.hasRoomFor(charged...)
	if !long && (len(charged) == 0 || few) {
		return true
	}
	for _, ref := range charged {
		if !b.hasRoomFor(ref) {
			break
		}
		b.writeProgress(ref)
	}
	return false
}

// unwrittenCharges are the job's chunks with charges that are not stored yet. long tells
// that one holds more of them than one record may.
func (j *Job) unwrittenCharges() (charged []chunkRef, long bool) {
	for n := range j.chunks {
		if c := &j.chunks[n]; c.dirty && len(c.pack.Charges) > 0 {
			charged = append(charged, chunkRef{j, n})
			long = long || len(c.pack.Charges) > tuning.DetachChargesMax
		}
	}
	return charged, long
}

// endJob stores a job's final state, unless it is stored already, and drops the job's other
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
	b.drop(KeyJob(j.ID), j.version)
	for n := range j.chunks {
		b.endChunk(chunkRef{j, n})
	}
	b.batch.ends = append(b.batch.ends, end)
}

// endChunk drops the record of a chunk of a job that ends, now or when there is room, or
// leaves it behind with its charges.
func (b *batchBuilder) endChunk(ref chunkRef) {
	c := ref.chunk()
	dirty := c.dirty
	c.dirty, c.urgent = false, false
	switch {
	case len(c.pack.Charges) > 0:
		b.leaveCharges(ref, dirty)
	case c.version == 0: // there is no record
	case b.hasRoom(1):
		b.drop(ref.key(), c.version)
	default:
		b.queue.pushStale(ref, b.now)
	}
}

// leaveCharges makes the progress record of a job that ends a record of detached charges.
// It is written only if it does not hold them all yet.
func (b *batchBuilder) leaveCharges(ref chunkRef, dirty bool) {
	c := ref.chunk()
	d := DetachedCharges{Key: ref.key(), Pack: &c.pack, Version: c.version}
	if dirty {
		b.put(d.Key, c.version, wire.EncodeRecord(detachedRecord{Charges: charge.EncodePack(&c.pack)}))
		d.Version = 0
	}
	b.batch.detached = append(b.batch.detached, d)
}
