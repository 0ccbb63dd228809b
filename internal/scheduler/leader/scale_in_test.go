package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against deletion requests that pile up: one is in flight at a time, and machines added meanwhile share the next.
func TestDeletionsAreBatched(t *testing.T) {
	l, _ := newTestLoop(t)
	l.deleteMachines([]string{"n-1"})
	l.deleteMachines([]string{"n-2"})
	l.deleteMachines([]string{"n-3"})
	if !l.deletions.inFlight || len(l.deletions.queue) != 2 {
		t.Errorf("request in flight: %v, queued: %v; want one in flight and two machines queued", l.deletions.inFlight, l.deletions.queue)
	}
}

// Guards against a leader that returns half of the fleet because a partition separates them: machines that the cloud lists
// as running become usable again when the partition ends.
func TestManySilentMachinesAreNotReturnedDuringPartition(t *testing.T) {
	for _, c := range []struct {
		silent int
		limit  time.Duration
	}{{1, tuning.SilentReturnAfter}, {10, tuning.SilentReturnAfterPartition}} {
		l, clock := newTestLoop(t)
		var listed []wire.ListedMachine
		for i := range c.silent {
			listed = append(listed, wire.ListedMachine{Name: fmt.Sprintf("n-%d", i), Type: "small", Zone: "a", State: wire.MachineRunning, AgeS: 600})
		}
		l.reconcileMachines([]cloud.ListPage{{Machines: listed}}, clock.Now())
		returned := func() int {
			for name := range l.machines.Machines { // the machines of the test loop continue to send heartbeats
				if m := l.machines.Machines[name]; m.Incarnation > 0 {
					m.LastHeartbeat, m.IdleSince = clock.Now(), clock.Now()
				}
			}
			l.scaleIn(clock.Now())
			n := 0
			for _, m := range l.machines.Machines {
				if m.Returning {
					n++
				}
			}
			return n
		}
		clock.Advance(l.env.workerLease() + c.limit - time.Second)
		if n := returned(); n != 0 {
			t.Errorf("%d machines silent: %d returned too soon", c.silent, n)
		}
		clock.Advance(2 * time.Second)
		if n := returned(); n != c.silent {
			t.Errorf("%d machines silent: %d returned after the limit, want all", c.silent, n)
		}
	}
}
