package leader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
)

// Guards against a fixed size of a machine: 64 KiB each stopped at 2,965 machines with 322 MB, where they took 42 with as
// much garbage as memory in use. A fleet grows as long as the memory in use leaves room, and never beyond what it showed.
func TestMachinesAreRentedByTheMemoryInUse(t *testing.T) {
	const ramMB, processMB = 322, 12
	for _, c := range []struct {
		name        string
		kbEach      float64 // in use for each machine that sends heartbeats
		least, most int
	}{
		{"half of what 4,000 were measured to take", 21, maxSizedMachines, 7000},
		{"as much as it with the garbage", 42, 3000, 3400},
		{"as much as is allowed for in any case", 64, 2964, 2964},
		{"more", 128, 2964, 2964},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			clear(l.machines.Machines)
			l.env.Settings.Cluster.Limits.RAMMB = ramMB
			inUse := 0.0
			l.env.MemoryLive = func() uint64 { return uint64(inUse * (1 << 20)) }
			for most := l.maxMachines(); len(l.machines.Machines) < most; most = l.maxMachines() {
				for len(l.machines.Machines) < most {
					l.register(t, newHeartbeat(machineName(len(l.machines.Machines)), "small", "a"))
				}
				inUse = processMB + c.kbEach*float64(len(l.machines.Machines))/1024
			}
			if n := len(l.machines.Machines); n < c.least || n > c.most {
				t.Errorf("%d machines with %d MB, want %d to %d", n, ramMB, c.least, c.most)
			}
			// Machines that boot take their place before they take memory.
			before := l.maxMachines()
			l.machines.Register(machineName(len(l.machines.Machines)), "small", "a", false, clock.Now(), clock.Now())
			if got := l.maxMachines(); got != before {
				t.Errorf("%d machines are allowed instead of %d when one boots", got, before)
			}
		})
	}
}

// Guards against a failover that loses, repeats or forgets what thousands of machines run: a new leader reads the records
// by as many calls as their pages take, and the machines' heartbeats bring nothing but confirmation.
func TestTakeOverByRecordsAndReports(t *testing.T) {
	const tasksEach, tasksOfJob = 2, 40
	const all = maxSizedMachines * tasksEach
	l, clock := newTestLoop(t)
	clear(l.machines.Machines)
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	l.store = statestore.New(state.Addr(), 1e6, 1e6)
	l.env.Teams["t"] = config.Team{Name: "t", CPUs: 1e6, CPUsMax: 1e6}
	next := 0
	for i := range all / tasksOfJob {
		j := wire.Job{ID: fmt.Sprintf("job-%06d", i), Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasksOfJob, CPUs: 1, MemoryGB: 1, Image: "img"}
		value := wire.EncodeRecord(jobs.JobRecord{Job: j})
		revision, err := l.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: jobs.KeyJob(j.ID), Value: value}}})
		if err != nil {
			t.Fatal(err)
		}
		stored, err := l.jobs.LoadJob(wire.Item{Key: jobs.KeyJob(j.ID), Value: value, Version: revision}, clock.Now(), clock.Now())
		if err != nil {
			t.Fatal(err)
		}
		for k := range tasksOfJob {
			l.machines.AddAllocation(l.jobs.Allocate(stored, k, machineName(next%maxSizedMachines), "a", 1, clock.Now()), clock.Now())
			next++
		}
	}
	for w := l.jobs.NextBatch(clock.Now(), jobs.WriteBudget{Spare: 1000}); w != nil; w = l.jobs.NextBatch(clock.Now(), jobs.WriteBudget{Spare: 1000}) {
		revision, err := l.store.Commit(t.Context(), w.Txn)
		if err != nil {
			t.Fatal(err)
		}
		l.jobs.MarkCommitted(w, revision)
	}
	heartbeats := make([]*wire.Heartbeat, maxSizedMachines)
	for i := range heartbeats {
		heartbeats[i] = &wire.Heartbeat{Machine: machineName(i), Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 9, FencingToken: 1}
		for _, a := range l.machines.Machines[machineName(i)].Allocations {
			heartbeats[i].Tasks = append(heartbeats[i].Tasks, wire.TaskStatus{Task: a.Task().String(), Attempt: a.Attempt, State: wire.TaskRunning})
		}
	}

	clock.Advance(time.Second)
	taker := New(l.env, election.Leadership{Term: 2})
	taker.Start(t.Context())
	taker.store = l.store
	go taker.load(taker.ended)
	for !taker.loading.done {
		(<-taker.inbox)()
	}
	for _, hb := range heartbeats {
		commands, err := taker.handleHeartbeat(hb, false)
		if err != nil || len(commands) != 0 {
			t.Fatalf("machine %s is answered %v, %v", hb.Machine, commands, err)
		}
	}
	running := 0
	for _, m := range taker.machines.Machines {
		for _, a := range m.Allocations {
			if a.State == wire.TaskRunning && a.Attempt == 1 && a.Machine == m.Name {
				running++
			}
		}
	}
	if len(taker.machines.Machines) != maxSizedMachines || running != all {
		t.Errorf("%d machines run %d tasks, want %d and %d", len(taker.machines.Machines), running, maxSizedMachines, all)
	}
	if taker.jobs.WriteDue(clock.Now()) && taker.jobs.NextBatch(clock.Now(), jobs.WriteBudget{}) != nil {
		t.Error("a task is written anew though nothing happened")
	}
}

// Guards against tasks of a partitioned zone that are started elsewhere since the follower's record of its machines, or the question
// on them, does not hold them all.
func TestAllMachinesOfACutZoneAreKept(t *testing.T) {
	const each = maxSizedMachines / 2
	l, advance := twoZones(t, each, `{"zone":"b","member":"mb"}`)
	var names []string
	for i := each; i < 2*each; i++ {
		names = append(names, fmt.Sprintf("n-%d", i))
	}
	recorded, answered := names[:each/2], names[each/2:]
	for page := range slices.Chunk(recorded, 500) {
		value := wire.EncodeRecord(map[string][]string{"machines": page})
		if _, err := l.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: "keep/mb/1/" + page[0], Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	l.env.MayHaveRenewed = func(_ context.Context, member string, asked []string) ([]string, bool) {
		if member != "mb" || len(asked) != each {
			t.Errorf("%s is asked about %d machines", member, len(asked))
		}
		return answered, true
	}
	advance(l.env.workerLease() + time.Second)
	l.concludeExpired()
	kept := map[string]int{}
	for _, m := range l.machines.Machines {
		kept[m.Zone] += len(m.Allocations)
	}
	if kept["a"] != 0 || kept["b"] != each {
		t.Errorf("%d tasks of the zone that nobody answers count as running, and %d of %d of the one that is cut", kept["a"], kept["b"], each)
	}
}
