package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// newAnsweringWorker has a worker that answers direct commands as fn says; nil: it does not answer.
func newAnsweringWorker(t *testing.T, fn func(wire.DirectCommands) *wire.Heartbeat) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req wire.DirectCommands
		if json.NewDecoder(r.Body).Decode(&req) != nil || req.Commands == nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rep := fn(req)
		if rep == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if req.Incarnation != rep.Incarnation {
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(rep)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// probeAll has the loop ask whom it doubts, and takes in what comes of it.
func (l *Loop) probeAll() {
	l.probing.next = time.Time{}
	for l.stepProbing(l.env.Clock.Now()); l.probing.inFlight > 0; {
		select {
		case fn := <-l.inbox:
			fn()
		case <-l.ended.Done():
			return
		}
	}
}

// newLoopHeardBy makes a leader in the middle of its tenure and a machine at an address that reported to it.
func newLoopHeardBy(t *testing.T, addr string) (l *Loop, m *machines.Machine, rep *wire.Heartbeat, pass func(time.Duration)) {
	l, pass = twoZones(t, 1)
	l.env.Valid = func(uint64) bool { return true }
	rep = &wire.Heartbeat{Machine: "n-9", Address: addr, Type: "small", Zone: "a", Incarnation: 1, Seq: 1, FencingToken: 1}
	l.mustHandle(t, rep)
	return l, l.machines.Machines["n-9"], rep, pass
}

func (l *Loop) mustHandle(t *testing.T, rep *wire.Heartbeat) []wire.Command {
	t.Helper()
	c := *rep
	commands, err := l.handleHeartbeat(&c, false)
	if err != nil {
		t.Fatal(err)
	}
	return commands
}

func (l *Loop) getsTasks(name string) bool {
	for _, v := range l.openMachines(l.env.Clock.Now()) {
		if v.Name == name {
			return true
		}
	}
	return false
}

// Guards against the most attractive machine of all: it reports, looks empty, and whatever is placed there is lost with its
// session, since no answer or command gets to it.
func TestMachineBehindOneWayPartitionGetsNoWork(t *testing.T) {
	hears := false
	var rep *wire.Heartbeat
	addr := newAnsweringWorker(t, func(wire.DirectCommands) *wire.Heartbeat {
		if !hears {
			return nil
		}
		rep.Seq++
		return rep
	})
	l, m, r, pass := newLoopHeardBy(t, addr)
	rep = r
	p := l.addRunning(t, "job-9", "n-9", 1)
	p.State, p.RunningSince = "", time.Time{}
	for range 2 { // the answer to the first holds the start, the second does not show it
		pass(time.Second)
		rep.Seq++
		if cmds := l.mustHandle(t, rep); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
			t.Fatalf("commands %v", cmds)
		}
	}
	if !l.getsTasks("n-9") {
		t.Error("given up for one answer that may have been slow")
	}
	l.probeAll()
	if l.getsTasks("n-9") || len(m.Allocations) != 1 {
		t.Errorf("given work though it hears nothing (%v), or its task counts as gone", l.getsTasks("n-9"))
	}
	if cut := l.partitionedZones(l.env.Clock.Now()); len(cut) != 0 {
		t.Errorf("one machine is no zone: %v", cut)
	}
	tries := p.Job.FailedWaves
	// Its session ends since no answer reached it: the task is proven gone, and wanted elsewhere.
	pass(time.Second)
	rep.Incarnation, rep.Seq = 2, rep.Seq+1
	l.mustHandle(t, rep)
	if !p.Removed || p.Job.FailedWaves != tries {
		t.Errorf("gone %v, tries %d", p.Removed, p.Job.FailedWaves)
	}
	hears = true
	pass(tuning.ProbePauseMax)
	l.probeAll()
	if l.getsTasks("n-9") {
		t.Error("given work at once")
	}
	pass(tuning.UnreachablePause)
	rep.Seq++
	l.mustHandle(t, rep)
	if !l.getsTasks("n-9") {
		t.Error("not used though it hears us")
	}
}

