package jobs

import (
	"sync"

	"poppypass/internal/platform/wire"
)

// FinalStates is a cache of final states of jobs, which never change. When it is full, it evicts the job that
// was added first, whose state can still be read from the key-value store. It is safe for concurrent use.
type FinalStates struct {
	mu   sync.Mutex
	byID map[string]wire.JobStatus
	ring []string // job IDs in the order of their addition, as a ring buffer; empty: unused slot
	next int      // the slot that is overwritten next
}

// NewFinalStates returns an empty cache for up to size jobs.
func NewFinalStates(size int) *FinalStates {
	return &FinalStates{byID: make(map[string]wire.JobStatus), ring: make([]string, size)}
}

// Add caches a final state. A job that is already cached is left unchanged.
func (f *FinalStates) Add(s wire.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.byID[s.ID]; known {
		return
	}
	delete(f.byID, f.ring[f.next])
	f.ring[f.next] = s.ID
	f.next = (f.next + 1) % len(f.ring)
	f.byID[s.ID] = s
}

// Get returns the final state of a job, if it is cached.
func (f *FinalStates) Get(id string) (wire.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.byID[id]
	return s, ok
}
