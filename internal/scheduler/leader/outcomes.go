package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// applyOutcomes applies the proven ends of attempts, except of those whose allocation was removed already.
func (l *Loop) applyOutcomes(outcomes []machines.Outcome, now time.Time) {
	for _, o := range outcomes {
		if !o.Allocation.Removed {
			l.applyOutcome(o, now)
		}
	}
}

// applyOutcome applies the proven end of an attempt: its resources are free again, and its task is done or waits
// for another attempt.
func (l *Loop) applyOutcome(o machines.Outcome, now time.Time) {
	a := o.Allocation
	for _, s := range l.subsystems.active {
		s.Ended(o, now)
	}
	l.env.observe(func(b Observer) { b.AttemptEnded(a.Job.Class, o.ReasonLabel()) })
	l.machines.RemoveAllocation(a, now)
	l.cycle.wake()
	m := l.machines.Machines[a.Machine]
	if o.Reason == wire.ExitDone {
		l.jobs.MarkDone(a, now)
		l.taskCompleted(a, m, o.LastHeartbeatWithoutExit, now)
		return
	}
	l.jobs.MarkLost(a, now)
	l.backOff(a, m, o.Reason, now)
	if o.Reason != wire.ExitStopped {
		l.log.Debug("task attempt ended without success; the task waits for another attempt", "task", a.Task().String(), "machine", a.Machine, "reason", o.Reason)
	}
}

// backOff delays the next attempt at a task, depending on the reason why the last one ended. m is nil if the
// machine is gone.
func (l *Loop) backOff(a *jobs.Allocation, m *machines.Machine, reason wire.ExitReason, now time.Time) {
	switch reason {
	case wire.ExitError:
		l.taskFailed(a, now)
	case wire.ExitNoRoom:
		// The leader counted enough free resources, so something that it does not know of uses them. The machine gets
		// no tasks for a while.
		if m != nil {
			m.RefusalPauseUntil = now.Add(tuning.RefusalPause)
		}
	case wire.ExitUnknown:
		// The worker did not find the job's description, perhaps only because it was not available yet. The job's
		// tasks are tried again after a pause.
		a.Job.BackoffUntil = now.Add(tuning.FailureBackoff)
	}
}
