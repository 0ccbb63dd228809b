package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Prefixes of keys in the key-value store.
const (
	// PrefixJob holds accepted jobs until they are over; any controller may
	// add one, only the leader changes or drops it.
	PrefixJob = "job/"
	// PrefixProgress holds the progress of live jobs, in chunks of tasks; only the leader writes it.
	PrefixProgress = "run/"
	// PrefixFinalState holds the final states of jobs, for ever.
	PrefixFinalState = "end/"
	// PrefixDetached holds charges that were moved out of progress records.
	PrefixDetached = "left/"
)

// KeyJob is the key of an accepted job.
func KeyJob(id string) string { return PrefixJob + id }

// KeyFinalState is the key of a job's final state.
func KeyFinalState(id string) string { return PrefixFinalState + id }

func keyProgress(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%04d", PrefixProgress, id, chunk)
}

// keyDetached is the key of detached charges, by the first of them.
func keyDetached(job string, c *charge.Charge) string {
	return fmt.Sprintf("%s%s/%d.%d.%d", PrefixDetached, job, c.Task, c.Attempt, c.Part)
}

func parseProgressKey(key string) (id string, chunk int, ok bool) {
	id, num, found := strings.Cut(strings.TrimPrefix(key, PrefixProgress), "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, found && err == nil && chunk >= 0 && chunk <= wire.MaxTasks/tuning.ChunkTasks
}

// JobRecord is an accepted job as it is stored.
type JobRecord struct {
	Job       wire.Job `json:"job"`
	AtMS      int64    `json:"at_ms"` // time of day when it was accepted
	Cancelled bool     `json:"cancelled,omitempty"`
}

// FinalState is the final state of a job as it is stored.
type FinalState struct {
	State wire.JobState `json:"state"`
	Done  int           `json:"done"`
}

// Status is what the record tells the user of a job.
func (f FinalState) Status(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, State: f.State, Done: f.Done}
}

// progressRecord is the progress of ChunkTasks tasks of a job. Done tasks are
// ranges; every other task that was ever allocated has an entry, so that no
// attempt is used twice.
type progressRecord struct {
	Done        string      `json:"d,omitempty"`
	Tasks       []taskEntry `json:"t,omitempty"`
	FailedWaves int         `json:"f,omitempty"` // of the whole job; in its first chunk

	BaseMS  int64  `json:"b,omitempty"` // time of day from which the entries' times count
	Charges []byte `json:"c,omitempty"` // an encoded charge.Pack
}

// taskEntry is what a progress record says of a task that is not done.
type taskEntry struct {
	Index       int    `json:"i"`
	Attempt     uint64 `json:"a"`
	Machine     string `json:"m,omitempty"` // where it may be; empty: nowhere
	Incarnation uint64 `json:"s,omitempty"`
	Zone        string `json:"z,omitempty"`

	AllocatedMS   int64 `json:"p,omitempty"` // when it was allocated, from the record's base
	ChargedFromMS int64 `json:"r,omitempty"` // when it was seen to run or its day began, from the record's base
	ChargedParts  int   `json:"q,omitempty"`
	Kind          int   `json:"k,omitempty"` // one more than the index of its kind in the pack
}

// detachedRecord is how detached charges are stored. Progress records have the same field.
type detachedRecord struct {
	Charges []byte `json:"c"` // an encoded charge.Pack
}
