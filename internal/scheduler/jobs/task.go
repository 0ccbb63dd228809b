package jobs

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// TaskState is where a task stands in its job: it waits for a machine, is allocated to
// one, or is done. What a worker says of a running task is a wire.TaskState.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Allocated
	Done
)

// Task is one task of a job.
type Task struct {
	State      TaskState
	Attempt    uint64      // the last attempt used
	Allocation *Allocation // while it is allocated
}

// Allocation is a machine on which a task may be. It lasts from the decision until
// the task is proven gone from there.
type Allocation struct {
	Job          *Job
	Index        int
	Attempt      uint64
	Machine      string
	Incarnation  uint64 // of the machine's worker
	Zone         string
	Committed    bool           // the record that names it is stored: the task may be started
	Removed      bool           // proven gone, or given up before it was ever started
	Stop         *StopRequest   // nil: it may run on
	State        wire.TaskState // as the worker last said; empty: not yet
	KnownSince   time.Time      // when it was decided, or loaded by a new leader
	RunningSince time.Time      // when a heartbeat first said that it runs
	StartSentAt  time.Time      // when an answer to a heartbeat last held its start
	Inherited    bool           // an earlier leader decided it

	// What its charge counts from; kept only while Store.Metered is set.

	Kind              charge.Kind
	AllocatedAt       time.Time // when it was decided, by the time of day, whoever led then
	ChargedFrom       time.Time // when it was first seen to run, or its day began
	ChargedParts      int       // how many parts of it are charged already
	chargedFromStored bool
}

// Task names the allocated task.
func (a *Allocation) Task() wire.TaskID { return wire.TaskID{Job: a.Job.ID, Index: a.Index} }

// chunk is the progress chunk that holds the allocated task.
func (a *Allocation) chunk() chunkRef { return chunkOf(a.Job, a.Index) }

// StopRequest asks that an allocated task ends.
type StopRequest struct {
	GraceS float64        // seconds to save progress
	Reason charge.Outcome // how its charge says that it ended
}
