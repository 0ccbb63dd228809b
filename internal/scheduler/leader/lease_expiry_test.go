package leader

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
)

// twoZones is a leader with n machines in each of two zones, each with a task of a
// spread service, and a state service with rights of members for the zones.
func twoZones(t *testing.T, n int, rights ...string) (*Loop, func(d time.Duration)) {
	l, clock := newTestLoop(t)
	clear(l.machines.Machines)
	state := fakes.NewState(clock)
	t.Cleanup(state.Close)
	l.store = statestore.New(state.Addr(), 1e6, 1e6)
	ctx, end := context.WithCancel(t.Context())
	t.Cleanup(end)
	l.ended, l.end = ctx, func(error) { end() }
	for i, r := range rights {
		if _, err := l.store.Commit(ctx, wire.Txn{Then: []wire.Change{{Put: fmt.Sprintf("keep/m/%d", i), Value: []byte(r)}}}); err != nil {
			t.Fatal(err)
		}
	}
	j := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 2 * n, CPUs: 1, MemoryGB: 1, Spread: true})
	for i := range 2 * n {
		rep := wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Address: "127.0.0.1:1", Type: "small", Zone: []string{"a", "b"}[i/n], Incarnation: 1, Seq: 1, FencingToken: 1}
		if _, err := l.machines.Heartbeat(&rep, false, clock.Now(), nil); err != nil {
			t.Fatal(err)
		}
		p := l.jobs.Allocate(j, i, rep.Machine, rep.Zone, 1, clock.Now())
		p.Committed, p.State, p.RunningSince = true, wire.TaskRunning, clock.Now()
		l.machines.AddAllocation(p, clock.Now())
	}
	return l, func(d time.Duration) { clock.Advance(d) }
}

// concludeExpired has the loop find out what it can conclude now.
func (l *Loop) concludeExpired() {
	l.leases.next = time.Time{}
	for l.expireLeases(l.env.Clock.Now()); l.leases.inFlight; {
		(<-l.inbox)()
	}
}

// Guards against tasks of a zone that is cut off which are started elsewhere while
// the member there keeps their workers' leases; and against machines that stay
// occupied for ever because some member may have answered them.
func TestTasksOfPartitionedZoneLiveUntilItsMembersDenyRenewal(t *testing.T) {
	const inA, inB = `{"zone":"a","member":"ma"}`, `{"zone":"b","member":"mb"}`
	for _, c := range []struct {
		name   string
		rights []string
		says   map[string][]string // by member: what it kept; one that is not there is out of reach
		kept   string              // machines whose tasks live on: n-0 and n-1 are in a, n-2 and n-3 in b
	}{
		{"no right stands", nil, nil, "[]"},
		{"both zones are out of reach", []string{inA, inB}, nil, "[n-0 n-1 n-2 n-3]"},
		{"one zone is out of reach", []string{inA, inB}, map[string][]string{"ma": nil}, "[n-2 n-3]"},
		{"all members deny", []string{inA, inB}, map[string][]string{"ma": nil, "mb": nil}, "[]"},
		{"one machine was answered", []string{inA, inB}, map[string][]string{"ma": {"n-1"}, "mb": nil}, "[n-1]"},
		{"of two members of a zone one is out of reach", []string{inB, `{"zone":"b","member":"mc"}`}, map[string][]string{"mb": nil}, "[n-2 n-3]"},
		{"a record names a machine", []string{inA, `{"machines":["n-3"]}`}, map[string][]string{"ma": nil}, "[n-3]"},
	} {
		l, pass := twoZones(t, 2, c.rights...)
		l.env.MayHaveRenewed = func(_ context.Context, member string, names []string) ([]string, bool) {
			kept, ok := c.says[member]
			return kept, ok
		}
		pass(l.env.workerLease() + time.Second)
		l.concludeExpired()
		got := []string{}
		for i := range 4 {
			if name := fmt.Sprintf("n-%d", i); len(l.machines.Machines[name].Allocations) > 0 {
				got = append(got, name)
			}
		}
		if fmt.Sprint(got) != c.kept {
			t.Errorf("%s: tasks live on on %v, want %s", c.name, got, c.kept)
		}
	}
}

// Guards against conclusions from words of different times: what took longer than those who were asked remember counts for nothing.
func TestSlowRenewalQueryConcludesNothing(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		gone bool
	}{{tuning.RenewedQueryTime, true}, {tuning.RenewedQueryTime + time.Millisecond, false}} {
		l, pass := twoZones(t, 1, `{"zone":"a","member":"ma"}`)
		l.env.MayHaveRenewed = func(context.Context, string, []string) ([]string, bool) {
			pass(c.took)
			return nil, true
		}
		pass(l.env.workerLease() + time.Second)
		l.concludeExpired()
		if gone := len(l.machines.Machines["n-0"].Allocations) == 0; gone != c.gone {
			t.Errorf("after a reading of %v: gone %v", c.took, gone)
		}
		l.env.MayHaveRenewed = func(context.Context, string, []string) ([]string, bool) { return nil, true }
		if l.concludeExpired(); len(l.machines.Machines["n-0"].Allocations) != 0 {
			t.Error("not found gone by the next reading")
		}
	}
}

