package ledger

import (
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// A roll-up is one transaction that deletes some records of detached charges, adds their charges to the open segment, and
// adds their amounts to the open page of totals. The transaction has a condition on the version of each record that it
// changes. So at any time, whatever fails, a charge is either in its detached record and in no total, or exactly once in
// a segment and in the totals.
//
// A roll-up writes only the open segment and the open page. If a closed page already has a row with the key of a charge,
// the open page gets another row with this key. Compaction merges such rows later, two pages at a time.

// rollUpOverhead is the number of changes in a roll-up in addition to the deleted records: the segment and the page.
const rollUpOverhead = 2

// putIfUnchanged adds a write of a record to a transaction, on the condition that the record still has the given
// version. Version 0 means that the record does not exist.
func putIfUnchanged(txn *wire.Txn, key string, version uint64, value []byte) {
	txn.If = append(txn.If, wire.Condition{Key: key, Version: version})
	txn.Then = append(txn.Then, wire.Change{Put: key, Value: value})
}

// deleteIfUnchanged adds the deletion of a record to a transaction, on the condition that it still has the given version.
func deleteIfUnchanged(txn *wire.Txn, key string, version uint64) {
	txn.If = append(txn.If, wire.Condition{Key: key, Version: version})
	txn.Then = append(txn.Then, wire.Change{Delete: key})
}

// rollUp returns the next roll-up, with at most maxChanges changes; nil if none is due.
func (l *Ledger) rollUp(now time.Time, maxChanges int) *leader.SubsystemWrite {
	if !l.rollUpDue(now, maxChanges) {
		return nil
	}
	batch := l.rollUpBatch(min(l.maxTxnChanges, maxChanges) - rollUpOverhead)
	seg, segValue := l.segmentWith(batch)
	pg := l.pageWith(batch)
	var txn wire.Txn
	putIfUnchanged(&txn, keySegment(seg.number), seg.version, segValue)
	putIfUnchanged(&txn, keyPage(pg.number), pg.version, pageValue(l.codec, pg.sortedRows()))
	for _, d := range batch {
		deleteIfUnchanged(&txn, d.Key, d.Version)
	}
	return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
		seg.version, pg.version = revision, revision
		l.openSegment = seg
		if pg.number != l.openPage.number {
			l.closedPages[l.openPage.number] = l.openPage
		}
		l.openPage = pg
		l.detached = slices.Clone(l.detached[len(batch):])
		l.detachedSince = now
		l.stats.RollUps++
		l.stats.Changes += len(txn.Then)
	}}
}

// rollUpDue reports whether a roll-up is due and fits into maxChanges changes. It is due if there are enough records to
// fill a transaction, or if RollUpAfter has passed since the last roll-up or since the first record was added after it,
// whichever is later.
func (l *Ledger) rollUpDue(now time.Time, maxChanges int) bool {
	if min(l.maxTxnChanges, maxChanges) <= rollUpOverhead || len(l.detached) == 0 {
		return false
	}
	if maxChanges < min(l.maxTxnChanges, len(l.detached)+rollUpOverhead, tuning.RollUpMinChanges) {
		return false // the write rate limit allows only a few changes now; they are left to other writers
	}
	fillsTxn := len(l.detached) >= l.maxTxnChanges-rollUpOverhead
	return fillsTxn || now.Sub(l.detachedSince) >= tuning.RollUpAfter
}

// rollUpBatch returns the oldest detached records: at most limit records, and at most RollUpMaxBytes in total unless the
// first record alone is larger.
func (l *Ledger) rollUpBatch(limit int) []jobs.DetachedCharges {
	var batch []jobs.DetachedCharges
	batchBytes := 0
	for _, d := range l.detached {
		packBytes := len(charge.EncodePack(d.Pack))
		if len(batch) == limit || batchBytes+packBytes > tuning.RollUpMaxBytes && len(batch) > 0 {
			break
		}
		batchBytes += packBytes
		batch = append(batch, d)
	}
	return batch
}

// segmentWith adds the charges of some records to a copy of the open segment, or to a new segment if the open one is
// full. It returns that segment and its stored form. It does not change the ledger's open segment.
func (l *Ledger) segmentWith(batch []jobs.DetachedCharges) (seg segment, value []byte) {
	seg = l.openSegment
	if seg.bytes >= tuning.SegmentCloseBytes {
		seg = segment{number: seg.number + 1}
	}
	oldCount := len(seg.packs)
	seg.packs = slices.Clip(seg.packs) // so that append copies the packs instead of overwriting shared memory
	for _, d := range batch {
		seg.packs = append(seg.packs, *d.Pack)
	}
	value = segmentValue(l.codec, seg.packs)
	if len(value) > l.maxValueBytes && oldCount > 0 {
		// The added charges do not compress well enough to fit, so they start a new segment.
		seg = segment{number: seg.number + 1, packs: seg.packs[oldCount:]}
		value = segmentValue(l.codec, seg.packs)
	}
	seg.bytes = len(value)
	return seg, value
}

// pageWith returns a copy of the open page, or a new page if the open one is full, with the amounts of some records
// added.
func (l *Ledger) pageWith(batch []jobs.DetachedCharges) *page {
	p := l.openPage.clone()
	if p.full() {
		p = newPage(l.openPage.number + 1)
	}
	for _, d := range batch {
		for key, sum := range RowsOf(d.Pack, l.location) {
			p.add(key, sum)
		}
	}
	return p
}
