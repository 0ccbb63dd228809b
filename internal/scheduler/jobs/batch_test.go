package jobs

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against starts of urgent work that wait behind tiny jobs of low
// priority, and a cancellation that waits behind either.
func TestBatchesAreOrderedByPriority(t *testing.T) {
	kv := newKVStore(t)
	for i := range 8 {
		kv.accept(fmt.Sprintf("job-%d", i), 1)
	}
	s, _ := kv.load(4) // three changes for an end, and one more
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
		t.Errorf("the first transaction writes %+v", batch.Txn.Then)
	}
	if s.MarkCommitted(batch, kv.apply(batch.Txn)); !urgent.Committed {
		t.Error("the urgent start waits")
	}
	for batch = s.NextBatch(t0, WriteBudget{Spare: 0}); batch != nil && batch.Txn.Then[0].Put != KeyFinalState("job-0"); batch = s.NextBatch(t0, WriteBudget{Spare: 0}) {
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	if batch == nil || s.Jobs["job-5"].Tasks[0].Allocation.Committed != true {
		t.Error("an end goes before the starts of its priority")
	}
}

// Guards against a start that was undone before it was written, of a job that
// is dropped in the same transaction.
func TestProgressOfAnEndedJobIsNotWritten(t *testing.T) {
	kv, s, j, first := newAllocatedJob(t, 1)
	s.MarkLost(first, t0)
	a := s.Allocate(j, 0, "n-2", "a", 1, t0)
	s.Cancel(j, func(wire.JobState) {})
	batch := s.NextBatch(t0, WriteBudget{Spare: 0})
	s.MarkLost(a, t0) // the machine is lost while that is on its way
	s.queue.markUrgent(chunkRef{j, 0})
	s.MarkCommitted(batch, kv.apply(batch.Txn))
	kv.flush(s)
	for key := range kv.items {
		if key != KeyFinalState("job-1") {
			t.Errorf("%s is left", key)
		}
	}
}

func TestRecordsAndBatchesOfTheLargestJobKeepToTheLimits(t *testing.T) {
	const ops = 12
	kv := newKVStore(t)
	kv.accept("job-7", wire.MaxTasks)
	s, _ := kv.load(ops)
	j := s.Jobs["job-7"]
	var allocations []*Allocation
	for i := range 20 * tuning.ChunkTasks {
		allocations = append(allocations, s.Allocate(j, i, fmt.Sprintf("n-%06d-with-a-long-name", i), "a-zone-with-a-long-name", 1<<40, t0))
	}
	for batch := s.NextBatch(later, WriteBudget{Spare: 1000}); batch != nil; batch = s.NextBatch(later, WriteBudget{Spare: 1000}) {
		size := 0
		for _, c := range batch.Txn.Then {
			if len(c.Value) > tuning.MinValueKB<<10 {
				t.Fatalf("a record has %d bytes", len(c.Value))
			}
			size += len(c.Value)
		}
		if len(batch.Txn.Then) > ops || len(batch.Txn.If) > 4*ops-1 || size > 60<<10 {
			t.Fatalf("a transaction has %d changes, %d conditions and %d bytes", len(batch.Txn.Then), len(batch.Txn.If), size)
		}
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	for _, a := range allocations {
		s.MarkDone(a, t0)
	}
	kv.flush(s)
	next, _ := kv.load(ops)
	found := next.Jobs["job-7"]
	if found.Done != len(allocations) || found.NextWaiting(0) != len(allocations) {
		t.Fatalf("a new leader finds %d done and %d waiting first", found.Done, found.NextWaiting(0))
	}
	// Its end drops more records than one transaction can; none stays behind.
	next.Cancel(found, func(wire.JobState) {})
	kv.flush(next)
	if len(kv.items) != 1 {
		t.Errorf("%d keys left", len(kv.items))
	}
}

// Guards against starts that wait behind progress that nobody waits for: with
// a hundred large arrays their finished tasks alone exceed the limit on writes.
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
	if start, _ := s.MarkCommitted(batch, kv.apply(batch.Txn)); len(start) != 1 || start[0] != a {
		t.Fatalf("may start %v", start)
	}
	if batch := s.NextBatch(later, WriteBudget{Spare: 0}); batch != nil {
		t.Errorf("without room to spare %d changes are written", len(batch.Txn.Then))
	}
	// They do not wait for ever.
	if batch := s.NextBatch(later.Add(tuning.LazyMax), WriteBudget{Overdue: 2}); batch == nil || len(batch.Txn.Then) != 2 {
		t.Errorf("written at last: %+v", batch)
	}
}

// Guards against a transaction that is put together long before it may be sent: a production start that comes
// meanwhile waits behind all of it.
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
		t.Fatalf("%d changes, of which three may be sent", len(batch.Txn.Then))
	}
	late := s.Jobs["job-8"]
	late.Priority = wire.PriorityProduction
	a := s.Allocate(late, 0, "n-1", "a", 1, t0)
	s.MarkCommitted(batch, kv.apply(batch.Txn))
	batch = s.NextBatch(t0, WriteBudget{Changes: 3})
	if s.MarkCommitted(batch, kv.apply(batch.Txn)); !a.Committed {
		t.Error("a production start waits behind starts that came before")
	}
}

// Guards against progress that uses up the limit: it goes by each record's own age, within what is given for it.
func TestOverdueProgressKeepsToItsBudget(t *testing.T) {
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
	at := t0.Add(tuning.LazyMax + 2500*time.Millisecond) // three of them are overdue
	if batch := s.NextBatch(at, WriteBudget{Overdue: 2}); batch == nil || len(batch.Txn.Then) != 2 {
		t.Fatalf("with a share of two: %+v", batch)
	} else {
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	if batch := s.NextBatch(at, WriteBudget{Overdue: 9}); batch == nil || len(batch.Txn.Then) != 1 {
		t.Fatalf("one more is overdue: %+v", batch)
	} else {
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
	if batch := s.NextBatch(at, WriteBudget{Spare: 9}); batch == nil || len(batch.Txn.Then) != 3 || batch.Counts.Progress != 3 {
		t.Errorf("with room to spare: %+v", batch)
	}
}

// Guards against records of a job that is over which are there again: whatever transaction of it had no answer, carried out once more
// after the others it changes nothing.
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
		t.Fatalf("%d transactions, the job is over: %v", len(sent), s.Jobs["job-1"] == nil)
	}
	for n, txn := range sent {
		holds := !slices.ContainsFunc(txn.If, func(c wire.Condition) bool { return kv.items[c.Key].Version != c.Version })
		if holds {
			t.Errorf("transaction %d would be carried out again: %+v", n, txn)
		}
	}
}
