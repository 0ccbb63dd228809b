package workerapi

import (
	"testing"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// Guards against workers whose leases are renewed one second before the next leader is elected, and that therefore do
// not report to that leader for another 10 s. Also guards against leases that expire because no member renews them.
func TestLeasesAreRenewedAfterTheElectionGraceOnly(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	long := electionGrace{length: graceLength(config.Workers{HeartbeatS: 10, LeaseS: 42})}
	if long.length < 2*time.Second || long.length > 5*time.Second {
		t.Fatalf("with leases of 42 s the grace period is %v, want 2 s to 5 s", long.length)
	}
	for _, c := range []struct {
		after  time.Duration // after the previous request
		active bool
	}{
		{0, true},
		{long.length - time.Millisecond, true},
		{time.Millisecond, false},
		{5 * time.Second, false}, // still the same search
		{tuning.WorkerSearchTime + time.Second, true},
	} {
		now = now.Add(c.after)
		if got := long.active(now); got != c.active {
			t.Errorf("%v after the previous request: active %v", c.after, got)
		}
	}
	short := electionGrace{length: graceLength(config.Workers{HeartbeatS: 1, LeaseS: 10})}
	if short.active(now) {
		t.Error("with leases of 10 s a worker is refused")
	}
}
