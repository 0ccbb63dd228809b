package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// newLoopHeardByMany makes a leader with n machines that hear it, each with a task.
func newLoopHeardByMany(t testing.TB, n int) (*Loop, []*wire.Heartbeat) {
	l, clock := newTestLoop(t)
	clear(l.machines.Machines)
	l.env.Valid = func(uint64) bool { return true }
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

// BenchmarkStepProbing is what looking at all machines for suspects costs, twice a second.
func BenchmarkStepProbing(b *testing.B) {
	for _, n := range []int{400, 3300, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := newLoopHeardByMany(b, n)
			for b.Loop() {
				l.probing.next = time.Time{}
				l.stepProbing(l.env.Clock.Now())
			}
		})
	}
}

// BenchmarkRegistryHeartbeat is what a heartbeat costs the machine registry, its age and the effect of the answer before it included.
func BenchmarkRegistryHeartbeat(b *testing.B) {
	l, heartbeats := newLoopHeardByMany(b, 3300)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb := heartbeats[i%len(heartbeats)]
		hb.Seq++
		if _, err := l.machines.Heartbeat(hb, l.env.Clock.Now(), func(machines.AttemptID) bool { return false }); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against probes that come in the thousands when half of a large fleet is unreachable: they keep to their share
// of the commands in flight, and to their rate.
func TestProbesInFlightAreBounded(t *testing.T) {
	l, _ := newLoopHeardByMany(t, 2000)
	l.env.CommandSlots = make(chan struct{}, 400)
	for _, m := range l.machines.Machines {
		m.SuspectCopy = true
	}
	l.stepProbing(l.env.Clock.Now())
	if most := 400 / 8; l.probing.inFlight == 0 || l.probing.inFlight > most {
		t.Errorf("%d probes at a time, at most %d", l.probing.inFlight, most)
	}
}
