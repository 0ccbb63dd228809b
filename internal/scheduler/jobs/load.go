package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// RecordError reports a stored record that cannot be used.
type RecordError struct {
	Key string
	Err error // the reason
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the reason why the record cannot be used.
func (e *RecordError) Unwrap() error { return e.Err }

var (
	// ErrMalformedKey reports a record key that is not in its expected format.
	ErrMalformedKey = errors.New("malformed key")
	// ErrWrongJob reports a job record whose job ID differs from the ID in the key, or whose number of tasks is
	// not between 1 and wire.MaxTasks.
	ErrWrongJob = errors.New("job ID differs from the key, or the number of tasks is not allowed")
	// ErrMalformedProgress reports a progress record with invalid task ranges, or with tasks that its job
	// does not have.
	ErrMalformedProgress = errors.New("malformed progress")
)

// LoadJob adds a stored job and returns it. A job that is already loaded is returned unchanged. wall is the
// current time of day. The error is a *RecordError.
func (s *Store) LoadJob(item wire.Item, now, wall time.Time) (*Job, error) {
	var record JobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return nil, &RecordError{item.Key, err}
	}
	if record.Job.Tasks < 1 || record.Job.Tasks > wire.MaxTasks || KeyJob(record.Job.ID) != item.Key {
		return nil, &RecordError{item.Key, ErrWrongJob}
	}
	if j := s.Jobs[record.Job.ID]; j != nil {
		return j, nil
	}
	j := newJob(&record, item.Version, now, wall)
	s.Jobs[j.ID] = j
	return j, nil
}

func newJob(record *JobRecord, version uint64, now, wall time.Time) *Job {
	acceptedAt := time.UnixMilli(record.AcceptedAtMS)
	// The wait is measured by the monotonic clock. The part before this leader loaded the job is computed
	// from the time of day, which may be slightly wrong.
	waited := max(0, wall.Sub(acceptedAt))
	j := &Job{
		Job: record.Job, AcceptedAt: acceptedAt, Tasks: make([]Task, record.Job.Tasks),
		WaitingSince: now.Add(-waited), EnqueuedAt: now.Add(-waited),
		version: version, cancelled: record.Cancelled,
		chunks:          make([]progressChunk, (record.Job.Tasks+tuning.TasksPerChunk-1)/tuning.TasksPerChunk),
		allocatedByZone: map[string]int{}, AvoidMachines: map[string]time.Time{},
	}
	for n := range j.chunks {
		j.chunks[n].pack.Job, j.chunks[n].pack.Traits = j.ID, TraitsOf(&j.Job)
	}
	return j
}

// LoadProgress adds a stored progress record of a job that was loaded before, and returns the allocations
// in it. A record whose job is not loaded belongs to a finished job. The error is a *RecordError.
func (s *Store) LoadProgress(item wire.Item, now time.Time) ([]*Allocation, error) {
	id, index, ok := parseProgressKey(item.Key)
	if !ok {
		return nil, &RecordError{item.Key, ErrMalformedKey}
	}
	var record progressRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return nil, &RecordError{item.Key, err}
	}
	j := s.Jobs[id]
	if j == nil {
		s.loadStaleProgress(item, &record, now)
		return nil, nil
	}
	done, err := decodeRanges(record.Done)
	if err != nil {
		return nil, &RecordError{item.Key, fmt.Errorf("%w: %w", ErrMalformedProgress, err)}
	}
	if index >= len(j.chunks) {
		return nil, &RecordError{item.Key, ErrMalformedProgress}
	}
	chunk := &j.chunks[index]
	chunk.version, chunk.baseMS = item.Version, record.BaseMS
	if err := chunk.loadCharges(record.Charges); err != nil {
		s.chargeErrors = append(s.chargeErrors, &RecordError{item.Key, err})
	}
	if record.FailureWaves > 0 {
		j.FailureWaves = record.FailureWaves
		j.BackoffUntil = now.Add(backoff(j.FailureWaves))
	}
	j.loadDone(done)
	return j.loadEntries(chunk, record.Tasks, now), nil
}

// loadStaleProgress handles a progress record of a finished job. If the record contains charges, it is
// added as detached charges. Otherwise the leader that ended the job could not delete all its records in one
// transaction, and the record is queued for deletion.
func (s *Store) loadStaleProgress(item wire.Item, record *progressRecord, now time.Time) {
	if len(record.Charges) > 0 {
		s.LoadDetached(item)
		return
	}
	s.queue.stale = append(s.queue.stale, wire.Condition{Key: item.Key, Version: item.Version})
	s.queue.scheduleFlush(now)
}

// loadDone marks tasks as done, by their indexes.
func (j *Job) loadDone(done []int) {
	for _, i := range done {
		if i < len(j.Tasks) && j.Tasks[i].State != Done {
			j.Tasks[i].State = Done
			j.Done++
		}
	}
}

// loadEntries loads attempt numbers and allocations from the entries of a progress record, and returns the
// allocations. It ignores entries of done tasks and of tasks that the job does not have.
func (j *Job) loadEntries(chunk *progressChunk, entries []taskEntry, now time.Time) []*Allocation {
	var loaded []*Allocation
	for _, entry := range entries {
		if entry.Index < 0 || entry.Index >= len(j.Tasks) || j.Tasks[entry.Index].State == Done {
			continue
		}
		j.Tasks[entry.Index].Attempt = entry.Attempt
		if entry.Machine == "" {
			continue
		}
		a := &Allocation{
			Job: j, Index: entry.Index, Attempt: entry.Attempt, Machine: entry.Machine, Incarnation: entry.Incarnation, Zone: entry.Zone,
			Committed: true, KnownSince: now, AllocatedAt: now, Inherited: true,
		}
		chunk.decodeTimes(&entry, a)
		j.allocate(a)
		loaded = append(loaded, a)
	}
	return loaded
}

// LoadDetached adds a stored record of detached charges. If it cannot be decoded, the error is reported by
// TakeChargeErrors.
func (s *Store) LoadDetached(item wire.Item) {
	switch p, err := DecodeCharges(item); {
	case err != nil:
		s.chargeErrors = append(s.chargeErrors, err)
	case p != nil:
		s.detached = append(s.detached, DetachedCharges{Key: item.Key, Version: item.Version, Pack: p})
	}
}

// FinishLoading is called after all records are loaded. It queues the ends of jobs that the records show to
// be finished.
func (s *Store) FinishLoading() {
	for _, j := range s.Jobs {
		s.queueEndIfFinished(j)
	}
}

// TakeChargeErrors returns the errors of records whose charges could not be decoded, as far as they occurred
// since the last call. Each error is a *RecordError. The task progress in such a record is used all the same,
// so the job's tasks are not affected.
func (s *Store) TakeChargeErrors() []error {
	out := s.chargeErrors
	s.chargeErrors = nil
	return out
}
