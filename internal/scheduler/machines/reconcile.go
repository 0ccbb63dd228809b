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
	m              *Machine
	hb             *wire.Heartbeat
	direct         bool // the heartbeat is the answer to a direct request
	now            time.Time
	newIncarnation bool      // it is the first message of its incarnation; Registry.beginIncarnation settled the earlier ones
	lastHeartbeat  time.Time // when the heartbeat before came; zero: none came in this term
	// fenced: the worker has seen the term's token (Registry.fenced), so no direct start of an older leader may arrive. A
	// heartbeat without it may be a delayed copy from before a restart of the worker process.
	fenced bool

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

// reported goes through the tasks that the heartbeat lists, and enters them into listed.
func (rc *reconciliation) reported(listed map[AttemptID]*wire.TaskStatus, mayForget MayForget) {
	for i := range rc.hb.Tasks {
		t := &rc.hb.Tasks[i]
		id, ok := wire.ParseTaskID(t.Task)
		if !ok {
			continue
		}
		k := AttemptID{Task: id, Attempt: t.Attempt}
		listed[k] = t
		p, exited := rc.m.Allocations[k], t.State == wire.TaskExited
		switch {
		case p == nil && exited:
			rc.orphanExited(k, t, mayForget)
		case p == nil:
			rc.orphanPresent(k, t)
		case exited:
			rc.allocationExited(p, t)
		default:
			rc.allocationPresent(p, t)
		}
	}
}

// orphanExited has the worker forget an exited attempt without an allocation. Not while the stored record names it, and not
// while a start of it may still arrive: of an older leader, or a direct one without an answer.
func (rc *reconciliation) orphanExited(k AttemptID, t *wire.TaskStatus, mayForget MayForget) {
	rc.dropOrphan(k)
	switch {
	case !mayForget(k):
		rc.result.RetainedExits = append(rc.result.RetainedExits, k)
	case !rc.direct && rc.fenced && rc.m.openStarts[k] == 0:
		rc.forgets = append(rc.forgets, forgetCommand(t))
	}
}

// orphanPresent stops an attempt that no known record places on the machine. It counts as an orphan until it is gone.
func (rc *reconciliation) orphanPresent(k AttemptID, t *wire.TaskStatus) {
	rc.m.orphans[k] = true
	rc.stops = append(rc.stops, stopOrphanCommand(t))
}

func (rc *reconciliation) dropOrphan(k AttemptID) {
	if rc.m.orphans[k] {
		delete(rc.m.orphans, k)
		rc.result.Changed = true
	}
}

// allocationExited ends an allocation whose task exited. What may be a copy proves that only of a task that completed, for
// what completed, completed: another end may be from before a restart of the worker process, since a recorded attempt is
// started again after one.
func (rc *reconciliation) allocationExited(p *jobs.Allocation, t *wire.TaskStatus) {
	mayBeCopy := !rc.direct && !rc.fenced
	if mayBeCopy && t.Reason != wire.ExitDone {
		return
	}
	rc.end(Outcome{Allocation: p, Reason: t.Reason, Saved: t.Saved, NotRunningAt: rc.lastHeartbeat})
}

// allocationPresent records the state of a task that is where it belongs, and stops it if that is wanted. One that saves its
// progress is told again only if it is to have no more time for that.
func (rc *reconciliation) allocationPresent(p *jobs.Allocation, t *wire.TaskStatus) {
	if t.State == wire.TaskRunning && p.State != wire.TaskRunning {
		p.RunningSince = rc.now
		rc.result.Started = append(rc.result.Started, p)
	}
	p.State = t.State
	if p.Stop != nil && (t.State != wire.TaskSaving || p.Stop.GraceS == 0) {
		rc.stops = append(rc.stops, stopCommand(p))
	}
}

// orphansMissing drops the orphans that the heartbeat lacks: they are gone. A direct answer proves no such thing.
func (rc *reconciliation) orphansMissing(listed map[AttemptID]*wire.TaskStatus) {
	if rc.direct {
		return
	}
	for k := range rc.m.orphans {
		if listed[k] == nil {
			rc.dropOrphan(k)
		}
	}
}

// allocationsMissing goes through the machine's allocations that the heartbeat lacks: it starts again what is wanted, and
// concludes that the rest is gone, if nothing can start it any more.
func (rc *reconciliation) allocationsMissing(listed map[AttemptID]*wire.TaskStatus) {
	for k, p := range rc.m.Allocations {
		switch {
		case rc.leftOver(p):
			rc.end(lost(p))
		case listed[k] != nil || !p.Committed || p.Incarnation != rc.hb.Incarnation:
			// It is there, it may not be started yet, or the heartbeat tells nothing of its incarnation.
		case rc.direct:
			// It carries no commands, and proves nothing of what it lacks: a reply with the start may be on its way.
		case p.Stop == nil:
			rc.startAgain(p)
		case !rc.fenced:
			// A start by the leader of an older term may still arrive.
		case rc.startMayArrive(k, p):
			rc.startAndStop(p)
		default:
			rc.end(Outcome{Allocation: p, Reason: wire.ExitStopped, NotRunningAt: rc.now})
		}
	}
}

// leftOver reports whether an allocation is of an earlier incarnation than the heartbeat, which did not begin with this
// heartbeat: it was recorded beside others of the later one, by a leader that ended before it had written that the task is
// gone. Since no incarnation began, the earlier ones were not settled, and the task would never be wanted again. Without the
// term's token the heartbeat may be a copy from before a restart of the worker process, and the task in the incarnation of
// the process that runs.
func (rc *reconciliation) leftOver(p *jobs.Allocation) bool {
	return !rc.newIncarnation && rc.fenced && p.Incarnation < rc.hb.Incarnation
}

// startMayArrive reports whether a start of an allocation that the heartbeat lacks may still arrive: a direct one that had no
// answer, or one in a reply, which workers drop after 4 s (tuning.HeartbeatReplyLife has their drift). Within that time the
// heartbeat may be a copy from before a restart of the worker process that is not known yet. Nor does a heartbeat that may be
// a copy from before a known restart prove that the task is not there.
func (rc *reconciliation) startMayArrive(k AttemptID, p *jobs.Allocation) bool {
	return rc.m.openStarts[k] > 0 ||
		rc.now.Sub(p.StartSentAt) < tuning.HeartbeatReplyLife ||
		!rc.hb.Newer(rc.m.beforeRestart.Incarnation, rc.m.beforeRestart.Seq)
}

// startAgain repeats the start of an attempt, which has no effect if it is known there.
func (rc *reconciliation) startAgain(p *jobs.Allocation) {
	rc.starts = append(rc.starts, startCommand(p))
	p.StartSentAt = rc.now
}

// startAndStop has an attempt started and stopped at once: so it becomes known there, and a late start has no effect.
func (rc *reconciliation) startAndStop(p *jobs.Allocation) {
	rc.starts = append(rc.starts, startCommand(p), stopCommand(p))
	p.StartSentAt = rc.now
}

func (rc *reconciliation) end(o Outcome) { rc.result.Outcomes = append(rc.result.Outcomes, o) }
