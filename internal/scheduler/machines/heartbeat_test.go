package machines

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

func TestOutOfOrderHeartbeatsAreStale(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(2, 5, term), 0, mayNotForget)
	for _, hb := range []*wire.Heartbeat{heartbeat(2, 5, term), heartbeat(2, 4, term), heartbeat(1, 9, term)} {
		if _, err := f.Heartbeat(hb, t0, mayNotForget); !errors.Is(err, ErrStale) {
			t.Errorf("heartbeat of incarnation %d, seq %d: error %v, want ErrStale", hb.Incarnation, hb.Seq, err)
		}
	}
}

func TestNewIncarnationEndsTheAllocationsOfTheOld(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	f.AddAllocation(allocation, t0)
	result := f.receive(heartbeat(2, 2, term), time.Second, mayNotForget)
	if len(result.Outcomes) != 1 || result.Outcomes[0].Allocation != allocation || result.Outcomes[0].Reason != wire.ExitStopped {
		t.Fatalf("outcomes %v, want the allocation of the old incarnation, as stopped", result.Outcomes)
	}
}

// Guards against a lasting spot notice from a delayed copy. Until the machine has acknowledged a message of this
// term, a notice counts provisionally and a heartbeat without a notice does not clear it. The first heartbeat after
// the acknowledgment replaces the notice.
func TestSpotNoticeBeforeTheFirstAcknowledgmentIsProvisional(t *testing.T) {
	f := newFixture(t)
	f.RestoreAllocation(newAllocation(1), t0)
	f.receive(withNotice(heartbeat(1, 5, term-1), 25), 0, mayNotForget)
	m := f.Machines["n-1"]
	f.receive(heartbeat(1, 6, term-1), time.Second, mayNotForget)
	if want := t0.Add(25 * time.Second); m.InterruptionAt != want {
		t.Errorf("a heartbeat that may be a copy changed the interruption time to %v, want %v", m.InterruptionAt, want)
	}
	f.receive(withNotice(heartbeat(1, 7, term), 60), 2*time.Second, mayNotForget)
	if want := t0.Add(62 * time.Second); m.InterruptionAt != want {
		t.Errorf("interruption at %v, want %v by the notice after the acknowledgment", m.InterruptionAt, want)
	}
}
