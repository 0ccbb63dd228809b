package runner

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// NextWrite returns the next transaction, with at most maxChanges changes; nil if there is nothing to write. It
// contains changed graphs, changed runs with the jobs of their ready steps, and deletions, as many as fit.
func (g *Graphs) NextWrite(now time.Time, maxChanges int) *leader.SubsystemWrite {
	b := &batch{maxChanges: min(maxChanges, g.cfg.MaxTxnChanges), maxValueBytes: g.maxValueBytes()}
	if !g.loaded || b.maxChanges < 2 {
		return nil
	}
	g.storeGraphs(b)
	g.storeRuns(b, now)
	g.putDeletions(b)
	g.describe()
	if len(b.txn.Then) == 0 {
		return nil
	}
	return &leader.SubsystemWrite{Txn: b.txn, Done: func(revision uint64) {
		for _, fn := range b.onCommitted {
			fn(revision)
		}
	}, Conflict: func() {
		for _, fn := range b.onConflict {
			fn()
		}
	}}
}

// batch is a transaction to which changes are being added.
type batch struct {
	txn           wire.Txn
	maxChanges    int                     // largest number of changes
	maxValueBytes int                     // largest size of a value, in bytes
	bytes         int                     // approximate size so far, in bytes
	onCommitted   []func(revision uint64) // called when the transaction is committed
	onConflict    []func()                // called if a condition does not hold
}

// fits reports whether the batch has room for a number of changes with a total size in bytes. An empty batch has room
// for any size.
func (b *batch) fits(changes, bytes int) bool {
	return len(b.txn.Then)+changes <= b.maxChanges && (b.bytes == 0 || b.bytes+bytes <= tuning.TxnTargetBytes)
}

// batchMark is the state of a batch to which it can be reset.
type batchMark struct{ conditions, changes, bytes int }

// mark returns the present state of the batch.
func (b *batch) mark() batchMark { return batchMark{len(b.txn.If), len(b.txn.Then), b.bytes} }

// resetTo removes the changes that were added since mark was called. They must have no callbacks yet.
func (b *batch) resetTo(m batchMark) {
	b.txn.If, b.txn.Then, b.bytes = b.txn.If[:m.conditions], b.txn.Then[:m.changes], m.bytes
}

// put adds a change that stores value at key, on the condition that the stored record has the given version. Version
// 0 means that there is no record.
func (b *batch) put(key string, version uint64, value []byte) {
	b.txn.If = append(b.txn.If, wire.Condition{Key: key, Version: version})
	b.txn.Then = append(b.txn.Then, wire.Change{Put: key, Value: value})
	b.bytes += len(value) + 2*len(key) + tuning.TxnChangeOverheadBytes
}
