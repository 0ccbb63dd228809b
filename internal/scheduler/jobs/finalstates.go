package jobs

import (
	"sync"

	"poppypass/internal/platform/wire"
)

// FinalStates remembers the final states of jobs, which never change. When full it
// forgets the oldest; the key-value store still knows them. It is safe for
// concurrent use.
type FinalStates struct {
	mu    sync.Mutex
	byID  map[string]wire.JobStatus
	order []string
	next  int
}

// NewFinalStates makes a FinalStates that remembers up to size jobs.
func NewFinalStates(size int) *FinalStates {
	return &FinalStates{byID: make(map[string]wire.JobStatus), order: make([]string, size)}
}

// Add remembers a final state.
func (f *FinalStates) Add(s wire.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.byID[s.ID]; known {
		return
	}
	delete(f.byID, f.order[f.next])
	f.order[f.next] = s.ID
	f.next = (f.next + 1) % len(f.order)
	f.byID[s.ID] = s
}

// Get returns the final state of a job, if it is remembered.
func (f *FinalStates) Get(id string) (wire.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.byID[id]
	return s, ok
}
