package leader

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Guards against the most attractive machine of all: it sends heartbeats, looks empty, and whatever is placed there is lost with its
// incarnation, since no answer or command gets to it.
func TestMachineBehindOneWayPartitionGetsNoWork(t *testing.T) {
	hears := false
	var hb *wire.Heartbeat
	addr := newAnsweringWorker(t, func(wire.DirectCommands) *wire.Heartbeat {
		if !hears {
			return nil
		}
		hb.Seq++
		return hb
	})
	l, m, r, advance := newLoopHeardBy(t, addr)
	hb = r
	a := l.addRunning(t, "job-9", "n-9", 1)
	a.State, a.RunningSince = "", time.Time{}
	for range 2 { // the answer to the first holds the start, the second does not show it
		advance(time.Second)
		hb.Seq++
		if cmds := l.mustHandle(t, hb); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
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
	tries := a.Job.FailedWaves
	// Its incarnation ends since no answer reached it: the task is proven gone, and wanted elsewhere.
	advance(time.Second)
	hb.Incarnation, hb.Seq = 2, hb.Seq+1
	l.mustHandle(t, hb)
	if !a.Removed || a.Job.FailedWaves != tries {
		t.Errorf("gone %v, tries %d", a.Removed, a.Job.FailedWaves)
	}
	hears = true
	advance(tuning.ProbePauseMax)
	l.probeAll()
	if l.getsTasks("n-9") {
		t.Error("given work at once")
	}
	advance(tuning.UnreachablePause)
	hb.Seq++
	l.mustHandle(t, hb)
	if !l.getsTasks("n-9") {
		t.Error("not used though it hears us")
	}
}

// A slow answer is not a lost one: the machine answers the probe.
func TestMachineThatAnswersProbesStaysOpen(t *testing.T) {
	var hb *wire.Heartbeat
	l, _, r, advance := newLoopHeardBy(t, newAnsweringWorker(t, func(wire.DirectCommands) *wire.Heartbeat { hb.Seq++; return hb }))
	hb = r
	l.addRunning(t, "job-9", "n-9", 1).State = ""
	for range 8 {
		advance(time.Second)
		hb.Seq++
		l.mustHandle(t, hb)
		l.probeAll()
		if !l.getsTasks("n-9") {
			t.Fatal("a machine that answers each probe is given up")
		}
	}
}

// Guards against the work of machines whose leases another member renews, partitioned from all but its workers: it heard no command and
// its ends were not seen for as long as that member's zone lease lasted.
func TestWorkersReportingElsewhereAreProbed(t *testing.T) {
	var probed wire.DirectCommands
	l, advance := twoZones(t, 1)
	l.env.Valid = func(uint64) bool { return true }
	l.leadership.Term = 2
	l.machines = machines.New(2, 10)
	j := l.jobs.Jobs["job-1"]
	a := j.Tasks[0].Allocation
	l.machines.RestoreAllocation(a, l.env.Clock.Now())
	m := l.machines.Machines["n-0"]
	m.ListedAddress = newAnsweringWorker(t, func(req wire.DirectCommands) *wire.Heartbeat {
		probed = req
		return &wire.Heartbeat{Machine: "n-0", Address: m.ListedAddress, Type: "small", Zone: "a", Incarnation: 1, Seq: 7, FencingToken: 2,
			Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskExited, Reason: wire.ExitDone}}}
	})
	l.probeAll()
	if probed.FencingToken != 0 {
		t.Fatal("probed before it could have sent a heartbeat")
	}
	advance(l.probeAfter() + time.Second)
	l.probeAll()
	if probed.FencingToken != 2 || probed.Incarnation != 1 || len(probed.Commands) != 0 {
		t.Errorf("probed with %+v", probed)
	}
	if !a.Removed || j.Done != 1 {
		t.Error("the end of its task is not seen")
	}
	// A copy of an earlier heartbeat is none the newer for that.
	if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-0", Address: m.ListedAddress, Type: "small", Zone: "a", Incarnation: 1, Seq: 6, FencingToken: 1}); !errors.Is(err, machines.ErrStale) {
		t.Errorf("a copy after a direct answer: %v", err)
	}
}

// Guards against machines that are back at once and are shut out as copies, with tasks that wait for ever.
func TestRestartedMachineIsRecognized(t *testing.T) {
	for _, c := range []struct {
		name             string
		incarnation, seq uint64 // that its new life sends
		inherited        bool   // known from a record only
		openStart        bool   // a direct start had no answer
		gone, deleted    bool
	}{
		{"with a lower sequence number", 1, 2, false, false, true, false},
		{"with an incarnation that looks old", 1, 900, false, false, true, false},
		{"a new leader knows it from records", 1, 900, true, false, true, false},
		{"a start may still arrive", 1, 2, false, true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			hb := &wire.Heartbeat{}
			l, m, first, advance := newLoopHeardBy(t, newAnsweringWorker(t, func(req wire.DirectCommands) *wire.Heartbeat {
				hb.Seq++
				if req.Incarnation == hb.Incarnation {
					hb.FencingToken = max(hb.FencingToken, req.FencingToken)
				}
				return hb
			}))
			if c.inherited {
				delete(l.machines.Machines, "n-9")
				m = nil
			}
			a := l.addRunning(t, "job-9", "n-9", 1)
			a.Incarnation = 3
			if c.inherited {
				l.machines.RemoveAllocation(a, l.env.Clock.Now())
				delete(l.machines.Machines, "n-9")
				l.machines.RestoreAllocation(a, l.env.Clock.Now())
				m = l.machines.Machines["n-9"]
				m.ListedAddress = first.Address
			} else {
				older := *first
				older.Incarnation, older.Seq = 3, 50
				older.Tasks = []wire.TaskStatus{{Task: "job-9/0", Attempt: a.Attempt, State: wire.TaskRunning}}
				l.mustHandle(t, &older)
			}
			if c.openStart {
				if _, _, err := l.machines.CommandsFor("n-9", []*jobs.Allocation{a}); err != nil {
					t.Fatal(err)
				}
			}
			*hb = *first
			hb.Incarnation, hb.Seq, hb.FencingToken = c.incarnation, c.seq, 0
			advance(tuning.HeartbeatReplyLife)
			if _, err := l.handleHeartbeat(&wire.Heartbeat{Machine: "n-9", Address: hb.Address, Type: "small", Zone: "a", Incarnation: hb.Incarnation, Seq: hb.Seq}); !errors.Is(err, machines.ErrStale) {
				t.Fatalf("taken before it is known what it is: %v", err)
			}
			l.probeAll()
			if a.Removed != c.gone || m.Returning != c.deleted {
				t.Fatalf("task gone %v, machine deleted %v", a.Removed, m.Returning)
			}
			if c.deleted {
				return
			}
			hb.Seq++
			if l.mustHandle(t, hb); !l.getsTasks("n-9") {
				t.Error("it is not used")
			}
		})
	}
}
