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
	// later is when lazy changes are due to be written.
	later = t0.Add(tuning.LazyFlush)
)

// kvStore applies a store's transactions like the key-value store, conditions included.
type kvStore struct {
	t        *testing.T
	revision uint64
	items    map[string]wire.Item
}

func newKVStore(t *testing.T) *kvStore { return &kvStore{t: t, items: map[string]wire.Item{}} }

func (kv *kvStore) accept(id string, tasks int) {
	kv.revision++
	rec := JobRecord{Job: wire.Job{ID: id, Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 1}, AtMS: t0.UnixMilli()}
	kv.items[KeyJob(id)] = wire.Item{Key: KeyJob(id), Value: wire.EncodeRecord(rec), Version: kv.revision}
}

func (kv *kvStore) apply(txn wire.Txn) uint64 {
	kv.t.Helper()
	for _, c := range txn.If {
		if kv.items[c.Key].Version != c.Version {
			kv.t.Fatalf("condition on %s: version %d, want %d", c.Key, kv.items[c.Key].Version, c.Version)
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

// flush writes all that is pending. It returns what may be started and which jobs are over.
func (kv *kvStore) flush(s *Store) (start []*Allocation, over []FinishedJob) {
	kv.t.Helper()
	for batch := s.NextBatch(later, WriteBudget{Spare: 1000}); batch != nil; batch = s.NextBatch(later, WriteBudget{Spare: 1000}) {
		started, ended := s.MarkCommitted(batch, kv.apply(batch.Txn))
		start, over = append(start, started...), append(over, ended...)
	}
	return start, over
}

// load is what a new leader does: it reads all records.
func (kv *kvStore) load(txnOps int) (*Store, []*Allocation) {
	kv.t.Helper()
	s := NewStore(txnOps)
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

// newAllocatedJob is job-1 with some tasks, of which the first is allocated, which is stored.
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
