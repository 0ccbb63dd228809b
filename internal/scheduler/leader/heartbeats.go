package leader

import (
	"context"
	"errors"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Heartbeat applies a worker's heartbeat and gives the commands for the answer.
func (l *Loop) Heartbeat(ctx context.Context, hb *wire.Heartbeat) ([]wire.Command, error) {
	type result struct {
		commands []wire.Command
		err      error
	}
	begun := l.env.Clock.Now()
	defer func() { l.env.observe(func(o Observer) { o.HeartbeatHandled(l.env.Clock.Since(begun)) }) }()
	r, err := ask(ctx, l, func(answer func(result)) {
		commands, err := l.handleHeartbeat(hb)
		answer(result{commands, err})
	})
	if err != nil {
		return nil, err
	}
	return r.commands, r.err
}

// handleHeartbeat applies a heartbeat that a worker sent by itself, and returns the commands for the reply.
func (l *Loop) handleHeartbeat(hb *wire.Heartbeat) ([]wire.Command, error) {
	now := l.env.Clock.Now()
	if !l.loading.done {
		// Nothing can be concluded yet, but the lease can be renewed: what the
		// machine holds is counted from the records once they are in. The
		// lease that this answer renews runs at most from now.
		l.startedAt = now
		return nil, nil
	}
	r, err := l.machines.Heartbeat(hb, now, l.mayForget)
	if err != nil {
		l.heartbeatRejected(hb, err)
		return nil, err
	}
	l.applyHeartbeatResult(&r, now)
	return r.Commands, nil
}

// handleDirectAnswer applies the heartbeat with which a worker answered commands or a probe. It renews no lease.
func (l *Loop) handleDirectAnswer(hb *wire.Heartbeat) error {
	if !l.loading.done {
		return nil // nothing can be concluded yet
	}
	now := l.env.Clock.Now()
	r, err := l.machines.DirectAnswer(hb, now, l.mayForget)
	if err != nil {
		l.heartbeatRejected(hb, err)
		return err
	}
	l.applyHeartbeatResult(&r, now)
	return nil
}

// applyHeartbeatResult applies what a heartbeat leads to, the commands for its reply apart.
func (l *Loop) applyHeartbeatResult(r *machines.HeartbeatResult, now time.Time) {
	if len(r.RetainedExits) > tuning.UnrecordedExits {
		l.recordSoon(r.RetainedExits)
	}
	for _, a := range r.Started {
		l.taskStarted(a, now)
	}
	l.applyOutcomes(r.Outcomes, now)
	l.recallImages(r.Machine)
	if r.Machine.InterruptionAt.After(now) {
		l.noticeInterruption(r.Machine, now)
	}
	l.cycle.wakeIf(r.Changed)
}

// recordSoon has the ends of attempts written that a worker holds until they are stored: its heartbeats grow with them.
func (l *Loop) recordSoon(exits []machines.AttemptID) {
	for _, id := range exits {
		if j := l.jobs.Jobs[id.Task.Job]; j != nil {
			l.jobs.FlushSoon(j, id.Task.Index)
		}
	}
}

// taskStarted notes that a task runs.
func (l *Loop) taskStarted(a *jobs.Allocation, now time.Time) {
	l.jobs.MarkRunning(a, now)
	if first := l.levels.jobBegan(a.Job); first != nil {
		l.env.observe(func(o Observer) { o.JobBegan(a.Job.Class, a.Job.Team, first.sizeName(), now.Sub(a.Job.EnqueuedAt)) })
	}
}

// heartbeatRejected counts a heartbeat that changes nothing.
func (l *Loop) heartbeatRejected(hb *wire.Heartbeat, err error) {
	reason := "older"
	switch {
	case errors.Is(err, machines.ErrReturned):
		reason = "returned"
	case errors.Is(err, machines.ErrContradicts):
		reason = "contradicts"
	}
	l.env.observe(func(o Observer) { o.HeartbeatRejected(reason) })
	l.log.Debug("heartbeat rejected", "machine", hb.Machine, "reason", reason, "incarnation", hb.Incarnation, "seq", hb.Seq)
}

// mayForget reports whether an exited attempt without an allocation can be
// forgotten by its worker: its end is stored, so no leader to come starts the
// same attempt again.
func (l *Loop) mayForget(id machines.AttemptID) bool {
	j := l.jobs.Jobs[id.Task.Job]
	if j == nil || id.Task.Index >= len(j.Tasks) {
		return true
	}
	return l.jobs.Persisted(j, id.Task.Index)
}
