package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Key prefixes in the state service. Only the leader writes these records.
const (
	// PrefixSegment is the key prefix of segments: compressed records of the charges that were rolled up, in the order
	// of the roll-ups. Segments are numbered from 0 without gaps. The last one is extended until it is full.
	PrefixSegment = "ledger/seg/"
	// PrefixPage is the key prefix of pages, which contain the rows of totals. Several pages may have rows with the same
	// RowKey; the total is then the sum of these rows.
	PrefixPage = "ledger/total/"
)

func keySegment(n int) string { return fmt.Sprintf("%s%010d", PrefixSegment, n) }
func keyPage(n int) string    { return fmt.Sprintf("%s%010d", PrefixPage, n) }

// ErrUnknownKind reports a charge in a segment whose machine kind is not among those of its pack.
var ErrUnknownKind = errors.New("machine kind is not in the pack")

// ChargeCountError reports a segment whose number of charges differs from the number stated in its record.
type ChargeCountError struct{ Actual, Stated int }

func (e *ChargeCountError) Error() string {
	return fmt.Sprintf("segment contains %d charges, but its record states %d", e.Actual, e.Stated)
}

// recordNumber returns the number of a segment or page, from its key.
func recordNumber(prefix, key string) (int, error) {
	var n int
	if _, err := fmt.Sscanf(key, prefix+"%010d", &n); err != nil {
		return 0, &jobs.RecordError{Key: key, Err: fmt.Errorf("%w: %w", jobs.ErrMalformedKey, err)}
	}
	return n, nil
}

// segmentRecord is the stored form of a segment.
type segmentRecord struct {
	ChargeCount int    `json:"charges"` // number of charges in Zstd
	Zstd        []byte `json:"z"`       // the zstd-compressed CBOR encoding of a []charge.Pack
}

// pageRecord is the stored form of a page.
type pageRecord struct {
	Zstd []byte `json:"z"` // the zstd-compressed CBOR encoding of a []Row
}

// ReadSegment decodes a stored segment. The error is a *jobs.RecordError.
func ReadSegment(codec *charge.Codec, item wire.Item) ([]charge.Pack, error) {
	packs, err := decodeSegment(codec, item.Value)
	if err != nil {
		return nil, &jobs.RecordError{Key: item.Key, Err: err}
	}
	return packs, nil
}

func decodeSegment(codec *charge.Codec, value []byte) ([]charge.Pack, error) {
	var record segmentRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, err
	}
	var packs []charge.Pack
	if err := codec.Decode(record.Zstd, &packs); err != nil {
		return nil, err
	}
	for i := range packs {
		pack := &packs[i]
		for k := range pack.Charges {
			if kind := pack.Charges[k].KindIndex; kind < 0 || kind >= len(pack.Kinds) {
				return nil, fmt.Errorf("charge of %s: %w", pack.Job, ErrUnknownKind)
			}
		}
	}
	if n := countCharges(packs); n != record.ChargeCount {
		return nil, &ChargeCountError{Actual: n, Stated: record.ChargeCount}
	}
	return packs, nil
}

// ReadPage decodes a stored page of totals. The error is a *jobs.RecordError.
func ReadPage(codec *charge.Codec, item wire.Item) ([]Row, error) {
	var record pageRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return nil, &jobs.RecordError{Key: item.Key, Err: err}
	}
	var rows []Row
	if err := codec.Decode(record.Zstd, &rows); err != nil {
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

func segmentValue(codec *charge.Codec, packs []charge.Pack) json.RawMessage {
	return wire.EncodeRecord(segmentRecord{ChargeCount: countCharges(packs), Zstd: codec.Encode(packs)})
}

func pageValue(codec *charge.Codec, rows []Row) json.RawMessage {
	return wire.EncodeRecord(pageRecord{Zstd: codec.Encode(rows)})
}
