package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// sendCommands sends machines the commands for some allocations (starts and stops) at once, instead of waiting for
// their next heartbeats. The replies to the heartbeats repeat the commands.
func (l *Loop) sendCommands(allocations []*jobs.Allocation) {
	byMachine := map[string][]*jobs.Allocation{}
	now := l.env.Clock.Now()
	for _, a := range allocations {
		// A command to a silent machine would occupy a connection until it times out.
		if !l.silent(l.machines.Machines[a.Machine], now) {
			byMachine[a.Machine] = append(byMachine[a.Machine], a)
		}
	}
	for name, allocations := range byMachine {
		// The error needs no handling: the reply to the next heartbeat carries the same commands.
		if addr, req, err := l.machines.CommandsFor(name, allocations); err == nil {
			l.log.Debug("sending direct commands; the starts in them are of stored allocations", "machine", name, "incarnation", req.Incarnation, "token", req.FencingToken, "commands", commandList(req.Commands))
			go l.sendCommandsTo(name, addr, req)
		}
	}
}

// sendCommandsTo waits until a command slot is free, and then sends a machine direct commands. It sends nothing if the
// wait takes tuning.CommandTimeout, if the term ends, or if this member may no longer act as the leader.
func (l *Loop) sendCommandsTo(name, addr string, req *wire.DirectCommands) {
	started := l.env.Clock.Now()
	ctx, cancel := context.WithTimeout(l.termCtx, tuning.CommandTimeout)
	defer cancel()
	if l.env.CommandSlots != nil {
		select {
		case l.env.CommandSlots <- struct{}{}:
			defer func() { <-l.env.CommandSlots }()
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || !l.env.MayAct(l.leadership.Term) {
		l.post(func() { l.machines.CommandsAnswered(name) }) // it was never sent
		return
	}
	hb, err := l.callWorker(ctx, name, addr, req)
	if err != nil {
		l.log.Debug("direct commands unanswered; the reply to the next heartbeat repeats them", "machine", name, "err", err)
		l.post(func() { l.commandsUnanswered(name, req, started, err) })
		return
	}
	l.post(func() { l.commandsAnswered(name, hb) })
}

// commandsAnswered applies the heartbeat with which a machine answered commands.
func (l *Loop) commandsAnswered(name string, hb *wire.Heartbeat) {
	l.machines.CommandsAnswered(name)
	l.probing.commandAnswered(l.env.Clock.Now())
	if err := l.handleDirectAnswer(hb); err != nil {
		l.log.Debug("heartbeat in the answer to direct commands rejected; ignoring it", "machine", name, "err", err)
	}
}

// commandsUnanswered records that a machine did not answer commands. If a connection was made, the commands may still
// arrive. started is the time at which this member began to send them.
func (l *Loop) commandsUnanswered(name string, req *wire.DirectCommands, started time.Time, err error) {
	if m := l.machines.Machines[name]; m != nil && m.UnansweredCommandAt.Before(started) {
		m.UnansweredCommandAt = started
		m.Reachability.NoteUnanswered(started, l.env.Clock.Now())
	}
	l.probing.commandUnanswered(name)
	if neverSent(err) {
		l.machines.CommandsAnswered(name)
		return
	}
	l.machines.CommandsUnanswered(name, req, started)
}

// neverSent reports whether a request failed before it had a connection. In that case nothing was sent that could
// arrive later.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// commandList is a list of commands that is formatted for the log only if the line is written.
type commandList []wire.Command

// LogValue implements slog.LogValuer.
func (c commandList) LogValue() slog.Value {
	texts := make([]string, 0, len(c))
	for i := range c {
		texts = append(texts, fmt.Sprintf("%s %s@%d", c[i].Op, c[i].Task, c[i].Attempt))
	}
	return slog.StringValue(strings.Join(texts, ", "))
}

// callWorker sends a machine commands and returns the heartbeat with which it answers, whether it executed them
// (status 200) or not (status 409).
func (l *Loop) callWorker(ctx context.Context, name, addr string, req *wire.DirectCommands) (*wire.Heartbeat, error) {
	var hb wire.Heartbeat
	isAnswer := func(status int) bool { return status == http.StatusOK || status == http.StatusConflict }
	status, err := httpjson.Call(ctx, l.env.Workers, http.MethodPost, "http://"+addr+wire.PathCommands, req, func(status int) any {
		if isAnswer(status) {
			return &hb
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, err
	case !isAnswer(status):
		return nil, fmt.Errorf("worker answered with status %d", status)
	case hb.Machine != name:
		return nil, fmt.Errorf("another machine answered: %q", hb.Machine)
	}
	return &hb, hb.Check()
}
