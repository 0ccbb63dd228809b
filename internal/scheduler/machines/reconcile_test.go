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
			t.Fatalf("commands %v, want a start; outcomes %v, want none", result.Commands, result.Outcomes)
		}
	}
	result := f.receive(heartbeat(1, 5, term, status("job-1/0", 1, wire.TaskRunning, "")), time.Second, mayNotForget)
	if len(result.Commands) != 0 || allocation.State != wire.TaskRunning {
		t.Fatalf("commands %v, want none; state %v, want running", result.Commands, allocation.State)
	}
}

func TestRestoredAllocationsCountUntilProvenGone(t *testing.T) {
	f := newFixture(t)
	allocation := newAllocation(3)
	f.RestoreAllocation(allocation, t0)
	if outcomes := f.expire(9 * time.Second); len(outcomes) != 0 {
		t.Fatalf("allocations ended before the lease expiry: %v", outcomes)
	}
	// The worker has not seen this term's token yet, so a start by the former leader may still arrive. The same
	// attempt is started again, which has no effect if the worker knows it.
	if result := f.receive(heartbeat(3, 1, term-1), 0, mayForget); ops(result.Commands) != "start " || len(result.Outcomes) != 0 {
		t.Fatalf("commands %v, want a start; outcomes %v, want none", result.Commands, result.Outcomes)
	}
	allocation.Stop = &jobs.StopRequest{}
	if result := f.receive(heartbeat(3, 2, term-1), 0, mayForget); len(result.Outcomes) != 0 {
		t.Fatalf("allocation ended while an older leader's start may arrive: %v", result.Outcomes)
	}
	// Once the worker has seen this term's token it executes no older start, so a task that is not listed is gone.
	if result := f.receive(heartbeat(3, 3, term), tuning.HeartbeatReplyValidity, mayForget); len(result.Outcomes) != 1 {
		t.Fatalf("result %+v, want one outcome", result)
	}
}

func TestExitedAttemptIsForgottenOnlyOnceItsEndIsStored(t *testing.T) {
	f := newFixture(t)
	exited := status("job-1/0", 1, wire.TaskExited, wire.ExitDone)
	if result := f.receive(heartbeat(1, 1, term, exited), 0, mayNotForget); len(result.Commands) != 0 {
		t.Fatalf("commands before the end of the attempt is stored: %v, want none", result.Commands)
	}
	older := newFixture(t)
	if result := older.receive(heartbeat(1, 2, term-1, exited), 0, mayForget); len(result.Commands) != 0 {
		t.Fatalf("commands while an older leader's start may arrive: %v, want none", result.Commands)
	}
	if result := f.receive(heartbeat(1, 3, term, exited), 0, mayForget); ops(result.Commands) != "forget " {
		t.Fatalf("commands %v, want a forget", result.Commands)
	}
}

func TestOrphansAreStoppedAndCounted(t *testing.T) {
	f := newFixture(t)
	result := f.receive(heartbeat(1, 1, term, status("job-9/4", 2, wire.TaskRunning, "")), 0, mayForget)
	if ops(result.Commands) != "halt " || *result.Commands[0].GraceS != 0 || !result.Machine.HasOrphans() {
		t.Fatalf("commands %v, want a stop without a grace period; machine has orphans: %v, want true", result.Commands, result.Machine.HasOrphans())
	}
	if result = f.receive(heartbeat(1, 2, term), time.Second, mayForget); result.Machine.HasOrphans() {
		t.Error("the orphan still counts after the heartbeat no longer lists it")
	}
}

func TestCheckpointingTaskIsStoppedAgainOnlyWithoutGrace(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	f.AddAllocation(allocation, t0)
	allocation.Stop = &jobs.StopRequest{GraceS: 5}
	if result := f.receive(heartbeat(1, 2, term, status("job-1/0", 1, wire.TaskSaving, "")), 0, mayNotForget); len(result.Commands) != 0 {
		t.Fatalf("commands while the task saves its checkpoint: %v, want none", result.Commands)
	}
	allocation.Stop.GraceS = 0 // its job was cancelled
	if result := f.receive(heartbeat(1, 3, term, status("job-1/0", 1, wire.TaskSaving, "")), 0, mayNotForget); ops(result.Commands) != "halt " {
		t.Fatalf("commands after the grace period was cut to zero: %v, want a stop", result.Commands)
	}
}

// Guards against a task that counts as gone because a direct answer does not list it: a reply to a heartbeat may be
// on its way to the worker with the start of the task.
func TestDirectAnswerProvesNothingAboutUnlistedTasks(t *testing.T) {
	f := newFixture(t)
	f.receive(heartbeat(1, 1, term), 0, mayNotForget)
	allocation := newAllocation(1)
	allocation.Stop = &jobs.StopRequest{}
	f.AddAllocation(allocation, t0)
	at := tuning.HeartbeatReplyValidity
	if result, err := f.DirectAnswer(heartbeat(1, 2, term), t0.Add(at), mayForget); err != nil || len(result.Outcomes)+len(result.Commands) != 0 {
		t.Errorf("direct answer: outcomes %v, commands %v, error %v", result.Outcomes, result.Commands, err)
	}
	if result := f.receive(heartbeat(1, 3, term), at, mayForget); len(result.Outcomes) != 1 {
		t.Errorf("not gone although a heartbeat does not list it; commands %v", result.Commands)
	}
}
