package machines

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// reconciliation compares the tasks that a heartbeat lists with the allocations of its machine. It gathers outcomes and
// commands. The heartbeat is already admitted, and its machine's liveness brought up to date.
type reconciliation struct {
	machine           *Machine
	heartbeat         *wire.Heartbeat
	direct            bool // the heartbeat is the answer to a direct request
	now               time.Time
	newIncarnation    bool      // it is the first message of its incarnation; Registry.beginIncarnation settled the earlier ones
	previousHeartbeat time.Time // when the heartbeat before came; zero: none came in this term
	// hasTermToken: the worker has seen the term's token (Registry.fenced), so no direct start of an older leader may arrive. A
	// heartbeat without it may be a delayed copy from before a restart of the worker process.
	hasTermToken bool

	stops, forgets, starts []wire.Command
	result                 HeartbeatResult
}

// commands returns the commands of the reply: stops, then forgets, then starts.
func (rc *reconciliation) commands() []wire.Command {
	all := make([]wire.Command, 0, len(rc.stops)+len(rc.forgets)+len(rc.starts))
	all = append(all, rc.stops...)
	all = append(all, rc.forgets...)
	return append(all, rc.starts...)
}

// processListed goes through the tasks that the heartbeat lists, and enters them into listed.
func (rc *reconciliation) processListed(listed map[AttemptID]*wire.TaskStatus, mayForget MayForget) {
	for i := range rc.heartbeat.Tasks {
		status := &rc.heartbeat.Tasks[i]
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

// forgetExitedOrphan has the worker forget an exited attempt without an allocation. Not while the stored record names it, and not
// while a start of it may still arrive: of an older leader, or a direct one without an answer.
func (rc *reconciliation) forgetExitedOrphan(id AttemptID, status *wire.TaskStatus, mayForget MayForget) {
	rc.dropOrphan(id)
	switch {
	case !mayForget(id):
		rc.result.RetainedExits = append(rc.result.RetainedExits, id)
	case !rc.direct && rc.hasTermToken && rc.machine.unansweredStarts[id] == 0:
		rc.forgets = append(rc.forgets, forgetCommand(status))
	}
}

// stopOrphan stops an attempt that no known record places on the machine. It counts as an orphan until it is gone.
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

// processExitedAllocation ends an allocation whose task exited. What may be a copy proves that only of a task that completed, for
// what completed, completed: another end may be from before a restart of the worker process, since a recorded attempt is
// started again after one.
func (rc *reconciliation) processExitedAllocation(allocation *jobs.Allocation, status *wire.TaskStatus) {
	mayBeCopy := !rc.direct && !rc.hasTermToken
	if mayBeCopy && status.Reason != wire.ExitDone {
		return
	}
	rc.addOutcome(Outcome{Allocation: allocation, Reason: status.Reason, Saved: status.Saved, NotRunningAt: rc.previousHeartbeat})
}

// processPresentAllocation records the state of a task that is where it belongs, and stops it if that is wanted. One that saves its
// progress is told again only if it is to have no more time for that.
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

// dropMissingOrphans drops the orphans that the heartbeat lacks: they are gone. A direct answer proves no such thing.
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

// processMissingAllocations goes through the machine's allocations that the heartbeat lacks: it starts again what is wanted, and
// concludes that the rest is gone, if nothing can start it any more.
func (rc *reconciliation) processMissingAllocations(listed map[AttemptID]*wire.TaskStatus) {
	for id, allocation := range rc.machine.Allocations {
		switch {
		case rc.fromEarlierIncarnation(allocation):
			rc.addOutcome(lostOutcome(allocation))
		case listed[id] != nil || !allocation.Committed || allocation.Incarnation != rc.heartbeat.Incarnation:
			// It is there, it may not be started yet, or the heartbeat tells nothing of its incarnation.
		case rc.direct:
			// It carries no commands, and proves nothing of what it lacks: a reply with the start may be on its way.
		case allocation.Stop == nil:
			rc.repeatStart(allocation)
		case !rc.hasTermToken:
			// A start by the leader of an older term may still arrive.
		case rc.startMayArrive(id, allocation):
			rc.startAndStop(allocation)
		default:
			rc.addOutcome(Outcome{Allocation: allocation, Reason: wire.ExitStopped, NotRunningAt: rc.now})
		}
	}
}

// fromEarlierIncarnation reports whether an allocation is of an earlier incarnation than the heartbeat, which did not begin with this
// heartbeat: it was recorded beside others of the later one, by a leader that ended before it had written that the task is
// gone. Since no incarnation began, the earlier ones were not settled, and the task would never be wanted again. Without the
// term's token the heartbeat may be a copy from before a restart of the worker process, and the task in the incarnation of
// the process that runs.
func (rc *reconciliation) fromEarlierIncarnation(allocation *jobs.Allocation) bool {
	return !rc.newIncarnation && rc.hasTermToken && allocation.Incarnation < rc.heartbeat.Incarnation
}

// startMayArrive reports whether a start of an allocation that the heartbeat lacks may still arrive: a direct one that had no
// answer, or one in a reply, which workers drop after 4 s (tuning.HeartbeatReplyLife has their drift). Within that time the
// heartbeat may be a copy from before a restart of the worker process that is not known yet. Nor does a heartbeat that may be
// a copy from before a known restart prove that the task is not there.
func (rc *reconciliation) startMayArrive(id AttemptID, allocation *jobs.Allocation) bool {
	return rc.machine.unansweredStarts[id] > 0 ||
		rc.now.Sub(allocation.StartSentAt) < tuning.HeartbeatReplyLife ||
		!rc.heartbeat.Newer(rc.machine.lastBeforeRestart.Incarnation, rc.machine.lastBeforeRestart.Seq)
}

// repeatStart repeats the start of an attempt, which has no effect if it is known there.
func (rc *reconciliation) repeatStart(allocation *jobs.Allocation) {
	rc.starts = append(rc.starts, startCommand(allocation))
	allocation.StartSentAt = rc.now
}

// startAndStop has an attempt started and stopped at once: so it becomes known there, and a late start has no effect.
func (rc *reconciliation) startAndStop(allocation *jobs.Allocation) {
	rc.starts = append(rc.starts, startCommand(allocation), stopCommand(allocation))
	allocation.StartSentAt = rc.now
}

func (rc *reconciliation) addOutcome(o Outcome) { rc.result.Outcomes = append(rc.result.Outcomes, o) }