// A slow answer is none that is lost: the machine answers the question.
func TestMachineThatAnswersProbesStaysOpen(t *testing.T) {
	var rep *wire.Heartbeat
	l, _, r, pass := newLoopHeardBy(t, newAnsweringWorker(t, func(wire.DirectCommands) *wire.Heartbeat { rep.Seq++; return rep }))
	rep = r
	l.addRunning(t, "job-9", "n-9", 1).State = ""
	for range 8 {
		pass(time.Second)
		rep.Seq++
		l.mustHandle(t, rep)
		l.probeAll()
		if !l.getsTasks("n-9") {
			t.Fatal("a machine that answers each question is given up")
		}
	}
}

// A zone in which nothing hears us is cut off: nothing is rented there, and its machines are not returned at once.
func TestZoneOfUnreachableMachinesIsPartitioned(t *testing.T) {
	l, pass := twoZones(t, 6)
	l.env.Valid = func(uint64) bool { return true }
	seq := uint64(1)
	report := func() {
		pass(time.Second)
		seq++
		for i := range 12 {
			rep := &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Address: "127.0.0.1:1", Type: "small", Zone: []string{"a", "b"}[i/6], Incarnation: 1, Seq: seq, FencingToken: 1}
			if i < 6 { // zone a shows what it was told
				rep.Tasks = []wire.TaskStatus{{Task: fmt.Sprintf("job-1/%d", i), Attempt: 1, State: wire.TaskRunning}}
			}
			l.mustHandle(t, rep)
		}
	}
	for range 8 {
		report()
		l.probeAll()
	}
	report()
	now := l.env.Clock.Now()
	if cut := l.partitionedZones(now); !cut["b"] || cut["a"] {
		t.Errorf("cut off: %v", cut)
	}
	if got := l.silenceUntilReturn(); got != tuning.SilentReturnAfterCut {
		t.Errorf("its machines are returned after %v", got)
	}
}

// Guards against the work of machines that another member keeps, cut off from all but its workers: it heard no command and
// its ends were not seen for as long as that member's right lasted.
func TestWorkersReportingElsewhereAreProbed(t *testing.T) {
	var asked wire.DirectCommands
	l, pass := twoZones(t, 1)
	l.env.Valid = func(uint64) bool { return true }
	l.leadership.Term = 2
	l.machines = machines.New(2, 10)
	j := l.jobs.Jobs["job-1"]
	p := j.Tasks[0].Allocation
	l.machines.RestoreAllocation(p, l.env.Clock.Now())
	m := l.machines.Machines["n-0"]
	m.ListedAddress = newAnsweringWorker(t, func(req wire.DirectCommands) *wire.Heartbeat {
		asked = req
		return &wire.Heartbeat{Machine: "n-0", Address: m.ListedAddress, Type: "small", Zone: "a", Incarnation: 1, Seq: 7, FencingToken: 2,
			Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskExited, Reason: wire.ExitDone}}}
	})
	l.probeAll()
	if asked.FencingToken != 0 {
		t.Fatal("asked before it could have reported")
	}
	pass(l.probeAfter() + time.Second)
	l.probeAll()
	if asked.FencingToken != 2 || asked.Incarnation != 1 || len(asked.Commands) != 0 {
		t.Errorf("asked %+v", asked)
	}
	if !p.Removed || j.Done != 1 {
		t.Error("the end of its task is not seen")
	}
	// A copy of an earlier report is none the newer for that.
	if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-0", Address: m.ListedAddress, Type: "small", Zone: "a", Incarnation: 1, Seq: 6, FencingToken: 1}, false); !errors.Is(err, machines.ErrStale) {
		t.Errorf("a copy after a direct answer: %v", err)
	}
}

