package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Keys of the state service. Only the leader writes them.
const (
	// PrefixSegment holds the charges that were rolled up, compressed, in the order in
	// which that was done. Segments are numbered from 0 without gaps. The last one grows
	// until it is full.
	PrefixSegment = "ledger/seg/"
	// PrefixPage holds the totals, in pages of rows. A row's key may stand in more than
	// one page; its amounts are then the sum.
	PrefixPage = "ledger/total/"
)

func keySegment(n int) string { return fmt.Sprintf("%s%010d", PrefixSegment, n) }
func keyPage(n int) string    { return fmt.Sprintf("%s%010d", PrefixPage, n) }

// ErrUnknownKind tells that a charge in a segment refers to a kind of machine that its pack
// does not have.
var ErrUnknownKind = errors.New("names no kind of machine")

// ChargeCountError tells that a segment does not hold as many charges as it says.
type ChargeCountError struct{ Held, Stated int }

func (e *ChargeCountError) Error() string {
	return fmt.Sprintf("it holds %d charges and says %d", e.Held, e.Stated)
}

// recordNumber reads the number of a segment or page from its key.
func recordNumber(prefix, key string) (int, error) {
	var n int
	if _, err := fmt.Sscanf(key, prefix+"%010d", &n); err != nil {
		return 0, &jobs.RecordError{Key: key, Err: fmt.Errorf("%w: %w", jobs.ErrMalformedKey, err)}
	}
	return n, nil
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

// ReadSegment decodes a stored segment. The error is a *jobs.RecordError.
func ReadSegment(c *charge.Codec, item wire.Item) ([]charge.Pack, error) {
	packs, err := decodeSegment(c, item.Value)
	if err != nil {
		return nil, &jobs.RecordError{Key: item.Key, Err: err}
	}
	return packs, nil
}

func decodeSegment(c *charge.Codec, value []byte) ([]charge.Pack, error) {
	var r segmentRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, err
	}
	var packs []charge.Pack
	if err := c.Decode(r.Zstd, &packs); err != nil {
		return nil, err
	}
	for i := range packs {
		p := &packs[i]
		for k := range p.Charges {
			if kind := p.Charges[k].Kind; kind < 0 || kind >= len(p.Kinds) {
				return nil, fmt.Errorf("a charge of %s %w", p.Job, ErrUnknownKind)
			}
		}
	}
	if n := countCharges(packs); n != r.Charges {
		return nil, &ChargeCountError{Held: n, Stated: r.Charges}
	}
	return packs, nil
}

// ReadPage decodes a stored page of totals. The error is a *jobs.RecordError.
func ReadPage(c *charge.Codec, item wire.Item) ([]Row, error) {
	var r pageRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, &jobs.RecordError{Key: item.Key, Err: err}
	}
	var rows []Row
	if err := c.Decode(r.Zstd, &rows); err != nil {
		return nil, &jobs.RecordError{Key: item.Key, Err: err}
	}
	return rows, nil
}

func countCharges(packs []charge.Pack) int {
	n := 0
	for i := range packs {
		n += len(packs[i].Charges)
	}
	return n
}

func segmentValue(c *charge.Codec, packs []charge.Pack) json.RawMessage {
	return wire.EncodeRecord(segmentRecord{Charges: countCharges(packs), Zstd: c.Encode(packs)})
}

func pageValue(c *charge.Codec, rows []Row) json.RawMessage {
	return wire.EncodeRecord(pageRecord{Zstd: c.Encode(rows)})
}
