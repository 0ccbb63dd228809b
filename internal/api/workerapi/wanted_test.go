package workerapi

import (
	"testing"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// Guards against workers that are kept a second before the next leader is there and do not report to it for ten more,
// and against leases that run out since nobody keeps them.
func TestWorkersAreKeptAfterAWhileOnly(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	long := electionGrace{length: graceLength(config.Workers{HeartbeatS: 10, LeaseS: 42})}
	if long.length < 2*time.Second || long.length > 5*time.Second {
		t.Fatalf("with leases of 42 s patience is %v", long.length)
	}
	for _, c := range []struct {
		after time.Duration // the one before
		soon  bool
	}{
		{0, true},
		{long.length - time.Millisecond, true},
		{time.Millisecond, false},
		{5 * time.Second, false}, // still the same search
		{tuning.WorkerSearch + time.Second, true},
	} {
		now = now.Add(c.after)
		if got := long.active(now); got != c.soon {
			t.Errorf("%v later: %v", c.after, got)
		}
	}
	short := electionGrace{length: graceLength(config.Workers{HeartbeatS: 1, LeaseS: 10})}
	if short.active(now) {
		t.Error("with leases of 10 s a worker is refused")
	}
}
