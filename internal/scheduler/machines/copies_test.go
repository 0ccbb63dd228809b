package machines

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func noticed(rep *wire.Heartbeat, s float64) *wire.Heartbeat {
	rep.NoticeS = &s
	return rep
}

// Guards against the notice of a copy: it drained a healthy machine, or had one that will be taken look safe.
func TestACopysNoticeDoesNotLast(t *testing.T) {
	f := newFixture(t)
	f.RestoreAllocation(place(1), t0)
	f.report(noticed(report(1, 5, term-1), 25), 0, no) // may be a copy
	if m := f.Machines["n-1"]; m.InterruptionAt.IsZero() {
		t.Error("a notice is not taken as long as nothing tells against it")
	}
	f.report(report(1, 9, term), time.Second, no)
	if m := f.Machines["n-1"]; !m.InterruptionAt.IsZero() {
		t.Error("the machine itself says that it has none")
	}
	f.report(noticed(report(1, 10, term), 25), 2*time.Second, no)
	before := f.Machines["n-1"].InterruptionAt
	for _, late := range []*wire.Heartbeat{report(1, 8, term), noticed(report(1, 10, term), 3)} {
		if _, err := f.Heartbeat(late, false, t0.Add(3*time.Second), no); !errors.Is(err, ErrStale) {
			t.Errorf("a copy: %v", err)
		}
	}
	if m := f.Machines["n-1"]; m.InterruptionAt != before || before.IsZero() || !m.SuspectCopy {
		t.Errorf("a copy changed the notice (%v, %v), or is not looked into", before, m.InterruptionAt)
	}
}

// Guards against a machine that a former leader returned: a copy of its report had it look idle and roomy.
func TestAMachineThatNothingButAReportNamesGetsNoWorkBeforeItProvesItself(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 5, term-1), 0, no)
	m := f.Machines["n-1"]
	if m.Usable(term, t0) {
		t.Error("trusted")
	}
	f.Register("n-1", "g8", "a", false, t0, t0) // the cloud lists it
	if !m.Usable(term, t0) {
		t.Error("not trusted though it is listed and met the last leader")
	}
	old := newFixture(t)
	old.Register("n-1", "g8", "a", false, t0, t0)
	old.report(report(1, 5, term-2), 0, no)
	if old.Machines["n-1"].Usable(term, t0) {
		t.Error("trusted by a report from before the last term")
	}
	if old.report(report(1, 6, term), time.Second, no); !old.Machines["n-1"].Usable(term, t0) {
		t.Error("not used though it heard us")
	}
}

// Guards against a report that makes its machine another one.
func TestAReportThatContradictsIsSetAside(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 5, term), 0, no)
	for _, change := range []func(*wire.Heartbeat){
		func(r *wire.Heartbeat) { r.Address = "10.0.0.1:9" }, func(r *wire.Heartbeat) { r.Type = "g9" },
		func(r *wire.Heartbeat) { r.Zone = "b" }, func(r *wire.Heartbeat) { r.Spot = true },
	} {
		rep := report(2, 9, term, taskIs("job-1/0", 1, wire.TaskRunning, ""))
		change(rep)
		before := *f.Machines["n-1"]
		if _, err := f.Heartbeat(rep, false, t0.Add(time.Second), no); !errors.Is(err, ErrContradicts) {
			t.Errorf("%+v: %v", rep, err)
		}
		if m := f.Machines["n-1"]; m.Incarnation != before.Incarnation || m.Address != before.Address || m.LastHeartbeat != before.LastHeartbeat || m.HasOrphans() {
			t.Errorf("it changed %+v", m)
		}
	}
}

// Guards against a session that counts as over by the lease of the one before: a machine that was out of reach for longer
// than its lease answered a question with its new session, was given work, and a moment later that was started elsewhere.
func TestANewSessionThatADirectAnswerTellsOfHasItsOwnLease(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	back := 30 * time.Second // long after its lease; nothing was concluded, since others may have kept it
	if _, err := f.Heartbeat(report(2, 9, term), true, t0.Add(back), no); err != nil {
		t.Fatal(err)
	}
	p := place(2)
	f.AddAllocation(p, t0.Add(back))
	if outs := f.expire(back + 9*time.Second); len(outs) != 0 {
		t.Fatalf("gone within the lease of its session: %v", outs)
	}
	if outs := f.expire(back + 11*time.Second); len(outs) != 1 {
		t.Errorf("not gone after it: %v", outs)
	}
}

// Guards against a task that is never wanted again, and its job forgotten: a former leader had recorded it in a session that was
// over, knew that it was gone, placed another there and ended before it had written the first one's end.
func TestATaskOfAnEarlierSessionBesideOneOfALater(t *testing.T) {
	f := newFixture(t)
	gone, there := place(1), place(2)
	there.Index = 1
	f.RestoreAllocation(gone, t0)
	f.RestoreAllocation(there, t0)
	// Before the worker has our token this may be a copy from a former life, and the task in the life that runs.
	if a := f.report(report(2, 6, term-1, taskIs("job-1/1", 1, wire.TaskRunning, "")), 0, no); len(a.Outcomes) != 0 {
		t.Errorf("outcomes %+v of what may be a copy", a.Outcomes)
	}
	a := f.report(report(2, 7, term, taskIs("job-1/1", 1, wire.TaskRunning, "")), time.Second, no)
	if len(a.Outcomes) != 1 || a.Outcomes[0].Allocation != gone || !a.Outcomes[0].Lost {
		t.Errorf("outcomes %+v", a.Outcomes)
	}
}

