package jobs

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// TaskState is the leader's state of a task: waiting for a machine, allocated to one, or done. The state
// that a worker reports for an allocated task is a wire.TaskState.
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
	Attempt    uint64      // the number of the last attempt; 0: the task was never allocated
	Allocation *Allocation // nil unless the task is allocated
}

// Allocation is one attempt's assignment to a machine, on which the task may be present. It exists from the
// placement decision until the task is proven gone from the machine.
type Allocation struct {
	Job          *Job
	Index        int
	Attempt      uint64
	Machine      string
	Incarnation  uint64 // of the machine's worker
	Zone         string
	Committed    bool           // the record that names the allocation is stored: the task may be started
	Removed      bool           // the task is proven gone, or the allocation was withdrawn before any start
	Stop         *StopRequest   // nil: the task may continue to run
	State        wire.TaskState // as the worker last reported; empty: never reported
	KnownSince   time.Time      // when this leader made the allocation or loaded it from its record
	RunningSince time.Time      // when a heartbeat first reported the task as running
	StartSentAt  time.Time      // when a heartbeat reply last contained the start command
	Inherited    bool           // an earlier leader made the allocation

	// The times and the machine kind from which the attempt's charge is computed. They are stored only
	// while Store.Metered is set.

	Kind        charge.Kind
	AllocatedAt time.Time // time of day when this or an earlier leader made the allocation
	// ChargedFrom is the start of the time that is not charged yet: when the task was first seen running, or
	// the end of the last day that was charged. Zero means that the task was never seen running.
	ChargedFrom       time.Time
	ChargedParts      int  // number of parts of the attempt that are already charged
	chargedFromStored bool // the record contains ChargedFrom
}

// Task returns the ID of the allocated task.
func (a *Allocation) Task() wire.TaskID { return wire.TaskID{Job: a.Job.ID, Index: a.Index} }

// chunkRef returns the progress chunk that contains the allocated task.
func (a *Allocation) chunkRef() chunkRef { return chunkRefOf(a.Job, a.Index) }

// StopRequest requests that an allocated task is stopped.
type StopRequest struct {
	GraceS float64        // time to save progress, in seconds
	Reason charge.Outcome // the outcome for the attempt's charge, if the stop ends it
}
