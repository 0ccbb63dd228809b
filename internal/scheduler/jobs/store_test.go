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
		t.Fatal("an allocation is marked as committed before it is stored")
	}
	startable, _ := kv.flush(s)
	if len(startable) != 1 || startable[0] != a || !a.Committed {
		t.Fatalf("allocations to start: %v, want the committed one", startable)
	}
	// A new leader loads the allocation with all fields that identify the attempt and its worker.
	_, allocations := kv.load(12)
	if len(allocations) != 1 || allocations[0].Machine != "n-1" || allocations[0].Incarnation != 1 || allocations[0].Attempt != 1 || allocations[0].Zone != "a" || !allocations[0].Committed {
		t.Fatalf("allocations that a new leader loads: %+v", allocations)
	}
}

// Guards against workers that forget a job's last task before the job's end is stored: after an outage in which
// the leader changed, the task ran again.
func TestLastTaskIsNotPersistedUntilTheJobsEndIsStored(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 1)
	s.MarkDone(a, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 1000})
	if s.Persisted(j, 0) {
		t.Error("the worker may forget the last task before the job's end is stored")
	}
	if _, finished := s.MarkCommitted(batch, kv.apply(batch.Txn)); len(finished) != 1 || s.Jobs["job-1"] != nil {
		t.Errorf("finished jobs: %v, want the job, removed from the store", finished)
	}
}

func TestTaskLostBeforeItsAllocationIsStoredIsNotStarted(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 1)
	s, _ := kv.load(12)
	a := s.Allocate(s.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 1000})
	s.MarkLost(a, t0) // its worker's incarnation ended while the batch was in flight
	if startable, _ := s.MarkCommitted(batch, kv.apply(batch.Txn)); len(startable) != 0 {
		t.Fatalf("allocations to start: %v, want none", startable)
	}
}

// Guards against an attempt number that is used twice: a worker that knows the attempt ignores its start, and
// one that forgot the attempt would run the task again.
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
			t.Fatalf("attempt number %d is used twice", a.Attempt)
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
	if status := j.Status(); status.State.Final() {
		t.Fatalf("reported as %v before it is stored", status)
	}
	if s.Persisted(j, 0) {
		t.Error("the worker may forget the attempt before its end is stored")
	}
	_, finished := kv.flush(s)
	if len(finished) != 1 || finished[0].State != wire.StateDone {
		t.Fatalf("finished jobs: %v, want one that is done", finished)
	}
	if _, live := kv.items[KeyJob("job-1")]; live || len(kv.items) != 1 || kv.items[KeyFinalState("job-1")].Key == "" {
		t.Errorf("keys that remain: %v, want only the final state", kv.items)
	}
}

// Guards against a cancellation that is reported while a task of the job runs in a partitioned zone. There the
// task may continue to run for longer than users wait for its end.
func TestCancellationIsStoredOnceAllTasksAreGone(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 3)
	var reported []wire.JobState
	report := func(state wire.JobState) { reported = append(reported, state) }
	s.Cancel(j, report)
	s.Cancel(j, report) // the request is repeated before the cancellation is stored
	kv.flush(s)
	if j.CanStart() || len(reported) != 0 || kv.items[KeyFinalState("job-1")].Key != "" {
		t.Fatalf("can start: %v, reported %v while a task may run", j.CanStart(), reported)
	}
	s.MarkLost(a, t0)
	if len(reported) != 0 {
		t.Fatal("the cancellation is reported before it is stored")
	}
	kv.flush(s)
	if !reflect.DeepEqual(reported, []wire.JobState{wire.StateCancelled, wire.StateCancelled}) {
		t.Fatalf("reported %v, want both requests answered", reported)
	}
	if len(kv.items) != 1 || kv.items[KeyFinalState("job-1")].Key == "" {
		t.Errorf("keys that remain: %v, want only the final state", kv.items)
	}
}

// Guards against a cancellation that is reported although the job's end is already being stored: the final state that
// is stored first is the one that is reported to everybody.
func TestCancellationOfAJobWhoseEndIsBeingStoredReportsThatEnd(t *testing.T) {
	kv, s, j, a := newAllocatedJob(t, 1)
	s.MarkDone(a, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 1000})
	var reported wire.JobState
	s.Cancel(j, func(state wire.JobState) { reported = state })
	if _, finished := s.MarkCommitted(batch, kv.apply(batch.Txn)); reported != wire.StateDone || finished[0].State != wire.StateDone {
		t.Errorf("reported %q, finished jobs %v; want both to say done", reported, finished)
	}
}