// Guards against machines that are back at once and are shut out as copies, with tasks that wait for ever.
func TestRestartedMachineIsRecognized(t *testing.T) {
	for _, c := range []struct {
		name          string
		session, seq  uint64 // that its new life reports
		inherited     bool   // known from a record only
		openStart     bool   // a direct start had no answer
		gone, deleted bool
	}{
		{"with a lower punch", 1, 2, false, false, true, false},
		{"with a session that looks old", 1, 900, false, false, true, false},
		{"a new leader knows it from records", 1, 900, true, false, true, false},
		{"a start may still arrive", 1, 2, false, true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rep := &wire.Heartbeat{}
			l, m, first, pass := newLoopHeardBy(t, newAnsweringWorker(t, func(req wire.DirectCommands) *wire.Heartbeat {
				rep.Seq++
				if req.Incarnation == rep.Incarnation {
					rep.FencingToken = max(rep.FencingToken, req.FencingToken)
				}
				return rep
			}))
			if c.inherited {
				delete(l.machines.Machines, "n-9")
				m = nil
			}
			p := l.addRunning(t, "job-9", "n-9", 1)
			p.Incarnation = 3
			if c.inherited {
				l.machines.RemoveAllocation(p, l.env.Clock.Now())
				delete(l.machines.Machines, "n-9")
				l.machines.RestoreAllocation(p, l.env.Clock.Now())
				m = l.machines.Machines["n-9"]
				m.ListedAddress = first.Address
			} else {
				older := *first
				older.Incarnation, older.Seq = 3, 50
				older.Tasks = []wire.TaskStatus{{Task: "job-9/0", Attempt: p.Attempt, State: wire.TaskRunning}}
				l.mustHandle(t, &older)
			}
			if c.openStart {
				l.machines.CommandsFor("n-9", []*jobs.Allocation{p})
			}
			*rep = *first
			rep.Incarnation, rep.Seq, rep.FencingToken = c.session, c.seq, 0
			pass(tuning.HeartbeatReplyLife)
			if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-9", Address: rep.Address, Type: "small", Zone: "a", Incarnation: rep.Incarnation, Seq: rep.Seq}, false); !errors.Is(err, machines.ErrStale) {
				t.Fatalf("taken before it is known what it is: %v", err)
			}
			l.probeAll()
			if p.Removed != c.gone || m.Returning != c.deleted {
				t.Fatalf("task gone %v, machine deleted %v", p.Removed, m.Returning)
			}
			if c.deleted {
				return
			}
			rep.Seq++
			if l.mustHandle(t, rep); !l.getsTasks("n-9") {
				t.Error("it is not used")
			}
		})
	}
}

// Guards against a leader that hears all and reaches no worker, for as long as its lease holds.
func TestLeaderThatReachesNoWorkerStepsDown(t *testing.T) {
	for _, others := range []bool{true, false} {
		l, pass := twoZones(t, 4)
		ctx, end := context.WithCancelCause(t.Context())
		l.ended, l.end = ctx, end
		l.env.Valid = func(uint64) bool { return true }
		l.env.ProbeWorkers = func(_ context.Context, addrs []string) bool { return others && len(addrs) == tuning.UnheardMachines }
		for s := range 20 {
			pass(time.Second)
			for i := range 8 {
				l.mustHandle(t, &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Address: "127.0.0.1:1", Type: "small", Zone: []string{"a", "b"}[i/4], Incarnation: 1, Seq: uint64(s + 2), FencingToken: 1,
					Tasks: []wire.TaskStatus{{Task: fmt.Sprintf("job-1/%d", i), Attempt: 1, State: wire.TaskRunning}}})
				if i < tuning.UnheardMachines {
					l.sendCommandsTo(fmt.Sprintf("n-%d", i), "127.0.0.1:1", &wire.DirectCommands{Incarnation: 1})
				}
			}
			for len(l.inbox) > 0 {
				(<-l.inbox)()
			}
			if l.probeAll(); l.probing.askingPeers {
				select {
				case fn := <-l.inbox:
					fn()
				case <-ctx.Done():
				}
			}
			if ctx.Err() != nil {
				break
			}
		}
		if got := errors.Is(context.Cause(ctx), ErrUnreachable); got != others {
			t.Errorf("others reach workers: %v, stood aside: %v", others, got)
		}
	}
}
