package machines

import (
	"errors"
	"testing"
)

func TestReturnedMachineIsLostAndItsHeartbeatsRefused(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	f.AddAllocation(allocation, t0)
	if outcomes := f.MarkLost("n-1", t0); len(outcomes) != 1 || outcomes[0].Allocation != allocation {
		t.Fatalf("outcomes %v, want that of the allocation", outcomes)
	}
	if _, err := f.Heartbeat(heartbeat(1, 2, term), t0, mayNotForget); !errors.Is(err, ErrReturned) {
		t.Errorf("late heartbeat of a lost machine: error %v, want ErrReturned", err)
	}
}
