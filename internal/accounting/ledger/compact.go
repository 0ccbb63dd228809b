package ledger

import (
	"maps"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// compact returns a transaction that merges rows of the same key: rows of one closed page are moved to another closed
// page that has rows with the same keys. Two small pages are merged into one. A page that has no rows left is deleted.
// compact returns nil if there are fewer than CompactAfterPages closed pages or no two of them can be merged.
func (l *Ledger) compact(maxChanges int) *leader.SubsystemWrite {
	if maxChanges < 2 || len(l.closedPages) < tuning.CompactAfterPages {
		return nil
	}
	into, from := l.pagesToMerge()
	if into == nil {
		return nil
	}
	into, from = merged(into, from)
	var txn wire.Txn
	putIfUnchanged(&txn, keyPage(into.number), into.version, pageValue(l.codec, into.sortedRows()))
	if len(from.rows) == 0 {
		deleteIfUnchanged(&txn, keyPage(from.number), from.version)
	} else {
		putIfUnchanged(&txn, keyPage(from.number), from.version, pageValue(l.codec, from.sortedRows()))
	}
	return &leader.SubsystemWrite{Txn: txn, Done: func(revision uint64) {
		into.version, from.version = revision, revision
		l.closedPages[into.number] = into
		if len(from.rows) == 0 {
			delete(l.closedPages, from.number)
		} else {
			l.closedPages[from.number] = from
		}
		l.stats.Compactions++
		l.stats.Changes += len(txn.Then)
	}}
}

// pagesToMerge returns two closed pages that have rows with the same key, or that fit into one page; nil if there are
// none.
func (l *Ledger) pagesToMerge() (into, from *page) {
	seen := map[RowKey]*page{}
	var small *page
	for _, n := range slices.Sorted(maps.Keys(l.closedPages)) {
		p := l.closedPages[n]
		for key := range p.rows {
			if other := seen[key]; other != nil {
				return other, p
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

// merged returns copies of two pages with rows moved from the second to the first: all rows if they fit, otherwise
// only the rows whose keys the first page has, too.
func merged(into, from *page) (mergedInto, mergedFrom *page) {
	mergedInto, mergedFrom = into.clone(), from.clone()
	for key, sum := range from.rows {
		if _, same := mergedInto.rows[key]; same {
			mergedInto.add(key, sum)
			mergedFrom.remove(key)
		}
	}
	if mergedInto.bytes+mergedFrom.bytes <= tuning.TotalsPageMaxBytes {
		for key, sum := range mergedFrom.rows {
			mergedInto.add(key, sum)
		}
		mergedFrom.rows = nil
	}
	return mergedInto, mergedFrom
}

// foldIntoMonths returns a transaction that replaces the rows of old days in one closed page by rows of their months.
// Compaction then merges the rows of a month across pages. foldIntoMonths returns nil if no closed page has rows of days
// that are old enough.
func (l *Ledger) foldIntoMonths(now time.Time, maxChanges int) *leader.SubsystemWrite {
	if maxChanges < 1 {
		return nil
	}
	beforeMonth := now.In(l.location).AddDate(0, 0, -tuning.MonthlyTotalsAfterDays).Format(monthFormat) // only whole months are folded
	for _, n := range slices.Sorted(maps.Keys(l.closedPages)) {
		p, changed := l.closedPages[n].foldedBefore(beforeMonth)
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

// foldedBefore returns a copy of a page in which the rows of days before a month are replaced by rows of their months,
// and whether there were any such rows.
func (p *page) foldedBefore(month string) (folded *page, changed bool) {
	folded = newPage(p.number)
	folded.version = p.version
	for key, sum := range p.rows {
		if !key.isMonth() && key.month() < month {
			key.Day, changed = key.month(), true
		}
		folded.add(key, sum)
	}
	return folded, changed
}
