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

// drainInterrupted empties a machine that the cloud will soon take: tasks that can
// save do so at once, those that are worth waiting for run on until shortly before the end, and
// the others move at once.
func (l *Loop) drainInterrupted(m *machines.Machine, now time.Time) {
	left := m.InterruptionAt.Sub(now)
	var stopped []*jobs.Allocation
	for _, p := range m.Allocations {
		if p.Stop != nil {
			continue
		}
		j := &p.Job.Job
		switch {
		case p.State == wire.TaskRunning && j.CheckpointS > 0:
			p.Stop = &jobs.StopRequest{GraceS: (seconds(j.SaveS) + tuning.GraceExtra).Seconds(), Reason: charge.Drained}
		case p.State == wire.TaskRunning && worthRunningOn(p.Job, now.Sub(p.RunningSince), left-tuning.InterruptionStopLead):
			continue
		default:
			p.Stop = &jobs.StopRequest{Reason: charge.Drained}
		}
		stopped = append(stopped, p)
	}
	l.sendCommands(stopped)
}

// stepInterruptions looks after the machines that the cloud will soon take: what did not end by itself is stopped just
// before, so that it can be started elsewhere at once rather than when the machine is known to be gone.
func (l *Loop) stepInterruptions(now time.Time) {
	for name := range l.leaving {
		m := l.machines.Machines[name]
		switch {
		case m == nil || !m.InterruptionAt.After(now):
			delete(l.leaving, name)
		case m.InterruptionAt.Sub(now) <= tuning.InterruptionStopLead:
			delete(l.leaving, name)
			l.drainInterrupted(m, now)
		}
	}
}

// worthRunningOn tells whether a task that cannot save is better left to run on for as long as its machine is there: the
// run that would be saved, if it ends in time, against the time that is lost if it does not. Its run time is
// taken to lie around what is expected of its job, given that it ran for so long already.
func worthRunningOn(j *jobs.Job, ran, left time.Duration) bool {
	expectS, seen := j.ExpectedRunS()
	if expectS <= 0 || left <= 0 {
		return false
	}
	spread := tuning.EstimateSpread
	if seen {
		spread = tuning.SeenSpread
	}
	longer := func(t float64) float64 { // the share of tasks that run longer
		return 0.5 * math.Erfc(math.Log(t/expectS)/(spread*math.Sqrt2))
	}
	from, to := max(ran.Seconds(), 1), max(ran.Seconds(), 1)+left.Seconds()
	alive := longer(from)
	if alive < 1e-9 {
		return true // far beyond its estimate: it may end any moment
	}
	ends := 1 - longer(to)/alive
	return ends*max(expectS, ran.Seconds()) > (1-ends)*left.Seconds()
}
