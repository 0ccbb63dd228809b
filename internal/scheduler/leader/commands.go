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
)

// sendCommands tells machines at once what was decided for some allocations, rather than
// wait for their next heartbeats, whose answers repeat it.
func (l *Loop) sendCommands(allocations []*jobs.Allocation) {
	byMachine := map[string][]*jobs.Allocation{}
	now := l.env.Clock.Now()
	for _, a := range allocations {
		// A machine that is silent would keep a connection waiting.
		if !l.silent(l.machines.Machines[a.Machine], now) {
			byMachine[a.Machine] = append(byMachine[a.Machine], a)
		}
	}
	for name, allocations := range byMachine {
		// An error is no loss: the reply to the next heartbeat brings what there is to tell.
		if addr, req, err := l.machines.CommandsFor(name, allocations); err == nil {
			go l.sendCommandsTo(name, addr, req)
		}
	}
}

// sendCommandsTo sends a machine direct commands, once there is a slot and if this member has the right to act by then.
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
	hb, err := l.callWorker(ctx, name, addr, req)
	if err != nil {
		l.log.Debug("direct commands unanswered", "machine", name, "err", err)
		l.post(func() { l.commandsUnanswered(name, req, begun, err) })
		return
	}
	l.post(func() { l.commandsAnswered(name, req, hb) })
}

// commandsAnswered applies the heartbeat with which a machine answered commands.
func (l *Loop) commandsAnswered(name string, req *wire.DirectCommands, hb *wire.Heartbeat) {
	l.machines.CommandsAnswered(name, req)
	l.probing.commandAnswered(l.env.Clock.Now())
	if err := l.handleDirectAnswer(hb); err != nil {
		l.log.Debug("answer to commands rejected", "machine", name, "err", err)
	}
}

// commandsUnanswered notes that a machine did not answer commands, which may still arrive if a connection was made.
func (l *Loop) commandsUnanswered(name string, req *wire.DirectCommands, begun time.Time, err error) {
	if m := l.machines.Machines[name]; m != nil && m.UnansweredAt.Before(begun) {
		m.UnansweredAt = begun
		m.Reachability.NoteFailed(begun, l.env.Clock.Now())
	}
	l.probing.commandUnanswered(name)
	if neverSent(err) {
		l.machines.CommandsAnswered(name, req)
		return
	}
	l.machines.CommandsUnanswered(name, begun)
}

// neverSent reports whether a request failed before there was a connection, so that nothing was sent that could arrive later.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callWorker sends a machine commands and gives the heartbeat that it answers with, whether they were carried out or not.
func (l *Loop) callWorker(ctx context.Context, name, addr string, req *wire.DirectCommands) (*wire.Heartbeat, error) {
	var hb wire.Heartbeat
	answers := func(status int) bool { return status == http.StatusOK || status == http.StatusConflict }
	status, err := httpjson.Call(ctx, l.env.Workers, http.MethodPost, "http://"+addr+wire.PathCommands, req, func(status int) any {
		if answers(status) {
			return &hb
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, err
	case !answers(status):
		return nil, fmt.Errorf("answered with status %d", status)
	case hb.Machine != name:
		return nil, fmt.Errorf("answered by machine %q", hb.Machine)
	}
	return &hb, hb.Check()
}
