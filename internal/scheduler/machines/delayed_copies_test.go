package machines

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func withNotice(hb *wire.Heartbeat, s float64) *wire.Heartbeat {
	hb.NoticeS = &s
	return hb
}

// Guards against a delayed copy of a heartbeat that changes a machine's spot notice for good: a healthy machine was
// drained, or one that will be interrupted looked safe.
func TestSpotNoticeOfADelayedCopyDoesNotLast(t *testing.T) {
	f := newFixture(t)
	f.RestoreAllocation(newAllocation(1), t0)
	f.receive(withNotice(heartbeat(1, 5, term-1), 25), 0, mayNotForget) // may be a copy
	if m := f.Machines["n-1"]; m.InterruptionAt.IsZero() {
		t.Error("a provisional notice does not count")
	}
	f.receive(heartbeat(1, 9, term), time.Second, mayNotForget)
	if m := f.Machines["n-1"]; !m.InterruptionAt.IsZero() {
		t.Error("the notice remains although the machine acknowledged the term and reports none")
	}
	f.receive(withNotice(heartbeat(1, 10, term), 25), 2*time.Second, mayNotForget)
	before := f.Machines["n-1"].InterruptionAt
	for _, stale := range []*wire.Heartbeat{heartbeat(1, 8, term), withNotice(heartbeat(1, 10, term), 3)} {
		if _, err := f.Heartbeat(stale, t0.Add(3*time.Second), mayNotForget); !errors.Is(err, ErrStale) {
			t.Errorf("delayed copy: error %v, want ErrStale", err)
		}
	}
	if m := f.Machines["n-1"]; m.InterruptionAt != before || before.IsZero() || !m.SuspectCopy {
		t.Errorf("a delayed copy changed the notice from %v to %v, or did not make its machine suspect", before, m.InterruptionAt)
	}
}

// Guards against tasks for a machine that a former leader returned to the cloud: a delayed copy of its heartbeat made
// it look idle.
func TestMachineNamedOnlyByHeartbeatsGetsNoWorkBeforeItAcknowledges(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 5, term-1), 0, mayNotForget)
	m := f.Machines["n-1"]
	if m.Usable(term, t0) {
		t.Error("usable although only a heartbeat names it")
	}
	f.Register(RentedMachine{Name: "n-1", Type: "g8", Zone: "a", RentedAt: t0}, t0) // the cloud lists it
	if !m.Usable(term, t0) {
		t.Error("not usable although it is listed and has the previous term's token")
	}
	old := newFixture(t)
	old.Register(RentedMachine{Name: "n-1", Type: "g8", Zone: "a", RentedAt: t0}, t0)
	old.receive(heartbeat(1, 5, term-2), 0, mayNotForget)
	if old.Machines["n-1"].Usable(term, t0) {
		t.Error("usable although its heartbeat is from before the previous term")
	}
	if old.receive(heartbeat(1, 6, term), time.Second, mayNotForget); !old.Machines["n-1"].Usable(term, t0) {
		t.Error("not usable although it acknowledged the term")
	}
}

// Guards against a heartbeat that changes the address, type, zone or kind of its machine.
func TestContradictingHeartbeatChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 5, term), 0, mayNotForget)
	for _, c := range []struct {
		name   string
		change func(*wire.Heartbeat)
	}{
		{"address", func(hb *wire.Heartbeat) { hb.Address = "10.0.0.1:9" }},
		{"type", func(hb *wire.Heartbeat) { hb.Type = "g9" }},
		{"zone", func(hb *wire.Heartbeat) { hb.Zone = "b" }},
		{"spot", func(hb *wire.Heartbeat) { hb.Spot = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			hb := heartbeat(2, 9, term, status("job-1/0", 1, wire.TaskRunning, ""))
			c.change(hb)
			before := *f.Machines["n-1"]
			if _, err := f.Heartbeat(hb, t0.Add(time.Second), mayNotForget); !errors.Is(err, ErrContradicts) {
				t.Errorf("heartbeat %+v: error %v, want ErrContradicts", hb, err)
			}
			if m := f.Machines["n-1"]; m.Incarnation != before.Incarnation || m.Address != before.Address || m.LastHeartbeat != before.LastHeartbeat || m.HasOrphans() {
				t.Errorf("the heartbeat changed the machine: %+v", m)
			}
		})
	}
}

