package ledger

import (
	"encoding/json"
	"errors"
	"testing"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func TestSegmentErrorNamesRecordAndReason(t *testing.T) {
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	unknownKind := fullPack()
	unknownKind.Charges[0].KindIndex = len(unknownKind.Kinds)
	wrongCount := segmentRecord{ChargeCount: 2, Zstd: codec.Encode([]charge.Pack{fullPack()})}
	for _, c := range []struct {
		name, text string
		value      json.RawMessage
		matches    func(error) bool
	}{
		{"an unknown kind", "record ledger/seg/0000000017: charge of job-17: machine kind is not in the pack",
			segmentValue(codec, []charge.Pack{unknownKind}), func(err error) bool { return errors.Is(err, ErrUnknownKind) }},
		{"a wrong count", "record ledger/seg/0000000017: segment contains 1 charges, but its record states 2", wire.EncodeRecord(wrongCount), func(err error) bool {
			var countErr *ChargeCountError
			return errors.As(err, &countErr) && countErr.Actual == 1 && countErr.Stated == 2
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadSegment(codec, wire.Item{Key: keySegment(17), Value: c.value})
			var recordErr *jobs.RecordError
			if !errors.As(err, &recordErr) || recordErr.Key != keySegment(17) || !c.matches(err) || err.Error() != c.text {
				t.Errorf("got the error %v", err)
			}
		})
	}
}

func TestRecordNumberRefusesAMalformedKey(t *testing.T) {
	_, err := recordNumber(PrefixPage, PrefixPage+"last")
	var recordErr *jobs.RecordError
	if !errors.As(err, &recordErr) || recordErr.Key != PrefixPage+"last" || !errors.Is(err, jobs.ErrMalformedKey) {
		t.Errorf("got the error %v", err)
	}
}

func TestLastNumberIsFoundWithFewCalls(t *testing.T) {
	for count := range 70 {
		calls, lastTrue := 0, -1
		got, err := lastNumber(func(n int) (bool, error) {
			calls++
			if n < count {
				lastTrue = n
			}
			return n < count, nil
		})
		if got != count-1 || lastTrue != got || err != nil || calls > 15 {
			t.Errorf("%d numbers exist: got %d after %d calls, the last of which to return true was for %d; error %v", count, got, calls, lastTrue, err)
		}
	}
	errNoAnswer := errors.New("no answer")
	for failing := range 6 {
		calls := 0
		if _, err := lastNumber(func(n int) (bool, error) {
			if calls++; calls > failing {
				return false, errNoAnswer
			}
			return n < 10, nil
		}); !errors.Is(err, errNoAnswer) {
			t.Errorf("call %d of exists fails: got the error %v", failing+1, err)
		}
	}
}
