package machines

import (
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

// stopOrphanCommand stops a task without grace that no record places where it runs.
func stopOrphanCommand(status *wire.TaskStatus) wire.Command {
	grace := 0.0
	return wire.Command{Op: wire.OpStop, Task: status.Task, Attempt: status.Attempt, GraceS: &grace}
}

func forgetCommand(status *wire.TaskStatus) wire.Command {
	return wire.Command{Op: wire.OpForget, Task: status.Task, Attempt: status.Attempt}
}

// reply is what the reply to a heartbeat said. The next heartbeat shows whether it arrived, since a worker has one heartbeat
// in flight at a time.
type reply struct {
	newToken bool // it brought a fencing token that the worker had not seen
	commands []wire.Command
}

// effect compares a heartbeat with the reply to the one before. acknowledged: something shows that the reply was carried
// out. missed: nothing does, and something shows that it was not. listed are the heartbeat's tasks.
func (r *reply) effect(hb *wire.Heartbeat, listed map[AttemptID]*wire.TaskStatus, term uint64) (acknowledged, missed bool) {
	if r.newToken {
		acknowledged, missed = hb.FencingToken >= term, hb.FencingToken < term
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
		case wire.OpStart: // whatever came of it, it is listed until it is forgotten
			acknowledged, missed = acknowledged || task != nil, missed || task == nil
		case wire.OpStop:
			missed = missed || present && task.State != wire.TaskSaving
		case wire.OpForget:
			acknowledged, missed = acknowledged || task == nil, missed || task != nil
		}
	}
	return acknowledged, missed && !acknowledged
}

// CommandsFor makes the direct request that tells a machine at once what was decided for some of its allocations: starts,
// or stops where these are wanted. The starts count as open until CommandsAnswered. The error is ErrUnknownMachine,
// ErrUnaddressable or ErrNoCommands; then there is no request, and no start counts as open.
func (r *Registry) CommandsFor(name string, allocations []*jobs.Allocation) (addr string, req *wire.DirectCommands, err error) {
	m := r.Machines[name]
	switch {
	case m == nil:
		return "", nil, ErrUnknownMachine
	case m.Address == "" || !m.Alive() || m.Returning:
		return "", nil, ErrUnaddressable
	}
	req = &wire.DirectCommands{FencingToken: r.term, Incarnation: m.Incarnation}
	for _, allocation := range allocations {
		switch {
		case allocation.Removed || !allocation.Committed || allocation.Incarnation != m.Incarnation:
		case allocation.Stop == nil:
			m.unansweredStarts[attemptOf(allocation)]++
			req.Commands = append(req.Commands, startCommand(allocation))
		case allocation.State != "":
			req.Commands = append(req.Commands, stopCommand(allocation))
		}
	}
	if len(req.Commands) == 0 {
		return "", nil, ErrNoCommands
	}
	return m.Address, req, nil
}

// CommandsAnswered records that a direct request had a definite answer: it will not be executed again. Without one its
// starts stay open for the rest of the incarnation.
func (r *Registry) CommandsAnswered(name string, req *wire.DirectCommands) {
	m := r.Machines[name]
	if m == nil || m.Incarnation != req.Incarnation {
		return
	}
	for i := range req.Commands {
		command := &req.Commands[i]
		if taskID, ok := wire.ParseTaskID(command.Task); ok && command.Op == wire.OpStart {
			m.removeUnansweredStart(AttemptID{Task: taskID, Attempt: command.Attempt})
		}
	}
}

// removeUnansweredStart counts one open start of an attempt less.
func (m *Machine) removeUnansweredStart(id AttemptID) {
	if m.unansweredStarts[id]--; m.unansweredStarts[id] <= 0 {
		delete(m.unansweredStarts, id)
	}
}

// CommandsUnanswered records that a direct request, sent at a time, had no answer. A start in it may still arrive, also at a
// worker process that was restarted until then and counts its incarnations from 1 again, as long as the lease of that process's
// first incarnation lasts.
func (r *Registry) CommandsUnanswered(name string, sent time.Time) {
	m := r.Machines[name]
	if m == nil || len(m.unansweredStarts) == 0 || m.LeaseExpiry.IsZero() {
		return
	}
	if expiry := sent.Add(r.lease); m.LeaseExpiry.Before(expiry) {
		m.LeaseExpiry = expiry
	}
}
