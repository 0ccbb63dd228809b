package jobs

import (
	"encoding/json"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// batchBuilder gathers changes into one transaction, within the limits on its changes and bytes.
type batchBuilder struct {
	queue         *writeQueue
	metered       bool
	maxTxnChanges int // maximum number of changes in any transaction
	now           time.Time
	budget        WriteBudget
	maxChanges    int             // maximum number of changes in this transaction, by maxTxnChanges and the budget
	bytes         int             // estimated encoded size of the gathered changes and their conditions
	requiredJobs  map[string]bool // IDs of jobs whose record's version is already a condition
	batch         *Batch
}

func newBatchBuilder(s *Store, now time.Time, budget WriteBudget) *batchBuilder {
	maxChanges := s.maxTxnChanges
	if budget.Changes > 0 {
		maxChanges = min(maxChanges, budget.Changes)
	}
	return &batchBuilder{
		queue: &s.queue, metered: s.Metered, maxTxnChanges: s.maxTxnChanges, now: now, budget: budget,
		maxChanges: maxChanges, requiredJobs: map[string]bool{}, batch: &Batch{},
	}
}

// changeCount returns the number of gathered changes.
func (b *batchBuilder) changeCount() int { return len(b.batch.Txn.Then) }

// hasRoom reports whether n more changes fit.
func (b *batchBuilder) hasRoom(n int) bool {
	return b.changeCount()+n <= b.maxChanges && b.bytes < tuning.TxnTargetBytes
}

// hasRoomFor reports whether the records of chunks fit, judged by their maximum size. hasRoom alone does not
// suffice: a record with charges can be long enough to make a transaction exceed its size limit.
func (b *batchBuilder) hasRoomFor(refs ...chunkRef) bool {
	changeCount, bytes := 0, 0
	for _, r := range refs {
		changeCount += r.minChanges(b.maxTxnChanges)
		bytes += r.maxBytes()
	}
	return b.hasRoom(changeCount) && (b.changeCount() == 0 || b.bytes+bytes <= tuning.TxnMaxBytes)
}

// put adds a change that stores a value under a key, on the condition that the key has the given version.
// Version 0 means that the key does not exist.
func (b *batchBuilder) put(key string, version uint64, value json.RawMessage) {
	b.require(key, version)
	b.batch.Txn.Then = append(b.batch.Txn.Then, wire.Change{Put: key, Value: value})
	b.bytes += len(value) + 2*len(key) + tuning.TxnChangeOverheadBytes
}

// deleteKey adds a change that deletes a key, on the condition that the key has the given version.
func (b *batchBuilder) deleteKey(key string, version uint64) {
	b.require(key, version)
	b.batch.Txn.Then = append(b.batch.Txn.Then, wire.Change{Delete: key})
	b.bytes += 2*len(key) + tuning.TxnChangeOverheadBytes
}

// require adds the condition that a key has the given version. Version 0 means that the key does not exist.
func (b *batchBuilder) require(key string, version uint64) {
	b.batch.Txn.If = append(b.batch.Txn.If, wire.Condition{Key: key, Version: version})
}

// addStartsAndEnds adds the urgent changes in order of priority, as far as there is room.
func (b *batchBuilder) addStartsAndEnds() {
	q, counts := b.queue, &b.batch.Counts
	for more := true; more && len(q.ends)+len(q.urgent) > 0; {
		before := b.changeCount()
		if q.endGoesFirst() {
			more = b.addNextEnd()
			counts.Ends += b.changeCount() - before
		} else {
			more = b.addNextStart()
			counts.Starts += b.changeCount() - before
		}
	}
}

// addNextStart adds the record of the first urgent chunk, and reports whether there was room for it.
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

// minChanges returns the minimum number of changes that writing a chunk needs, up to a limit. It exceeds 1
// when the chunk has more charges than fit its record, so that some must be detached to records of their own.
func (r chunkRef) minChanges(limit int) int { return min(limit, 1+len(r.chargesToDetach())) }

// maxBytes returns the maximum size of a chunk's write in a transaction, in bytes.
func (r chunkRef) maxBytes() int {
	from, to := r.taskRange()
	return tuning.TaskEntryMaxBytes*(to-from) + maxPackBytes(&r.chunk().pack) + tuning.RecordOverheadBytes
}
