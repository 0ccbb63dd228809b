package jobs

import (
	"encoding/json"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// changeOverhead is what a change takes in a transaction besides its value and its
// key, which its condition names once more, in bytes.
const changeOverhead = 64

// batchBuilder gathers changes into one transaction, within its limits of changes and bytes.
type batchBuilder struct {
	queue      *writeQueue
	metered    bool
	txnOps     int // changes that one transaction may hold
	now        time.Time
	budget     WriteBudget
	maxChanges int // that this one may hold
	bytes      int
	guarded    map[string]bool // jobs whose stored record is a condition already
	batch      *Batch
}

func newBatchBuilder(s *Store, now time.Time, budget WriteBudget) *batchBuilder {
	most := s.txnOps
	if budget.Changes > 0 {
		most = min(most, budget.Changes)
	}
	return &batchBuilder{
		queue: &s.queue, metered: s.Metered, txnOps: s.txnOps, now: now, budget: budget,
		maxChanges: most, guarded: map[string]bool{}, batch: &Batch{},
	}
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
		changes += r.minChanges(b.txnOps)
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
	q, counts := b.queue, &b.batch.Counts
	for more := true; more && len(q.ends)+len(q.urgent) > 0; {
		before := b.changes()
		if q.endGoesFirst() {
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
	q := b.queue
	ref := q.urgent[0]
	if !b.hasRoomFor(ref) {
		return false
	}
	q.urgent = q.urgent[1:]
	b.writeProgress(ref)
	return true
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
