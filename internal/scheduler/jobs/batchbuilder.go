package jobs

import (
	"encoding/json"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

const (
	// minEndChanges is how many changes a job's end takes at the least: its final state,
	// its record and one progress record.
	minEndChanges = 3
	// changeOverhead is what a change takes in a transaction besides its value and its
	// key, which its condition names once more, in bytes.
	changeOverhead = 64
)

// batchBuilder gathers changes into one transaction, within its limits of changes and bytes.
type batchBuilder struct {
	store      *Store
	now        time.Time
	budget     WriteBudget
	maxChanges int
	bytes      int
	guarded    map[string]bool // jobs whose stored record is a condition already
	batch      *Batch
}

func newBatchBuilder(s *Store, now time.Time, budget WriteBudget) *batchBuilder {
	most := s.txnOps
	if budget.Changes > 0 {
		most = min(most, budget.Changes)
	}
	return &batchBuilder{store: s, now: now, budget: budget, maxChanges: most, guarded: map[string]bool{}, batch: &Batch{}}
}

// changes is how many changes are gathered.
func (b *batchBuilder) changes() int { return len(b.batch.Txn.Then) }

// hasRoom reports whether n more changes fit.
func (b *batchBuilder) hasRoom(n int) bool {
	return b.changes()+n <= b.maxChanges && b.bytes < tuning.CommitBytes
}

// hasRoomFor reports whether the records of chunks fit, by what they take at the most: with
// charges, records are long enough for one to carry a transaction past its bound.
func (b *batchBuilder) hasRoomFor(refs ...chunkRef) bool {
	changes, bytes := 0, 0
	for _, r := range refs {
		changes += r.minChanges(b.store.txnOps)
		bytes += r.maxBytes()
	}
	return b.hasRoom(changes) && (b.changes() == 0 || b.bytes+bytes <= tuning.TxnBytes)
}

// put stores a value under a key that has a version; 0: that does not exist.
func (b *batchBuilder) put(key string, version uint64, value json.RawMessage) {
	b.require(key, version)
	b.batch.Txn.Then = append(b.batch.Txn.Then, wire.Change{Put: key, Value: value})
	b.bytes += len(value) + 2*len(key) + changeOverhead
}

// drop deletes a key that has a version.
func (b *batchBuilder) drop(key string, version uint64) {
	b.require(key, version)
	b.batch.Txn.Then = append(b.batch.Txn.Then, wire.Change{Delete: key})
	b.bytes += 2*len(key) + changeOverhead
}

// require makes a key's version a condition of the transaction.
func (b *batchBuilder) require(key string, version uint64) {
	b.batch.Txn.If = append(b.batch.Txn.If, wire.Condition{Key: key, Version: version})
}

// addStartsAndEnds adds what somebody waits for, in the order of priorities, as far as there
// is room.
func (b *batchBuilder) addStartsAndEnds() {
	s, counts := b.store, &b.batch.Counts
	for more := true; more && len(s.endQueue)+len(s.urgentQueue) > 0; {
		before := b.changes()
		if s.endGoesFirst() {
			more = b.addNextEnd()
			counts.Ends += b.changes() - before
		} else {
			more = b.addNextStart()
			counts.Starts += b.changes() - before
		}
	}
}

// addNextStart writes the first urgent chunk, and reports whether it had room.
func (b *batchBuilder) addNextStart() bool {
	s := b.store
	ref := s.urgentQueue[0]
	if !b.hasRoomFor(ref) {
		return false
	}
	s.urgentQueue = s.urgentQueue[1:]
	b.writeProgress(ref)
	return true
}

// addNextEnd writes the first end, and reports whether it had room.
func (b *batchBuilder) addNextEnd() bool {
	s := b.store
	if !b.hasRoom(minEndChanges) || !b.chargesFitEnd(s.endQueue[0]) {
		return false
	}
	j := s.endQueue[0]
	s.endQueue = s.endQueue[1:]
	b.endJob(j)
	return true
}

// chargesFitEnd reports whether the charges that a job's end brings along fit the
// transaction with it. If not, it writes them as far as there is room: the end then goes
// with a later batch.
func (b *batchBuilder) chargesFitEnd(j *Job) bool {
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
		b.store.queueStale(ref, b.now)
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

// addProgress adds dirty chunks that nobody waits for, the oldest first, within the budget
// for them.
func (b *batchBuilder) addProgress() {
	s, before := b.store, b.changes()
	for n := len(s.lazyQueue); n > 0; n-- {
		ref := s.lazyQueue[0]
		c := ref.chunk()
		if c.dirty && !ref.job.ended {
			age := b.now.Sub(c.dirtySince)
			if b.changes() >= before+b.budget.lazy(age) || !b.hasRoomFor(ref) {
				break
			}
			if age < tuning.LazyFlush { // it was written for a start meanwhile, and changed again
				s.lazyQueue = append(s.lazyQueue[1:], ref)
				continue
			}
		}
		s.lazyQueue, c.queued = s.lazyQueue[1:], false
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
	s, before := b.store, b.changes()
	for len(s.staleRecords) > 0 && b.hasRoom(1) && b.changes() < before+b.budget.Spare {
		stale := s.staleRecords[0]
		s.staleRecords = s.staleRecords[1:]
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
	value, uncommitted := ref.encode(b.store.Metered)
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

// minChanges is how many changes the writing of a chunk takes at the least: its record must
// not hold more charges than fit it.
func (r chunkRef) minChanges(most int) int {
	return min(most, 1+len(r.chunk().pack.Charges)/(tuning.DetachChargesMax+1))
}

// maxBytes is what the writing of a chunk takes at the most, in bytes.
func (r chunkRef) maxBytes() int {
	from, to := r.tasks()
	return tuning.EntryBytes*(to-from) + tuning.ChargeBytes*len(r.chunk().pack.Charges) + tuning.RecordBytes
}
