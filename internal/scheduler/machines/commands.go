package machines

import (
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func startCommand(allocation *jobs.Allocation) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: allocation.Task().String(), Attempt: allocation.Attempt}
}

func stopCommand(allocation *jobs.Allocation) wire.Command {
	grace := allocation.Stop.GraceS
	return wire.Command{Op: wire.OpStop, Task: allocation.Task().String(), Attempt: allocation.Attempt, GraceS: &grace}
}

// stopOrphanCommand stops, without a grace period, a task that no record allocates to the machine that runs it.
func stopOrphanCommand(status *wire.TaskStatus) wire.Command {
	grace := 0.0
	return wire.Command{Op: wire.OpStop, Task: status.Task, Attempt: status.Attempt, GraceS: &grace}
}

func forgetCommand(status *wire.TaskStatus) wire.Command {
	return wire.Command{Op: wire.OpForget, Task: status.Task, Attempt: status.Attempt}
}

// reply is the content of the reply to a heartbeat. The next heartbeat shows whether the reply arrived, since a
// worker has only one heartbeat in flight at a time.
type reply struct {
	token    uint64 // its fencing token
	newToken bool   // the worker had not seen the token
	commands []wire.Command
}

// effect compares a heartbeat with the reply to the previous one. acknowledged means that something in the heartbeat
// shows that the reply was executed. missed means that nothing shows this and something shows the contrary. listed
// holds the heartbeat's tasks.
func (r *reply) effect(hb *wire.Heartbeat, listed map[AttemptID]*wire.TaskStatus) (acknowledged, missed bool) {
	if r.newToken {
		acknowledged, missed = hb.FencingToken >= r.token, hb.FencingToken < r.token
	}
	for i := range r.commands {
		command := &r.commands[i]
		taskID, ok := wire.ParseTaskID(command.Task)
		if !ok {
			continue
		}
		task := listed[AttemptID{Task: taskID, Attempt: command.Attempt}]
		present := task != nil && task.State != wire.TaskExited
		switch command.Op {
		case wire.OpStart: // the worker lists a task that it was told to start, even an exited one, until a forget command
			acknowledged, missed = acknowledged || task != nil, missed || task == nil
		case wire.OpStop:
			missed = missed || present && task.State != wire.TaskSaving
		case wire.OpForget:
			acknowledged, missed = acknowledged || task == nil, missed || task != nil
		}
	}
	return acknowledged, missed && !acknowledged
}

// CommandsFor returns a direct request that starts or stops some of a machine's allocations at once, without waiting
// for a heartbeat. The request counts as in flight until CommandsAnswered or CommandsUnanswered is called. The error is
// ErrUnknownMachine, ErrUnaddressable or ErrNoCommands. With an error, there is no request.
func (r *Registry) CommandsFor(name string, allocations []*jobs.Allocation) (addr string, req *wire.DirectCommands, err error) {
	m := r.Machines[name]
	switch {
	case m == nil:
		return "", nil, ErrUnknownMachine
	case m.Address == "" || !m.Alive() || m.Returning:
		return "", nil, ErrUnaddressable
	}
	req = &wire.DirectCommands{FencingToken: m.tokens.current, Incarnation: m.Incarnation}
	for _, allocation := range allocations {
		switch {
		case allocation.Removed || !allocation.Committed || allocation.Incarnation != m.Incarnation:
		case allocation.Stop == nil:
			m.tokens.noteStart(attemptOf(allocation))
			req.Commands = append(req.Commands, startCommand(allocation))
		case allocation.State != "":
			req.Commands = append(req.Commands, stopCommand(allocation))
		}
	}
	if len(req.Commands) == 0 {
		return "", nil, ErrNoCommands
	}
	m.tokens.inFlight++
	return m.Address, req, nil
}

// CommandsAnswered records that a direct request was answered, or never sent. A copy of it may still arrive and be
// executed, so this proves nothing about its starts.
func (r *Registry) CommandsAnswered(name string) {
	if m := r.Machines[name]; m != nil {
		m.tokens.inFlight = max(0, m.tokens.inFlight-1)
	}
}

// CommandsUnanswered records that a direct request, sent at the given time, had no answer. If a start in it may still
// arrive, it postpones the machine's lease expiry to at least one lease duration after that time. Even a worker process
// that was restarted in the meantime may execute the start, since that process counts its incarnations from 1 again. But
// the process executes it only until the lease of its first incarnation expires.
func (r *Registry) CommandsUnanswered(name string, req *wire.DirectCommands, sentAt time.Time) {
	r.CommandsAnswered(name)
	m := r.Machines[name]
	if m == nil || m.Incarnation != req.Incarnation || m.LeaseExpiry.IsZero() || !hasStart(req) {
		return
	}
	if expiry := sentAt.Add(r.lease); m.LeaseExpiry.Before(expiry) {
		m.LeaseExpiry = expiry
	}
}

func hasStart(req *wire.DirectCommands) bool {
	return slices.ContainsFunc(req.Commands, func(c wire.Command) bool { return c.Op == wire.OpStart })
}
