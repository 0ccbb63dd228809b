package machines

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against a task that is started elsewhere while its silent machine still runs it.
func TestSilenceProvesNothingBeforeLeaseExpiry(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	f.AddAllocation(newAllocation(1), t0)
	f.receive(heartbeat(1, 2, term, status("job-1/0", 1, wire.TaskRunning, "")), 5*time.Second, mayNotForget)
	// A direct answer renews no lease: it must not put the end off, nor does it prove a task gone.
	if result, err := f.DirectAnswer(heartbeat(1, 3, term), t0.Add(9*time.Second), mayForget); err != nil || len(result.Outcomes)+len(result.Commands) != 0 {
		t.Fatalf("direct answer: %+v, %v", result, err)
	}
	if outcomes := f.expire(15 * time.Second); len(outcomes) != 0 {
		t.Fatalf("gone before the lease with its drift: %v", outcomes)
	}
	end := 5*time.Second + time.Duration(lease*(1+tuning.ClockDrift)*float64(time.Second)) + tuning.LeaseMargin
	outcomes := f.expire(end)
	if len(outcomes) != 1 {
		t.Fatalf("not gone at the end: %v", outcomes)
	}
	f.RemoveAllocation(outcomes[0].Allocation, t0)
	// A heartbeat of that incarnation that comes later was delayed by the network.
	if _, err := f.Heartbeat(heartbeat(1, 4, term, status("job-1/0", 1, wire.TaskRunning, "")), t0.Add(end), mayNotForget); !errors.Is(err, ErrStale) {
		t.Errorf("a heartbeat of an incarnation that is over: %v", err)
	}
	if result := f.receive(heartbeat(2, 5, term), end, mayNotForget); len(result.Outcomes) != 0 {
		t.Errorf("gone twice: %v", result.Outcomes)
	}
}

// Guards against tasks that are started elsewhere while a follower beyond a partition renews their machine's lease.
func TestLeaseRenewedByAFollowerDoesNotExpire(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	f.AddAllocation(newAllocation(1), t0)
	renewed := map[string]bool{"n-1": true}
	// The lease expired after the followers were asked: nothing is known yet.
	if outcomes := f.EndExpired(t0.Add(9*time.Second), nil); len(outcomes) != 0 {
		t.Fatalf("lost by an answer that is older than the lease expiry: %v", outcomes)
	}
	if outcomes := f.EndExpired(t0.Add(20*time.Second), renewed); len(outcomes) != 0 {
		t.Fatalf("lost while its lease is renewed: %v", outcomes)
	}
	if outcomes := f.EndExpired(t0.Add(21*time.Second), nil); len(outcomes) != 1 {
		t.Fatalf("not lost though nobody renewed its lease: %v", outcomes)
	}
}