// Guards against an incarnation that counts as over because the lease of the previous one expired. A machine that was
// unreachable for longer than its lease answered a probe with its new incarnation and was given tasks, which a moment
// later were started elsewhere.
func TestNewIncarnationInADirectAnswerHasItsOwnLease(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	// The machine's lease expired long ago, but nothing was concluded from that, since followers may have renewed it.
	back := 30 * time.Second
	if _, err := f.DirectAnswer(heartbeat(2, 9, term), t0.Add(back), mayNotForget); err != nil {
		t.Fatal(err)
	}
	allocation := newAllocation(2)
	f.AddAllocation(allocation, t0.Add(back))
	if outcomes := f.expire(back + 9*time.Second); len(outcomes) != 0 {
		t.Fatalf("allocation lost within the lease of its incarnation: %v", outcomes)
	}
	if outcomes := f.expire(back + 11*time.Second); len(outcomes) != 1 {
		t.Errorf("outcomes after the lease of the incarnation: %v, want one", outcomes)
	}
}

// Guards against a task that is never started again, so that its job never completes. A former leader had recorded the
// task in an incarnation that was over, knew that it was gone, allocated another task to the machine, and lost
// leadership before it had written the end of the first.
func TestAllocationLeftOverFromAnEarlierIncarnationIsLost(t *testing.T) {
	f := newFixture(t)
	gone, present := newAllocation(1), newAllocation(2)
	present.Index = 1
	f.RestoreAllocation(gone, t0)
	f.RestoreAllocation(present, t0)
	// Until the worker has this term's token, this may be a copy from before a restart, and the task may run in the
	// present process.
	if result := f.receive(heartbeat(2, 6, term-1, status("job-1/1", 1, wire.TaskRunning, "")), 0, mayNotForget); len(result.Outcomes) != 0 {
		t.Errorf("outcomes %+v of a heartbeat that may be a copy, want none", result.Outcomes)
	}
	result := f.receive(heartbeat(2, 7, term, status("job-1/1", 1, wire.TaskRunning, "")), time.Second, mayNotForget)
	if len(result.Outcomes) != 1 || result.Outcomes[0].Allocation != gone || !result.Outcomes[0].Lost {
		t.Errorf("outcomes %+v, want the earlier allocation as lost", result.Outcomes)
	}
}

// Guards against a copy from before a restart whose incarnation is higher than that of the present process: it must
// not end that incarnation.
func TestCopyFromBeforeARestartEndsNoIncarnation(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(3, 40, term), 0, mayNotForget)
	m := f.Machines["n-1"]
	_, _, mark, err := f.ProbeRequest(m, t0.Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	restarted := heartbeat(1, 2, term)
	if got := f.JudgeRestart(m, mark, restarted); got != ProcessRestarted {
		t.Fatalf("verdict %v, want ProcessRestarted", got)
	}
	f.AcceptRestart(m, restarted, t0.Add(5*time.Second))
	f.AddAllocation(newAllocation(1), t0.Add(5*time.Second))
	if result, err := f.Heartbeat(heartbeat(3, 39, term), t0.Add(6*time.Second), mayNotForget); !errors.Is(err, ErrStale) || len(result.Outcomes) != 0 {
		t.Errorf("copy from before the restart: outcomes %v, error %v; want none and ErrStale", result.Outcomes, err)
	}
	if result := f.receive(heartbeat(1, 3, term, status("job-1/0", 1, wire.TaskRunning, "")), 6*time.Second, mayNotForget); len(result.Outcomes) != 0 {
		t.Errorf("outcomes %v, want none", result.Outcomes)
	}
}

// Guards against a delayed copy that is accepted as news of a machine that has answered a probe and sent no heartbeat
// in this term.
func TestHeartbeatOlderThanADirectAnswerIsStale(t *testing.T) {
	f := newFixture(t)
	f.RestoreAllocation(newAllocation(1), t0)
	if _, err := f.DirectAnswer(heartbeat(1, 7, term, status("job-1/0", 1, wire.TaskRunning, "")), t0.Add(time.Second), mayNotForget); err != nil {
		t.Fatal(err)
	}
	if result, err := f.Heartbeat(heartbeat(1, 6, term), t0.Add(2*time.Second), mayNotForget); !errors.Is(err, ErrStale) || len(result.Commands) != 0 {
		t.Errorf("delayed copy from before the answer: commands %v, error %v", result.Commands, err)
	}
	f.receive(heartbeat(1, 8, term, status("job-1/0", 1, wire.TaskRunning, "")), 3*time.Second, mayNotForget)
}

