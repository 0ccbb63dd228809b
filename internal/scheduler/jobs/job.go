package jobs

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// Job is a live job: it is accepted, and its final state is not stored yet.
type Job struct {
	wire.Job
	AcceptedAt      time.Time // time of day when the job was accepted
	Tasks           []Task
	Done            int                  // number of tasks that are done
	Allocated       int                  // number of tasks that are allocated
	WaitingSince    time.Time            // start of the current period in which at least one task has always been waiting
	EnqueuedAt      time.Time            // when the job was accepted, by the monotonic clock
	BackoffUntil    time.Time            // after failures, no task is allocated before this time
	PreemptingUntil time.Time            // until this time, tasks preempted for this job may still be stopping
	Failures        int                  // number of task failures that this leader has seen
	FailureWaves    int                  // number of waves of failures since a task last ran well; see MarkFailed
	AvoidMachines   map[string]time.Time // machines on which a task of the job failed, and until when to avoid them
	recentRuns      []CompletedRun       // runs of the tasks that completed last, at most RememberedRunsMax
	medianRunS      float64              // the median of recentRuns in seconds, once there are ObservedRunsMin of them

	version         uint64 // version of the stored job record
	chunks          []progressChunk
	cancelWanted    bool                  // cancellation is requested
	cancelled       bool                  // the stored job record says that the job is cancelled
	endPending      bool                  // the write of the job's end is queued or in flight
	endSent         bool                  // a transaction that ends the job was built; its outcome may be unknown
	ended           bool                  // the job's end is stored
	firstWaiting    int                   // no task before this index waits
	waiters         []func(wire.JobState) // called with the final state once it is stored
	allocatedByZone map[string]int        // allocations in each zone
}

// Waiting returns the number of tasks that wait to be allocated.
func (j *Job) Waiting() int { return len(j.Tasks) - j.Done - j.Allocated }

// CanStart reports whether tasks of the job may be started: it is neither cancelled nor ended.
func (j *Job) CanStart() bool { return !j.cancelWanted && !j.cancelled && !j.ended }

// Cancelled reports whether the job's cancellation is requested or stored.
func (j *Job) Cancelled() bool { return j.cancelWanted || j.cancelled }

// EndSent reports whether a transaction that ends the job was built. While the outcome of that
// transaction is unknown, the job's end may already be stored.
func (j *Job) EndSent() bool { return j.endSent }

// AllocationsByZone returns the number of the job's allocations in each zone.
func (j *Job) AllocationsByZone() map[string]int { return j.allocatedByZone }

// Status returns the status that may be reported to the job's user now. It reports a final state only if
// that state is stored.
func (j *Job) Status() wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, State: wire.StateQueued, Done: j.Done}
	for i := range j.Tasks {
		if a := j.Tasks[i].Allocation; a != nil && (a.State == wire.TaskRunning || a.State == wire.TaskSaving) {
			s.Running++
		}
	}
	switch {
	case j.cancelled:
		s.State, s.Running = wire.StateCancelled, 0
	case s.Running > 0:
		s.State = wire.StateRunning
	}
	return s
}

// NextWaiting returns the index of the first waiting task at or after from, or -1 if there is none.
func (j *Job) NextWaiting(from int) int {
	for i := max(from, j.firstWaiting); i < len(j.Tasks); i++ {
		if j.Tasks[i].State == Waiting {
			return i
		}
		if i == j.firstWaiting {
			j.firstWaiting++
		}
	}
	return -1
}

// StopAll requests that all allocated tasks of the job are stopped without time to save progress, and
// returns their allocations.
func (j *Job) StopAll(reason charge.Outcome) []*Allocation {
	var stopped []*Allocation
	for i := range j.Tasks {
		if a := j.Tasks[i].Allocation; a != nil {
			a.Stop = &StopRequest{Reason: reason}
			stopped = append(stopped, a)
		}
	}
	return stopped
}

// allocate changes the state of the allocation's task from waiting to allocated.
func (j *Job) allocate(a *Allocation) {
	t := &j.Tasks[a.Index]
	t.State, t.Allocation = Allocated, a
	j.Allocated++
	j.allocatedByZone[a.Zone]++
}

// release removes an allocation and sets its task's state to the given one.
func (j *Job) release(a *Allocation, to TaskState) {
	a.Removed = true
	t := &j.Tasks[a.Index]
	t.State, t.Allocation = to, nil
	j.Allocated--
	j.allocatedByZone[a.Zone]--
}

// notifyWaiters calls the callbacks of cancellation requests with the job's final state.
func (j *Job) notifyWaiters(s wire.JobState) {
	for _, fn := range j.waiters {
		fn(s)
	}
	j.waiters = nil
}
