package machines

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	term  = 7
	lease = 10.0
)

func yes(AttemptID) bool { return true }
func no(AttemptID) bool  { return false }

func report(session, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Address: "10.0.0.9:1", Type: "g8", Zone: "a", Incarnation: session, Seq: seq, FencingToken: token, Tasks: tasks}
}

func taskIs(task string, attempt uint64, state wire.TaskState, why wire.ExitReason) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: attempt, State: state, Reason: why}
}

// place makes a stored place of job-1/0 on n-1 in session 1.
func place(session uint64) *jobs.Allocation {
	return &jobs.Allocation{
		Job:     &jobs.Job{Job: wire.Job{ID: "job-1", Team: "t", CPUs: 2, Tasks: 1, Image: "img"}},
		Attempt: 1, Machine: "n-1", Incarnation: session, Zone: "a", Committed: true,
	}
}

type fixture struct {
	t *testing.T
	*Registry
}

func newFixture(t *testing.T) *fixture { return &fixture{t, New(term, lease)} }

func (f *fixture) report(rep *wire.Heartbeat, at time.Duration, forget MayForget) HeartbeatResult {
	f.t.Helper()
	a, err := f.Heartbeat(rep, false, t0.Add(at), forget)
	if err != nil {
		f.t.Fatal(err)
	}
	return a
}

// expire is what the leader does when no follower answers any machine.
func (f *fixture) expire(at time.Duration) []Outcome {
	return f.EndExpired(t0.Add(at), nil)
}

func ops(cmds []wire.Command) string {
	s := ""
	for _, c := range cmds {
		s += string(c.Op) + " "
	}
	return s
}

func TestStartIsRepeatedUntilSeen(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, 0), 0, no)
	p := place(1)
	p.Committed = false
	f.AddAllocation(p, t0)
	if a := f.report(report(1, 2, term), time.Second, no); len(a.Commands) != 0 {
		t.Fatalf("commands before the place is stored: %v", a.Commands)
	}
	p.Committed = true
	for seq := uint64(3); seq < 5; seq++ {
		if a := f.report(report(1, seq, term), time.Second, no); ops(a.Commands) != "start " || len(a.Outcomes) != 0 {
			t.Fatalf("commands %v, outcomes %v", a.Commands, a.Outcomes)
		}
	}
	a := f.report(report(1, 5, term, taskIs("job-1/0", 1, wire.TaskRunning, "")), time.Second, no)
	if len(a.Commands) != 0 || p.State != wire.TaskRunning {
		t.Fatalf("commands %v, state %v", a.Commands, p.State)
	}
}

func TestOldReportsAreRefused(t *testing.T) {
	f := newFixture(t)
	f.report(report(2, 5, term), 0, no)
	for _, r := range []*wire.Heartbeat{report(2, 5, term), report(2, 4, term), report(1, 9, term)} {
		if _, err := f.Heartbeat(r, false, t0, no); !errors.Is(err, ErrStale) {
			t.Errorf("session %d, seq %d: %v", r.Incarnation, r.Seq, err)
		}
	}
}

func TestANewSessionProvesTheOldOnesTasksGone(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	p := place(1)
	f.AddAllocation(p, t0)
	a := f.report(report(2, 2, term), time.Second, no)
	if len(a.Outcomes) != 1 || a.Outcomes[0].Allocation != p || a.Outcomes[0].Reason != wire.ExitStopped {
		t.Fatalf("outcomes %v", a.Outcomes)
	}
}