// Guards against machines rented in a zone that is cut off, and counted as coming while
// the work waits.
func TestNoScaleOutInPartitionedZone(t *testing.T) {
	l, pass := twoZones(t, 10)
	now := l.env.Clock.Now()
	l.machines.Register("n-boots", "small", "b", false, now, now)
	if cut := l.partitionedZones(now); len(cut) != 0 {
		t.Errorf("cut off: %v", cut)
	}
	pass(l.maxSilence() + time.Second)
	now = l.env.Clock.Now()
	for i := range 10 { // zone a, and one of b, go on reporting
		l.machines.Machines[fmt.Sprintf("n-%d", i)].LastHeartbeat = now
	}
	l.machines.Machines["n-10"].LastHeartbeat = now
	cut := l.partitionedZones(now)
	if len(cut) != 1 || !cut["b"] {
		t.Fatalf("cut off: %v", cut)
	}
	for _, v := range l.bootingMachines(cut, now) {
		if v.Zone == "b" {
			t.Error("what boots there counts as coming")
		}
	}
	l.addPending(t, wire.Job{ID: "job-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh, Tasks: 40, CPUs: 4, MemoryGB: 1})
	l.scaleOut(now)
	zones := map[string]int{}
	for _, w := range l.rentals.pending {
		zones[w.Zone] += w.Count
	}
	if zones["a"] == 0 || zones["b"] != 0 {
		t.Errorf("rents %v", zones)
	}
	l.startedAt = now // a new leader has heard nobody yet
	if cut := l.partitionedZones(now); len(cut) != 0 {
		t.Errorf("a new leader finds %v cut off", cut)
	}
}

// A cancellation is told once the tasks are gone. While one is out of reach the user is
// told at once to come back.
func TestCancellationWaitsForUnreachableTasks(t *testing.T) {
	l, pass := twoZones(t, 1)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(worker.Close)
	l.env.Workers = worker.Client()
	l.loading.done = true
	pass(l.maxSilence() + time.Second)
	now := l.env.Clock.Now()
	l.machines.Machines["n-0"].LastHeartbeat = now // n-1 is silent
	cancel := func() (wire.JobState, error) {
		type result struct {
			state wire.JobState
			err   error
		}
		out := make(chan result, 1)
		go func() { s, _, err := l.Cancel(t.Context(), "job-1"); out <- result{s, err} }()
		for {
			select {
			case fn := <-l.inbox:
				fn()
			case r := <-out:
				return r.state, r.err
			}
		}
	}
	if _, err := cancel(); err != errTaskUnreachable {
		t.Fatalf("told %v while a task may run", err)
	}
	j := l.jobs.Jobs["job-1"]
	if j.CanStart() || j.Tasks[0].Allocation.Stop == nil || j.Tasks[1].Allocation.Stop == nil {
		t.Error("its tasks are not to stop")
	}
	rep := wire.Heartbeat{Machine: "n-0", Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 2, FencingToken: 1,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}}
	stops, err := l.handleHeartbeat(&rep, false)
	if err != nil || len(stops) != 1 || stops[0].Op != wire.OpStop {
		t.Fatalf("commands %v, %v", stops, err)
	}
	rep.Seq, rep.Tasks[0].State, rep.Tasks[0].Reason = 3, wire.TaskExited, wire.ExitStopped
	if _, err := l.handleHeartbeat(&rep, false); err != nil {
		t.Fatal(err)
	}
	if _, err := cancel(); err != errTaskUnreachable {
		t.Fatalf("told %v while the other may run", err)
	}
	pass(tuning.SilentReturnAfter + l.env.workerLease())
	l.concludeExpired()
	if j.Allocated != 0 {
		t.Fatal("the other is not found gone")
	}
	w := l.jobs.NextBatch(l.env.Clock.Now(), jobs.WriteBudget{Spare: 100})
	if w == nil || w.Txn.Then[0].Put != jobs.KeyFinalState("job-1") {
		t.Fatalf("stored: %+v", w)
	}
	l.jobs.MarkCommitted(w, 9)
	if l.jobs.Jobs["job-1"] != nil {
		t.Error("the job is not over")
	}
}

// Guards against work that is placed on machines that hang or died a moment ago: they count
// as heard for two and a half reports, and what is started there waits for as long as they hang.
func TestNothingIsPlacedOnMachineWithUnansweredCommand(t *testing.T) {
	l, pass := twoZones(t, 1)
	open := func() string {
		var names []string
		for _, v := range l.openMachines(l.env.Clock.Now()) {
			names = append(names, v.Name)
		}
		slices.Sort(names)
		return fmt.Sprint(names)
	}
	if got := open(); got != "[n-0 n-1]" {
		t.Fatalf("open: %s", got)
	}
	pass(time.Second)
	l.env.Valid = func(uint64) bool { return true }
	l.sendCommandsTo("n-0", "127.0.0.1:1", &wire.DirectCommands{Incarnation: 1}) // nobody is there
	for len(l.inbox) > 0 {
		(<-l.inbox)()
	}
	if got := open(); got != "[n-1]" {
		t.Errorf("open after a command without an answer: %s", got)
	}
	pass(time.Second)
	if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-0", Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1, Seq: 2, FencingToken: 1}, false); err != nil {
		t.Fatal(err)
	}
	if got := open(); got != "[n-0 n-1]" {
		t.Errorf("open after its next report: %s", got)
	}
}
