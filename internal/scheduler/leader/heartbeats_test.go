package leader

import (
	"testing"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against heartbeats that outgrow what a request may be: ends are written late, and a worker of tiny tasks holds
// each until its record is stored.
func TestManyHeldExitsAreWrittenEarly(t *testing.T) {
	for _, held := range []int{tuning.UnrecordedExits, tuning.UnrecordedExits + 1} {
		l, clock := newTestLoop(t)
		now := clock.Now()
		j := l.addPending(t, wire.Job{ID: "job-000001", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: held + 1, CPUs: 0.1, MemoryGB: 0.1})
		hb := &wire.Heartbeat{Machine: "n-large", Address: "127.0.0.1:1", Type: "large", Zone: "a", Incarnation: 1, Seq: 2, FencingToken: 1}
		for i := range held {
			a := l.jobs.Allocate(j, i, "n-large", "a", 1, now)
			a.Committed = true
			l.machines.AddAllocation(a, now)
			hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: a.Task().String(), Attempt: 1, State: wire.TaskExited, Reason: wire.ExitDone})
		}
		for w := l.jobs.NextBatch(now, jobs.WriteBudget{}); w != nil; w = l.jobs.NextBatch(now, jobs.WriteBudget{}) {
			l.jobs.MarkCommitted(w, 1)
		}
		if _, err := l.handleHeartbeat(hb); err != nil { // the ends are applied
			t.Fatal(err)
		}
		if w := l.jobs.NextBatch(now, jobs.WriteBudget{}); w != nil {
			t.Fatalf("%d ends are written at once", held)
		}
		hb.Seq++
		if _, err := l.handleHeartbeat(hb); err != nil {
			t.Fatal(err)
		}
		w := l.jobs.NextBatch(now, jobs.WriteBudget{})
		if got, want := w != nil, held > tuning.UnrecordedExits; got != want {
			t.Errorf("a worker retains %d exits: written %v", held, got)
		}
		if w != nil && len(w.Txn.Then) != (held+tuning.ChunkTasks-1)/tuning.ChunkTasks {
			t.Errorf("written are %d records", len(w.Txn.Then))
		}
	}
}
