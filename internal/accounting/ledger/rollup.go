package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// A roll-up takes some Lefts and, in one transaction, drops them, adds their charges
// to the open segment and their amounts to the open page of totals. Each record is
// guarded on its version, so whatever happens between, a charge is either still in
// its Left and in no total, or in the segment and in the totals, once.
//
// Only the open segment and the open page are written, whatever the charges are: a
// row whose name stands in a closed page gets a second one in the open page. Compaction
// brings such rows together later, two pages at a time.

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Key.Day, b.Key.Day), cmp.Compare(a.Key.Team, b.Key.Team), cmp.Compare(a.Key.Account, b.Key.Account),
			cmp.Compare(a.Key.Class, b.Key.Class), cmp.Compare(a.Key.Type, b.Key.Type), compareBool(a.Key.Spot, b.Key.Spot))
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// RowsOf gives the totals of a pack's charges.
func RowsOf(p *charge.Pack, where *time.Location) map[RowKey]charge.Amounts {
	rows := map[RowKey]charge.Amounts{}
	for i := range p.Charges {
		c := &p.Charges[i]
		kind := p.Kinds[c.Kind]
		name := RowKey{
			Day: charge.DayOf(c.Start, where), Team: p.Traits.Team, Account: p.Traits.Account, Class: p.Traits.Class,
			Type: kind.Type, Spot: kind.Spot,
		}
		sum := rows[name]
		sum.Add(p.Traits.AmountsOf(c))
		rows[name] = sum
	}
	return rows
}

// guard and put add a change of a record to a transaction, under the condition
// that the record is as we know it.
func putIfUnchanged(t *wire.Txn, key string, version uint64, value []byte) {
	t.If = append(t.If, wire.Condition{Key: key, Version: version})
	t.Then = append(t.Then, wire.Change{Put: key, Value: value})
}

func deleteIfUnchanged(t *wire.Txn, key string, version uint64) {
	t.If = append(t.If, wire.Condition{Key: key, Version: version})
	t.Then = append(t.Then, wire.Change{Delete: key})
}

// rollUp makes the next roll-up, or nil if none is due.
func (l *Ledger) rollUp(now time.Time, room int) *leader.SubsystemWrite {
	most := min(l.maxTxnOps, room) - 2 // beside the segment and the page
	if most < 1 || len(l.detached) == 0 {
		return nil
	}
	if room < min(l.maxTxnOps, len(l.detached)+2, tuning.RollUpChangesMin) {
		return nil // the few changes that there is room for are better spent by others
	}
	if full := min(l.maxTxnOps-2, len(l.detached)) == l.maxTxnOps-2; !full && now.Sub(l.detachedSince) < tuning.RollUpAfter {
		return nil
	}
	var take []jobs.DetachedCharges
	size := 0
	for _, left := range l.detached {
		n := len(charge.EncodePack(left.Pack))
		if len(take) == most || size+n > tuning.RollUpBytes && len(take) > 0 {
			break
		}
		size += n
		take = append(take, left)
	}
	seg := l.openSegment
	if seg.bytes >= tuning.SegmentBytes {
		seg = segment{n: seg.n + 1}
	}
	old := len(seg.packs)
	seg.packs = slices.Clip(seg.packs)
	pg := l.openPage.clone()
	if pg.full() {
		pg = newPage(l.openPage.n + 1)
	}
	for _, left := range take {
		seg.packs = append(seg.packs, *left.Pack)
		for name, sum := range RowsOf(left.Pack, l.location) {
			pg.add(name, sum)
		}
	}
	value := segmentValue(l.codec, seg.packs)
	if len(value) > l.maxValueBytes && old > 0 {
		// What was added does not compress well: it begins a segment of its own.
		seg = segment{n: seg.n + 1, packs: seg.packs[old:]}
		value = segmentValue(l.codec, seg.packs)
	}
	seg.bytes = len(value)
	var txn wire.Txn
	putIfUnchanged(&txn, keySegment(seg.n), seg.version, value)
	putIfUnchanged(&txn, keyPage(pg.n), pg.version, pageValue(l.codec, pg.sortedRows()))
	for _, left := range take {
		deleteIfUnchanged(&txn, left.Key, left.Version)
	}
	return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
		seg.version, pg.version = revision, revision
		l.openSegment = seg
		if pg.n != l.openPage.n {
			l.closedPages[l.openPage.n] = l.openPage
		}
		l.openPage = pg
		l.detached = slices.Clone(l.detached[len(take):])
		l.detachedSince = now
		l.stats.RollUps++
		l.stats.Changes += len(txn.Then)
	}}
}

