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

// deletions holds the machines that are returned to the cloud. One request is in flight at a time, and machines added
// meanwhile wait for the next request, so that deletions use little of the cloud's rate limit.
type deletions struct {
	inFlight bool
	queue    []string // names of the machines for the following requests
}

// add adds machines to the queue.
func (d *deletions) add(names []string) { d.queue = append(d.queue, names...) }

// nextBatch removes the machines of the next request from the queue and marks that request as in flight. It returns nil
// while another request is in flight.
func (d *deletions) nextBatch() []string {
	if d.inFlight || len(d.queue) == 0 {
		return nil
	}
	n := min(len(d.queue), wire.MaxDelete)
	batch := d.queue[:n]
	d.queue = slices.Clone(d.queue[n:])
	d.inFlight = true
	return batch
}

// scaleIn returns machines to the cloud that are idle, surplus or unhealthy, that never sent a heartbeat, or that have
// become silent or unreachable.
func (l *Loop) scaleIn(now time.Time) {
	if l.deletions.inFlight {
		return
	}
	rule := returnRule{l: l, now: now, silenceLimit: l.silenceUntilReturn()}
	var names []string
	for _, m := range l.machines.Machines {
		if m.Returning || len(m.Allocations) > 0 || len(names) >= wire.MaxDelete {
			continue
		}
		if reason := rule.reason(m); reason != "" {
			m.Returning = true
			names = append(names, m.Name)
			l.log.Info("machine has no tasks and is not needed or not usable; returning it to the cloud", "machine", m.Name, "reason", reason)
		}
	}
	l.deleteMachines(names)
}

// returnRule decides which machines without tasks are returned at time now.
type returnRule struct {
	l            *Loop
	now          time.Time
	silenceLimit time.Duration   // how long a machine is silent before it counts as dead
	needed       map[string]bool // names of idle machines that expected jobs would use; computed on first use
}

// reason returns why a machine is returned to the cloud; empty: it stays rented.
func (r *returnRule) reason(m *machines.Machine) string {
	switch {
	case m.LastHeartbeat.IsZero() && m.ListedRunning:
		lease := workerlease.WithDrift(r.l.env.workerLease())
		return reasonIf("silent", r.now.Sub(m.AddedAt) > lease+r.silenceLimit)
	case m.LastHeartbeat.IsZero() && m.Incarnation == 0:
		overdue := r.now.Sub(m.RentedAt) > r.l.maxBootTime(m.Type, tuning.BootGiveUpFactor)
		return reasonIf("never came up", overdue && r.now.Sub(m.AddedAt) > tuning.AdoptedMachineWait)
	case !m.Alive():
		return reasonIf("silent", r.now.Sub(m.LeaseExpiry) > r.silenceLimit)
	case m.Reachability.Unreachable():
		return reasonIf("unreachable", r.now.Sub(m.Reachability.UnreachableSince()) > r.silenceLimit)
	case m.HasOrphans():
		return ""
	case m.Unhealthy:
		return "unhealthy"
	case m.Draining:
		return "surplus"
	}
	return reasonIf("idle", r.idleTooLong(m))
}

// reasonIf returns reason if holds is true, and an empty string otherwise.
func reasonIf(reason string, holds bool) string {
	if holds {
		return reason
	}
	return ""
}

// idleTooLong reports whether a machine has been idle for longer than Tunables.IdleKeep and no expected job would use it.
func (r *returnRule) idleTooLong(m *machines.Machine) bool {
	if r.now.Sub(m.IdleSince) <= r.l.env.Tunables.IdleKeep {
		return false
	}
	if r.needed == nil {
		r.needed = r.l.idleMachinesNeeded(r.now)
	}
	return !r.needed[m.Name]
}

// silenceUntilReturn returns how long machines may be silent after their lease expiry before they are returned. If many
// are silent together, they are partitioned rather than dead, and become usable again when the partition ends; the
// cloud lists the dead ones among them as failed. Machines that have sent no heartbeat but are listed as running count
// as silent too. Otherwise a leader that is elected during a partition would conclude that the machines of the zone that
// it cannot reach never came up, and would return them (74 machines in one case).
func (l *Loop) silenceUntilReturn() time.Duration {
	silentCount := 0
	for _, m := range l.machines.Machines {
		if m.Reachability.Unreachable() || !m.Alive() && (m.ListedRunning || m.Incarnation > 0) {
			silentCount++
		}
	}
	if silentCount >= tuning.PartitionMinMachines && float64(silentCount) >= tuning.PartitionFleetShare*float64(len(l.machines.Machines)) {
		return tuning.SilentReturnAfterPartition
	}
	return tuning.SilentReturnAfter
}

// idleMachinesNeeded returns the names of the idle machines that the expected jobs would use. These jobs are assumed to
// fill the machines in use first, and then to prefer spot machines and cheap ones.
func (l *Loop) idleMachinesNeeded(now time.Time) map[string]bool {
	expected := l.expectedJobs(now)
	candidates := l.inOrderOfUse(l.machinesWithRoomFor(now, expected))
	teams := autoscale.UnlimitedTeams(expected)
	placement.Sort(expected, teams, now)
	needed := map[string]bool{}
	for _, c := range candidates {
		expected = slices.DeleteFunc(expected, func(p *placement.PendingJob) bool { return p.Waiting == 0 })
		if len(expected) == 0 {
			break
		}
		placed := placement.ScheduleSorted(now, expected, []*placement.Machine{c.Machine}, teams)
		if len(placed) > 0 && !c.inUse {
			needed[c.Name] = true
		}
	}
	return needed
}

// useCandidate is a machine that expected jobs may use.
type useCandidate struct {
	*placement.Machine
	inUse bool // it has tasks
}

// inOrderOfUse returns machines in the order in which expected jobs use them: those with tasks first, then spot
// machines, then cheap ones.
func (l *Loop) inOrderOfUse(views []*placement.Machine) []useCandidate {
	out := make([]useCandidate, len(views))
	for i, v := range views {
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

// deleteMachines queues machines for deletion, and sends the next request if none is in flight.
func (l *Loop) deleteMachines(names []string) {
	l.deletions.add(names)
	if batch := l.deletions.nextBatch(); len(batch) > 0 {
		go l.deleteUntilAnswered(batch)
	}
}

// deleteUntilAnswered asks the cloud to delete machines, and retries until the request succeeds. Deletions may safely be
// repeated.
func (l *Loop) deleteUntilAnswered(names []string) {
	for l.awaitValidLeadership() {
		if err := l.env.Cloud.Delete(l.termCtx, names); err != nil {
			l.log.Debug("machine deletion failed; retrying", "err", err)
			l.env.sleep(l.termCtx, tuning.CloudRetryPause)
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

// machinesLost ends all attempts that were on machines that no longer exist.
func (l *Loop) machinesLost(names []string) {
	now := l.env.Clock.Now()
	for _, name := range names {
		l.applyOutcomes(l.machines.MarkLost(name, now), now)
	}
}
