package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Guards against tasks that are stopped over and over in a full cluster: on a
// drawn day one task was stopped 19 times, and nothing of its job got done.
func TestTaskIsPreemptedAtMostOnce(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	job := &jobs.Job{Job: wire.Job{ID: "job-1", Priority: wire.PriorityLow, CheckpointS: 10}}
	place := func(attempt uint64, state wire.TaskState) *jobs.Allocation {
		return &jobs.Allocation{Job: job, Attempt: attempt, Committed: true, State: state, RunningSince: now.Add(-time.Hour)}
	}
	uncommitted := place(1, wire.TaskRunning)
	uncommitted.Committed = false
	stopped := place(1, wire.TaskRunning)
	stopped.Stop = &jobs.StopRequest{}
	m := &machines.Machine{Allocations: map[machines.AttemptID]*jobs.Allocation{}}
	want := place(1, wire.TaskRunning)
	for i, a := range []*jobs.Allocation{want, place(2, wire.TaskRunning), place(1, wire.TaskSaving), uncommitted, stopped} {
		m.Allocations[machines.AttemptID{Task: wire.TaskID{Job: "job-1", Index: i}, Attempt: a.Attempt}] = a
	}
	got := victims(m, now)
	if len(got) != 1 || got[0].Ref != any(want) {
		t.Fatalf("may stop %d allocations", len(got))
	}
	if got[0].Cost != 10 {
		t.Errorf("costs %v s; it saves every 10 s", got[0].Cost)
	}
	// Guards against urgent work of a team that borrows being stopped for
	// patient work within a guarantee, while there is other patient work.
	job.Priority = wire.PriorityHigh
	if urgent := victims(m, now); len(urgent) != 1 || urgent[0].Cost != 10+2*tuning.PreemptPriorityCost {
		t.Errorf("urgent work costs %v", urgent)
	}
}
