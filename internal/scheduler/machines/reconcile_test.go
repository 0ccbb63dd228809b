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
	allocation := newAllocation(1)
	allocation.Committed = false
	f.AddAllocation(allocation, t0)
	if result := f.receive(heartbeat(1, 2, term), time.Second, mayNotForget); len(result.Commands) != 0 {
		t.Fatalf("commands before the allocation is recorded: %v", result.Commands)
	}
	allocation.Committed = true
	for seq := uint64(3); seq < 5; seq++ {
		if result := f.receive(heartbeat(1, seq, term), time.Second, mayNotForget); ops(result.Commands) != "start " || len(result.Outcomes) != 0 {
			t.Fatalf("commands %v, outcomes %v", result.Commands, result.Outcomes)
		}
	}
	result := f.receive(heartbeat(1, 5, term, status("job-1/0", 1, wire.TaskRunning, "")), time.Second, mayNotForget)
	if len(result.Commands) != 0 || allocation.State != wire.TaskRunning {
		t.Fatalf("commands %v, state %v", result.Commands, allocation.State)
	}
}

func TestRestoredAllocationsCountUntilProvenGone(t *testing.T) {
	f := newFixture(t)
	allocation := newAllocation(3)
	f.RestoreAllocation(allocation, t0)
	if outcomes := f.expire(9 * time.Second); len(outcomes) != 0 {
		t.Fatalf("gone: %v", outcomes)
	}
	// The worker has not seen the term's token yet: a start by the old leader may still arrive. The same attempt is started,
	// which has no effect if it is there.
	if result := f.receive(heartbeat(3, 1, term-1), 0, mayForget); ops(result.Commands) != "start " || len(result.Outcomes) != 0 {
		t.Fatalf("commands %v, outcomes %v", result.Commands, result.Outcomes)
	}
	allocation.Stop = &jobs.StopRequest{}
	if result := f.receive(heartbeat(3, 2, term-1), 0, mayForget); len(result.Outcomes) != 0 {
		t.Fatalf("gone while an old start may arrive: %v", result.Outcomes)
	}
	// Once the term's token is seen, no older start is executed: it is not there.
	if result := f.receive(heartbeat(3, 3, term), tuning.HeartbeatReplyLife, mayForget); len(result.Outcomes) != 1 {
		t.Fatalf("not gone: %+v", result)
	}
}

func TestForgetWaitsForTheRecord(t *testing.T) {
	f := newFixture(t)
	exited := status("job-1/0", 1, wire.TaskExited, wire.ExitDone)
	if result := f.receive(heartbeat(1, 1, term, exited), 0, mayNotForget); len(result.Commands) != 0 {
		t.Fatalf("forgotten before its end is stored: %v", result.Commands)
	}
	older := newFixture(t)
	if result := older.receive(heartbeat(1, 2, term-1, exited), 0, mayForget); len(result.Commands) != 0 {
		t.Fatalf("forgotten while an older leader's start may arrive: %v", result.Commands)
	}
	if result := f.receive(heartbeat(1, 3, term, exited), 0, mayForget); ops(result.Commands) != "forget " {
		t.Fatalf("commands %v", result.Commands)
	}
}

func TestOrphansAreStoppedAndCounted(t *testing.T) {
	f := newFixture(t)
	result := f.receive(heartbeat(1, 1, term, status("job-9/4", 2, wire.TaskRunning, "")), 0, mayForget)
	if ops(result.Commands) != "halt " || *result.Commands[0].GraceS != 0 || !result.Machine.HasOrphans() {
		t.Fatalf("commands %v, orphans %v", result.Commands, result.Machine.HasOrphans())
	}
	if result = f.receive(heartbeat(1, 2, term), time.Second, mayForget); result.Machine.HasOrphans() {
		t.Error("it still counts after it was gone")
	}
}

func TestCheckpointingTaskIsStoppedAgainOnlyWithoutGrace(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	f.AddAllocation(allocation, t0)
	allocation.Stop = &jobs.StopRequest{GraceS: 5}
	if result := f.receive(heartbeat(1, 2, term, status("job-1/0", 1, wire.TaskSaving, "")), 0, mayNotForget); len(result.Commands) != 0 {
		t.Fatalf("a task that saves its checkpoint is stopped again: %v", result.Commands)
	}
	allocation.Stop.GraceS = 0 // its job was cancelled
	if result := f.receive(heartbeat(1, 3, term, status("job-1/0", 1, wire.TaskSaving, "")), 0, mayNotForget); ops(result.Commands) != "halt " {
		t.Fatalf("commands %v", result.Commands)
	}
}

// Guards against a task that counts as gone by a direct answer: a reply to a heartbeat, with its start, may be on its way.
func TestDirectAnswerProvesNothingOfTasksThatItLacks(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	allocation.Stop = &jobs.StopRequest{}
	f.AddAllocation(allocation, t0)
	at := tuning.HeartbeatReplyLife
	if result, err := f.DirectAnswer(heartbeat(1, 2, term), t0.Add(at), mayForget); err != nil || len(result.Outcomes)+len(result.Commands) != 0 {
		t.Errorf("direct answer: outcomes %v, commands %v, %v", result.Outcomes, result.Commands, err)
	}
	if result := f.receive(heartbeat(1, 3, term), at, mayForget); len(result.Outcomes) != 1 {
		t.Errorf("not gone though a heartbeat lacks it: %v", result.Commands)
	}
}
