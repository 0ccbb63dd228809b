package machines

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a direct start without an answer, which may be executed minutes later: the attempt is made known before it
// counts as gone, and it is not forgotten while the start is open.
func TestAttemptWithAnOpenDirectStartIsStoppedAndNotForgotten(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	f.AddAllocation(allocation, t0)
	addr, req, err := f.CommandsFor("n-1", []*jobs.Allocation{allocation})
	if err != nil || addr == "" || ops(req.Commands) != "start " || req.FencingToken != term || req.Incarnation != 1 {
		t.Fatalf("direct: %s %+v, %v", addr, req, err)
	}
	allocation.Stop = &jobs.StopRequest{}
	result := f.receive(heartbeat(1, 2, term), time.Second, mayForget)
	if ops(result.Commands) != "start halt " || len(result.Outcomes) != 0 {
		t.Fatalf("commands %v, outcomes %v", result.Commands, result.Outcomes)
	}
	exited := status("job-1/0", 1, wire.TaskExited, wire.ExitStopped)
	result = f.receive(heartbeat(1, 3, term, exited), 2*time.Second, mayForget)
	if len(result.Outcomes) != 1 {
		t.Fatalf("outcomes %v", result.Outcomes)
	}
	f.RemoveAllocation(allocation, t0)
	if result = f.receive(heartbeat(1, 4, term, exited), 3*time.Second, mayForget); len(result.Commands) != 0 {
		t.Fatalf("forgotten while a start is open: %v", result.Commands)
	}
	f.CommandsAnswered("n-1", req) // now its answer came
	if result = f.receive(heartbeat(1, 5, term, exited), 4*time.Second, mayForget); ops(result.Commands) != "forget " {
		t.Fatalf("commands %v", result.Commands)
	}
}

// Guards against a task that counts as gone while a direct start without an answer may reach a worker process that was
// restarted since and counts its incarnations from 1 again: its lease runs from the start's sending then.
func TestUnansweredDirectStartPutsTheLeaseExpiryOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		want     int // outcomes at the expiry by the last heartbeat
	}{{"unanswered", false, 0}, {"answered before", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.receive(heartbeat(1, 1, term), 0, mayNotForget)
			allocation := newAllocation(1)
			f.AddAllocation(allocation, t0)
			_, req, err := f.CommandsFor("n-1", []*jobs.Allocation{allocation})
			if err != nil {
				t.Fatal(err)
			}
			if c.answered {
				f.CommandsAnswered("n-1", req)
			}
			f.CommandsUnanswered("n-1", t0.Add(5*time.Second))
			if outcomes := f.expire(11 * time.Second); len(outcomes) != c.want {
				t.Fatalf("outcomes %v a lease after the last heartbeat, want %d", outcomes, c.want)
			}
			if outcomes := f.expire(16 * time.Second); len(outcomes) != 1-c.want {
				t.Errorf("outcomes %v a lease after the start was sent, want %d", outcomes, 1-c.want)
			}
		})
	}
}

// Guards against a direct request that nobody can get or that says nothing, and against a start that counts as open though it
// was never sent: it would keep its attempt from being forgotten.
func TestRefusedDirectRequestsNameTheirReason(t *testing.T) {
	for _, c := range []struct {
		name     string
		machine  string
		prepare  func(*Machine, *jobs.Allocation)
		commands error
		probe    error // of n-1
	}{
		{"all is well", "n-1", func(*Machine, *jobs.Allocation) {}, nil, nil},
		{"another machine is named", "n-2", func(*Machine, *jobs.Allocation) {}, ErrUnknownMachine, nil},
		{"no address", "n-1", func(m *Machine, _ *jobs.Allocation) { m.Address = "" }, ErrUnaddressable, ErrUnaddressable},
		{"the cloud's list has its address", "n-1", func(m *Machine, _ *jobs.Allocation) { m.Address, m.ListedAddress = "", "10.0.0.9:1" }, ErrUnaddressable, nil},
		{"its incarnation is over", "n-1", func(m *Machine, _ *jobs.Allocation) { m.EndedIncarnation = m.Incarnation }, ErrUnaddressable, nil},
		{"no incarnation is known", "n-1", func(m *Machine, _ *jobs.Allocation) { m.Incarnation = 0 }, ErrUnaddressable, ErrUnaddressable},
		{"it is being deleted", "n-1", func(m *Machine, _ *jobs.Allocation) { m.Returning = true }, ErrUnaddressable, ErrUnaddressable},
		{"the allocation is not recorded yet", "n-1", func(_ *Machine, allocation *jobs.Allocation) { allocation.Committed = false }, ErrNoCommands, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.receive(heartbeat(1, 1, term), 0, mayNotForget)
			allocation, m := newAllocation(1), f.Machines["n-1"]
			f.AddAllocation(allocation, t0)
			c.prepare(m, allocation)
			addr, req, err := f.CommandsFor(c.machine, []*jobs.Allocation{allocation})
			if !errors.Is(err, c.commands) || (err == nil) != (addr != "" && req != nil) {
				t.Errorf("commands for %q: %+v, error %v, want %v", addr, req, err, c.commands)
			}
			if open := len(m.unansweredStarts); (open > 0) != (err == nil) {
				t.Errorf("%d starts are open after error %v", open, err)
			}
			addr, req, _, err = f.Probe(m, t0)
			if !errors.Is(err, c.probe) || (err == nil) != (addr != "" && req != nil) {
				t.Errorf("probe of %q: %+v, error %v, want %v", addr, req, err, c.probe)
			}
		})
	}
}
