package jobs

import (
	"strconv"
	"testing"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

func TestStoredFormats(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
	}{
		{"accepted-job", golden.Fill(new(JobRecord))},
		{"progress", golden.Fill(new(progressRecord))},
		{"task-entry", golden.Fill(new(taskEntry))},
		{"final-state", golden.Fill(new(FinalState))},
		{"moved-charges", golden.Fill(new(detachedRecord))},
	} {
		t.Run(c.name, func(t *testing.T) { golden.JSONRoundTrip(t, c.name, c.value) })
	}
}

func TestStoredKeys(t *testing.T) {
	golden.Lines(t, "keys",
		PrefixJob, PrefixProgress, PrefixFinalState, PrefixDetached,
		KeyJob("job-17"), KeyFinalState("job-17"), keyProgress("job-17", 3), keyProgress("job-17", 12345),
		keyDetached("job-17", &charge.Charge{Task: 4, Attempt: 5, Part: 6}),
	)
	id, chunk, ok := parseProgressKey(keyProgress("job-17", 3))
	if id != "job-17" || chunk != 3 || !ok {
		t.Errorf("the key of a progress record is parsed as %q, %d, %v", id, chunk, ok)
	}
}

// The charges of ended attempts are stored in progress records and in records of detached charges, in a field of
// the same name.
func TestStoredCharges(t *testing.T) {
	pack := charge.Pack{
		Job: "job-17", Traits: charge.JobTraits{Team: "vision", Class: "train", Cores: 8000, Memory: 64_000},
		Kinds:   []charge.Kind{{Type: "large", Zone: "a", Rate: 3_400_000}},
		Charges: []charge.Charge{{Task: 4, Attempt: 5, StartMS: 1_780_000_000_000, RunMS: 90_000, Money: 85_000, Outcome: charge.Done}},
	}
	encoded := charge.EncodePack(&pack)
	for _, c := range []struct {
		name  string
		value any
	}{
		{"progress-with-charges", progressRecord{Done: "0-3", Charges: encoded}},
		{"moved-charges-pack", detachedRecord{Charges: encoded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			decoded, err := DecodeCharges(wire.Item{Key: c.name, Value: golden.JSONEncoding(t, c.name, c.value)})
			if err != nil {
				t.Fatal(err)
			}
			golden.Equal(t, c.name, decoded, &pack)
		})
	}
}

// Done tasks are stored as ranges. The chunk size determines which tasks share a record, so it is part of the
// stored format.
func TestStoredRanges(t *testing.T) {
	done := []int{0, 1, 2, 5, 7, 8, 99_999}
	text := encodeRanges(done)
	golden.Lines(t, "ranges", text)
	decoded, err := decodeRanges(text)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "ranges", decoded, done)
	golden.Lines(t, "chunk-size", strconv.Itoa(tuning.TasksPerChunk))
}
