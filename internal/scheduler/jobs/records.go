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
	// PrefixJob is the prefix of accepted jobs, which are stored until they finish. Any controller may
	// add one; only the leader changes or deletes it.
	PrefixJob = "job/"
	// PrefixProgress is the prefix of the progress of live jobs, in chunks of tasks. Only the leader
	// writes it.
	PrefixProgress = "run/"
	// PrefixFinalState is the prefix of the final states of jobs, which are never deleted.
	PrefixFinalState = "end/"
	// PrefixDetached is the prefix of charges that were moved out of progress records.
	PrefixDetached = "left/"
)

// KeyJob returns the key of an accepted job.
func KeyJob(id string) string { return PrefixJob + id }

// KeyFinalState returns the key of a job's final state.
func KeyFinalState(id string) string { return PrefixFinalState + id }

func keyProgress(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%04d", PrefixProgress, id, chunk)
}

// keyDetached returns the key of a record of a job's detached charges, of which c is the first.
func keyDetached(job string, c *charge.Charge) string {
	return fmt.Sprintf("%s%s/%d.%d.%d", PrefixDetached, job, c.Task, c.Attempt, c.Part)
}

func parseProgressKey(key string) (id string, chunk int, ok bool) {
	id, num, found := strings.Cut(strings.TrimPrefix(key, PrefixProgress), "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, found && err == nil && chunk >= 0 && chunk <= wire.MaxTasks/tuning.TasksPerChunk
}

// JobRecord is the stored form of an accepted job.
type JobRecord struct {
	Job          wire.Job `json:"job"`
	AcceptedAtMS int64    `json:"at_ms"` // time of day when the job was accepted, in Unix milliseconds
	Cancelled    bool     `json:"cancelled,omitempty"`
}

// FinalState is the stored form of a job's final state.
type FinalState struct {
	State wire.JobState `json:"state"`
	Done  int           `json:"done"`
}

// Status returns the status of a job that is reported to its user.
func (f FinalState) Status(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, State: f.State, Done: f.Done}
}

// progressRecord is the stored progress of TasksPerChunk tasks of a job. Done tasks are stored as ranges. Every
// other task that was ever allocated has an entry, so that no attempt number is used twice.
type progressRecord struct {
	Done         string      `json:"d,omitempty"`
	Tasks        []taskEntry `json:"t,omitempty"`
	FailureWaves int         `json:"f,omitempty"` // number of waves of failures of the whole job (see MarkFailed); only in the record of its first chunk

	BaseMS  int64  `json:"b,omitempty"` // time of day that the entries' times are relative to, in Unix milliseconds
	Charges []byte `json:"c,omitempty"` // an encoded charge.Pack
}

// taskEntry is the part of a progress record about one task that is not done.
type taskEntry struct {
	Index       int    `json:"i"`
	Attempt     uint64 `json:"a"`
	Machine     string `json:"m,omitempty"` // the machine on which the task may be; empty: none
	Incarnation uint64 `json:"s,omitempty"`
	Zone        string `json:"z,omitempty"`

	AllocatedMS   int64 `json:"p,omitempty"` // when the task was allocated, in milliseconds after the record's base
	ChargedFromMS int64 `json:"r,omitempty"` // see Allocation.ChargedFrom; in milliseconds after the record's base
	ChargedParts  int   `json:"q,omitempty"` // number of parts of the attempt that are already charged
	Kind          int   `json:"k,omitempty"` // index of the machine's kind in the charge pack, plus 1; 0: none
}

// detachedRecord is the stored form of detached charges. Its field has the same name in progressRecord, so a
// progress record can be read as a detachedRecord.
type detachedRecord struct {
	Charges []byte `json:"c"` // an encoded charge.Pack
}
