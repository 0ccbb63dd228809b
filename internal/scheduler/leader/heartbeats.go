package leader

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// sendCommands tells machines at once what was decided for some places, rather than
// wait for their next reports. The reports' answers repeat it.
func (l *Loop) sendCommands(places []*jobs.Allocation) {
	byMachine := map[string][]*jobs.Allocation{}
	now := l.env.Clock.Now()
	for _, p := range places {
		// One that is silent would keep a connection waiting.
		if !l.silent(l.machines.Machines[p.Machine], now) {
			byMachine[p.Machine] = append(byMachine[p.Machine], p)
		}
	}
	for name, places := range byMachine {
		addr, req := l.machines.CommandsFor(name, places)
		if req == nil {
			continue
		}
		go l.sendCommandsTo(name, addr, req)
	}
}

func (l *Loop) sendCommandsTo(name, addr string, req *wire.DirectCommands) {
	begun := l.env.Clock.Now()
	ctx, cancel := context.WithTimeout(l.ended, tuning.CommandTimeout)
	defer cancel()
	if l.env.CommandSlots != nil {
		select {
		case l.env.CommandSlots <- struct{}{}:
			defer func() { <-l.env.CommandSlots }()
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || !l.env.Valid(l.leadership.Term) {
		l.post(func() { l.machines.CommandsAnswered(name, req) }) // it was never sent
		return
	}
	rep, err := l.callWorker(ctx, name, addr, req)
	if err == nil {
		l.post(func() {
			l.machines.CommandsAnswered(name, req)
			l.probing.commandAnswered(l.env.Clock.Now())
			if _, err := l.handleHeartbeat(rep, true); err != nil {
				l.log.Debug("answer to commands not used", "machine", name, "err", err)
			}
		})
		return
	}
	l.log.Debug("direct commands unanswered", "machine", name, "err", err)
	l.post(func() {
		if m := l.machines.Machines[name]; m != nil && m.UnansweredAt.Before(begun) {
			m.UnansweredAt = begun
			m.Reachability.NoteFailed(begun, l.env.Clock.Now())
		}
		l.probing.commandUnanswered(name)
	})
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		// No connection, so nothing was sent that could arrive later.
		l.post(func() { l.machines.CommandsAnswered(name, req) })
		return
	}
	l.post(func() { l.machines.CommandsUnanswered(name, begun) })
}

// callWorker sends a machine commands and gives the report that it answers with, carried out or not.
func (l *Loop) callWorker(ctx context.Context, name, addr string, req *wire.DirectCommands) (*wire.Heartbeat, error) {
	var rep wire.Heartbeat
	answers := func(status int) bool { return status == http.StatusOK || status == http.StatusConflict }
	status, err := httpjson.Call(ctx, l.env.Workers, http.MethodPost, "http://"+addr+wire.PathCommands, req, func(status int) any {
		if answers(status) {
			return &rep
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, err
	case !answers(status):
		return nil, fmt.Errorf("answered with status %d", status)
	case rep.Machine != name:
		return nil, fmt.Errorf("answered by machine %q", rep.Machine)
	}
	return &rep, rep.Check()
}

// Heartbeat takes a worker's report and gives the commands for the answer.
func (l *Loop) Heartbeat(ctx context.Context, rep *wire.Heartbeat) ([]wire.Command, error) {
	type result struct {
		commands []wire.Command
		err      error
	}
	begun := l.env.Clock.Now()
	defer func() { l.env.observe(func(o Observer) { o.HeartbeatHandled(l.env.Clock.Since(begun)) }) }()
	r, err := ask(ctx, l, func(answer func(result)) {
		commands, err := l.handleHeartbeat(rep, false)
		answer(result{commands, err})
	})
	if err != nil {
		return nil, err
	}
	return r.commands, r.err
}

func (l *Loop) handleHeartbeat(rep *wire.Heartbeat, direct bool) ([]wire.Command, error) {
	now := l.env.Clock.Now()
	if !l.loaded {
		// Nothing can be concluded yet, but the lease can be kept: what the
		// machine holds is counted from the records once they are in. The
		// lease that this answer renews runs at most from now.
		if !direct {
			l.startedAt = now
		}
		return nil, nil
	}
	a, err := l.machines.Heartbeat(rep, direct, now, l.mayForget)
	if err != nil {
		l.rejectHeartbeat(rep, err)
		return nil, err
	}
	if len(a.RetainedExits) > tuning.UnrecordedExits {
		for _, k := range a.RetainedExits {
			if j := l.jobs.Jobs[k.Task.Job]; j != nil {
				l.jobs.FlushSoon(j, k.Task.Index)
			}
		}
	}
	for _, p := range a.Started {
		l.jobs.MarkRunning(p, now)
		if first := l.levels.jobBegan(p.Job); first != nil {
			l.env.observe(func(o Observer) { o.JobBegan(p.Job.Class, p.Job.Team, first.sizeName(), now.Sub(p.Job.EnqueuedAt)) })
		}
	}
	l.applyOutcomes(a.Outcomes, now)
	l.recallImages(a.Machine)
	if a.Machine.InterruptionAt.After(now) {
		l.leaving[a.Machine.Name] = true
		l.drainInterrupted(a.Machine, now)
	}
	l.changed = l.changed || a.Changed
	return a.Commands, nil
}

// mayForget tells whether an exited attempt that no place holds can be
// forgotten by its worker: its end is stored, so no leader to come starts the
// same attempt again.
func (l *Loop) mayForget(k machines.AttemptID) bool {
	j := l.jobs.Jobs[k.Task.Job]
	if j == nil || k.Task.Index >= len(j.Tasks) {
		return true
	}
	return l.jobs.Persisted(j, k.Task.Index)
}

// applyOutcomes takes in how tasks ended in their places.
func (l *Loop) applyOutcomes(outs []machines.Outcome, now time.Time) {
	for _, o := range outs {
		p := o.Allocation
		if p.Removed {
			continue
		}
		for _, s := range l.subsystems {
			s.Ended(o, now)
		}
		l.env.observe(func(b Observer) { b.AttemptEnded(p.Job.Class, o.Ending()) })
		l.machines.RemoveAllocation(p, now)
		l.changed = true
		m := l.machines.Machines[p.Machine]
		if o.Reason == wire.ExitDone {
			l.jobs.MarkDone(p, now)
			l.taskCompleted(p, m, o.NotRunningAt, now)
			continue
		}
		l.jobs.MarkLost(p, now)
		switch o.Reason {
		case wire.ExitError:
			l.taskFailed(p, now)
		case wire.ExitNoRoom:
			// Something that we do not see takes room there; ask again later.
			if m != nil {
				m.RefusedAt = now.Add(tuning.RefusalPause)
			}
		case wire.ExitUnknown:
			// The job's description is not there (yet).
			p.Job.BackoffUntil = now.Add(tuning.ErrorPause)
		}
		if o.Reason != wire.ExitStopped {
			l.log.Debug("task ended", "task", p.Task().String(), "machine", p.Machine, "why", o.Reason)
		}
	}
}
