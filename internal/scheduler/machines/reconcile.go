package machines

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// reconciliation compares the tasks that a heartbeat lists with the allocations of its machine, and collects outcomes
// and commands. It begins after the heartbeat was admitted and the machine's liveness was updated.
type reconciliation struct {
	machine           *Machine
	hb                *wire.Heartbeat
	direct            bool // the heartbeat is the answer to a direct request
	now               time.Time
	newIncarnation    bool      // the heartbeat is the first message of its incarnation; beginIncarnation has ended the earlier ones
	previousHeartbeat time.Time // when the previous heartbeat arrived; zero: none in this term
	// hasTermToken is true if the worker has seen a fencing token of this term (Registry.hasTermToken). The worker
	// then refuses a direct start that an older leader sent and that arrives late. A heartbeat without the token
	// may be a delayed copy from before a restart of the worker process.
	hasTermToken bool

	stops, forgets, starts []wire.Command
	retained               []wire.Command // forgets that need a higher token than the current one
	retainedBytes          int            // bytes of the attempts in retained in the heartbeat
	result                 HeartbeatResult
}

// commands returns the commands for the reply: stops, then forgets, then starts.
func (rc *reconciliation) commands() []wire.Command {
	all := make([]wire.Command, 0, len(rc.stops)+len(rc.forgets)+len(rc.starts))
	all = append(all, rc.stops...)
	all = append(all, rc.forgets...)
	return append(all, rc.starts...)
}

// processListed processes the tasks that the heartbeat lists, and adds them to listed.
func (rc *reconciliation) processListed(listed map[AttemptID]*wire.TaskStatus, mayForget MayForget) {
	for i := range rc.hb.Tasks {
		status := &rc.hb.Tasks[i]
		taskID, ok := wire.ParseTaskID(status.Task)
		if !ok {
			continue
		}
		id := AttemptID{Task: taskID, Attempt: status.Attempt}
		listed[id] = status
		allocation, exited := rc.machine.Allocations[id], status.State == wire.TaskExited
		switch {
		case allocation == nil && exited:
			rc.forgetExitedOrphan(id, status, mayForget)
		case allocation == nil:
			rc.stopOrphan(id, status)
		case exited:
			rc.processExitedAllocation(allocation, status)
		default:
			rc.processPresentAllocation(allocation, status)
		}
	}
}

// forgetExitedOrphan makes the worker forget an exited attempt that has no allocation. The worker must not forget the
// attempt while the stored record names it, nor while it may obey a start of it that arrives later: that of an older
// leader, or a direct start under the token of the reply. A worker that has forgotten the attempt would run it again.
func (rc *reconciliation) forgetExitedOrphan(id AttemptID, status *wire.TaskStatus, mayForget MayForget) {
	rc.dropOrphan(id)
	switch {
	case !mayForget(id):
		rc.result.RetainedExits = append(rc.result.RetainedExits, id)
	case rc.direct || !rc.hasTermToken:
		// A direct answer gets no commands in reply, and without the term's token an older leader's start may arrive.
	case rc.machine.tokens.startMayBeObeyedAfterReply(id):
		rc.retained = append(rc.retained, forgetCommand(status))
		rc.retainedBytes += encodedBytesMax(status)
	default:
		rc.forgets = append(rc.forgets, forgetCommand(status))
	}
}

// forgetRetained makes the worker forget the exited attempts that wait for a higher token, if it is time to raise the
// token: the worker takes the token from the reply before it executes the reply's commands.
func (r *Registry) forgetRetained(rc *reconciliation) {
	m := rc.machine
	if len(rc.retained) > 0 && m.tokens.raiseDue(rc.retainedBytes, r.lease, rc.now) {
		r.raiseToken(m)
	}
	if m.tokens.newestStart < m.tokens.current && len(rc.retained) > 0 {
		m.tokens.raisedAt = rc.now
		rc.forgets = append(rc.forgets, rc.retained...)
		rc.retainedBytes = 0
	}
	m.retainedBytes = rc.retainedBytes
}

// stopOrphan stops an attempt that no record allocates to the machine. The attempt counts as an orphan until it is gone.
func (rc *reconciliation) stopOrphan(id AttemptID, status *wire.TaskStatus) {
	rc.machine.orphans[id] = true
	rc.stops = append(rc.stops, stopOrphanCommand(status))
}

func (rc *reconciliation) dropOrphan(id AttemptID) {
	if rc.machine.orphans[id] {
		delete(rc.machine.orphans, id)
		rc.result.Changed = true
	}
}

// processExitedAllocation ends an allocation whose task exited. A heartbeat that may be a delayed copy proves the end
// only of a task that completed: that task has completed whatever happened since. Any other exit may be from before a
// restart of the worker process, after which the same recorded attempt is started again.
func (rc *reconciliation) processExitedAllocation(allocation *jobs.Allocation, status *wire.TaskStatus) {
	mayBeCopy := !rc.direct && !rc.hasTermToken
	if mayBeCopy && status.Reason != wire.ExitDone {
		return
	}
	rc.addOutcome(Outcome{Allocation: allocation, Reason: status.Reason, Saved: status.Saved, LastHeartbeatWithoutExit: rc.previousHeartbeat})
}