// Guards against concluding that a task is gone while a reply with its start may still arrive. A heartbeat that does
// not list the task proves nothing then, even with a higher sequence number: it may be a delayed copy from before a
// restart of the worker process.
func TestTaskIsNotGoneWhileAReplyWithItsStartMayArrive(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	f.AddAllocation(allocation, t0)
	if result := f.receive(heartbeat(1, 2, term), time.Second, mayNotForget); ops(result.Commands) != "start " {
		t.Fatalf("commands %v, want a start", result.Commands)
	}
	allocation.Stop = &jobs.StopRequest{}
	if result := f.receive(heartbeat(1, 90, term), 2*time.Second, mayNotForget); len(result.Outcomes) != 0 || ops(result.Commands) != "start halt " {
		t.Errorf("outcomes %v, want none; commands %v, want a start and a stop", result.Outcomes, result.Commands)
	}
	if result := f.receive(heartbeat(1, 91, term), 2*time.Second+tuning.HeartbeatReplyValidity, mayNotForget); len(result.Outcomes) != 1 {
		t.Errorf("not gone although no start can arrive any more; commands %v", result.Commands)
	}
}

// Guards against a copy from before a restart that the leader never learned of. The copy has a higher incarnation than
// the present process, whose tasks then counted as gone. A worker process never forgets its token, so a lower token
// shows a copy or a restart. A machine that has acknowledged nothing yet is probed.
func TestNewIncarnationThatMayBeACopyEndsNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		acknowledged bool // the machine acknowledged a message of this term
	}{{"a token that decreased", true}, {"a machine that acknowledged nothing", false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			if c.acknowledged {
				f.receive(heartbeat(1, 1, term), 0, mayNotForget)
			}
			allocation := newAllocation(1)
			f.RestoreAllocation(allocation, t0)
			result, err := f.Heartbeat(heartbeat(2, 5, term-1), t0.Add(time.Second), mayNotForget)
			if m := f.Machines["n-1"]; !errors.Is(err, ErrStale) || len(result.Outcomes) != 0 || !m.SuspectCopy {
				t.Errorf("heartbeat that may be a copy: outcomes %v, error %v; want none and ErrStale, and a suspect machine", result.Outcomes, err)
			}
			// If the incarnation really is new, a direct answer of the machine proves it.
			if result, err := f.DirectAnswer(heartbeat(2, 6, term), t0.Add(2*time.Second), mayNotForget); err != nil || len(result.Outcomes) != 1 {
				t.Errorf("direct answer: outcomes %v, error %v", result.Outcomes, err)
			}
		})
	}
}

// Guards against ending an attempt because of a report of its exit from before a restart of the worker process, after
// which the same recorded attempt is started again. Without this term's token, a heartbeat ends an attempt only if the
// task completed.
func TestExitWithoutTheTermsTokenCountsOnlyIfCompleted(t *testing.T) {
	for _, c := range []struct {
		reason   wire.ExitReason
		token    uint64
		outcomes int
	}{{wire.ExitStopped, term - 1, 0}, {wire.ExitError, term - 1, 0}, {wire.ExitDone, term - 1, 1}, {wire.ExitStopped, term, 1}} {
		t.Run(fmt.Sprintf("%s with token %d", c.reason, c.token), func(t *testing.T) {
			f := newFixture(t)
			f.RestoreAllocation(newAllocation(1), t0)
			if result := f.receive(heartbeat(1, 7, c.token, status("job-1/0", 1, wire.TaskExited, c.reason)), time.Second, mayNotForget); len(result.Outcomes) != c.outcomes {
				t.Errorf("outcomes %v", result.Outcomes)
			}
		})
	}
}

// Guards against tasks that count as gone because of a copy from before a restart with the same incarnation. The copy
// does not list the tasks of the present process.
func TestTaskMissingFromACopyFromBeforeARestartIsNotGone(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 40, term), 0, mayNotForget)
	m := f.Machines["n-1"]
	f.AcceptRestart(m, heartbeat(1, 2, term), t0.Add(5*time.Second))
	allocation := newAllocation(1)
	allocation.Stop = &jobs.StopRequest{}
	f.AddAllocation(allocation, t0.Add(5*time.Second))
	if result := f.receive(heartbeat(1, 39, term), 30*time.Second, mayNotForget); len(result.Outcomes) != 0 || ops(result.Commands) != "start halt " {
		t.Errorf("outcomes %v, want none; commands %v, want a start and a stop", result.Outcomes, result.Commands)
	}
	if result := f.receive(heartbeat(1, 41, term), 60*time.Second, mayNotForget); len(result.Outcomes) != 1 {
		t.Errorf("not gone although the heartbeat is from after the restart; commands %v", result.Commands)
	}
}
