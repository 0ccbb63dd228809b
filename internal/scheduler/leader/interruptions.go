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

// interruptionNotices is the spot machines that the cloud takes soon, as their heartbeats say.
type interruptionNotices struct {
	pending map[string]bool // by machine: tasks may still be stopped just before the interruption
}

// noticeInterruption drains a machine whose heartbeat says that the cloud takes it soon.
func (l *Loop) noticeInterruption(m *machines.Machine, now time.Time) {
	l.interruptions.pending[m.Name] = true
	l.drainInterrupted(m, now)
}

// drainInterrupted empties a machine that the cloud takes soon: tasks that can
// save a checkpoint do so at once, those that are worth waiting for run on until shortly before the interruption, and
// the others move at once.
func (l *Loop) drainInterrupted(m *machines.Machine, now time.Time) {
	left := m.InterruptionAt.Sub(now) - tuning.InterruptionStopLead
	var stopped []*jobs.Allocation
	for _, a := range m.Allocations {
		if a.Stop != nil {
			continue
		}
		j, runs := &a.Job.Job, a.State == wire.TaskRunning
		switch {
		case runs && j.CheckpointS > 0:
			a.Stop = &jobs.StopRequest{GraceS: (seconds(j.SaveS) + tuning.GraceExtra).Seconds(), Reason: charge.Drained}
		case runs && worthRunningOn(a.Job, now.Sub(a.RunningSince), left):
			continue
		default:
			a.Stop = &jobs.StopRequest{Reason: charge.Drained}
		}
		stopped = append(stopped, a)
	}
	l.sendCommands(stopped)
}

// stepInterruptions looks after the machines that the cloud takes soon: what did not end by itself is stopped just
// before, so that it can be started elsewhere at once rather than when the machine is known to be gone.
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

// worthRunningOn reports whether a task that cannot save is better left to run on for as long as its machine is there: the
// run that would be saved, if it ends in time, against the time that is lost if it does not. Its run time is
// taken to be distributed log-normally around what is expected of its job, given that it ran for so long already.
func worthRunningOn(j *jobs.Job, ran, left time.Duration) bool {
	expectedS, seen := j.ExpectedRunS()
	if expectedS <= 0 || left <= 0 {
		return false
	}
	spread := tuning.EstimateSpread
	if seen {
		spread = tuning.SeenSpread
	}
	runsLonger := func(s float64) float64 { // the share of tasks that run longer than s
		return 0.5 * math.Erfc(math.Log(s/expectedS)/(spread*math.Sqrt2))
	}
	ranS := max(ran.Seconds(), 1)
	alive := runsLonger(ranS)
	if alive < 1e-9 {
		return true // far beyond its estimate: it may end any moment
	}
	endsInTime := 1 - runsLonger(ranS+left.Seconds())/alive
	return endsInTime*max(expectedS, ran.Seconds()) > (1-endsInTime)*left.Seconds()
}
