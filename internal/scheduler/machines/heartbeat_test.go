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
		if _, err := f.Heartbeat(hb, false, t0, mayNotForget); !errors.Is(err, ErrStale) {
			t.Errorf("incarnation %d, seq %d: %v", hb.Incarnation, hb.Seq, err)
		}
	}
}

func TestNewIncarnationEndsTheAllocationsOfTheOld(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	p := allocation(1)
	f.AddAllocation(p, t0)
	a := f.receive(heartbeat(2, 2, term), time.Second, mayNotForget)
	if len(a.Outcomes) != 1 || a.Outcomes[0].Allocation != p || a.Outcomes[0].Reason != wire.ExitStopped {
		t.Fatalf("outcomes %v", a.Outcomes)
	}
}