// Guards against a copy from a machine's former life, whose session is higher than that of the life that runs.
func TestACopyFromAFormerLifeEndsNoSession(t *testing.T) {
	f := newFixture(t)
	f.report(report(3, 40, term), 0, no)
	m := f.Machines["n-1"]
	_, _, mark, _ := f.Probe(m, t0.Add(5*time.Second))
	anew := report(1, 2, term)
	if got := f.JudgeRestart(m, mark, anew); got != ProcessRestarted {
		t.Fatalf("judged %v", got)
	}
	f.AcceptRestart(m, anew, t0.Add(5*time.Second))
	f.AddAllocation(place(1), t0.Add(5*time.Second))
	if a, err := f.Heartbeat(report(3, 39, term), false, t0.Add(6*time.Second), no); !errors.Is(err, ErrStale) || len(a.Outcomes) != 0 {
		t.Errorf("%v, %v", a.Outcomes, err)
	}
	if a := f.report(report(1, 3, term, taskIs("job-1/0", 1, wire.TaskRunning, "")), 6*time.Second, no); len(a.Outcomes) != 0 {
		t.Errorf("outcomes %v", a.Outcomes)
	}
}

// Guards against a copy that is taken for news of a machine which answered a question and has not reported to this leader yet.
func TestADirectAnswerTellsTheOrderBeforeTheFirstReport(t *testing.T) {
	f := newFixture(t)
	f.RestoreAllocation(place(1), t0)
	if _, err := f.Heartbeat(report(1, 7, term, taskIs("job-1/0", 1, wire.TaskRunning, "")), true, t0.Add(time.Second), no); err != nil {
		t.Fatal(err)
	}
	if a, err := f.Heartbeat(report(1, 6, term), false, t0.Add(2*time.Second), no); !errors.Is(err, ErrStale) || len(a.Commands) != 0 {
		t.Errorf("a copy from before the answer: %v, %v", a.Commands, err)
	}
	f.report(report(1, 8, term, taskIs("job-1/0", 1, wire.TaskRunning, "")), 3*time.Second, no)
}

// Guards against a task that counts as gone while the answer with its start is on its way: the next report may be a copy from
// a former life of a machine that was started anew, with a higher punch.
func TestAStartInAnAnswerMayStillArrive(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	p := place(1)
	f.AddAllocation(p, t0)
	if a := f.report(report(1, 2, term), time.Second, no); ops(a.Commands) != "start " {
		t.Fatalf("commands %v", a.Commands)
	}
	p.Stop = &jobs.StopRequest{}
	if a := f.report(report(1, 90, term), 2*time.Second, no); len(a.Outcomes) != 0 || ops(a.Commands) != "start halt " {
		t.Errorf("outcomes %v, commands %v", a.Outcomes, a.Commands)
	}
	if a := f.report(report(1, 91, term), 2*time.Second+tuning.HeartbeatReplyLife, no); len(a.Outcomes) != 1 {
		t.Errorf("not gone though nothing can arrive any more: %v", a.Commands)
	}
}

// Guards against a copy from a former life that a leader never knew of: the life that runs has the lower session, and its tasks
// counted as gone. A worker does not lose its token, and before a machine proved itself it is asked.
func TestASessionThatRisesInACopyEndsNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		known bool // the machine proved itself in this term
	}{{"a token that went down", true}, {"a machine that has not proved itself", false}} {
		f := newFixture(t)
		if c.known {
			f.report(report(1, 1, term), 0, no)
		}
		p := place(1)
		f.RestoreAllocation(p, t0)
		a, err := f.Heartbeat(report(2, 5, term-1), false, t0.Add(time.Second), no)
		if m := f.Machines["n-1"]; !errors.Is(err, ErrStale) || len(a.Outcomes) != 0 || !m.SuspectCopy {
			t.Errorf("%s: %v, %v", c.name, a.Outcomes, err)
		}
		// If it is so, the machine says so itself.
		if a, err := f.Heartbeat(report(2, 6, term), true, t0.Add(2*time.Second), no); err != nil || len(a.Outcomes) != 1 {
			t.Errorf("%s: the machine's own answer: %v, %v", c.name, a.Outcomes, err)
		}
	}
}

// Guards against an end from a former life of a machine: a recorded attempt is started again in the life that runs.
func TestAnEndWithoutOurTokenIsOneOnlyIfTheTaskCompleted(t *testing.T) {
	for _, c := range []struct {
		why   wire.ExitReason
		token uint64
		ends  int
	}{{wire.ExitStopped, term - 1, 0}, {wire.ExitError, term - 1, 0}, {wire.ExitDone, term - 1, 1}, {wire.ExitStopped, term, 1}} {
		f := newFixture(t)
		f.RestoreAllocation(place(1), t0)
		if a := f.report(report(1, 7, c.token, taskIs("job-1/0", 1, wire.TaskExited, c.why)), time.Second, no); len(a.Outcomes) != c.ends {
			t.Errorf("%s with token %d: %v", c.why, c.token, a.Outcomes)
		}
	}
}

// Guards against a copy from a former life of the same session: it lacks what runs in the life that is there.
func TestWhatACopyFromAFormerLifeLacksIsNotGone(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 40, term), 0, no)
	m := f.Machines["n-1"]
	f.AcceptRestart(m, report(1, 2, term), t0.Add(5*time.Second))
	p := place(1)
	p.Stop = &jobs.StopRequest{}
	f.AddAllocation(p, t0.Add(5*time.Second))
	if a := f.report(report(1, 39, term), 30*time.Second, no); len(a.Outcomes) != 0 || ops(a.Commands) != "start halt " {
		t.Errorf("outcomes %v, commands %v", a.Outcomes, a.Commands)
	}
	if a := f.report(report(1, 41, term), 60*time.Second, no); len(a.Outcomes) != 1 {
		t.Errorf("not gone though the report is of no former life: %v", a.Commands)
	}
}
