package machines

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against a task that is started elsewhere while a machine that sends no heartbeats still runs it.
func TestSilenceProvesNothingBeforeLeaseExpiry(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	f.AddAllocation(newAllocation(1), t0)
	f.receive(heartbeat(1, 2, term, status("job-1/0", 1, wire.TaskRunning, "")), 5*time.Second, mayNotForget)
	// A direct answer renews no lease: it must not postpone the expiry, nor prove that a task is gone.
	if result, err := f.DirectAnswer(heartbeat(1, 3, term), t0.Add(9*time.Second), mayForget); err != nil || len(result.Outcomes)+len(result.Commands) != 0 {
		t.Fatalf("direct answer: result %+v, error %v", result, err)
	}
	if outcomes := f.expire(15 * time.Second); len(outcomes) != 0 {
		t.Fatalf("allocations ended before the lease, clock drift included, expired: %v", outcomes)
	}
	end := 5*time.Second + time.Duration(lease*(1+tuning.ClockDriftShare)*float64(time.Second)) + tuning.LeaseMargin
	outcomes := f.expire(end)
	if len(outcomes) != 1 {
		t.Fatalf("outcomes at the lease expiry: %v, want one", outcomes)
	}
	f.RemoveAllocation(outcomes[0].Allocation, t0)
	// A heartbeat of that incarnation that arrives later was delayed by the network.
	if _, err := f.Heartbeat(heartbeat(1, 4, term, status("job-1/0", 1, wire.TaskRunning, "")), t0.Add(end), mayNotForget); !errors.Is(err, ErrStale) {
		t.Errorf("heartbeat of an incarnation that is over: error %v, want ErrStale", err)
	}
	if result := f.receive(heartbeat(2, 5, term), end, mayNotForget); len(result.Outcomes) != 0 {
		t.Errorf("allocation ended twice: %v", result.Outcomes)
	}
}

// Guards against tasks that are started elsewhere while a follower on the other side of a partition renews their
// machine's lease.
func TestLeaseRenewedByAFollowerDoesNotExpire(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	f.AddAllocation(newAllocation(1), t0)
	renewed := map[string]bool{"n-1": true}
	// The lease expired only after the query of the followers had begun, so nothing follows from it yet.
	if outcomes := f.EndExpired(t0.Add(9*time.Second), nil); len(outcomes) != 0 {
		t.Fatalf("allocations lost by a query that began before the lease expiry: %v", outcomes)
	}
	if outcomes := f.EndExpired(t0.Add(20*time.Second), renewed); len(outcomes) != 0 {
		t.Fatalf("allocations lost while a follower renews the lease: %v", outcomes)
	}
	if outcomes := f.EndExpired(t0.Add(21*time.Second), nil); len(outcomes) != 1 {
		t.Fatalf("outcomes after nobody renewed the lease: %v, want one", outcomes)
	}
}
