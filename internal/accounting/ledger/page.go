package ledger

import (
	"maps"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
)

// segment is the open segment in memory.
type segment struct {
	number  int
	version uint64 // of its record; 0: it is not stored yet
	packs   []charge.Pack
	bytes   int // size of its stored form
}

// page is one page of totals in memory.
type page struct {
	number  int
	version uint64 // of its record; 0: it is not stored yet
	rows    rowSums
	bytes   int // approximate size before compression
}

func newPage(number int) *page { return &page{number: number, rows: rowSums{}} }

// add adds amounts to a row, which may be new.
func (p *page) add(key RowKey, sum charge.Amounts) {
	if _, known := p.rows[key]; !known {
		p.bytes += key.approxBytes()
	}
	p.rows.add(key, sum)
}

func (p *page) remove(key RowKey) {
	if _, known := p.rows[key]; known {
		p.bytes -= key.approxBytes()
		delete(p.rows, key)
	}
}

func (p *page) clone() *page {
	return &page{number: p.number, version: p.version, rows: maps.Clone(p.rows), bytes: p.bytes}
}

func (p *page) sortedRows() []Row { return p.rows.sorted() }

// full reports whether the page has reached its maximum size. The next roll-up then starts a new page.
func (p *page) full() bool { return p.bytes >= tuning.TotalsPageMaxBytes }
