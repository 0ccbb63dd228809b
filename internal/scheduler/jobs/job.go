package jobs

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// Job is a live job: one that is accepted and whose final state is not stored yet.
type Job struct {
	wire.Job
	AcceptedAt      time.Time // by the time of day
	Tasks           []Task
	Done            int
	Allocated       int
	WaitingSince    time.Time            // since when some task of it waits without a break
	EnqueuedAt      time.Time            // when it was accepted, by the monotonic clock
	BackoffUntil    time.Time            // after failures, no task is allocated before
	PreemptingUntil time.Time            // until then, what was preempted for it is on its way out
	Failures        int                  // tasks that failed, as this leader has seen
	FailedWaves     int                  // waves of failures since a task of it last worked
	AvoidMachines   map[string]time.Time // machines on which a task of it failed, until when
	runs            []CompletedRun       // the last ones
	medianRunS      float64              // the median of runs, once there are SeenRuns of them

	version      uint64 // of the stored job
	chunks       []progressChunk
	cancelWanted bool
	cancelled    bool // the stored job says so
	ending       bool // its end is being written, or waits for that
	endSent      bool // a transaction with its end was made
	ended        bool // stored as done, or dropped
	firstWaiting int  // no task before this index waits
	waiters      []func(wire.JobState)
	zones        map[string]int
}

// Waiting is how many tasks wait to be allocated.
func (j *Job) Waiting() int { return len(j.Tasks) - j.Done - j.Allocated }

// CanStart reports whether tasks of the job may be started.
func (j *Job) CanStart() bool { return !j.cancelWanted && !j.cancelled && !j.ended }

// Cancelled reports whether the job's cancellation is stored or wanted.
func (j *Job) Cancelled() bool { return j.cancelWanted || j.cancelled }

// EndSent reports whether a transaction that ends the job was made. Its outcome may be
// unknown: the end may then be stored already.
func (j *Job) EndSent() bool { return j.endSent }

// AllocationsByZone is how many tasks of the job may be in each zone.
func (j *Job) AllocationsByZone() map[string]int { return j.zones }

// Status is what the job's user may be told now.
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

// NextWaiting is the index of the first waiting task at or behind from, or -1.
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

// StopAll requests that all allocated tasks of the job end, with no time to save
// progress, and returns their allocations.
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

// allocate makes a waiting task an allocated one.
func (j *Job) allocate(a *Allocation) {
	t := &j.Tasks[a.Index]
	t.State, t.Allocation = Allocated, a
	j.Allocated++
	j.zones[a.Zone]++
}

// release takes a task's allocation away and leaves the task in a state.
func (j *Job) release(a *Allocation, to TaskState) {
	a.Removed = true
	t := &j.Tasks[a.Index]
	t.State, t.Allocation = to, nil
	j.Allocated--
	j.zones[a.Zone]--
}

// notifyWaiters tells whoever asked for the job's cancellation how it ended.
func (j *Job) notifyWaiters(s wire.JobState) {
	for _, fn := range j.waiters {
		fn(s)
	}
	j.waiters = nil
}
