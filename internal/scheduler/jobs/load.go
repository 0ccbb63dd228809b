package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// RecordError tells that a stored record cannot be used.
type RecordError struct {
	Key string
	Err error // why
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns why the record cannot be used.
func (e *RecordError) Unwrap() error { return e.Err }

var (
	// ErrMalformedKey tells that a record's key does not name what it should.
	ErrMalformedKey = errors.New("malformed key")
	// ErrWrongJob tells that a job's record does not hold the job that its key names, or
	// one of a size that was never accepted.
	ErrWrongJob = errors.New("it does not hold its job")
	// ErrMalformedProgress tells that a progress record names tasks that its job does not have.
	ErrMalformedProgress = errors.New("malformed progress")
)

// LoadJob adds a stored job, unless it is known already; wall is the time of day. The
// error is a *RecordError.
func (s *Store) LoadJob(item wire.Item, now, wall time.Time) (*Job, error) {
	var r JobRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, &RecordError{item.Key, err}
	}
	if r.Job.Tasks < 1 || r.Job.Tasks > wire.MaxTasks || KeyJob(r.Job.ID) != item.Key {
		return nil, &RecordError{item.Key, ErrWrongJob}
	}
	if j := s.Jobs[r.Job.ID]; j != nil {
		return j, nil
	}
	j := newJob(&r, item.Version, now, wall)
	s.Jobs[j.ID] = j
	return j, nil
}

func newJob(r *JobRecord, version uint64, now, wall time.Time) *Job {
	acceptedAt := time.UnixMilli(r.AtMS)
	// The wait is measured by the monotonic clock; what passed before we knew of
	// the job comes from the time of day, which may be a little off.
	waited := max(0, wall.Sub(acceptedAt))
	j := &Job{
		Job: r.Job, AcceptedAt: acceptedAt, Tasks: make([]Task, r.Job.Tasks),
		WaitingSince: now.Add(-waited), EnqueuedAt: now.Add(-waited),
		version: version, cancelled: r.Cancelled,
		chunks: make([]progressChunk, (r.Job.Tasks+tuning.ChunkTasks-1)/tuning.ChunkTasks),
		zones:  map[string]int{}, AvoidMachines: map[string]time.Time{},
	}
	for n := range j.chunks {
		j.chunks[n].pack.Job, j.chunks[n].pack.Traits = j.ID, TraitsOf(&j.Job)
	}
	return j
}

// LoadProgress adds a stored progress record of a job that was loaded before, and
// returns the allocations that it names. The error is a *RecordError.
func (s *Store) LoadProgress(item wire.Item, now time.Time) ([]*Allocation, error) {
	id, n, ok := parseProgressKey(item.Key)
	if !ok {
		return nil, &RecordError{item.Key, ErrMalformedKey}
	}
	var r progressRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, &RecordError{item.Key, err}
	}
	j := s.Jobs[id]
	if j == nil {
		s.loadStaleProgress(item, &r, now)
		return nil, nil
	}
	done, err := decodeRanges(r.Done)
	if err != nil {
		return nil, &RecordError{item.Key, fmt.Errorf("%w: %w", ErrMalformedProgress, err)}
	}
	if n >= len(j.chunks) {
		return nil, &RecordError{item.Key, ErrMalformedProgress}
	}
	c := &j.chunks[n]
	c.version, c.baseMS = item.Version, r.BaseMS
	if err := c.loadCharges(r.Charges); err != nil {
		s.damaged = append(s.damaged, &RecordError{item.Key, err})
	}
	if r.FailedWaves > 0 {
		j.FailedWaves = r.FailedWaves
		j.BackoffUntil = now.Add(backoff(j.FailedWaves))
	}
	j.loadDone(done)
	return j.loadEntries(c, r.Tasks, now), nil
}

// loadStaleProgress takes care of a progress record of a job that is over: it still
// holds charges, or the leader that ended the job could not drop all its records in one
// transaction.
func (s *Store) loadStaleProgress(item wire.Item, r *progressRecord, now time.Time) {
	if len(r.Charges) > 0 {
		s.LoadDetached(item)
		return
	}
	s.queue.stale = append(s.queue.stale, wire.Condition{Key: item.Key, Version: item.Version})
	s.queue.scheduleFlush(now)
}

func (j *Job) loadDone(done []int) {
	for _, i := range done {
		if i < len(j.Tasks) && j.Tasks[i].State != Done {
			j.Tasks[i].State = Done
			j.Done++
		}
	}
}

// loadEntries adds what a progress record says of tasks that are not done, and returns
// the allocations among it.
func (j *Job) loadEntries(c *progressChunk, entries []taskEntry, now time.Time) []*Allocation {
	var loaded []*Allocation
	for _, e := range entries {
		if e.Index < 0 || e.Index >= len(j.Tasks) || j.Tasks[e.Index].State == Done {
			continue
		}
		j.Tasks[e.Index].Attempt = e.Attempt
		if e.Machine == "" {
			continue
		}
		a := &Allocation{
			Job: j, Index: e.Index, Attempt: e.Attempt, Machine: e.Machine, Incarnation: e.Incarnation, Zone: e.Zone,
			Committed: true, KnownSince: now, AllocatedAt: now, Inherited: true,
		}
		c.decodeTimes(&e, a)
		j.allocate(a)
		loaded = append(loaded, a)
	}
	return loaded
}

// LoadDetached adds a stored record of detached charges.
func (s *Store) LoadDetached(item wire.Item) {
	switch p, err := DecodeCharges(item); {
	case err != nil:
		s.damaged = append(s.damaged, err)
	case p != nil:
		s.detached = append(s.detached, DetachedCharges{Key: item.Key, Version: item.Version, Pack: p})
	}
}

// FinishLoading is called when all records are loaded: what they imply is queued for
// writing.
func (s *Store) FinishLoading() {
	for _, j := range s.Jobs {
		s.checkEnd(j)
	}
}

// TakeDamaged returns the records whose charges could not be read, since it was last
// asked. What their jobs are owed is not affected by that. The errors are *RecordErrors.
func (s *Store) TakeDamaged() []error {
	out := s.damaged
	s.damaged = nil
	return out
}
