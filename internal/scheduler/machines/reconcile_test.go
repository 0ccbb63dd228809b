package machines

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func TestStartIsRepeatedUntilSeen(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, 0), 0, mayNotForget)
	p := allocation(1)
	p.Committed = false
	f.AddAllocation(p, t0)
	if a := f.receive(heartbeat(1, 2, term), time.Second, mayNotForget); len(a.Commands) != 0 {
		t.Fatalf("commands before the allocation is recorded: %v", a.Commands)
	}
	p.Committed = true
	for seq := uint64(3); seq < 5; seq++ {
		if a := f.receive(heartbeat(1, seq, term), time.Second, mayNotForget); ops(a.Commands) != "start " || len(a.Outcomes) != 0 {
			t.Fatalf("commands %v, outcomes %v", a.Commands, a.Outcomes)
		}
	}
	a := f.receive(heartbeat(1, 5, term, status("job-1/0", 1, wire.TaskRunning, "")), time.Second, mayNotForget)
	if len(a.Commands) != 0 || p.State != wire.TaskRunning {
		t.Fatalf("commands %v, state %v", a.Commands, p.State)
	}
}

func TestRestoredAllocationsCountUntilProvenGone(t *testing.T) {
	f := newFixture(t)
	p := allocation(3)
	f.RestoreAllocation(p, t0)
	if outcomes := f.expire(9 * time.Second); len(outcomes) != 0 {
		t.Fatalf("gone: %v", outcomes)
	}
	// The worker has not seen the term's token yet: a start by the old leader may still arrive. The same attempt is started,
	// which has no effect if it is there.
	if a := f.receive(heartbeat(3, 1, term-1), 0, mayForget); ops(a.Commands) != "start " || len(a.Outcomes) != 0 {
		t.Fatalf("commands %v, outcomes %v", a.Commands, a.Outcomes)
	}
	p.Stop = &jobs.StopRequest{}
	if a := f.receive(heartbeat(3, 2, term-1), 0, mayForget); len(a.Outcomes) != 0 {
		t.Fatalf("gone while an old start may arrive: %v", a.Outcomes)
	}
	// Once the term's token is seen, no older start is executed: it is not there.
	if a := f.receive(heartbeat(3, 3, term), tuning.HeartbeatReplyLife, mayForget); len(a.Outcomes) != 1 {
		t.Fatalf("not gone: %+v", a)
	}
}

func TestForgetWaitsForTheRecord(t *testing.T) {
	f := newFixture(t)
	exited := status("job-1/0", 1, wire.TaskExited, wire.ExitDone)
	if a := f.receive(heartbeat(1, 1, term, exited), 0, mayNotForget); len(a.Commands) != 0 {
		t.Fatalf("forgotten before its end is stored: %v", a.Commands)
	}
	older := newFixture(t)
	if a := older.receive(heartbeat(1, 2, term-1, exited), 0, mayForget); len(a.Commands) != 0 {
		t.Fatalf("forgotten while an older leader's start may arrive: %v", a.Commands)
	}
	if a := f.receive(heartbeat(1, 3, term, exited), 0, mayForget); ops(a.Commands) != "forget " {
		t.Fatalf("commands %v", a.Commands)
	}
}

func TestOrphansAreStoppedAndCounted(t *testing.T) {
	f := newFixture(t)
	a := f.receive(heartbeat(1, 1, term, status("job-9/4", 2, wire.TaskRunning, "")), 0, mayForget)
	if ops(a.Commands) != "halt " || *a.Commands[0].GraceS != 0 || !a.Machine.HasOrphans() {
		t.Fatalf("commands %v, orphans %v", a.Commands, a.Machine.HasOrphans())
	}
	if a = f.receive(heartbeat(1, 2, term), time.Second, mayForget); a.Machine.HasOrphans() {
		t.Error("it still counts after it was gone")
	}
}

func TestCheckpointingTaskIsStoppedAgainOnlyWithoutGrace(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	p := allocation(1)
	f.AddAllocation(p, t0)
	p.Stop = &jobs.StopRequest{GraceS: 5}
	if a := f.receive(heartbeat(1, 2, term, status("job-1/0", 1, wire.TaskSaving, "")), 0, mayNotForget); len(a.Commands) != 0 {
		t.Fatalf("a task that saves its checkpoint is stopped again: %v", a.Commands)
	}
	p.Stop.GraceS = 0 // its job was cancelled
	if a := f.receive(heartbeat(1, 3, term, status("job-1/0", 1, wire.TaskSaving, "")), 0, mayNotForget); ops(a.Commands) != "halt " {
		t.Fatalf("commands %v", a.Commands)
	}
}

// Guards against a task that counts as gone by a direct answer: a reply to a heartbeat, with its start, may be on its way.
func TestDirectAnswerProvesNothingOfTasksThatItLacks(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	p := allocation(1)
	p.Stop = &jobs.StopRequest{}
	f.AddAllocation(p, t0)
	at := tuning.HeartbeatReplyLife
	if a, err := f.DirectAnswer(heartbeat(1, 2, term), t0.Add(at), mayForget); err != nil || len(a.Outcomes)+len(a.Commands) != 0 {
		t.Errorf("direct answer: outcomes %v, commands %v, %v", a.Outcomes, a.Commands, err)
	}
	if a := f.receive(heartbeat(1, 3, term), at, mayForget); len(a.Outcomes) != 1 {
		t.Errorf("not gone though a heartbeat lacks it: %v", a.Commands)
	}
}
