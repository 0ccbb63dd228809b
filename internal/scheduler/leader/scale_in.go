package leader

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// deletions is the machines that are given back to the cloud. One request is in flight at a time: what comes meanwhile waits for
// the next, so that deletions take little of the cloud's rate.
type deletions struct {
	inFlight bool
	queue    []string // the machines of the requests after it
}

// add adds machines to the queue.
func (d *deletions) add(names []string) { d.queue = append(d.queue, names...) }

// take takes the machines of the next request off the queue; none while one is in flight.
func (d *deletions) take() []string {
	if d.inFlight || len(d.queue) == 0 {
		return nil
	}
	n := min(len(d.queue), wire.MaxDelete)
	next := d.queue[:n]
	d.queue = slices.Clone(d.queue[n:])
	d.inFlight = true
	return next
}

// scaleIn gives back what is idle, never came up, or fell silent.
func (l *Loop) scaleIn(now time.Time) {
	if l.deletions.inFlight {
		return
	}
	rule := returnRule{l: l, now: now, silentFor: l.silenceUntilReturn()}
	var names []string
	for _, m := range l.machines.Machines {
		if m.Returning || len(m.Allocations) > 0 || len(names) >= wire.MaxDelete {
			continue
		}
		if reason := rule.reason(m); reason != "" {
			m.Returning = true
			names = append(names, m.Name)
			l.log.Info("returning machine", "machine", m.Name, "reason", reason)
		}
	}
	l.deleteMachines(names)
}

// returnRule decides which of the machines without tasks are returned at a time.
type returnRule struct {
	l         *Loop
	now       time.Time
	silentFor time.Duration   // after which a machine counts as dead
	needed    map[string]bool // idle machines that are kept; worked out for the first that could go
}

// reason is why a machine is returned; empty: it is kept.
func (r *returnRule) reason(m *machines.Machine) string {
	switch {
	case m.LastHeartbeat.IsZero() && m.ListedRunning:
		lease := workerlease.WithDrift(r.l.env.workerLease())
		return reasonIf("silent", r.now.Sub(m.AddedAt) > lease+r.silentFor)
	case m.LastHeartbeat.IsZero() && m.Incarnation == 0:
		overdue := r.now.Sub(m.RentedAt) > r.l.bootTime(m.Type, tuning.BootGiveUp)
		return reasonIf("never came up", overdue && r.now.Sub(m.AddedAt) > tuning.AdoptWait)
	case !m.Alive():
		return reasonIf("silent", r.now.Sub(m.LeaseExpiry) > r.silentFor)
	case m.Reachability.Unreachable():
		return reasonIf("unreachable", r.now.Sub(m.Reachability.UnreachableSince()) > r.silentFor)
	case m.HasOrphans():
		return ""
	case m.Unhealthy:
		return "unhealthy"
	case m.Draining:
		return "surplus"
	}
	return reasonIf("idle", r.idleTooLong(m))
}

// reasonIf is a reason if it holds, or none.
func reasonIf(reason string, holds bool) string {
	if holds {
		return reason
	}
	return ""
}

// idleTooLong reports whether a machine has been idle for long, and no expected job would use it.
func (r *returnRule) idleTooLong(m *machines.Machine) bool {
	if r.now.Sub(m.IdleSince) <= r.l.env.Tunables.IdleKeep {
		return false
	}
	if r.needed == nil {
		r.needed = r.l.idleMachinesNeeded(r.now)
	}
	return !r.needed[m.Name]
}

// silenceUntilReturn is how long machines may be silent after their leases before
// they are returned. Many silent together are partitioned, not dead, and are of
// use again once the partition ends; the dead among them the cloud lists as failed.
// After a failover in a partition 74 machines of the other zone, listed as running,
// were returned as never having come up.
func (l *Loop) silenceUntilReturn() time.Duration {
	silent := 0
	for _, m := range l.machines.Machines {
		if m.Reachability.Unreachable() || !m.Alive() && (m.ListedRunning || m.Incarnation > 0) {
			silent++
		}
	}
	if silent >= tuning.SilentMany && float64(silent) >= tuning.SilentManyShare*float64(len(l.machines.Machines)) {
		return tuning.SilentReturnAfterCut
	}
	return tuning.SilentReturnAfter
}

// idleMachinesNeeded are the idle machines that the expected jobs would use, when they take
// the machines in use and the cheap ones first.
func (l *Loop) idleMachinesNeeded(now time.Time) map[string]bool {
	pending := l.expectedJobs(now)
	candidates := l.inOrderOfUse(l.machinesWithRoomFor(now, pending))
	teams := autoscale.UnlimitedTeams(pending)
	placement.Sort(pending, teams, now)
	needed := map[string]bool{}
	for _, c := range candidates {
		pending = slices.DeleteFunc(pending, func(p *placement.PendingJob) bool { return p.Waiting == 0 })
		if len(pending) == 0 {
			break
		}
		placed := placement.ScheduleSorted(now, pending, []*placement.Machine{c.Machine}, teams)
		if len(placed) > 0 && !c.inUse {
			needed[c.Name] = true
		}
	}
	return needed
}

// useCandidate is a machine that expected jobs may use.
type useCandidate struct {
	*placement.Machine
	inUse bool
}

// inOrderOfUse puts machines in the order in which expected jobs take them: those in use first, then spot ones, then cheap ones.
func (l *Loop) inOrderOfUse(open []*placement.Machine) []useCandidate {
	out := make([]useCandidate, len(open))
	for i, v := range open {
		out[i] = useCandidate{v, l.inUse(v)}
	}
	slices.SortFunc(out, func(a, b useCandidate) int {
		return cmp.Or(trueFirst(a.inUse, b.inUse), trueFirst(a.Spot, b.Spot), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// deleteMachines has machines deleted, with the next request.
func (l *Loop) deleteMachines(names []string) {
	l.deletions.add(names)
	if next := l.deletions.take(); len(next) > 0 {
		go l.deleteUntilAnswered(next)
	}
}

// deleteUntilAnswered deletes machines, again until that has succeeded: it may be repeated.
func (l *Loop) deleteUntilAnswered(names []string) {
	for l.awaitRightToAct() {
		if err := l.env.Cloud.Delete(l.ended, names); err != nil {
			l.log.Debug("deletion repeated", "err", err)
			l.env.sleep(l.ended, tuning.CloudRetry)
			continue
		}
		l.post(func() {
			l.deletions.inFlight = false
			l.machinesLost(names)
			l.deleteMachines(nil)
		})
		return
	}
}

// machinesLost ends all that was on machines that are gone.
func (l *Loop) machinesLost(names []string) {
	now := l.env.Clock.Now()
	for _, name := range names {
		l.applyOutcomes(l.machines.MarkLost(name, now), now)
	}
}
