package leader

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// preempt stops tasks to make room for jobs that are within their team's guarantee, found no room on any machine, and
// have used up half of the wait that their objective allows.
func (l *Loop) preempt(now time.Time, pending []*placement.PendingJob, views []*placement.Machine, teams map[string]*placement.Team, byID map[string]*jobs.Job) {
	preemptors := l.duePreemptors(pending, byID, now)
	if len(preemptors) == 0 || l.heartbeatsMayBeMissing(now) {
		return
	}
	views = l.allSchedulableMachines(now, views)
	for _, v := range views {
		v.Victims = victims(l.machines.Machines[v.Name], now)
	}
	waitingBefore := make([]int, len(preemptors))
	for i, p := range preemptors {
		waitingBefore[i] = p.Waiting
	}
	l.stopVictims(placement.Preempt(preemptors, views, teams))
	for i, p := range preemptors {
		if p.Waiting < waitingBefore[i] {
			byID[p.Job.ID].PreemptingUntil = now.Add(tuning.PreemptBackoff)
		}
	}
}

// duePreemptors returns the pending jobs for which tasks may be preempted now.
func (l *Loop) duePreemptors(pending []*placement.PendingJob, byID map[string]*jobs.Job, now time.Time) []*placement.PendingJob {
	var due []*placement.PendingJob
	for _, p := range pending {
		maxWaitS, ok := l.env.maxStartWaitS(p.Job.Class)
		if !ok || p.Waiting == 0 || p.OnProbation || now.Before(byID[p.Job.ID].PreemptingUntil) {
			continue
		}
		if now.Sub(p.WaitingSince) >= seconds(maxWaitS*tuning.PreemptWaitShare) {
			due = append(due, p)
		}
	}
	return due
}

// heartbeatsMayBeMissing reports whether a failover was so recent that many jobs may wait only because machines have
// not yet sent the new leader a heartbeat.
func (l *Loop) heartbeatsMayBeMissing(now time.Time) bool {
	return l.leadership.Term > 1 && now.Sub(l.startedAt) < tuning.PreemptDelayAfterFailover
}

// stopVictims stops the tasks that were chosen to make room.
func (l *Loop) stopVictims(chosen []placement.Victim) {
	var stopped []*jobs.Allocation
	for _, v := range chosen {
		a := v.Ref.(*jobs.Allocation)
		a.Stop = &jobs.StopRequest{Reason: charge.Preempted}
		stopped = append(stopped, a)
		l.log.Debug("task chosen for preemption; stopping it", "task", a.Task().String(), "class", a.Job.Class, "machine", a.Machine,
			"cost_s", v.Cost, "for", v.Preemptor.ID, "for_class", v.Preemptor.Class)
	}
	l.sendCommands(stopped)
}

// victims returns the tasks on a machine that may be preempted now. A task that was lost or stopped before is
// excluded: otherwise, in a full cluster, the same tasks would be stopped over and over and never finish.
func victims(m *machines.Machine, now time.Time) []placement.Victim {
	var out []placement.Victim
	for _, a := range m.Allocations {
		started := a.State == wire.TaskRunning || a.State == wire.TaskFetching
		if a.Stop == nil && a.Committed && a.Attempt <= 1 && started {
			out = append(out, placement.Victim{Job: &a.Job.Job, Ref: a, Cost: preemptionCostS(a, now)})
		}
	}
	return out
}

// preemptionCostS returns the cost of preempting a task, in seconds: the work that would be lost, and more for a high
// priority or for a task that has only just started.
func preemptionCostS(a *jobs.Allocation, now time.Time) float64 {
	cost := tuning.PreemptPriorityCostS * float64(a.Job.Priority.Level())
	if a.State != wire.TaskRunning {
		return cost
	}
	ran := now.Sub(a.RunningSince)
	lost := ran.Seconds()
	if a.Job.CheckpointS > 0 {
		lost = min(lost, a.Job.CheckpointS)
	}
	cost += lost
	if ran < tuning.PreemptMinRun {
		cost += tuning.PreemptFreshCostS
	}
	return cost
}
