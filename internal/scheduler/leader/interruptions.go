package leader

import (
	"math"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// interruptionNotices is the state of the spot machines whose heartbeats announce that the cloud will interrupt them.
type interruptionNotices struct {
	pending map[string]bool // machines, by name, whose remaining tasks are still to be stopped shortly before the interruption
}

// handleInterruptionNotice drains a machine whose heartbeat announces an interruption by the cloud.
func (l *Loop) handleInterruptionNotice(m *machines.Machine, now time.Time) {
	l.interruptions.pending[m.Name] = true
	l.drainInterrupted(m, now)
}

// drainInterrupted drains a machine that the cloud is about to interrupt. Tasks that can save a checkpoint are
// stopped with the time to do so. Tasks that will probably end in time keep running until shortly before
// the interruption. The others are stopped at once, so that they can start elsewhere.
func (l *Loop) drainInterrupted(m *machines.Machine, now time.Time) {
	timeLeft := m.InterruptionAt.Sub(now) - tuning.InterruptionStopLead
	var stopped []*jobs.Allocation
	for _, a := range m.Allocations {
		if a.Stop != nil {
			continue
		}
		j, running := &a.Job.Job, a.State == wire.TaskRunning
		switch {
		case running && j.CheckpointS > 0:
			a.Stop = &jobs.StopRequest{GraceS: (seconds(j.SaveS) + tuning.CheckpointGraceExtra).Seconds(), Reason: charge.Drained}
		case running && shouldKeepRunning(a.Job, now.Sub(a.RunningSince), timeLeft):
			continue
		default:
			a.Stop = &jobs.StopRequest{Reason: charge.Drained}
		}
		stopped = append(stopped, a)
	}
	l.sendCommands(stopped)
}

// stepInterruptions stops the tasks that are left on a machine shortly before the cloud interrupts it. They can
// then be started elsewhere at once, rather than when the machine is known to be gone.
func (l *Loop) stepInterruptions(now time.Time) {
	pending := l.interruptions.pending
	for name := range pending {
		m := l.machines.Machines[name]
		switch {
		case m == nil || !m.InterruptionAt.After(now):
			delete(pending, name)
		case m.InterruptionAt.Sub(now) <= tuning.InterruptionStopLead:
			delete(pending, name)
			l.drainInterrupted(m, now)
		}
	}
}

// shouldKeepRunning reports whether a task that cannot save a checkpoint should keep running until shortly before its
// machine is interrupted. ran is how long it has run, timeLeft how long it can still run. The work of the whole run,
// which is kept if the task ends in time, is weighed against timeLeft, which is lost if it does not end in time. The run
// time is assumed to be log-normally distributed around the expected run time of the job, given that it is at least ran.
func shouldKeepRunning(j *jobs.Job, ran, timeLeft time.Duration) bool {
	expectedS, measured := j.ExpectedRunS()
	if expectedS <= 0 || timeLeft <= 0 {
		return false
	}
	sigma := tuning.EstimateLogStdDev
	if measured {
		sigma = tuning.ObservedLogStdDev
	}
	shareLongerThan := func(s float64) float64 { // share of the job's tasks that run longer than s seconds
		return 0.5 * math.Erfc(math.Log(s/expectedS)/(sigma*math.Sqrt2))
	}
	ranS := max(ran.Seconds(), 1)
	shareThisLong := shareLongerThan(ranS) // share of the job's tasks that run longer than this one has run so far
	if shareThisLong < 1e-9 {
		return true // the task has run far longer than expected and may end at any moment
	}
	probEndsInTime := 1 - shareLongerThan(ranS+timeLeft.Seconds())/shareThisLong
	return probEndsInTime*max(expectedS, ran.Seconds()) > (1-probEndsInTime)*timeLeft.Seconds()
}
