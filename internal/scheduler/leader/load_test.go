package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
)

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
		commands, err := taker.handleHeartbeat(hb)
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
