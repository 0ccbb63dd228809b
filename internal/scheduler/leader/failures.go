package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// taskFailed takes in a task's failure. Mostly the machine is to blame, and the
// job avoids it. But as long as no task of the job works, the job itself may
// be: it is on trial, and its failures count against no machine. Two jobs
// submitted with a mistake used to have healthy machines emptied.
func (l *Loop) taskFailed(p *jobs.Allocation, now time.Time) {
	j := p.Job
	j.AvoidMachines[p.Machine] = now.Add(tuning.AvoidFor)
	l.jobs.MarkFailed(j, now)
	if ran := !p.RunningSince.IsZero() && now.Sub(p.RunningSince) >= tuning.HealthyRunAfter; ran {
		l.endTrial(j, now)
	} else if l.onTrial(j, now) {
		return
	}
	l.blameMachines(j)
	if n := len(j.AvoidMachines); n >= tuning.FaultyJobMachines {
		j.BackoffUntil = now.Add(min(tuning.ErrorPause<<min(j.Failures-tuning.FaultyJobMachines, 10), tuning.ErrorPauseMax))
	}
}

// onTrial tells whether a job has only ever failed. It is tried with one task
// at a time, after growing pauses. Nothing makes room for it: no machine is
// rented, no task stopped, no room kept, and it holds no machine as the head.
func (l *Loop) onTrial(j *jobs.Job, now time.Time) bool {
	if j.FailedWaves == 0 {
		return false
	}
	if j.HasWorked(now) {
		l.endTrial(j, now)
		return false
	}
	return true
}

// endTrial ends a job's trial: the machines on which it failed are to blame.
func (l *Loop) endTrial(j *jobs.Job, now time.Time) {
	l.jobs.MarkWorking(j, now)
	l.blameMachines(j)
}

func (l *Loop) blameMachines(j *jobs.Job) {
	for name := range j.AvoidMachines {
		if m := l.machines.Machines[name]; m != nil {
			m.NoteFailure(j.ID)
		}
	}
}

// taskCompleted takes in that a task completed, after the time at which its machine was heard before: its job works,
// and so does its machine. One that runs everything slowly is given up like a faulty one.
func (l *Loop) taskCompleted(p *jobs.Allocation, m *machines.Machine, heard, now time.Time) {
	if p.Job.FailedWaves > 0 {
		l.endTrial(p.Job, now)
	}
	if m == nil {
		return
	}
	m.NoteCompletion()
	if p.Job.Kind != wire.KindArray || p.RunningSince.IsZero() || p.Inherited {
		return // it is not known for how long it ran
	}
	// It may have ended at any time since: after a cut or without a leader ends are seen late, of many tasks
	// of a machine together.
	least := heard.Sub(p.RunningSince).Seconds()
	elsewhere := p.Job.RecordRun(jobs.CompletedRun{Machine: m.Name, Type: m.Type, Seconds: now.Sub(p.RunningSince).Seconds()})
	if m.RelativeSpeed.Note(least, elsewhere) && !m.Unhealthy {
		m.Unhealthy = true
		l.log.Info("machine is slow", "machine", m.Name, "spot", m.Spot)
	}
}

// recentArrivals are the jobs that came of late, as a guide to those to come; one on
// trial is none.
func (l *Loop) recentArrivals(now time.Time) []autoscale.Arrival {
	out := make([]autoscale.Arrival, 0, len(l.fleet.arrivals))
	for _, a := range l.fleet.arrivals {
		if j := l.jobs.Jobs[a.Job.ID]; j == nil || !l.onTrial(j, now) {
			out = append(out, a)
		}
	}
	return out
}
