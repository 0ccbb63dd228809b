package jobs

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
)

// Guards against a new leader that starts all tasks of a job that has only ever failed, on as many machines,
// because the number of waves of failures was not stored.
func TestFailureWavesAreStored(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 2*tuning.TasksPerChunk)
	s, _ := kv.load(12)
	j := s.Jobs["job-1"]
	for i := range 3 { // each failure begins a wave, since the backoff of the previous one is over
		now := t0.Add(time.Duration(i) * time.Hour)
		a := s.Allocate(j, tuning.TasksPerChunk+1, "n-1", "a", 1, now)
		s.MarkLost(a, now)
		s.MarkFailed(j, now)
		s.MarkFailed(j, now) // a second failure of the same wave
	}
	kv.flush(s)
	s, _ = kv.load(12)
	if j := s.Jobs["job-1"]; j.FailureWaves != 3 || j.BackoffUntil.Sub(t0) != 4*tuning.FailureBackoff {
		t.Errorf("a new leader loads %d waves of failures and a backoff of %v, want 3 waves and 4 times FailureBackoff", j.FailureWaves, j.BackoffUntil.Sub(t0))
	}
	s.ResetBackoff(s.Jobs["job-1"], t0)
	s.queue.scheduleFlush(t0)
	kv.flush(s)
	if s, _ = kv.load(12); s.Jobs["job-1"].FailureWaves != 0 {
		t.Error("a new leader loads waves of failures of a job whose task has run well since")
	}
}
