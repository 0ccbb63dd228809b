package jobs

import (
	"errors"
	"testing"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

func TestErrorsOfUnusableRecordsHaveKeyAndReason(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 1)
	s, _ := kv.load(12)
	job := func(item wire.Item) error { _, err := s.LoadJob(item, t0, t0); return err }
	progress := func(item wire.Item) error { _, err := s.LoadProgress(item, t0); return err }
	charges := func(item wire.Item) error { _, err := DecodeCharges(item); return err }
	for _, c := range []struct {
		name  string
		load  func(wire.Item) error
		key   string
		value string
		want  error // nil: any
	}{
		{"a job that is not JSON", job, KeyJob("job-2"), `{`, nil},
		{"a job under the key of another", job, KeyJob("job-2"), `{"job":{"id":"job-3","tasks":1}}`, ErrWrongJob},
		{"a job without tasks", job, KeyJob("job-2"), `{"job":{"id":"job-2"}}`, ErrWrongJob},
		{"progress without a chunk", progress, PrefixProgress + "job-1", `{}`, ErrMalformedKey},
		{"progress that is not JSON", progress, keyProgress("job-1", 0), `{`, nil},
		{"progress with malformed ranges", progress, keyProgress("job-1", 0), `{"d":"3-1"}`, ErrMalformedProgress},
		{"progress of a chunk that the job does not have", progress, keyProgress("job-1", 1), `{}`, ErrMalformedProgress},
		{"charges that are not JSON", charges, keyProgress("job-1", 0), `{`, nil},
		{"charges of an unknown format", charges, keyProgress("job-1", 0), `{"c":"/w=="}`, charge.ErrUnknownFormat},
		{"charges that are cut off", charges, keyProgress("job-1", 0), `{"c":"AQ=="}`, charge.ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.load(wire.Item{Key: c.key, Value: []byte(c.value), Version: 9})
			var record *RecordError
			if !errors.As(err, &record) || record.Key != c.key {
				t.Fatalf("error %v, want a *RecordError with the record's key", err)
			}
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a leader that cannot start because charges are damaged: the damage is reported, and the
// progress in the same record is used.
func TestProgressWithDamagedChargesIsUsed(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 3)
	s, _ := kv.load(12)
	if _, err := s.LoadProgress(wire.Item{Key: keyProgress("job-1", 0), Value: []byte(`{"d":"0-1","c":"/w=="}`), Version: 9}, t0); err != nil {
		t.Fatal(err)
	}
	if done := s.Jobs["job-1"].Done; done != 2 {
		t.Errorf("%d tasks are done, want 2", done)
	}
	if damaged := s.TakeChargeErrors(); len(damaged) != 1 || !errors.Is(damaged[0], charge.ErrUnknownFormat) {
		t.Errorf("errors for damaged charges: %v, want one ErrUnknownFormat", damaged)
	}
	if repeated := s.TakeChargeErrors(); len(repeated) != 0 {
		t.Errorf("errors for damaged charges are returned twice: %v", repeated)
	}
}
