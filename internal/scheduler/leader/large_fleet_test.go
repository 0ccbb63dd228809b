package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// newLoopWith400Machines makes a leader with 400 full machines. They run up to six tasks of each of 260 arrays. The
// other tasks of these arrays wait, and so do all tasks of 40 further arrays.
func newLoopWith400Machines(t testing.TB) (*Loop, []*wire.Heartbeat) {
	l, clock := newTestLoop(t)
	now := clock.Now()
	l.env.Teams["t"] = config.Team{Name: "t", CPUs: 500, CPUsMax: 1e6}
	l.writer.inFlight = true // no records are written, as the cost of writing is not part of this measurement
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

// BenchmarkHeartbeatAndSchedule measures the leader's work for one heartbeat in a fleet of 400 machines, if a scheduling
// cycle follows.
func BenchmarkHeartbeatAndSchedule(b *testing.B) {
	l, heartbeats := newLoopWith400Machines(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb := heartbeats[i%len(heartbeats)]
		hb.Seq++
		if _, err := l.handleHeartbeat(hb); err != nil {
			b.Fatal(err)
		}
		l.step(l.env.Clock.Now())
		l.schedule(l.env.Clock.Now()) // not part of the step, as Env.MayAct reports that this leader may not act
	}
}

// Guards against a scheduling cycle whose work grows with the product of machines and jobs: the number of memory
// allocations per machine and per job is bounded.
func TestSchedulingCycleAllocationsGrowLinearly(t *testing.T) {
	l, heartbeats := newLoopWith400Machines(t)
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
	if limit := 4.0 * float64(len(l.machines.Machines)+len(l.jobs.Jobs)); got > limit {
		t.Errorf("%v allocations, want at most %v", got, limit)
	}
}

// largeWorkload is a loop that starts without machines. Its methods apply the answers that the cloud and the
// key-value store would give.
type largeWorkload struct {
	*Loop
	t                        *testing.T
	requests, rented, stored int // numbers of rental requests, rented machines and tasks with a stored allocation
}

// rentAll answers all pending rentals in full and lets the machines send their first heartbeats.
func (w *largeWorkload) rentAll() {
	for name, p := range w.rentals.inFlight {
		w.requests++
		var names []string
		for range p.Count {
			names = append(names, machineName(w.rented))
			w.rented++
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
		startable, _ := w.jobs.MarkCommitted(batch, revision)
		w.stored += len(startable)
	}
}

// completeAll completes all tasks that are placed on machines.
func (w *largeWorkload) completeAll() {
	now := w.env.Clock.Now()
	for _, m := range w.machines.Machines {
		for _, a := range m.Allocations {
			w.jobs.MarkDone(a, now)
			w.machines.RemoveAllocation(a, now)
		}
	}
}

// returnOnce answers the previous deletion, scales in once, and removes the machines that are being returned.
func (w *largeWorkload) returnOnce() {
	w.deletions.inFlight, w.deletions.queue = false, nil
	w.scaleIn(w.env.Clock.Now())
	for _, m := range w.machines.Machines {
		if m.Returning {
			w.machinesLost([]string{m.Name})
		}
	}
}

// Guards against limits that suffice only for hundreds of machines: the number of rented machines stopped at 1,000
// while a hundred jobs waited. Here 100,000 tasks get 10,000 machines, every task is placed and stored, and
// all machines are returned in the end.
func TestScalesOutAndInToTenThousandMachines(t *testing.T) {
	const machineCount, jobCount, taskCount = 10_000, 10, 100_000
	l, clock := newTestLoop(t)
	w := &largeWorkload{Loop: l, t: t}
	clear(l.machines.Machines)
	l.env.Teams["t"] = config.Team{Name: "t", CPUs: 1e6, CPUsMax: 1e6}
	l.env.Settings.Cluster.State.MaxTxnOps = 40
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, Zones: []string{"a", "b", "c"}}}
	l.env.MachineTypes = func() []wire.MachineType { return types }
	for i := range jobCount {
		l.addPending(t, wire.Job{
			ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			Tasks: taskCount / jobCount, CPUs: 0.4, MemoryGB: 1, Image: "img",
		})
	}
	for iteration := 0; w.stored < taskCount; iteration++ {
		if iteration > 2*machineCount/wire.MaxRent {
			t.Fatalf("only %d of %d tasks are placed and stored, on %d machines, after %d rental requests", w.stored, taskCount, len(l.machines.Machines), w.requests)
		}
		l.scaleOut(clock.Now())
		w.rentAll()
		l.schedule(clock.Now())
		w.storeAll(uint64(iteration + 2))
	}
	if len(l.machines.Machines) != machineCount {
		t.Errorf("%d machines are rented, want %d", len(l.machines.Machines), machineCount)
	}
	w.completeAll()
	clock.Advance(l.env.Tunables.IdleKeep + time.Second)
	for _, m := range l.machines.Machines {
		m.LastHeartbeat = clock.Now()
	}
	deletions := 0
	for ; len(l.machines.Machines) > 0 && deletions <= machineCount/wire.MaxDelete; deletions++ {
		w.returnOnce()
	}
	if deletions != machineCount/wire.MaxDelete {
		t.Errorf("%d deletion requests, %d machines are left", deletions, len(l.machines.Machines))
	}
}

// BenchmarkUnchangedHeartbeat measures the work of the leader for a heartbeat that changes nothing.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	l, heartbeats := newLoopWith400Machines(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		hb := heartbeats[i%len(heartbeats)]
		hb.Seq++
		if _, err := l.handleHeartbeat(hb); err != nil {
			b.Fatal(err)
		}
	}
}
