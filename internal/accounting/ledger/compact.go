package ledger

import (
	"maps"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// compact returns a transaction that brings rows of the same key together: those of one
// closed page are moved to another that has rows of the same keys. A page that is left
// without rows is deleted, and two small ones become one. It is nil if there is nothing to
// gain.
func (l *Ledger) compact(room int) *leader.SubsystemWrite {
	if room < 2 || len(l.closedPages) < tuning.CompactAfterPages {
		return nil
	}
	into, from := l.pagesToMerge()
	if into == nil {
		return nil
	}
	into, from = merged(into, from)
	var txn wire.Txn
	putIfUnchanged(&txn, keyPage(into.n), into.version, pageValue(l.codec, into.sortedRows()))
	if len(from.rows) == 0 {
		deleteIfUnchanged(&txn, keyPage(from.n), from.version)
	} else {
		putIfUnchanged(&txn, keyPage(from.n), from.version, pageValue(l.codec, from.sortedRows()))
	}
	return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
		into.version, from.version = revision, revision
		l.closedPages[into.n] = into
		if len(from.rows) == 0 {
			delete(l.closedPages, from.n)
		} else {
			l.closedPages[from.n] = from
		}
		l.stats.Compactions++
		l.stats.Changes += len(txn.Then)
	}}
}

// pagesToMerge finds two closed pages that compaction makes smaller: with rows of the same
// key, or that fit into one.
func (l *Ledger) pagesToMerge() (into, from *page) {
	seen := map[RowKey]*page{}
	var small *page
	for _, n := range slices.Sorted(maps.Keys(l.closedPages)) {
		p := l.closedPages[n]
		for key := range p.rows {
			if q := seen[key]; q != nil {
				return q, p
			}
			seen[key] = p
		}
		if small != nil && small.bytes+p.bytes <= tuning.TotalsPageMaxBytes {
			return small, p
		}
		if p.bytes < tuning.TotalsPageMaxBytes/2 {
			small = p
		}
	}
	return nil, nil
}

// merged returns copies of two pages after rows of the second were moved to the first:
// those whose keys the first has, or all if they fit.
func merged(into, from *page) (a, b *page) {
	a, b = into.clone(), from.clone()
	for key, sum := range from.rows {
		if _, same := a.rows[key]; same {
			a.add(key, sum)
			b.remove(key)
		}
	}
	if a.bytes+b.bytes <= tuning.TotalsPageMaxBytes {
		for key, sum := range b.rows {
			a.add(key, sum)
		}
		b.rows = nil
	}
	return a, b
}

// foldIntoMonths returns a transaction that replaces the days of one closed page's old rows
// by their months; compaction then brings the rows of a month together. It is nil if no
// closed page has rows of days that are old enough.
func (l *Ledger) foldIntoMonths(now time.Time, room int) *leader.SubsystemWrite {
	if room < 1 {
		return nil
	}
	before := now.In(l.location).AddDate(0, 0, -tuning.MonthlyTotalsAfterDays).Format(monthFormat) // whole months only
	for _, n := range slices.Sorted(maps.Keys(l.closedPages)) {
		p, changed := l.closedPages[n].foldedBefore(before)
		if !changed {
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

// foldedBefore returns a copy of a page in which rows of days before a month have months as
// their days, and whether there are any.
func (p *page) foldedBefore(month string) (folded *page, changed bool) {
	folded = newPage(p.n)
	folded.version = p.version
	for key, sum := range p.rows {
		if !key.isMonth() && key.month() < month {
			key.Day, changed = key.month(), true
		}
		folded.add(key, sum)
	}
	return folded, changed
}
