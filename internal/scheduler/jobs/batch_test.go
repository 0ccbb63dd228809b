package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against starts of high-priority jobs that wait behind tiny jobs of low priority, and against a
// cancellation that waits behind starts or ends of low priority.
func TestBatchesAreOrderedByPriority(t *testing.T) {
	kv := newKVStore(t)
	for i := range 8 {
		kv.accept(fmt.Sprintf("job-%d", i), 1)
	}
	s, _ := kv.load(4) // room for an end, which needs three changes, and one start
	for i := range 8 {
		s.Jobs[fmt.Sprintf("job-%d", i)].Priority = wire.PriorityLow
	}
	allocate := func(i int) *Allocation {
		return s.Allocate(s.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0)
	}
	done := allocate(0)
	kv.flush(s)
	s.MarkDone(done, t0)
	for i := 1; i < 6; i++ {
		allocate(i)
	}
	s.Jobs["job-6"].Priority = wire.PriorityProduction
	urgent := allocate(6)
	s.Cancel(s.Jobs["job-7"], func(wire.JobState) {})
	batch := s.NextBatch(t0, WriteBudget{Spare: 0})
	if batch.Txn.Then[0].Put != keyProgress("job-6", 0) || batch.Txn.Then[1].Put != KeyFinalState("job-7") || len(batch.Txn.Then) != 4 {
		t.Errorf("the first transaction writes %+v, want the production start and the cancellation", batch.Txn.Then)
	}
	if s.MarkCommitted(batch, kv.apply(batch.Txn)); !urgent.Committed {
		t.Error("the production start is not in the first transaction")
	}
	for batch = s.NextBatch(t0, WriteBudget{Spare: 0}); batch != nil && batch.Txn.Then[0].Put != KeyFinalState("job-0"); batch = s.NextBatch(t0, WriteBudget{Spare: 0}) {
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	if batch == nil || s.Jobs["job-5"].Tasks[0].Allocation.Committed != true {
		t.Error("an end is written before a start of the same priority")
	}
}

// Guards against a progress record that remains after its job ended: the job's cancellation is written while a
// chunk is still marked urgent, for a start that was withdrawn before it was committed.
func TestProgressOfAnEndedJobIsNotWritten(t *testing.T) {
	kv, s, j, first := newAllocatedJob(t, 1)
	s.MarkLost(first, t0)
	a := s.Allocate(j, 0, "n-2", "a", 1, t0)
	s.Cancel(j, func(wire.JobState) {})
	batch := s.NextBatch(t0, WriteBudget{Spare: 0})
	s.MarkLost(a, t0) // the machine is lost while the batch is in flight
	s.queue.markUrgent(chunkRef{j, 0})
	s.MarkCommitted(batch, kv.apply(batch.Txn))
	kv.flush(s)
	for key := range kv.items {
		if key != KeyFinalState("job-1") {
			t.Errorf("key %s remains after the job ended", key)
		}
	}
}

func TestRecordsAndBatchesOfTheLargestJobStayWithinLimits(t *testing.T) {
	const maxTxnChanges = 12
	kv := newKVStore(t)
	kv.accept("job-7", wire.MaxTasks)
	s, _ := kv.load(maxTxnChanges)
	j := s.Jobs["job-7"]
	var allocations []*Allocation
	for i := range 20 * tuning.TasksPerChunk {
		allocations = append(allocations, s.Allocate(j, i, fmt.Sprintf("n-%06d-with-a-long-name", i), "a-zone-with-a-long-name", 1<<40, t0))
	}
	for batch := s.NextBatch(later, WriteBudget{Spare: 1000}); batch != nil; batch = s.NextBatch(later, WriteBudget{Spare: 1000}) {
		size := 0
		for _, c := range batch.Txn.Then {
			if len(c.Value) > tuning.MinValueKiB<<10 {
				t.Fatalf("a record has %d bytes, want at most MinValueKiB", len(c.Value))
			}
			size += len(c.Value)
		}
		if len(batch.Txn.Then) > maxTxnChanges || len(batch.Txn.If) > 4*maxTxnChanges-1 || size > 60<<10 {
			t.Fatalf("a transaction exceeds its limits: %d changes, %d conditions and %d bytes", len(batch.Txn.Then), len(batch.Txn.If), size)
		}
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	for _, a := range allocations {
		s.MarkDone(a, t0)
	}
	kv.flush(s)
	reloaded, _ := kv.load(maxTxnChanges)
	reloadedJob := reloaded.Jobs["job-7"]
	if reloadedJob.Done != len(allocations) || reloadedJob.NextWaiting(0) != len(allocations) {
		t.Fatalf("a new leader loads %d done tasks and first waiting task %d, want both to be the number of completed tasks", reloadedJob.Done, reloadedJob.NextWaiting(0))
	}
	// The job's end deletes more records than one transaction may; none remains.
	reloaded.Cancel(reloadedJob, func(wire.JobState) {})
	kv.flush(reloaded)
	if len(kv.items) != 1 {
		t.Errorf("%d keys remain, want only the final state", len(kv.items))
	}
}

// Guards against starts that wait behind progress that nobody waits for: the finished tasks of a hundred large
// arrays alone exceed the write limit.
func TestStartsAreWrittenBeforeFinishedTasks(t *testing.T) {
	kv := newKVStore(t)
	const n = 8
	for i := range n {
		kv.accept(fmt.Sprintf("job-%d", i), 2)
	}
	s, _ := kv.load(4)
	var allocations []*Allocation
	for i := range n {
		allocations = append(allocations, s.Allocate(s.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0))
	}
	kv.flush(s)
	for _, a := range allocations {
		s.MarkDone(a, t0)
	}
	last := s.Jobs[fmt.Sprintf("job-%d", n-1)]
	a := s.Allocate(last, 1, "n-1", "a", 1, t0)
	batch := s.NextBatch(later, WriteBudget{Spare: 0})
	if batch == nil || len(batch.Txn.Then) != 1 {
		t.Fatalf("the first transaction is %+v, want the start alone", batch)
	}
	if startable, _ := s.MarkCommitted(batch, kv.apply(batch.Txn)); len(startable) != 1 || startable[0] != a {
		t.Fatalf("allocations to start: %v, want the urgent one", startable)
	}
	if batch := s.NextBatch(later, WriteBudget{Spare: 0}); batch != nil {
		t.Errorf("%d changes that nobody waits for are written without spare room", len(batch.Txn.Then))
	}
	// After LazyMaxWait they are written without spare room.
	if batch := s.NextBatch(later.Add(tuning.LazyMaxWait), WriteBudget{Overdue: 2}); batch == nil || len(batch.Txn.Then) != 2 {
		t.Errorf("overdue changes: %+v, want a batch of two", batch)
	}
}

// Guards against a transaction with more changes than may be sent at once. A production start that arrives
// while the transaction waits to be sent would have to wait behind all these changes.
func TestBatchHoldsNoMoreChangesThanItsBudget(t *testing.T) {
	kv := newKVStore(t)
	for i := range 9 {
		kv.accept(fmt.Sprintf("job-%d", i), 2)
	}
	s, _ := kv.load(24)
	for i := range 8 {
		s.Allocate(s.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0)
	}
	batch := s.NextBatch(t0, WriteBudget{Changes: 3})
	if len(batch.Txn.Then) != 3 {
		t.Fatalf("a transaction has %d changes with a budget of three", len(batch.Txn.Then))
	}
	late := s.Jobs["job-8"]
	late.Priority = wire.PriorityProduction
	a := s.Allocate(late, 0, "n-1", "a", 1, t0)
	s.MarkCommitted(batch, kv.apply(batch.Txn))
	batch = s.NextBatch(t0, WriteBudget{Changes: 3})
	if s.MarkCommitted(batch, kv.apply(batch.Txn)); !a.Committed {
		t.Error("a production start waits behind earlier starts of lower priority")
	}
}

// Guards against overdue progress that uses up the write limit. Whether a record is overdue depends on how
// long that record has been dirty, and all overdue records together stay within their budget.
func TestOverdueProgressStaysWithinItsBudget(t *testing.T) {
	kv := newKVStore(t)
	for i := range 6 {
		kv.accept(fmt.Sprintf("job-%d", i), 2)
	}
	s, _ := kv.load(24)
	var allocations []*Allocation
	for i := range 6 {
		allocations = append(allocations, s.Allocate(s.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0))
	}
	kv.flush(s)
	for i, a := range allocations {
		s.MarkDone(a, t0.Add(time.Duration(i)*time.Second))
	}
	at := t0.Add(tuning.LazyMaxWait + 2500*time.Millisecond) // three of them are overdue
	if batch := s.NextBatch(at, WriteBudget{Overdue: 2}); batch == nil || len(batch.Txn.Then) != 2 {
		t.Fatalf("with three overdue records and a budget of two: %+v, want two changes", batch)
	} else {
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	if batch := s.NextBatch(at, WriteBudget{Overdue: 9}); batch == nil || len(batch.Txn.Then) != 1 {
		t.Fatalf("with one overdue record left: %+v, want one change", batch)
	} else {
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	if batch := s.NextBatch(at, WriteBudget{Spare: 9}); batch == nil || len(batch.Txn.Then) != 3 || batch.Counts.Progress != 3 {
		t.Errorf("with spare room: %+v, want the three other records", batch)
	}
}

// Guards against records of a finished job that are created again: if a transaction of the job is executed a
// second time after all others, because its first answer was lost, its conditions fail and nothing changes.
func TestRepeatedTransactionsFailTheirConditions(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 2)
	s, _ := kv.load(12)
	var sent []wire.Txn
	flush := func() {
		for batch := s.NextBatch(later, WriteBudget{Spare: 1000}); batch != nil; batch = s.NextBatch(later, WriteBudget{Spare: 1000}) {
			sent = append(sent, batch.Txn)
			s.MarkCommitted(batch, kv.apply(batch.Txn))
		}
	}
	j := s.Jobs["job-1"]
	for i := range 2 {
		a := s.Allocate(j, i, "n-1", "a", 1, t0)
		flush()
		s.MarkDone(a, t0)
		flush()
	}
	if len(sent) < 4 || s.Jobs["job-1"] != nil {
		t.Fatalf("%d transactions, job finished: %v; want at least four and a finished job", len(sent), s.Jobs["job-1"] == nil)
	}
	for n, txn := range sent {
		holds := !slices.ContainsFunc(txn.If, func(c wire.Condition) bool { return kv.items[c.Key].Version != c.Version })
		if holds {
			t.Errorf("transaction %d would be executed a second time: %+v", n, txn)
		}
	}
}
