package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// newLoopAtScale makes a leader with 400 full machines that run the tasks of 260
// services and arrays, while 40 large arrays wait.
func newLoopAtScale(t testing.TB) (*Loop, []*wire.Heartbeat) {
	l, clock := newTestLoop(t)
	now := clock.Now()
	l.env.Teams["t"] = config.Team{Name: "t", CPUs: 500, CPUsMax: 1e6}
	l.writer.inFlight = true // nothing is stored: that is another's work
	l.fleet.next = now.Add(time.Hour)
	clear(l.machines.Machines)
	var heartbeats []*wire.Heartbeat
	for i := range 400 {
		heartbeats = append(heartbeats, &wire.Heartbeat{
			Machine: fmt.Sprintf("n-%06d", i), Address: "127.0.0.1:1", Type: "small", Zone: "a", Spot: i%2 == 0, Incarnation: 1, Seq: 1, FencingToken: 1,
		})
		if _, err := l.machines.Heartbeat(heartbeats[i], false, now, func(machines.AttemptID) bool { return false }); err != nil {
			t.Fatal(err)
		}
	}
	next := 0
	for i := range 300 {
		j := l.addPending(t, wire.Job{
			ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 40,
			CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", i%20), ImageGB: 1.5, Spot: true,
		})
		for k := 0; i < 260 && k < 6 && next < 1600; k++ {
			hb := heartbeats[next%400]
			a := l.jobs.Allocate(j, k, hb.Machine, "a", 1, now)
			a.Committed, a.State, a.RunningSince = true, wire.TaskRunning, now
			l.machines.AddAllocation(a, now)
			hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: a.Task().String(), Attempt: a.Attempt, State: wire.TaskRunning})
			next++
		}
	}
	return l, heartbeats
}

// BenchmarkHeartbeatAndSchedule is what one heartbeat costs the leader at 400 machines, when it
// changes something and a scheduling cycle follows.
func BenchmarkHeartbeatAndSchedule(b *testing.B) {
	l, heartbeats := newLoopAtScale(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb := heartbeats[i%len(heartbeats)]
		hb.Seq++
		if _, err := l.handleHeartbeat(hb, false); err != nil {
			b.Fatal(err)
		}
		l.step(l.env.Clock.Now())
		l.schedule(l.env.Clock.Now()) // which a step leaves to the one with the right to act
	}
}

// Guards against a scheduling cycle whose work grows with machines times jobs: it has a
// fixed number of memory allocations for each machine and each job.
func TestSchedulingCycleAllocationsGrowLinearly(t *testing.T) {
	l, heartbeats := newLoopAtScale(t)
	i := 0
	got := testing.AllocsPerRun(20, func() {
		hb := heartbeats[i%len(heartbeats)]
		i++
		hb.Seq++
		if _, err := l.handleHeartbeat(hb, false); err != nil {
			t.Fatal(err)
		}
		l.schedule(l.env.Clock.Now())
	})
	if most := 4.0 * float64(len(l.machines.Machines)+len(l.jobs.Jobs)); got > most {
		t.Errorf("%v allocations, want at most %v", got, most)
	}
}

// Guards against limits made for hundreds of machines: the count of rented machines once
// stopped at 1,000 while a hundred jobs waited. A hundred thousand tasks get their ten
// thousand machines, each is placed and stored, and all that is rented is returned in the end.
func TestScalesOutAndInToTenThousandMachines(t *testing.T) {
	const machines, jobsOf, tasks = 10_000, 10, 100_000
	l, clock := newTestLoop(t)
	clear(l.machines.Machines)
	l.env.Teams["t"] = config.Team{Name: "t", CPUs: 1e6, CPUsMax: 1e6}
	l.env.Settings.Cluster.State.TxnOps = 40
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, Zones: []string{"a", "b", "c"}}}
	l.env.Types = func() []wire.MachineType { return types }
	for i := range jobsOf {
		l.addPending(t, wire.Job{
			ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			Tasks: tasks / jobsOf, CPUs: 0.4, MemoryGB: 1, Image: "img",
		})
	}
	requests, stored, named := 0, 0, 0
	for round := 0; stored < tasks; round++ {
		if round > 2*machines/wire.MaxRent {
			t.Fatalf("%d of %d tasks are stored on %d machines after %d requests", stored, tasks, len(l.machines.Machines), requests)
		}
		l.scaleOut(clock.Now())
		for name, w := range l.rentals.pending {
			requests++
			var names []string
			for range w.Count {
				names = append(names, fmt.Sprintf("n-%06d", named))
				named++
			}
			l.machinesRented(name, w, names)
			for _, m := range names {
				hb := wire.Heartbeat{Machine: m, Address: "127.0.0.1:1", Type: w.Type, Zone: w.Zone, Incarnation: 1, Seq: 1}
				if _, err := l.machines.Heartbeat(&hb, false, clock.Now(), nil); err != nil {
					t.Fatal(err)
				}
			}
		}
		l.schedule(clock.Now())
		for w := l.jobs.NextBatch(clock.Now(), jobs.WriteBudget{Spare: 1000}); w != nil; w = l.jobs.NextBatch(clock.Now(), jobs.WriteBudget{Spare: 1000}) {
			start, _ := l.jobs.MarkCommitted(w, uint64(round+2))
			stored += len(start)
		}
	}
	if len(l.machines.Machines) != machines {
		t.Errorf("%d machines for what fits on %d", len(l.machines.Machines), machines)
	}
	for _, m := range l.machines.Machines {
		for _, a := range m.Allocations {
			l.jobs.MarkDone(a, clock.Now())
			l.machines.RemoveAllocation(a, clock.Now())
		}
	}
	clock.Advance(l.env.Tunables.IdleKeep + time.Second)
	for _, m := range l.machines.Machines {
		m.LastHeartbeat = clock.Now()
	}
	deletions := 0
	for ; len(l.machines.Machines) > 0 && deletions <= machines/wire.MaxDelete; deletions++ {
		l.deletions.inFlight, l.deletions.queue = false, nil // the one before is answered
		l.scaleIn(clock.Now())
		for _, m := range l.machines.Machines {
			if m.Returning {
				l.machinesLost([]string{m.Name})
			}
		}
	}
	if deletions != machines/wire.MaxDelete {
		t.Errorf("%d deletions, %d machines are left", deletions, len(l.machines.Machines))
	}
}

// BenchmarkUnchangedHeartbeat is what a heartbeat costs that changes nothing.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	l, heartbeats := newLoopAtScale(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb := heartbeats[i%len(heartbeats)]
		hb.Seq++
		if _, err := l.handleHeartbeat(hb, false); err != nil {
			b.Fatal(err)
		}
	}
}
