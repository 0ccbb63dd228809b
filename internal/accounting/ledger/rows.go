package ledger

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
)

// monthFormat is the form of a month that takes the place of its days.
const monthFormat = "2006-01"

// RowKey is what the totals are kept by. Day is a day (2026-12-01), or a month (2026-12)
// once its days are long ago.
type RowKey struct {
	_       struct{} `cbor:",toarray"`
	Day     string
	Team    string
	Account string
	Class   string
	Type    string
	Spot    bool
}

// isMonth reports whether the row is of a month, whose days can no longer be told apart.
func (k RowKey) isMonth() bool { return len(k.Day) < len(time.DateOnly) }

// month is the month in which the row's days lie.
func (k RowKey) month() string { return k.Day[:min(len(k.Day), len(monthFormat))] }

// approxBytes is about how many bytes a row takes before compression.
func (k RowKey) approxBytes() int {
	return len(k.Day) + len(k.Team) + len(k.Account) + len(k.Class) + len(k.Type) + 48
}

func compareKeys(a, b RowKey) int {
	return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Class, b.Class), cmp.Compare(a.Type, b.Type), compareBool(a.Spot, b.Spot))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Row is one line of totals.
type Row struct {
	_   struct{} `cbor:",toarray"`
	Key RowKey
	Sum charge.Amounts
}

// rowSums are rows in memory.
type rowSums map[RowKey]charge.Amounts

// add adds amounts to a row, which may be new.
func (r rowSums) add(key RowKey, a charge.Amounts) {
	sum := r[key]
	sum.Add(a)
	r[key] = sum
}

// sorted returns the rows in the order of their keys.
func (r rowSums) sorted() []Row {
	rows := make([]Row, 0, len(r))
	for key, sum := range r {
		rows = append(rows, Row{Key: key, Sum: sum})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

// RowsOf returns what a pack's charges add to the totals. Days begin in the given time zone.
func RowsOf(p *charge.Pack, zone *time.Location) map[RowKey]charge.Amounts {
	rows := rowSums{}
	for i := range p.Charges {
		c := &p.Charges[i]
		kind := p.Kinds[c.Kind]
		rows.add(RowKey{
			Day: charge.DayOf(c.Start, zone), Team: p.Traits.Team, Account: p.Traits.Account, Class: p.Traits.Class,
			Type: kind.Type, Spot: kind.Spot,
		}, p.Traits.AmountsOf(c))
	}
	return rows
}
