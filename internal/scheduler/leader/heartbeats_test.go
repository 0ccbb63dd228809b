package leader

import (
	"testing"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against heartbeats that outgrow the largest request. The ends of tasks are written late, and a worker with many
// tiny tasks lists each exit in its heartbeats until the record of the end is stored.
func TestManyRetainedExitsAreWrittenEarly(t *testing.T) {
	for _, retained := range []int{tuning.UnrecordedExitsMax, tuning.UnrecordedExitsMax + 1} {
		l, clock := newTestLoop(t)
		now := clock.Now()
		j := l.addPending(t, wire.Job{ID: "job-000001", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: retained + 1, CPUs: 0.1, MemoryGB: 0.1})
		hb := &wire.Heartbeat{Machine: "n-large", Address: "127.0.0.1:1", Type: "large", Zone: "a", Incarnation: 1, Seq: 2, FencingToken: 1}
		for i := range retained {
			a := l.jobs.Allocate(j, i, "n-large", "a", 1, now)
			a.Committed = true
			l.machines.AddAllocation(a, now)
			hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: a.Task().String(), Attempt: 1, State: wire.TaskExited, Reason: wire.ExitDone})
		}
		for batch := l.jobs.NextBatch(now, jobs.WriteBudget{}); batch != nil; batch = l.jobs.NextBatch(now, jobs.WriteBudget{}) {
			l.jobs.MarkCommitted(batch, 1)
		}
		if _, err := l.handleHeartbeat(hb); err != nil { // the ends are applied
			t.Fatal(err)
		}
		if batch := l.jobs.NextBatch(now, jobs.WriteBudget{}); batch != nil {
			t.Fatalf("%d ends are written at once, want them to wait", retained)
		}
		hb.Seq++
		if _, err := l.handleHeartbeat(hb); err != nil {
			t.Fatal(err)
		}
		batch := l.jobs.NextBatch(now, jobs.WriteBudget{})
		if got, want := batch != nil, retained > tuning.UnrecordedExitsMax; got != want {
			t.Errorf("a worker retains %d exits: their ends are written early: %v", retained, got)
		}
		if batch != nil && len(batch.Txn.Then) != (retained+tuning.TasksPerChunk-1)/tuning.TasksPerChunk {
			t.Errorf("%d records are written", len(batch.Txn.Then))
		}
	}
}
