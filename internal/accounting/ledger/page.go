package ledger

import (
	"maps"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
)

// segment is the open one in memory.
type segment struct {
	n       int
	version uint64
	packs   []charge.Pack
	bytes   int // of its stored form
}

// page is one page of totals in memory.
type page struct {
	n       int
	version uint64 // 0: it is not stored yet
	rows    rowSums
	bytes   int // before compression
}

func newPage(n int) *page { return &page{n: n, rows: rowSums{}} }

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
	return &page{n: p.n, version: p.version, rows: maps.Clone(p.rows), bytes: p.bytes}
}

func (p *page) sortedRows() []Row { return p.rows.sorted() }

// full reports whether a page takes no more rows.
func (p *page) full() bool { return p.bytes >= tuning.TotalsPageMaxBytes }
