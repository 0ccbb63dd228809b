package machines

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a start by the leader before us that arrives after its task counts as gone, and its job as cancelled: only once the
// worker has seen our token does what its report lacks prove anything.
func TestWhatAReportLacksProvesNothingBeforeOurToken(t *testing.T) {
	f := newFixture(t)
	p := place(1)
	p.Stop = &jobs.StopRequest{}
	f.RestoreAllocation(p, t0)
	if a := f.report(report(1, 1, term-1), time.Second, yes); len(a.Outcomes) != 0 {
		t.Fatalf("concluded while an older leader's start may arrive: %v", a.Outcomes)
	}
	if a := f.report(report(1, 2, term), 2*time.Second, yes); len(a.Outcomes) != 1 {
		t.Errorf("outcomes %v with our token", a.Outcomes)
	}
}

// Guards against a machine that was started anew and counts as empty while something may still start there: an answer to a report that
// was taken a moment ago, a direct start of ours without an answer, an older leader's.
func TestAMachineThatWasStartedAnewIsEmptyOnlyOnceNothingCanCome(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration // from the last report that was taken to the question
		open  bool          // a direct start is without an answer
		token uint64
		want  RestartVerdict
	}{
		{"nothing can come", tuning.HeartbeatReplyLife, false, term, ProcessRestarted},
		{"an answer may be on its way", tuning.HeartbeatReplyLife - time.Millisecond, false, term, Ambiguous},
		{"a direct start may", tuning.HeartbeatReplyLife, true, term, DeleteOnly},
		{"an older leader's may", tuning.HeartbeatReplyLife, false, term - 1, ProbeAgain},
	} {
		f := newFixture(t)
		f.report(report(1, 5, term), 0, no)
		p := place(1)
		f.AddAllocation(p, t0)
		m := f.Machines["n-1"]
		if _, req := f.CommandsFor("n-1", []*jobs.Allocation{p}); !c.open {
			f.CommandsAnswered("n-1", req)
		}
		_, _, mark, ok := f.Probe(m, t0.Add(c.after))
		if !ok {
			t.Fatal("nobody can be asked")
		}
		if got := f.JudgeRestart(m, mark, &wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 2, FencingToken: c.token}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := f.JudgeRestart(m, mark, &wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 6, FencingToken: c.token}); got != NotRestarted {
			t.Errorf("%s: a newer answer is of another life: %v", c.name, got)
		}
	}
}
