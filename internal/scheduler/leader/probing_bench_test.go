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
	reports := make([]*wire.Heartbeat, n)
	for i := range reports {
		rep := &wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 1, FencingToken: 1}
		if _, err := l.machines.Heartbeat(rep, false, clock.Now(), func(machines.AttemptID) bool { return false }); err != nil {
			t.Fatal(err)
		}
		p := l.jobs.Allocate(j, i, rep.Machine, "a", 1, clock.Now())
		p.Committed, p.State, p.RunningSince = true, wire.TaskRunning, clock.Now()
		l.machines.AddAllocation(p, clock.Now())
		rep.Tasks = []wire.TaskStatus{{Task: p.Task().String(), Attempt: 1, State: wire.TaskRunning}}
		reports[i] = rep
	}
	return l, reports
}

// BenchmarkStepProbing is what looking at all machines for doubts costs, twice a second.
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

// BenchmarkRegistryHeartbeat is what a report costs the roster, its age and the effect of the answer before it included.
func BenchmarkRegistryHeartbeat(b *testing.B) {
	l, reports := newLoopHeardByMany(b, 3300)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		rep := reports[i%len(reports)]
		rep.Seq++
		if _, err := l.machines.Heartbeat(rep, false, l.env.Clock.Now(), func(machines.AttemptID) bool { return false }); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against questions that come in the thousands when half of a large fleet is out of reach: they keep to their share
// of what is on its way, and to their rate.
func TestProbesInFlightAreBounded(t *testing.T) {
	l, _ := newLoopHeardByMany(t, 2000)
	l.env.CommandSlots = make(chan struct{}, 400)
	for _, m := range l.machines.Machines {
		m.SuspectCopy = true
	}
	l.stepProbing(l.env.Clock.Now())
	if most := 400 / 8; l.probing.inFlight == 0 || l.probing.inFlight > most {
		t.Errorf("%d questions at a time, at most %d", l.probing.inFlight, most)
	}
}

// Guards against a job of as many tasks as one may have, whose questions hold up all others: its state is told from memory.
func TestStatusOfLargeJobAllocatesNothing(t *testing.T) {
	l, clock := newTestLoop(t)
	j := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: wire.MaxTasks, CPUs: 1, MemoryGB: 1})
	for i := range 2000 {
		p := l.jobs.Allocate(j, i, "n-large", "a", 1, clock.Now())
		p.State = wire.TaskRunning
	}
	if s := j.Status(); s.Running != 2000 || s.State != wire.StateRunning {
		t.Errorf("%+v", s)
	}
	if n := testing.AllocsPerRun(10, func() { _ = j.Status() }); n > 0 {
		t.Errorf("%v allocations for each poll", n)
	}
}
