package ledger

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/wire"
)

// fullRow returns a row of totals in which every field is set.
func fullRow() *Row {
	return &Row{
		Key: RowKey{Day: "2026-12-01", Team: "vision", Account: "grant-7", Class: "train", Type: "large", Spot: true},
		Sum: charge.Amounts{Core: 21, GPU: 22, Memory: 23, Money: 24, RunMS: 25, ByOutcome: [10]int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}},
	}
}

// fullPack returns a pack with one charge.
func fullPack() charge.Pack {
	return charge.Pack{
		Job: "job-17", Traits: charge.JobTraits{Team: "vision", Account: "grant-7", Class: "train", Cores: 8000, GPUs: 500, Memory: 64_000},
		Kinds: []charge.Kind{{Type: "large", Zone: "a", Spot: true, Rate: 3_400_000}},
		Charges: []charge.Charge{{
			Task: 4, Attempt: 5, Part: 6, StartMS: 1_780_000_000_000, RunMS: 90_000, Money: 85_000, Outcome: charge.Drained,
			Flags: charge.UpperBound | charge.ProgressSaved | charge.PriceUnknown,
		}},
	}
}

func TestStoredFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "segment", golden.Fill(new(segmentRecord)))
	golden.JSONRoundTrip(t, "page", golden.Fill(new(pageRecord)))
	golden.CBORRoundTrip(t, "row", fullRow())
	golden.CBORRoundTrip(t, "row-name", &fullRow().Key)
}

func TestStoredKeys(t *testing.T) {
	golden.Lines(t, "keys", PrefixSegment, PrefixPage, keySegment(17), keyPage(18))
	for prefix, key := range map[string]string{PrefixSegment: keySegment(17), PrefixPage: keyPage(17)} {
		if n, err := recordNumber(prefix, key); n != 17 || err != nil {
			t.Errorf("the number in the key %s is read as %d, %v; want 17", key, n, err)
		}
	}
}

func TestStoredSegment(t *testing.T) {
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	packs := []charge.Pack{fullPack()}
	value := segmentValue(codec, packs)
	golden.Check(t, "segment-of-packs", value)
	decoded, err := ReadSegment(codec, wire.Item{Key: keySegment(0), Value: value})
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "segment-of-packs", decoded, packs)
}

func TestStoredPage(t *testing.T) {
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	rows := []Row{*fullRow()}
	value := pageValue(codec, rows)
	golden.Check(t, "page-of-rows", value)
	decoded, err := ReadPage(codec, wire.Item{Key: keyPage(0), Value: value})
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "page-of-rows", decoded, rows)
}

func TestAnswerFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "answer-total", golden.Fill(new(Total)))
	golden.JSONRoundTrip(t, "answer-totals", golden.Fill(new(Totals)))
	golden.JSONRoundTrip(t, "answer-stats", golden.Fill(new(Stats)))
	golden.JSONEncoding(t, "answer-charge", golden.Fill(new(ChargeView)))
	golden.JSONEncoding(t, "answer-charges", golden.Fill(new(ChargesPage)))
}

// Answers and CSV files must not change for given stored amounts and charges.
func TestAnswersToQueries(t *testing.T) {
	query, err := ParseQuery(url.Values{
		"team": {"vision"}, "account": {"grant-7"}, "class": {"train"}, "from": {"2026-12-01"}, "to": {"2026-12-31"}, "by": {strings.Join(groupColumns, ",")},
	})
	if err != nil {
		t.Fatal(err)
	}
	aggregation := NewAggregation(query)
	aggregation.Add(fullRow().Key, fullRow().Sum)
	totals := aggregation.Totals(time.UTC)
	golden.JSONEncoding(t, "question-totals", totals)
	pack := fullPack()
	charges := ChargeViews(&pack)
	golden.JSONEncoding(t, "question-charges", charges)
	golden.JSONEncoding(t, "csv-totals", TotalsCSV(totals))
	golden.JSONEncoding(t, "csv-charges", ChargesCSV(charges))
	golden.Lines(t, "paths", append([]string{PathTotals, PathStats, PathBudgets}, groupColumns...)...)
}
