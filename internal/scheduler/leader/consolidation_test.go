package leader

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// newTestLoop makes a leader whose machines have reported: a small one and a
// dear large one. Nothing is called outside.
func newTestLoop(t testing.TB) (*Loop, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	settings := &config.Settings{
		Member: "m0", Outside: config.Outside{Cloud: "127.0.0.1:1", State: "127.0.0.1:1"},
		Cluster: config.Cluster{
			Workers: config.Workers{HeartbeatS: 1, LeaseS: 10}, State: config.State{RPS: 1, WriteRPS: 1, TxnOps: 12}, Cloud: config.Cloud{RPS: 1},
		},
	}
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, Zones: []string{"a"}},
		{Name: "large", CPUs: 64, MemoryGB: 512, Price: 3.4, Zones: []string{"a"}},
	}
	l := New(&Env{
		Settings: settings, Tunables: tuning.Defaults(), Clock: clock, Log: slog.New(slog.DiscardHandler),
		Store: statestore.New(settings.Outside.State, 1, 1), Cloud: cloud.New(settings.Outside.Cloud, 1),
		Workers: httpjson.NewClient(2, 1, 0, tuning.CommandTimeout),
		Teams:   map[string]config.Team{"t": {Name: "t", CPUsMax: 100}}, FinalStates: jobs.NewFinalStates(8),
		Valid: func(uint64) bool { return false }, Types: func() []wire.MachineType { return types },
	}, election.Leadership{Term: 1})
	l.ended = t.Context()
	l.loading.done = true
	for name, typ := range map[string]string{"n-small": "small", "n-large": "large"} {
		if _, err := l.machines.Heartbeat(&wire.Heartbeat{Machine: name, Address: "127.0.0.1:1", Type: typ, Zone: "a", Incarnation: 1, Seq: 1, FencingToken: 1},
			false, clock.Now(), func(machines.AttemptID) bool { return false }); err != nil {
			t.Fatal(err)
		}
	}
	return l, clock
}

// addRunning puts a running replica on a machine.
func (l *Loop) addRunning(t *testing.T, id, machine string, cpus float64) *jobs.Allocation {
	t.Helper()
	now := l.env.Clock.Now()
	value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{
		ID: id, Team: "t", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 1, CPUs: cpus, MemoryGB: 1, Image: "img",
	}})
	if err != nil {
		t.Fatal(err)
	}
	j, err := l.jobs.LoadJob(wire.Item{Key: jobs.KeyJob(id), Value: value, Version: 1}, now, now)
	if err != nil {
		t.Fatal(err)
	}
	p := l.jobs.Allocate(j, 0, machine, "a", 1, now)
	p.Committed, p.State, p.RunningSince = true, wire.TaskRunning, now
	l.machines.AddAllocation(p, now)
	return p
}

// Guards against a dear machine that is rented for hours because of one
// replica that settled there when the cheap ones were full.
func TestExpensiveMachineIsDrained(t *testing.T) {
	l, clock := newTestLoop(t)
	l.addRunning(t, "job-1", "n-small", 1)
	p := l.addRunning(t, "job-2", "n-large", 1)
	m := l.machines.Machines["n-large"]
	l.consolidate(clock.Now())
	if !m.Draining || l.machines.Machines["n-small"].Draining {
		t.Fatal("the dear machine is not emptied")
	}
	if p.Stop != nil {
		t.Error("a fresh replica is moved: its start would not count")
	}
	p.RunningSince = clock.Now().Add(-tuning.PreemptMinRun)
	l.moves.next = clock.Now()
	if l.consolidate(clock.Now()); p.Stop == nil {
		t.Error("the replica is not moved")
	}
}

func TestMachineWhoseWorkFitsNowhereElseIsNotDrained(t *testing.T) {
	l, clock := newTestLoop(t)
	l.addRunning(t, "job-1", "n-small", 3)
	l.addRunning(t, "job-2", "n-large", 2)
	if l.consolidate(clock.Now()); l.machines.Machines["n-large"].Draining {
		t.Error("emptied though its work fits nowhere else")
	}
}

// newFleetOfSmall makes small machines that have reported, each with a settled replica
// of a quarter of its size.
func newFleetOfSmall(t *testing.T, n int) (*Loop, *clockwork.FakeClock) {
	l, clock := newTestLoop(t)
	delete(l.machines.Machines, "n-large")
	delete(l.machines.Machines, "n-small")
	for i := range n {
		name := fmt.Sprintf("n-%03d", i)
		if _, err := l.machines.Heartbeat(&wire.Heartbeat{Machine: name, Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 1, FencingToken: 1},
			false, clock.Now(), func(machines.AttemptID) bool { return false }); err != nil {
			t.Fatal(err)
		}
		p := l.addRunning(t, fmt.Sprintf("job-%d", i), name, 1)
		p.RunningSince = clock.Now().Add(-tuning.PreemptMinRun)
	}
	return l, clock
}

// Guards against a fleet that shrinks by one machine at a time: with hundreds
// of machines half of the money was spent on room that nobody used.
func TestLargeFleetDrainsManyMachinesAtATime(t *testing.T) {
	l, clock := newFleetOfSmall(t, 160)
	l.consolidate(clock.Now())
	if got := len(l.drainingMachines()); got != 160/tuning.ConsolidateCandidateShare {
		t.Errorf("%d machines are emptied", got)
	}
	moving := 0
	for _, m := range l.drainingMachines() {
		for _, p := range m.Allocations {
			if p.Stop != nil {
				moving++
			}
		}
	}
	// More at a time would be down together if the leader died.
	if moving != tuning.MovesInFlight {
		t.Errorf("%d replicas are moved at a time", moving)
	}
}

// Guards against a fleet that never shrinks, because some job always waits
// for its team's limit, and against machines that stay out of use though their
// room is waited for.
func TestOnlyJobsShortOfRoomStopDraining(t *testing.T) {
	l, clock := newFleetOfSmall(t, 16)
	waiting := wire.Job{ID: "job-900", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 3, CPUs: 3, MemoryGB: 1, Image: "img"}
	l.env.Teams["t"] = config.Team{Name: "t", CPUsMax: 16} // all of it in use
	l.addPending(t, waiting)
	l.consolidate(clock.Now())
	if len(l.drainingMachines()) == 0 {
		t.Fatal("nothing is emptied while a job waits for its team's limit")
	}
	l.env.Teams["t"] = config.Team{Name: "t", CPUsMax: 100}
	l.moves.next = clock.Now()
	l.consolidate(clock.Now())
	if n := len(l.drainingMachines()); n != 0 {
		t.Errorf("%d machines stay out of use while a job waits for their room", n)
	}
}
