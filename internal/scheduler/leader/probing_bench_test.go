package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// newLoopWithReachableMachines makes a leader with n reachable machines that run one task each.
func newLoopWithReachableMachines(t testing.TB, n int) (*Loop, []*wire.Heartbeat) {
	l, clock := newTestLoop(t)
	clear(l.machines.Machines)
	l.env.MayAct = func(uint64) bool { return true }
	l.env.Settings.Cluster.Workers.HeartbeatS = 10
	j := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: n, CPUs: 1, MemoryGB: 1})
	heartbeats := make([]*wire.Heartbeat, n)
	for i := range heartbeats {
		hb := newHeartbeat(machineName(i), "small", "a")
		l.register(t, hb)
		a := l.jobs.Allocate(j, i, hb.Machine, "a", 1, clock.Now())
		a.Committed, a.State, a.RunningSince = true, wire.TaskRunning, clock.Now()
		l.machines.AddAllocation(a, clock.Now())
		hb.Tasks = []wire.TaskStatus{{Task: a.Task().String(), Attempt: 1, State: wire.TaskRunning}}
		heartbeats[i] = hb
	}
	return l, heartbeats
}

// BenchmarkStepProbing measures the search for suspects among all machines, which happens twice a second.
func BenchmarkStepProbing(b *testing.B) {
	for _, n := range []int{400, 3300, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := newLoopWithReachableMachines(b, n)
			for b.Loop() {
				l.probing.next = time.Time{}
				l.stepProbing(l.env.Clock.Now())
			}
		})
	}
}

// BenchmarkRegistryHeartbeat measures how the machine registry handles a heartbeat, including the checks of its age
// and of the effect of the previous reply.
func BenchmarkRegistryHeartbeat(b *testing.B) {
	l, heartbeats := newLoopWithReachableMachines(b, 3300)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb := heartbeats[i%len(heartbeats)]
		hb.Seq++
		if _, err := l.machines.Heartbeat(hb, l.env.Clock.Now(), func(machines.AttemptID) bool { return false }); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against thousands of probes at once when half of a large fleet is unreachable: probes are limited to their
// share of the command slots and to their rate.
func TestProbesInFlightAreBounded(t *testing.T) {
	l, _ := newLoopWithReachableMachines(t, 2000)
	l.env.CommandSlots = make(chan struct{}, 400)
	for _, m := range l.machines.Machines {
		m.SuspectCopy = true
	}
	l.stepProbing(l.env.Clock.Now())
	if most := 400 / 8; l.probing.probesInFlight == 0 || l.probing.probesInFlight > most {
		t.Errorf("%d probes in flight, want 1 to %d", l.probing.probesInFlight, most)
	}
}
