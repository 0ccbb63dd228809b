package jobs

import (
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

var (
	t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	// later is a time at which lazy changes that were made at t0 are due to be written.
	later = t0.Add(tuning.LazyWriteDelay)
)

// kvStore is a fake key-value store. It applies transactions and fails the test if a condition does not hold.
type kvStore struct {
	t        *testing.T
	revision uint64
	items    map[string]wire.Item
}

func newKVStore(t *testing.T) *kvStore { return &kvStore{t: t, items: map[string]wire.Item{}} }

// accept stores an accepted job.
func (kv *kvStore) accept(id string, tasks int) {
	kv.revision++
	rec := JobRecord{Job: wire.Job{ID: id, Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 1}, AcceptedAtMS: t0.UnixMilli()}
	kv.items[KeyJob(id)] = wire.Item{Key: KeyJob(id), Value: wire.EncodeRecord(rec), Version: kv.revision}
}

// apply executes a transaction and returns its revision.
func (kv *kvStore) apply(txn wire.Txn) uint64 {
	kv.t.Helper()
	for _, c := range txn.If {
		if kv.items[c.Key].Version != c.Version {
			kv.t.Fatalf("transaction with a failed condition: key %s has version %d, the condition requires %d", c.Key, kv.items[c.Key].Version, c.Version)
		}
	}
	kv.revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(kv.items, c.Delete)
			continue
		}
		kv.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: kv.revision}
	}
	return kv.revision
}

// flush writes all pending changes. It returns the allocations whose tasks may be started and the jobs that
// finished.
func (kv *kvStore) flush(s *Store) (startable []*Allocation, finished []FinishedJob) {
	kv.t.Helper()
	for batch := s.NextBatch(later, WriteBudget{Spare: 1000}); batch != nil; batch = s.NextBatch(later, WriteBudget{Spare: 1000}) {
		started, ended := s.MarkCommitted(batch, kv.apply(batch.Txn))
		startable, finished = append(startable, started...), append(finished, ended...)
	}
	return startable, finished
}

// load returns a store with all records, as a new leader loads them, and the allocations in them.
func (kv *kvStore) load(maxTxnChanges int) (*Store, []*Allocation) {
	kv.t.Helper()
	s := NewStore(maxTxnChanges)
	var allocations []*Allocation
	for key, item := range kv.items {
		if strings.HasPrefix(key, PrefixJob) {
			if _, err := s.LoadJob(item, t0, t0); err != nil {
				kv.t.Fatal(err)
			}
		}
	}
	for key, item := range kv.items {
		if strings.HasPrefix(key, PrefixProgress) {
			loaded, err := s.LoadProgress(item, t0)
			if err != nil {
				kv.t.Fatal(err)
			}
			allocations = append(allocations, loaded...)
		}
	}
	s.FinishLoading()
	return s, allocations
}

// newAllocatedJob returns a store with job-1, whose first task has a stored allocation.
func newAllocatedJob(t *testing.T, tasks int) (*kvStore, *Store, *Job, *Allocation) {
	t.Helper()
	kv := newKVStore(t)
	kv.accept("job-1", tasks)
	s, _ := kv.load(12)
	j := s.Jobs["job-1"]
	a := s.Allocate(j, 0, "n-1", "a", 1, t0)
	kv.flush(s)
	return kv, s, j, a
}
