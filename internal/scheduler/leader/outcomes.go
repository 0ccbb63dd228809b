package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// applyOutcomes applies the proven ends of attempts.
func (l *Loop) applyOutcomes(outcomes []machines.Outcome, now time.Time) {
	for _, o := range outcomes {
		if !o.Allocation.Removed {
			l.applyOutcome(o, now)
		}
	}
}

// applyOutcome applies the proven end of an attempt: its room is free, and its task is done or waits again.
func (l *Loop) applyOutcome(o machines.Outcome, now time.Time) {
	a := o.Allocation
	for _, s := range l.subsystems.joined {
		s.Ended(o, now)
	}
	l.env.observe(func(b Observer) { b.AttemptEnded(a.Job.Class, o.Ending()) })
	l.machines.RemoveAllocation(a, now)
	l.cycle.wake()
	m := l.machines.Machines[a.Machine]
	if o.Reason == wire.ExitDone {
		l.jobs.MarkDone(a, now)
		l.taskCompleted(a, m, o.NotRunningAt, now)
		return
	}
	l.jobs.MarkLost(a, now)
	l.backOff(a, m, o.Reason, now)
	if o.Reason != wire.ExitStopped {
		l.log.Debug("task ended", "task", a.Task().String(), "machine", a.Machine, "reason", o.Reason)
	}
}

// backOff puts off the next attempt at a task, by the reason for which the last one ended. m is nil if the machine is gone.
func (l *Loop) backOff(a *jobs.Allocation, m *machines.Machine, reason wire.ExitReason, now time.Time) {
	switch reason {
	case wire.ExitError:
		l.taskFailed(a, now)
	case wire.ExitNoRoom:
		// Something that we do not see takes room there; ask again later.
		if m != nil {
			m.RefusedAt = now.Add(tuning.RefusalPause)
		}
	case wire.ExitUnknown:
		// The job's description is not there (yet).
		a.Job.BackoffUntil = now.Add(tuning.ErrorPause)
	}
}
