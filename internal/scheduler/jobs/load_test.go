package jobs

import (
	"testing"

	"poppypass/internal/platform/wire"
)

// An earlier version of the software stored the cancellation first and deleted the job's records later.
func TestCancellationStoredByAnEarlierVersionIsFinished(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 1)
	s, _ := kv.load(12)
	s.Allocate(s.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	kv.flush(s)
	item := kv.items[KeyJob("job-1")]
	item.Value = wire.EncodeRecord(JobRecord{Job: s.Jobs["job-1"].Job, Cancelled: true})
	kv.items[item.Key] = item
	kv.items[KeyFinalState("job-1")] = wire.Item{Key: KeyFinalState("job-1"), Value: wire.EncodeRecord(FinalState{State: wire.StateCancelled})}
	s, allocations := kv.load(12)
	if s.Jobs["job-1"].CanStart() || len(allocations) != 1 {
		t.Fatalf("can start: %v, allocations %v; want a cancelled job with one allocation", s.Jobs["job-1"].CanStart(), allocations)
	}
	s.MarkLost(allocations[0], t0)
	if _, finished := kv.flush(s); len(kv.items) != 1 || kv.items[KeyFinalState("job-1")].Key == "" || len(finished) != 0 {
		t.Errorf("keys that remain: %v; finished jobs: %v; want only the final state and no job", kv.items, finished)
	}
}

// Guards against progress records that remain because a leader died before it deleted them.
func TestProgressWithoutItsJobIsDropped(t *testing.T) {
	kv := newKVStore(t)
	kv.accept("job-1", 1)
	s, _ := kv.load(12)
	s.Allocate(s.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	kv.flush(s)
	delete(kv.items, KeyJob("job-1"))
	s, allocations := kv.load(12)
	kv.flush(s)
	if len(allocations) != 0 || len(kv.items) != 0 {
		t.Errorf("allocations %v and keys %v remain of a finished job", allocations, kv.items)
	}
}