// compact brings rows of the same name together: those of one closed page are moved
// to another closed page that has rows of the same names. A page that is left
// without rows is dropped, and two small ones become one.
func (l *Ledger) compact(room int) *leader.SubsystemWrite {
	if room < 2 || len(l.closedPages) < tuning.CompactPages {
		return nil
	}
	into, from := l.pagesToMerge()
	if into == nil {
		return nil
	}
	a, b := into.clone(), from.clone()
	for name, sum := range from.rows {
		if _, same := a.rows[name]; same {
			a.add(name, sum)
			b.remove(name)
		}
	}
	if a.bytes+b.bytes <= tuning.PageBytes {
		for name, sum := range b.rows {
			a.add(name, sum)
		}
		b.rows = nil
	}
	var txn wire.Txn
	putIfUnchanged(&txn, keyPage(a.n), a.version, pageValue(l.codec, a.sortedRows()))
	if len(b.rows) == 0 {
		deleteIfUnchanged(&txn, keyPage(b.n), b.version)
	} else {
		putIfUnchanged(&txn, keyPage(b.n), b.version, pageValue(l.codec, b.sortedRows()))
	}
	return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
		a.version, b.version = revision, revision
		l.closedPages[a.n] = a
		if len(b.rows) == 0 {
			delete(l.closedPages, b.n)
		} else {
			l.closedPages[b.n] = b
		}
		l.stats.Compactions++
		l.stats.Changes += len(txn.Then)
	}}
}

// pagesToMerge finds two closed pages that compaction makes smaller: with rows of the same
// name, or that fit into one.
func (l *Ledger) pagesToMerge() (into, from *page) {
	seen := map[RowKey]*page{}
	var small *page
	for _, n := range slices.Sorted(maps.Keys(l.closedPages)) {
		p := l.closedPages[n]
		for name := range p.rows {
			if q := seen[name]; q != nil {
				return q, p
			}
			seen[name] = p
		}
		if small != nil && small.bytes+p.bytes <= tuning.PageBytes {
			return small, p
		}
		if p.bytes < tuning.PageBytes/2 {
			small = p
		}
	}
	return nil, nil
}

// foldIntoMonths gives the rows of a closed page whose days are long ago the names of their
// months; the page is rewritten, and compaction does the rest.
func (l *Ledger) foldIntoMonths(now time.Time, room int) *leader.SubsystemWrite {
	if room < 1 {
		return nil
	}
	before := now.In(l.location).AddDate(0, 0, -tuning.MonthlyTotalsAfterDays).Format("2006-01") // whole months only
	for _, n := range slices.Sorted(maps.Keys(l.closedPages)) {
		p := newPage(n)
		p.version = l.closedPages[n].version
		folded := false
		for name, sum := range l.closedPages[n].rows {
			if len(name.Day) == len(time.DateOnly) && name.Day[:7] < before {
				name.Day, folded = name.Day[:7], true
			}
			p.add(name, sum)
		}
		if !folded {
			continue
		}
		var txn wire.Txn
		putIfUnchanged(&txn, keyPage(n), p.version, pageValue(l.codec, p.sortedRows()))
		return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
			p.version = revision
			l.closedPages[n] = p
			l.stats.Changes += len(txn.Then)
		}}
	}
	return nil
}
