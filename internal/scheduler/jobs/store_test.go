package jobs

import (
	"reflect"
	"testing"

	"poppypass/internal/platform/wire"
)

func TestTaskStartsOnlyAfterItsAllocationIsStored(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 2)
	s, _ := kv.load(12)
	a := s.Allocate(s.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	if a.Committed {
		t.Fatal("an allocation counts as stored before it is")
	}
	start, _ := kv.flush(s)
	if len(start) != 1 || start[0] != a || !a.Committed {
		t.Fatalf("to start: %v", start)
	}
	// A new leader finds the allocation, with all that it needs to count it.
	_, allocations := kv.load(12)
	if len(allocations) != 1 || allocations[0].Machine != "n-1" || allocations[0].Incarnation != 1 || allocations[0].Attempt != 1 || allocations[0].Zone != "a" || !allocations[0].Committed {
		t.Fatalf("found again: %+v", allocations)
	}
}

// Guards against workers that forget a job's last task while its end is on its way to the
// key-value store: after an outage in which the leader changed, it ran again.
func TestLastTaskIsNotPersistedUntilTheJobsEndIsStored(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 1)
	s.MarkDone(a, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 1000})
	if s.Persisted(j, 0) {
		t.Error("its worker may forget it before its end is stored")
	}
	if _, over := s.MarkCommitted(batch, kv.apply(batch.Txn)); len(over) != 1 || s.Jobs["job-1"] != nil {
		t.Errorf("over are %v", over)
	}
}

func TestTaskLostBeforeItsAllocationIsStoredIsNotStarted(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 1)
	s, _ := kv.load(12)
	a := s.Allocate(s.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 1000})
	s.MarkLost(a, t0) // its worker's incarnation ended while the record was on its way
	if start, _ := s.MarkCommitted(batch, kv.apply(batch.Txn)); len(start) != 0 {
		t.Fatalf("to start: %v", start)
	}
}

// Guards against an attempt that is used twice: a worker that knows an attempt
// ignores its start, and one that forgot it would run the task again.
func TestAttemptNumbersAreNeverReused(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 1)
	seen := map[uint64]bool{}
	for range 5 {
		s, allocations := kv.load(12) // a new leader each time
		for _, a := range allocations {
			s.MarkLost(a, t0)
		}
		a := s.Allocate(s.Jobs["job-1"], 0, "n-1", "a", 1, t0)
		if seen[a.Attempt] {
			t.Fatalf("attempt %d again", a.Attempt)
		}
		seen[a.Attempt] = true
		kv.flush(s)
		s.MarkLost(a, t0)
		kv.flush(s)
	}
}

func TestDoneIsStoredBeforeItIsReported(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 1)
	s.MarkDone(a, t0)
	if st := j.Status(); st.State.Final() {
		t.Fatalf("reported as %v before it is stored", st)
	}
	if s.Persisted(j, 0) {
		t.Error("the attempt could be forgotten before its end is stored")
	}
	_, over := kv.flush(s)
	if len(over) != 1 || over[0].State != wire.StateDone {
		t.Fatalf("over: %v", over)
	}
	if _, live := kv.items[KeyJob("job-1")]; live || len(kv.items) != 1 || kv.items[KeyFinalState("job-1")].Key == "" {
		t.Errorf("left in the store: %v", kv.items)
	}
}

// Guards against a user who is told that a job is cancelled while a task of it runs in a
// zone that is cut off, and may go on there for longer than users wait for its end.
func TestCancellationIsStoredOnceAllTasksAreGone(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 3)
	var told []wire.JobState
	tell := func(st wire.JobState) { told = append(told, st) }
	s.Cancel(j, tell)
	s.Cancel(j, tell) // the request is repeated meanwhile
	kv.flush(s)
	if j.CanStart() || len(told) != 0 || kv.items[KeyFinalState("job-1")].Key != "" {
		t.Fatalf("can start: %v, told %v while a task may run", j.CanStart(), told)
	}
	s.MarkLost(a, t0)
	if len(told) != 0 {
		t.Fatal("told before it is stored")
	}
	kv.flush(s)
	if !reflect.DeepEqual(told, []wire.JobState{wire.StateCancelled, wire.StateCancelled}) {
		t.Fatalf("told %v", told)
	}
	if len(kv.items) != 1 || kv.items[KeyFinalState("job-1")].Key == "" {
		t.Errorf("left in the store: %v", kv.items)
	}
}

// Guards against a cancellation that overtakes the last task's end: whatever
// is stored first is what everybody is told.
func TestCancellationOfAJobWhoseEndIsBeingStoredReportsThatEnd(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 1)
	s.MarkDone(a, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 1000})
	var told wire.JobState
	s.Cancel(j, func(st wire.JobState) { told = st })
	if _, over := s.MarkCommitted(batch, kv.apply(batch.Txn)); told != wire.StateDone || over[0].State != wire.StateDone {
		t.Errorf("told %q, over %v", told, over)
	}
}
