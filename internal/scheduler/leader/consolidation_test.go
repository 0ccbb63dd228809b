package leader

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against an expensive machine that stays rented for hours because of one replica that was placed there when the
// cheap machines were full.
func TestExpensiveMachineIsDrained(t *testing.T) {
	l, clock := newTestLoop(t)
	l.addRunning(t, "job-1", "n-small", 1)
	a := l.addRunning(t, "job-2", "n-large", 1)
	m := l.machines.Machines["n-large"]
	l.consolidate(clock.Now())
	if !m.Draining || l.machines.Machines["n-small"].Draining {
		t.Fatal("the expensive machine is not drained")
	}
	if a.Stop != nil {
		t.Error("a replica that has just started is moved, so its start would not count")
	}
	a.RunningSince = clock.Now().Add(-tuning.PreemptMinRun)
	l.moves.next = clock.Now()
	if l.consolidate(clock.Now()); a.Stop == nil {
		t.Error("a replica that has run for long enough is not moved")
	}
}

func TestMachineWhoseWorkFitsNowhereElseIsNotDrained(t *testing.T) {
	l, clock := newTestLoop(t)
	l.addRunning(t, "job-1", "n-small", 3)
	l.addRunning(t, "job-2", "n-large", 2)
	if l.consolidate(clock.Now()); l.machines.Machines["n-large"].Draining {
		t.Error("a machine is drained although its tasks fit on no other machine")
	}
}

// newFleetOfSmallMachines returns a loop with n small machines that have sent heartbeats. Each machine runs a replica that
// uses a quarter of its CPUs and has run for long enough to be moved.
func newFleetOfSmallMachines(t *testing.T, n int) (*Loop, *clockwork.FakeClock) {
	l, clock := newTestLoop(t)
	delete(l.machines.Machines, "n-large")
	delete(l.machines.Machines, "n-small")
	for i := range n {
		name := fmt.Sprintf("n-%03d", i)
		l.register(t, newHeartbeat(name, "small", "a"))
		a := l.addRunning(t, fmt.Sprintf("job-%d", i), name, 1)
		a.RunningSince = clock.Now().Add(-tuning.PreemptMinRun)
	}
	return l, clock
}

// Guards against a fleet that shrinks by only one machine at a time. With hundreds of machines, unused room then made up
// half of the cost.
func TestLargeFleetDrainsManyMachinesAtATime(t *testing.T) {
	l, clock := newFleetOfSmallMachines(t, 160)
	l.consolidate(clock.Now())
	if got := len(l.drainingMachines()); got != 160/tuning.ConsolidateCandidateDivisor {
		t.Errorf("%d of 160 machines are drained, want one in tuning.ConsolidateCandidateDivisor", got)
	}
	moving := 0
	for _, m := range l.drainingMachines() {
		for _, a := range m.Allocations {
			if a.Stop != nil {
				moving++
			}
		}
	}
	// If one check moved more, more would be down together when the leader dies.
	if moving != tuning.MovesPerCheckMin {
		t.Errorf("%d replicas are moved in one check, want tuning.MovesPerCheckMin", moving)
	}
}

// Guards against a fleet that never shrinks because some job always waits for its team's quota, and against machines
// that stay drained although jobs wait for their room.
func TestOnlyJobsShortOfRoomStopDraining(t *testing.T) {
	l, clock := newFleetOfSmallMachines(t, 16)
	waiting := wire.Job{ID: "job-900", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 3, CPUs: 3, MemoryGB: 1, Image: "img"}
	l.env.Teams["t"] = config.Team{Name: "t", CPUsMax: 16} // all of it in use
	l.addPending(t, waiting)
	l.consolidate(clock.Now())
	if len(l.drainingMachines()) == 0 {
		t.Fatal("no machine is drained while a job waits for its team's quota")
	}
	l.env.Teams["t"] = config.Team{Name: "t", CPUsMax: 100}
	l.moves.next = clock.Now()
	l.consolidate(clock.Now())
	if n := len(l.drainingMachines()); n != 0 {
		t.Errorf("%d machines are still being drained while a job waits for their room", n)
	}
}
