package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Guards against tasks that are preempted over and over in a full cluster: in a simulation with a random workload, one
// task was stopped 19 times, and its job made no progress.
func TestTaskIsPreemptedAtMostOnce(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	job := &jobs.Job{Job: wire.Job{ID: "job-1", Priority: wire.PriorityLow, CheckpointS: 10}}
	newAllocation := func(attempt uint64, state wire.TaskState) *jobs.Allocation {
		return &jobs.Allocation{Job: job, Attempt: attempt, Committed: true, State: state, RunningSince: now.Add(-time.Hour)}
	}
	uncommitted := newAllocation(1, wire.TaskRunning)
	uncommitted.Committed = false
	stopped := newAllocation(1, wire.TaskRunning)
	stopped.Stop = &jobs.StopRequest{}
	m := &machines.Machine{Allocations: map[machines.AttemptID]*jobs.Allocation{}}
	want := newAllocation(1, wire.TaskRunning)
	for i, a := range []*jobs.Allocation{want, newAllocation(2, wire.TaskRunning), newAllocation(1, wire.TaskSaving), uncommitted, stopped} {
		m.Allocations[machines.AttemptID{Task: wire.TaskID{Job: "job-1", Index: i}, Attempt: a.Attempt}] = a
	}
	got := victims(m, now)
	if len(got) != 1 || got[0].Ref != any(want) {
		t.Fatalf("%d allocations may be preempted, want only the running first attempt", len(got))
	}
	if got[0].Cost != 10 {
		t.Errorf("preemption costs %v s, want 10 s: the task saves a checkpoint every 10 s", got[0].Cost)
	}
	// High priority makes preemption cost more. Otherwise urgent tasks of a team that borrows could be preempted for
	// less urgent work within a guarantee, although less urgent tasks could be preempted instead.
	job.Priority = wire.PriorityHigh
	if urgent := victims(m, now); len(urgent) != 1 || urgent[0].Cost != 10+2*tuning.PreemptPriorityCostS {
		t.Errorf("victims of high priority: %v, want one whose cost is higher by two priority levels", urgent)
	}
}