// Guards against a task that is placed anew while its silent machine still runs it.
func TestSilenceProvesNothingBeforeTheLeaseIsOver(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	f.AddAllocation(place(1), t0)
	f.report(report(1, 2, term, taskIs("job-1/0", 1, wire.TaskRunning, "")), 5*time.Second, no)
	// A direct answer renews no lease: it must not put the end off, nor does it prove a task gone.
	if a, err := f.Heartbeat(report(1, 3, term), true, t0.Add(9*time.Second), yes); err != nil || len(a.Outcomes)+len(a.Commands) != 0 {
		t.Fatalf("direct answer: %+v, %v", a, err)
	}
	if outs := f.expire(15 * time.Second); len(outs) != 0 {
		t.Fatalf("gone before the lease with its drift: %v", outs)
	}
	end := 5*time.Second + time.Duration(lease*(1+tuning.ClockDrift)*float64(time.Second)) + tuning.LeaseMargin
	outs := f.expire(end)
	if len(outs) != 1 {
		t.Fatalf("not gone at the end: %v", outs)
	}
	f.RemoveAllocation(outs[0].Allocation, t0)
	// A report of that session that comes later was kept by the network.
	if _, err := f.Heartbeat(report(1, 4, term, taskIs("job-1/0", 1, wire.TaskRunning, "")), false, t0.Add(end), no); !errors.Is(err, ErrStale) {
		t.Errorf("a report of a session that is over: %v", err)
	}
	if a := f.report(report(2, 5, term), end, no); len(a.Outcomes) != 0 {
		t.Errorf("gone twice: %v", a.Outcomes)
	}
}

func TestANewLeaderCountsInheritedPlacesUntilProvenGone(t *testing.T) {
	f := newFixture(t)
	p := place(3)
	f.RestoreAllocation(p, t0)
	if outs := f.expire(9 * time.Second); len(outs) != 0 {
		t.Fatalf("gone: %v", outs)
	}
	// The worker has not seen our token yet: a start of the old leader may
	// still arrive. The same attempt is started, which has no effect if it is there.
	if a := f.report(report(3, 1, term-1), 0, yes); ops(a.Commands) != "start " || len(a.Outcomes) != 0 {
		t.Fatalf("commands %v, outcomes %v", a.Commands, a.Outcomes)
	}
	p.Stop = &jobs.StopRequest{}
	if a := f.report(report(3, 2, term-1), 0, yes); len(a.Outcomes) != 0 {
		t.Fatalf("gone while an old start may arrive: %v", a.Outcomes)
	}
	// With our token seen, no older start is executed: it is not there.
	if a := f.report(report(3, 3, term), tuning.HeartbeatReplyLife, yes); len(a.Outcomes) != 1 {
		t.Fatalf("not gone: %+v", a)
	}
}

// Guards against a direct start without an answer, which may be executed
// minutes later: the attempt is made known before it counts as gone, and it
// is not forgotten while the start is open.
func TestAnOpenDirectStart(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	p := place(1)
	f.AddAllocation(p, t0)
	addr, req := f.CommandsFor("n-1", []*jobs.Allocation{p})
	if addr == "" || ops(req.Commands) != "start " || req.FencingToken != term || req.Incarnation != 1 {
		t.Fatalf("direct: %s %+v", addr, req)
	}
	p.Stop = &jobs.StopRequest{}
	a := f.report(report(1, 2, term), time.Second, yes)
	if ops(a.Commands) != "start halt " || len(a.Outcomes) != 0 {
		t.Fatalf("commands %v, outcomes %v", a.Commands, a.Outcomes)
	}
	exited := taskIs("job-1/0", 1, wire.TaskExited, wire.ExitStopped)
	a = f.report(report(1, 3, term, exited), 2*time.Second, yes)
	if len(a.Outcomes) != 1 {
		t.Fatalf("outcomes %v", a.Outcomes)
	}
	f.RemoveAllocation(p, t0)
	if a = f.report(report(1, 4, term, exited), 3*time.Second, yes); len(a.Commands) != 0 {
		t.Fatalf("forgotten while a start is open: %v", a.Commands)
	}
	f.CommandsAnswered("n-1", req) // now its answer came
	if a = f.report(report(1, 5, term, exited), 4*time.Second, yes); ops(a.Commands) != "forget " {
		t.Fatalf("commands %v", a.Commands)
	}
}

func TestForgetWaitsForTheRecord(t *testing.T) {
	f := newFixture(t)
	exited := taskIs("job-1/0", 1, wire.TaskExited, wire.ExitDone)
	if a := f.report(report(1, 1, term, exited), 0, no); len(a.Commands) != 0 {
		t.Fatalf("forgotten before its end is stored: %v", a.Commands)
	}
	older := newFixture(t)
	if a := older.report(report(1, 2, term-1, exited), 0, yes); len(a.Commands) != 0 {
		t.Fatalf("forgotten while an older leader's start may arrive: %v", a.Commands)
	}
	if a := f.report(report(1, 3, term, exited), 0, yes); ops(a.Commands) != "forget " {
		t.Fatalf("commands %v", a.Commands)
	}
}