// processPresentAllocation records the state of a task on the machine to which it is allocated. It stops the task if a
// stop was requested. A task that is already saving its checkpoint is stopped again only if its grace period is to be cut
// to zero.
func (rc *reconciliation) processPresentAllocation(allocation *jobs.Allocation, status *wire.TaskStatus) {
	if status.State == wire.TaskRunning && allocation.State != wire.TaskRunning {
		allocation.RunningSince = rc.now
		rc.result.Started = append(rc.result.Started, allocation)
	}
	allocation.State = status.State
	if allocation.Stop != nil && (status.State != wire.TaskSaving || allocation.Stop.GraceS == 0) {
		rc.stops = append(rc.stops, stopCommand(allocation))
	}
}

// dropMissingOrphans drops the orphans that the heartbeat does not list: they are gone. A direct answer does not
// prove that.
func (rc *reconciliation) dropMissingOrphans(listed map[AttemptID]*wire.TaskStatus) {
	if rc.direct {
		return
	}
	for id := range rc.machine.orphans {
		if listed[id] == nil {
			rc.dropOrphan(id)
		}
	}
}

// processMissingAllocations processes the machine's allocations that the heartbeat does not list. It repeats the
// starts of those that are still wanted, and concludes that the others are gone if no start of them can arrive any
// more.
func (rc *reconciliation) processMissingAllocations(listed map[AttemptID]*wire.TaskStatus) {
	for id, allocation := range rc.machine.Allocations {
		switch {
		case rc.fromEarlierIncarnation(allocation):
			rc.addOutcome(lostOutcome(allocation))
		case listed[id] != nil || !allocation.Committed || allocation.Incarnation != rc.hb.Incarnation:
			// The task is listed, or may not be started yet, or the heartbeat is of another incarnation and proves
			// nothing about it.
		case rc.direct:
			// A direct answer gets no commands in reply, and proves nothing about what it does not list: a reply with
			// the start may be on its way.
		case allocation.Stop == nil:
			rc.repeatStart(allocation)
		case !rc.hasTermToken:
			// A start by the leader of an older term may still arrive and be executed.
		case rc.startMayArrive(id, allocation):
			rc.startAndStop(allocation)
		default:
			rc.addOutcome(Outcome{Allocation: allocation, Reason: wire.ExitStopped, LastHeartbeatWithoutExit: rc.now})
		}
	}
}

// fromEarlierIncarnation reports whether an allocation is of an earlier incarnation than the heartbeat, although the
// heartbeat is not the first message of its incarnation. This happens after a failover: the former leader recorded
// allocations of both incarnations and lost leadership before it had written that the task of the earlier incarnation
// is gone. Since no new incarnation begins in this term, beginIncarnation does not end the allocation. Without this
// check the task would never be started again.
//
// A heartbeat without this term's token proves nothing here: it may be a copy from before a restart of the worker
// process, and the task may run in the present process, whose incarnation is the lower one of the allocation.
func (rc *reconciliation) fromEarlierIncarnation(allocation *jobs.Allocation) bool {
	return !rc.newIncarnation && rc.hasTermToken && allocation.Incarnation < rc.hb.Incarnation
}

// startMayArrive reports whether an allocation that the heartbeat does not list may still be started, or may be on the
// machine already. There are three cases:
//   - The worker has not seen a token above that of a direct start of it. Whether the start was answered does not matter.
//   - A start of it was sent in a reply less than tuning.HeartbeatReplyValidity ago. Workers drop replies after 4 s; the
//     constant adds the drift of their clocks. Within that time the heartbeat may also be a delayed copy from before
//     a restart of the worker process, if this leader does not know of the restart yet.
//   - The heartbeat may be a delayed copy from before a known restart. It does not prove that the task is not on the
//     machine now.
func (rc *reconciliation) startMayArrive(id AttemptID, allocation *jobs.Allocation) bool {
	return rc.machine.tokens.startMayBeObeyed(id) ||
		rc.now.Sub(allocation.StartSentAt) < tuning.HeartbeatReplyValidity ||
		!rc.hb.Newer(rc.machine.lastBeforeRestart.Incarnation, rc.machine.lastBeforeRestart.Seq)
}

// repeatStart sends the start of an attempt again. It has no effect if the worker already knows the attempt.
func (rc *reconciliation) repeatStart(allocation *jobs.Allocation) {
	rc.starts = append(rc.starts, startCommand(allocation))
	allocation.StartSentAt = rc.now
}

// startAndStop sends a start of an attempt followed by a stop. The worker then knows the attempt, so a late start has
// no effect.
func (rc *reconciliation) startAndStop(allocation *jobs.Allocation) {
	rc.starts = append(rc.starts, startCommand(allocation), stopCommand(allocation))
	allocation.StartSentAt = rc.now
}

func (rc *reconciliation) addOutcome(o Outcome) { rc.result.Outcomes = append(rc.result.Outcomes, o) }
