package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// taskFailed decides what a task's failure says. Mostly the machine is to blame, and the
// job avoids it. But as long as no task of the job works, the job itself may
// be: it is on probation, and its failures count against no machine. Two jobs
// submitted with a mistake used to have healthy machines emptied.
func (l *Loop) taskFailed(a *jobs.Allocation, now time.Time) {
	j := a.Job
	j.AvoidMachines[a.Machine] = now.Add(tuning.AvoidFor)
	l.jobs.MarkFailed(j, now)
	ranForLong := !a.RunningSince.IsZero() && now.Sub(a.RunningSince) >= tuning.HealthyRunAfter
	if ranForLong {
		l.endProbation(j, now)
	} else if l.onProbation(j, now) {
		return
	}
	l.blameMachines(j)
	if n := len(j.AvoidMachines); n >= tuning.FaultyJobMachines {
		j.BackoffUntil = now.Add(min(tuning.ErrorPause<<min(j.Failures-tuning.FaultyJobMachines, 10), tuning.ErrorPauseMax))
	}
}

// onProbation reports whether a job has only ever failed. It is tried with one task
// at a time, after growing pauses. Nothing makes room for it: no machine is
// rented, no task stopped, no room reserved, and it holds no machine as the head of the queue.
// The probation of a job that is seen to work ends here.
func (l *Loop) onProbation(j *jobs.Job, now time.Time) bool {
	if j.FailedWaves == 0 {
		return false
	}
	if j.HasWorked(now) {
		l.endProbation(j, now)
		return false
	}
	return true
}

// endProbation ends a job's probation: the machines on which it failed are to blame.
func (l *Loop) endProbation(j *jobs.Job, now time.Time) {
	l.jobs.MarkWorking(j, now)
	l.blameMachines(j)
}

// blameMachines counts a job's failures against the machines on which it failed.
func (l *Loop) blameMachines(j *jobs.Job) {
	for name := range j.AvoidMachines {
		if m := l.machines.Machines[name]; m != nil {
			m.NoteFailure(j.ID)
		}
	}
}

// taskCompleted decides what a task's success says: its job works,
// and so does its machine, which is nil if it is gone. One that runs everything slowly is given up like a faulty one. The task may have
// ended at any time since notRunningAt, when the machine was heard before.
func (l *Loop) taskCompleted(a *jobs.Allocation, m *machines.Machine, notRunningAt, now time.Time) {
	if a.Job.FailedWaves > 0 {
		l.endProbation(a.Job, now)
	}
	if m == nil {
		return
	}
	m.NoteCompletion()
	if a.Job.Kind != wire.KindArray || a.RunningSince.IsZero() || a.Inherited {
		return // it is not known for how long it ran
	}
	l.compareSpeed(a, m, notRunningAt, now)
}

// compareSpeed compares a task's run with those of its job on other machines. After a partition or without a leader ends are seen late, of
// many tasks of a machine together, so only the time for which it ran at the least counts against the machine.
func (l *Loop) compareSpeed(a *jobs.Allocation, m *machines.Machine, notRunningAt, now time.Time) {
	atLeastS := notRunningAt.Sub(a.RunningSince).Seconds()
	elsewhere := a.Job.RecordRun(jobs.CompletedRun{Machine: m.Name, Type: m.Type, Seconds: now.Sub(a.RunningSince).Seconds()})
	if m.RelativeSpeed.Note(atLeastS, elsewhere) && !m.Unhealthy {
		m.Unhealthy = true
		l.log.Info("machine is slow", "machine", m.Name, "spot", m.Spot)
	}
}