func TestStraysAreStoppedAndCounted(t *testing.T) {
	f := newFixture(t)
	a := f.report(report(1, 1, term, taskIs("job-9/4", 2, wire.TaskRunning, "")), 0, yes)
	if ops(a.Commands) != "halt " || *a.Commands[0].GraceS != 0 || !a.Machine.HasOrphans() {
		t.Fatalf("commands %v, strays %v", a.Commands, a.Machine.HasOrphans())
	}
	if a = f.report(report(1, 2, term), time.Second, yes); a.Machine.HasOrphans() {
		t.Error("still there after it was gone")
	}
}

func TestASavingTaskIsEndedBySecondStop(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	p := place(1)
	f.AddAllocation(p, t0)
	p.Stop = &jobs.StopRequest{GraceS: 5}
	if a := f.report(report(1, 2, term, taskIs("job-1/0", 1, wire.TaskSaving, "")), 0, no); len(a.Commands) != 0 {
		t.Fatalf("a saving task is told again: %v", a.Commands)
	}
	p.Stop.GraceS = 0 // its job was cancelled
	if a := f.report(report(1, 3, term, taskIs("job-1/0", 1, wire.TaskSaving, "")), 0, no); ops(a.Commands) != "halt " {
		t.Fatalf("commands %v", a.Commands)
	}
}

func TestAReturnedMachineIsGone(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	p := place(1)
	f.AddAllocation(p, t0)
	if outs := f.MarkLost("n-1", t0); len(outs) != 1 || outs[0].Allocation != p {
		t.Fatalf("outcomes %v", outs)
	}
	if _, err := f.Heartbeat(report(1, 2, term), false, t0, no); !errors.Is(err, ErrReturned) {
		t.Errorf("a late report of it: %v", err)
	}
}

// Guards against tasks that are placed anew while a follower beyond a cut
// keeps their machine's lease.
func TestAKeptMachineIsNotGone(t *testing.T) {
	f := newFixture(t)
	f.report(report(1, 1, term), 0, no)
	f.AddAllocation(place(1), t0)
	kept := map[string]bool{"n-1": true}
	// The lease ran out between the question and its answer: nothing is known yet.
	if outs := f.EndExpired(t0.Add(9*time.Second), nil); len(outs) != 0 {
		t.Fatalf("gone by an answer that is older than the lease's end: %v", outs)
	}
	if outs := f.EndExpired(t0.Add(20*time.Second), kept); len(outs) != 0 {
		t.Fatalf("gone while it is kept: %v", outs)
	}
	if outs := f.EndExpired(t0.Add(21*time.Second), nil); len(outs) != 1 {
		t.Fatalf("not gone though nobody kept it for a lease: %v", outs)
	}
}

// Guards against prompt work that is sent where its image was once, and waits
// there for a fetch: a cache keeps what was used most recently.
func TestImagesLeaveAFullCache(t *testing.T) {
	f := newFixture(t)
	use := func(image string, at time.Duration) *jobs.Allocation {
		p := place(1)
		p.Job = &jobs.Job{Job: wire.Job{ID: "job-" + image, Tasks: 1, Image: image, ImageGB: 4}}
		f.AddAllocation(p, t0.Add(at))
		return p
	}
	f.report(report(1, 1, 0), 0, no)
	pinned := use("1", 0)
	f.RemoveAllocation(use("2", 0), t0.Add(time.Second))
	f.RemoveAllocation(use("3", 0), t0.Add(2*time.Second))
	m := f.Machines["n-1"]
	holds := func(want string) {
		t.Helper()
		got := ""
		for _, image := range []string{"1", "2", "3", "4"} {
			if m.HasImage(image, 10) { // two of 4 GB
				got += image
			}
		}
		if got != want {
			t.Errorf("holds %q, want %q", got, want)
		}
	}
	holds("13")
	f.RemoveAllocation(pinned, t0.Add(3*time.Second))
	f.RemoveAllocation(use("2", 4*time.Second), t0.Add(5*time.Second))
	holds("12")
}
