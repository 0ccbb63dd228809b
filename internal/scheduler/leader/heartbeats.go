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

// Heartbeat applies a worker's heartbeat and returns the reply. If the heartbeat is rejected, the
// error is that of machines.Registry. If the loop does not handle the heartbeat, the error is ErrLeadershipOver or that
// of ctx.
func (l *Loop) Heartbeat(ctx context.Context, hb *wire.Heartbeat) (wire.HeartbeatReply, error) {
	type result struct {
		reply wire.HeartbeatReply
		err   error
	}
	received := l.env.Clock.Now()
	defer func() { l.env.observe(func(o Observer) { o.HeartbeatHandled(l.env.Clock.Since(received)) }) }()
	r, err := ask(ctx, l, func(answer func(result)) {
		reply, err := l.handleHeartbeat(hb)
		answer(result{reply, err})
	})
	if err != nil {
		return wire.HeartbeatReply{}, err
	}
	return r.reply, r.err
}

// handleHeartbeat applies a heartbeat that a worker sent on its own initiative, and returns the reply.
func (l *Loop) handleHeartbeat(hb *wire.Heartbeat) (wire.HeartbeatReply, error) {
	now := l.env.Clock.Now()
	if !l.loading.done {
		// Nothing can be concluded yet, but the worker's lease can be renewed: the tasks on the machine are restored
		// from the records once these are loaded. The lease that this reply renews begins no later than now, and
		// the leases of restored allocations are counted from startedAt. So startedAt moves to now.
		l.startedAt = now
		return wire.HeartbeatReply{FencingToken: l.leadership.Term, Commands: []wire.Command{}}, nil
	}
	r, err := l.machines.Heartbeat(hb, now, l.mayForget)
	if err != nil {
		l.heartbeatRejected(hb, err)
		return wire.HeartbeatReply{}, err
	}
	l.applyHeartbeatResult(&r, now)
	if len(r.Commands) > 0 {
		l.log.Debug("replying to a heartbeat with commands; attempts to forget are stored as ended, and their direct starts are below the token", "machine", hb.Machine, "incarnation", hb.Incarnation, "seen", hb.FencingToken, "token", r.FencingToken, "commands", commandList(r.Commands))
	}
	return wire.HeartbeatReply{FencingToken: r.FencingToken, Commands: r.Commands}, nil
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

// applyHeartbeatResult applies the effects of a heartbeat, except for the commands of its reply.
func (l *Loop) applyHeartbeatResult(r *machines.HeartbeatResult, now time.Time) {
	if len(r.RetainedExits) > tuning.UnrecordedExitsMax {
		l.writeExitsSoon(r.RetainedExits)
	}
	for _, a := range r.Started {
		l.taskStarted(a, now)
	}
	l.applyOutcomes(r.Outcomes, now)
	l.restoreImages(r.Machine)
	if r.Machine.InterruptionAt.After(now) {
		l.handleInterruptionNotice(r.Machine, now)
	}
	l.cycle.wakeIf(r.Changed)
}

// writeExitsSoon has the ends of exited attempts written soon. A worker lists each exit in its heartbeats until the end
// is stored, so its heartbeats grow with the number of unwritten ends.
func (l *Loop) writeExitsSoon(exits []machines.AttemptID) {
	for _, id := range exits {
		if j := l.jobs.Jobs[id.Task.Job]; j != nil {
			l.jobs.FlushSoon(j, id.Task.Index)
		}
	}
}

// taskStarted records that a task is running.
func (l *Loop) taskStarted(a *jobs.Allocation, now time.Time) {
	l.jobs.MarkRunning(a, now)
	if job := l.levels.jobBegan(a.Job); job != nil {
		l.env.observe(func(o Observer) { o.JobBegan(a.Job.Class, a.Job.Team, job.sizeName(), now.Sub(a.Job.EnqueuedAt)) })
	}
}

// heartbeatRejected counts and logs a heartbeat that was not applied, and probes its machine if it may have been
// restarted.
func (l *Loop) heartbeatRejected(hb *wire.Heartbeat, err error) {
	reason := "older"
	switch {
	case errors.Is(err, machines.ErrReturned):
		reason = "returned"
	case errors.Is(err, machines.ErrContradicts):
		reason = "contradicts"
	}
	l.env.observe(func(o Observer) { o.HeartbeatRejected(reason) })
	l.log.Debug("heartbeat rejected; its content is ignored", "machine", hb.Machine, "reason", reason, "incarnation", hb.Incarnation, "seq", hb.Seq)
	l.probeSuspect(l.machines.Machines[hb.Machine], l.env.Clock.Now())
}

// mayForget reports whether a worker may forget an exited attempt that has no allocation. The worker may if the task's
// stored record is up to date, or if no live job has the task: then no later leader starts the same attempt again.
func (l *Loop) mayForget(id machines.AttemptID) bool {
	j := l.jobs.Jobs[id.Task.Job]
	if j == nil || id.Task.Index >= len(j.Tasks) {
		return true
	}
	return l.jobs.Persisted(j, id.Task.Index)
}
