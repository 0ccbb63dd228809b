package ledger

import (
	"encoding/json"
	"fmt"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Keys of the state service. Only the leader writes them.
const (
	// PrefixSegment holds the charges that were rolled up, compressed, in the order
	// in which that was done. The last one of a leader grows until it is closed.
	PrefixSegment = "ledger/seg/"
	// PrefixPage holds the totals, in pages of rows. A row's name may stand in more
	// than one page; its amounts are then the sum.
	PrefixPage = "ledger/total/"
)

func keySegment(n int) string { return fmt.Sprintf("%s%010d", PrefixSegment, n) }
func keyPage(n int) string    { return fmt.Sprintf("%s%010d", PrefixPage, n) }

// recordNumber reads the number of a segment or page from its key.
func recordNumber(prefix, key string) (int, error) {
	var n int
	if _, err := fmt.Sscanf(key, prefix+"%010d", &n); err != nil {
		return 0, fmt.Errorf("record %s: malformed key: %w", key, err)
	}
	return n, nil
}

// RowKey is what the totals are kept by. Day is a day (2026-12-01), or a month
// (2026-12) once its days are long ago.
type RowKey struct {
	_       struct{} `cbor:",toarray"`
	Day     string
	Team    string
	Account string
	Class   string
	Type    string
	Spot    bool
}

// approxBytes is about how many bytes a row takes before compression.
func (n RowKey) approxBytes() int {
	return len(n.Day) + len(n.Team) + len(n.Account) + len(n.Class) + len(n.Type) + 48
}

// Row is one line of totals.
type Row struct {
	_   struct{} `cbor:",toarray"`
	Key RowKey
	Sum charge.Amounts
}

// segmentRecord is how a segment is stored.
type segmentRecord struct {
	Charges int    `json:"charges"`
	Zstd    []byte `json:"z"` // of CBOR of []charge.Pack
}

// pageRecord is how a page is stored.
type pageRecord struct {
	Zstd []byte `json:"z"` // of CBOR of []Row
}

// ReadSegment reads a stored segment.
func ReadSegment(c *charge.Codec, item wire.Item) ([]charge.Pack, error) {
	var r segmentRecord
	var packs []charge.Pack
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	if err := c.Decode(r.Zstd, &packs); err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	n := 0
	for i := range packs {
		for k := range packs[i].Charges {
			if kind := packs[i].Charges[k].Kind; kind < 0 || kind >= len(packs[i].Kinds) {
				return nil, fmt.Errorf("record %s: a charge of %s names no kind of machine", item.Key, packs[i].Job)
			}
		}
		n += len(packs[i].Charges)
	}
	if n != r.Charges {
		return nil, fmt.Errorf("record %s: it holds %d charges and says %d", item.Key, n, r.Charges)
	}
	return packs, nil
}

// ReadPage reads a stored page of totals.
func ReadPage(c *charge.Codec, item wire.Item) ([]Row, error) {
	var r pageRecord
	var rows []Row
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	if err := c.Decode(r.Zstd, &rows); err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	return rows, nil
}

func segmentValue(c *charge.Codec, packs []charge.Pack) json.RawMessage {
	n := 0
	for i := range packs {
		n += len(packs[i].Charges)
	}
	return wire.EncodeRecord(segmentRecord{Charges: n, Zstd: c.Encode(packs)})
}

func pageValue(c *charge.Codec, rows []Row) json.RawMessage {
	return wire.EncodeRecord(pageRecord{Zstd: c.Encode(rows)})
}

// segment is the one that grows.
type segment struct {
	n       int
	version uint64
	packs   []charge.Pack
	bytes   int // of its value, in bytes
}

// page is one page of totals in memory.
type page struct {
	n       int
	version uint64
	rows    map[RowKey]charge.Amounts
	bytes   int // before compression, in bytes
}

func newPage(n int) *page { return &page{n: n, rows: map[RowKey]charge.Amounts{}} }

func (p *page) add(name RowKey, sum charge.Amounts) {
	a, known := p.rows[name]
	if !known {
		p.bytes += name.approxBytes()
	}
	a.Add(sum)
	p.rows[name] = a
}

func (p *page) remove(name RowKey) {
	if _, known := p.rows[name]; known {
		p.bytes -= name.approxBytes()
		delete(p.rows, name)
	}
}

func (p *page) clone() *page {
	q := newPage(p.n)
	q.version, q.bytes = p.version, p.bytes
	for name, sum := range p.rows {
		q.rows[name] = sum
	}
	return q
}

func (p *page) sortedRows() []Row {
	rows := make([]Row, 0, len(p.rows))
	for name, sum := range p.rows {
		rows = append(rows, Row{Key: name, Sum: sum})
	}
	sortRows(rows)
	return rows
}

// full tells whether a page takes no new names.
func (p *page) full() bool { return p.bytes >= tuning.PageBytes }
