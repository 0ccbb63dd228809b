package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
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
		hb := newHeartbeat(machineName(i), "small", "a")
		hb.Spot = i%2 == 0
		l.register(t, hb)
		heartbeats = append(heartbeats, hb)
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
		if _, err := l.handleHeartbeat(hb); err != nil {
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
		if _, err := l.handleHeartbeat(hb); err != nil {
			t.Fatal(err)
		}
		l.schedule(l.env.Clock.Now())
	})
	if most := 4.0 * float64(len(l.machines.Machines)+len(l.jobs.Jobs)); got > most {
		t.Errorf("%v allocations, want at most %v", got, most)
	}
}

// largeWorkload is a loop without machines, and the calls that the cloud and the state service would answer for it.
type largeWorkload struct {
	*Loop
	t                       *testing.T
	requests, named, stored int
}

// rentAll answers all pending rentals in full; the machines send their first heartbeats.
func (w *largeWorkload) rentAll() {
	for name, p := range w.rentals.pending {
		w.requests++
		var names []string
		for range p.Count {
			names = append(names, machineName(w.named))
			w.named++
		}
		w.machinesRented(name, p, names)
		for _, m := range names {
			w.register(w.t, &wire.Heartbeat{Machine: m, Address: "127.0.0.1:1", Type: p.Type, Zone: p.Zone, Incarnation: 1, Seq: 1})
		}
	}
}

// storeAll commits all records that are due.
func (w *largeWorkload) storeAll(revision uint64) {
	next := func() *jobs.Batch { return w.jobs.NextBatch(w.env.Clock.Now(), jobs.WriteBudget{Spare: 1000}) }
	for batch := next(); batch != nil; batch = next() {
		start, _ := w.jobs.MarkCommitted(batch, revision)
		w.stored += len(start)
	}
}

// completeAll completes all tasks that have machines.
func (w *largeWorkload) completeAll() {
	now := w.env.Clock.Now()
	for _, m := range w.machines.Machines {
		for _, a := range m.Allocations {
			w.jobs.MarkDone(a, now)
			w.machines.RemoveAllocation(a, now)
		}
	}
}

// returnOnce scales in once; the machines are gone, and the deletion before is answered.
func (w *largeWorkload) returnOnce() {
	w.deletions.inFlight, w.deletions.queue = false, nil
	w.scaleIn(w.env.Clock.Now())
	for _, m := range w.machines.Machines {
		if m.Returning {
			w.machinesLost([]string{m.Name})
		}
	}
}

// Guards against limits made for hundreds of machines: the count of rented machines once
// stopped at 1,000 while a hundred jobs waited. A hundred thousand tasks get their ten
// thousand machines, each is placed and stored, and all that is rented is returned in the end.
func TestScalesOutAndInToTenThousandMachines(t *testing.T) {
	const machines, jobsOf, tasks = 10_000, 10, 100_000
	l, clock := newTestLoop(t)
	w := &largeWorkload{Loop: l, t: t}
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
	for round := 0; w.stored < tasks; round++ {
		if round > 2*machines/wire.MaxRent {
			t.Fatalf("%d of %d tasks are stored on %d machines after %d requests", w.stored, tasks, len(l.machines.Machines), w.requests)
		}
		l.scaleOut(clock.Now())
		w.rentAll()
		l.schedule(clock.Now())
		w.storeAll(uint64(round + 2))
	}
	if len(l.machines.Machines) != machines {
		t.Errorf("%d machines for what fits on %d", len(l.machines.Machines), machines)
	}
	w.completeAll()
	clock.Advance(l.env.Tunables.IdleKeep + time.Second)
	for _, m := range l.machines.Machines {
		m.LastHeartbeat = clock.Now()
	}
	deletions := 0
	for ; len(l.machines.Machines) > 0 && deletions <= machines/wire.MaxDelete; deletions++ {
		w.returnOnce()
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
		if _, err := l.handleHeartbeat(hb); err != nil {
			b.Fatal(err)
		}
	}
}
