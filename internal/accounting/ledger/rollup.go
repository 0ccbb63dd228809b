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

// A roll-up takes some records of detached charges and, in one transaction, deletes them,
// adds their charges to the open segment and their amounts to the open page of totals. Each
// record is guarded on its version, so whatever happens between, a charge is either still
// in its detached record and in no total, or in the segment and in the totals, once.
//
// Only the open segment and the open page are written, whatever the charges are: a row
// whose key stands in a closed page gets a second one in the open page. Compaction brings
// such rows together later, two pages at a time.

// rollUpOverhead is how many changes a roll-up has beside the deleted records: the segment
// and the page.
const rollUpOverhead = 2

// putIfUnchanged adds a write of a record to a transaction, on the condition that the
// record still has the version that is known; 0: it does not exist.
func putIfUnchanged(t *wire.Txn, key string, version uint64, value []byte) {
	t.If = append(t.If, wire.Condition{Key: key, Version: version})
	t.Then = append(t.Then, wire.Change{Put: key, Value: value})
}

// deleteIfUnchanged adds a deletion on the same condition.
func deleteIfUnchanged(t *wire.Txn, key string, version uint64) {
	t.If = append(t.If, wire.Condition{Key: key, Version: version})
	t.Then = append(t.Then, wire.Change{Delete: key})
}

// rollUp returns the next roll-up, of at most room changes; nil if none is due.
func (l *Ledger) rollUp(now time.Time, room int) *leader.SubsystemWrite {
	if !l.rollUpDue(now, room) {
		return nil
	}
	batch := l.rollUpBatch(min(l.maxTxnOps, room) - rollUpOverhead)
	seg, segValue := l.segmentWith(batch)
	pg := l.pageWith(batch)
	var txn wire.Txn
	putIfUnchanged(&txn, keySegment(seg.n), seg.version, segValue)
	putIfUnchanged(&txn, keyPage(pg.n), pg.version, pageValue(l.codec, pg.sortedRows()))
	for _, d := range batch {
		deleteIfUnchanged(&txn, d.Key, d.Version)
	}
	return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
		seg.version, pg.version = revision, revision
		l.openSegment = seg
		if pg.n != l.openPage.n {
			l.closedPages[l.openPage.n] = l.openPage
		}
		l.openPage = pg
		l.detached = slices.Clone(l.detached[len(batch):])
		l.detachedSince = now
		l.stats.RollUps++
		l.stats.Changes += len(txn.Then)
	}}
}

// rollUpDue reports whether there is enough to roll up, and room for it: a full transaction,
// or charges that have waited for RollUpAfter.
func (l *Ledger) rollUpDue(now time.Time, room int) bool {
	if min(l.maxTxnOps, room) <= rollUpOverhead || len(l.detached) == 0 {
		return false
	}
	if room < min(l.maxTxnOps, len(l.detached)+rollUpOverhead, tuning.RollUpMinChanges) {
		return false // the few changes that there is room for are better spent by others
	}
	full := len(l.detached) >= l.maxTxnOps-rollUpOverhead
	return full || now.Sub(l.detachedSince) >= tuning.RollUpAfter
}

// rollUpBatch returns the oldest detached records: at most limit, and of more than one only
// as many as have RollUpMaxBytes together.
func (l *Ledger) rollUpBatch(limit int) []jobs.DetachedCharges {
	var batch []jobs.DetachedCharges
	size := 0
	for _, d := range l.detached {
		n := len(charge.EncodePack(d.Pack))
		if len(batch) == limit || size+n > tuning.RollUpMaxBytes && len(batch) > 0 {
			break
		}
		size += n
		batch = append(batch, d)
	}
	return batch
}

// segmentWith returns the open segment, or a new one if that is full, with the charges of
// some records added, and its stored form. The ledger's own is not changed.
func (l *Ledger) segmentWith(batch []jobs.DetachedCharges) (seg segment, value []byte) {
	seg = l.openSegment
	if seg.bytes >= tuning.SegmentCloseBytes {
		seg = segment{n: seg.n + 1}
	}
	old := len(seg.packs)
	seg.packs = slices.Clip(seg.packs) // so that appending copies
	for _, d := range batch {
		seg.packs = append(seg.packs, *d.Pack)
	}
	value = segmentValue(l.codec, seg.packs)
	if len(value) > l.maxValueBytes && old > 0 {
		// What was added does not compress well: it begins a segment of its own.
		seg = segment{n: seg.n + 1, packs: seg.packs[old:]}
		value = segmentValue(l.codec, seg.packs)
	}
	seg.bytes = len(value)
	return seg, value
}

// pageWith returns a copy of the open page, or a new one if that is full, with the amounts
// of some records added.
func (l *Ledger) pageWith(batch []jobs.DetachedCharges) *page {
	p := l.openPage.clone()
	if p.full() {
		p = newPage(l.openPage.n + 1)
	}
	for _, d := range batch {
		for key, sum := range RowsOf(d.Pack, l.location) {
			p.add(key, sum)
		}
	}
	return p
}
