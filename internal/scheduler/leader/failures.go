package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// taskFailed decides whether a task's failure counts against its machine or its job. Usually the machine is at
// fault, and the job avoids it. But as long as no task of the job has completed or run for tuning.HealthyRunAfter, the
// job itself may be faulty. It is then on probation, and its failures count against no machine. Without this rule, as
// few as two jobs that were submitted with a mistake would cause healthy machines to be drained.
func (l *Loop) taskFailed(a *jobs.Allocation, now time.Time) {
	j := a.Job
	j.AvoidMachines[a.Machine] = now.Add(tuning.AvoidMachineFor)
	l.jobs.MarkFailed(j, now)
	ranForLong := !a.RunningSince.IsZero() && now.Sub(a.RunningSince) >= tuning.HealthyRunAfter
	if ranForLong {
		l.endProbation(j, now)
	} else if l.onProbation(j, now) {
		return
	}
	l.blameMachines(j)
	if n := len(j.AvoidMachines); n >= tuning.FaultyJobMachinesMin {
		j.BackoffUntil = now.Add(min(tuning.FailureBackoff<<min(j.Failures-tuning.FaultyJobMachinesMin, 10), tuning.FailureBackoffMax))
	}
}

// onProbation reports whether all attempts of a job have failed so far. Such a job is tried with one task at a
// time, after growing pauses. No room is made for it: no machine is rented, no task is stopped, no room is
// reserved, and no machine is kept free for it when it is at the head of the queue. If a task of the job has completed
// or run for tuning.HealthyRunAfter by now, onProbation ends the probation.
func (l *Loop) onProbation(j *jobs.Job, now time.Time) bool {
	if j.FailureWaves == 0 {
		return false
	}
	if j.HasHealthyRun(now) {
		l.endProbation(j, now)
		return false
	}
	return true
}

// endProbation ends a job's probation. Its failures now count against the machines on which they happened.
func (l *Loop) endProbation(j *jobs.Job, now time.Time) {
	l.jobs.ResetBackoff(j, now)
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

// taskCompleted records that a task succeeded: its job works, and so does its machine m. m is nil if the machine is
// gone. A machine that runs everything slowly becomes unhealthy like one on which jobs fail.
// lastHeartbeatWithoutExit is when the machine's newest heartbeat arrived that does not show the task's exit: the task
// may have ended at any time since then.
func (l *Loop) taskCompleted(a *jobs.Allocation, m *machines.Machine, lastHeartbeatWithoutExit, now time.Time) {
	if a.Job.FailureWaves > 0 {
		l.endProbation(a.Job, now)
	}
	if m == nil {
		return
	}
	m.NoteCompletion()
	if a.Job.Kind != wire.KindArray || a.RunningSince.IsZero() || a.Inherited {
		return // its run time is not known, or not comparable
	}
	l.compareSpeed(a, m, lastHeartbeatWithoutExit, now)
}

// compareSpeed compares a task's run time with the run times of its job's tasks on other machines. After a partition,
// or a time without a leader, the ends of many tasks of a machine become known late and together. So only the shortest
// possible run time, up to lastHeartbeatWithoutExit, counts against the machine.
func (l *Loop) compareSpeed(a *jobs.Allocation, m *machines.Machine, lastHeartbeatWithoutExit, now time.Time) {
	minRunS := lastHeartbeatWithoutExit.Sub(a.RunningSince).Seconds()
	otherRunsS := a.Job.RecordRun(jobs.CompletedRun{Machine: m.Name, Type: m.Type, Seconds: now.Sub(a.RunningSince).Seconds()})
	if m.RelativeSpeed.Note(minRunS, otherRunsS) && !m.Unhealthy {
		m.Unhealthy = true
		l.log.Info("machine runs tasks more slowly than others; marked as unhealthy", "machine", m.Name, "spot", m.Spot)
	}
}
