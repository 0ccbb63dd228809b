package ledger

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
)

// monthFormat is the format of RowKey.Day for the total of a month.
const monthFormat = "2006-01"

// RowKey identifies a row of totals. Day is a day (2026-12-01), or a month (2026-12) if the rows of its days have been
// folded into one because they are old.
type RowKey struct {
	_       struct{} `cbor:",toarray"`
	Day     string
	Team    string
	Account string
	Class   string
	Type    string
	Spot    bool
}

// isMonth reports whether the row is the total of a month, which can no longer be split into days.
func (k RowKey) isMonth() bool { return len(k.Day) < len(time.DateOnly) }

// month returns the month of the row, in monthFormat.
func (k RowKey) month() string { return k.Day[:min(len(k.Day), len(monthFormat))] }

// approxBytes returns the approximate size of a row in bytes, before compression.
func (k RowKey) approxBytes() int {
	return len(k.Day) + len(k.Team) + len(k.Account) + len(k.Class) + len(k.Type) + 48
}

// compareKeys orders row keys by their fields, the day first.
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

// Row is one row of totals: the sum of the charges with the same key.
type Row struct {
	_   struct{} `cbor:",toarray"`
	Key RowKey
	Sum charge.Amounts
}

// rowSums holds rows of totals by key.
type rowSums map[RowKey]charge.Amounts

// add adds amounts to a row, which may be new.
func (r rowSums) add(key RowKey, amounts charge.Amounts) {
	sum := r[key]
	sum.Add(amounts)
	r[key] = sum
}

// sorted returns the rows, ordered by key.
func (r rowSums) sorted() []Row {
	rows := make([]Row, 0, len(r))
	for key, sum := range r {
		rows = append(rows, Row{Key: key, Sum: sum})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}

// RowsOf returns the amounts that a pack's charges add to each row of totals. Days begin in the given time zone.
func RowsOf(pack *charge.Pack, zone *time.Location) map[RowKey]charge.Amounts {
	rows := rowSums{}
	for i := range pack.Charges {
		c := &pack.Charges[i]
		kind := pack.Kinds[c.KindIndex]
		rows.add(RowKey{
			Day: charge.DayOf(c.StartMS, zone), Team: pack.Traits.Team, Account: pack.Traits.Account, Class: pack.Traits.Class,
			Type: kind.Type, Spot: kind.Spot,
		}, pack.Traits.AmountsOf(c))
	}
	return rows
}
