package leader

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// replicaMoves is the state for moving service replicas off machines that are being drained.
type replicaMoves struct {
	next    time.Time // when consolidation is next due
	budgetS float64   // downtime that moves may still cause, in seconds
}

// addBudget increases the downtime budget by the amount for an interval of tuning.ConsolidateEvery. The downtime of all
// moves together may be at most the share tuning.MoveDowntimeShare of the time that all replicas run. replicaCount is the
// number of replicas that are allocated to machines.
func (r *replicaMoves) addBudget(replicaCount int) {
	allowedS := float64(replicaCount) * tuning.ConsolidateEvery.Seconds() * tuning.MoveDowntimeShare
	r.budgetS = min(r.budgetS+allowedS, max(allowedS, tuning.MoveDowntimeBudgetMax.Seconds()))
}

// consolidate drains machines whose tasks fit on others that stay rented anyway, so that the drained machines can be
// returned. Otherwise a single service replica would keep a machine rented for as long as the replica runs. Tasks of
// arrays end by themselves; replicas are moved a few at a time.
func (l *Loop) consolidate(now time.Time) {
	if now.Before(l.moves.next) {
		return
	}
	l.moves.next = now.Add(tuning.ConsolidateEvery)
	draining := l.drainingMachines()
	shortOfRoom := l.jobsShortOfRoom(now)
	l.undrainForWaitingJobs(shortOfRoom, draining, now)

	schedulable := l.schedulableMachines(now)
	expected := l.expectedJobs(now)
	placement.Schedule(now, expected, schedulable, autoscale.UnlimitedTeams(expected)) // the expected jobs occupy the room reserved for them
	inUse := l.filterInUse(schedulable)
	dryRun := placement.NewDryRun(inUse)
	undrainIfTasksFitNowhere(dryRun, draining, now)
	roomForExpected := !slices.ContainsFunc(expected, func(p *placement.PendingJob) bool { return p.Waiting > 0 })
	// During a partition nothing is drained: the rest of the fleet has to replace the unreachable zone.
	if len(shortOfRoom) == 0 && roomForExpected && len(l.partitionedZones(now)) == 0 {
		l.drainSurplus(dryRun, inUse, now)
	}
	l.moveReplicas(l.drainingMachines(), now)
}

// drainingMachines returns the machines that are being drained, sorted by name.
func (l *Loop) drainingMachines() []*machines.Machine {
	var out []*machines.Machine
	for _, m := range l.machines.Machines {
		if m.Draining {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *machines.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// filterInUse returns those of the machines that have tasks. It modifies the given slice, which must not be used
// afterwards.
func (l *Loop) filterInUse(views []*placement.Machine) []*placement.Machine {
	return slices.DeleteFunc(views, func(v *placement.Machine) bool { return !l.inUse(v) })
}

// jobsShortOfRoom returns the jobs that wait for room on machines. It excludes jobs on probation, for which no room is
// made. It also excludes jobs whose team has reached its quota: they can start only after other tasks of the team have
// ended, so more machines would not help them.
func (l *Loop) jobsShortOfRoom(now time.Time) []*placement.PendingJob {
	pending, _ := l.pendingJobs(now)
	teams := l.teams()
	return slices.DeleteFunc(pending, func(p *placement.PendingJob) bool {
		return p.OnProbation || placement.TasksWithinQuota(p, teams) == 0
	})
}

// undrainForWaitingJobs ends the draining of machines on which waiting jobs fit.
func (l *Loop) undrainForWaitingJobs(shortOfRoom []*placement.PendingJob, draining []*machines.Machine, now time.Time) {
	var views []*placement.Machine
	for _, m := range draining {
		if v, ok := l.machineView(m); ok && m.Alive() {
			views = append(views, &v)
		}
	}
	if len(shortOfRoom) == 0 || len(views) == 0 {
		return
	}
	for _, p := range placement.Schedule(now, shortOfRoom, views, l.teams()) {
		l.machines.Machines[p.Machine.Name].Draining = false
	}
}

// undrainIfTasksFitNowhere ends the draining of machines that died, or whose tasks no longer fit on the other machines.
func undrainIfTasksFitNowhere(dryRun *placement.DryRun, draining []*machines.Machine, now time.Time) {
	for _, m := range draining {
		if m.Draining && (!m.Alive() || !dryRun.TryPlace(now, tasksAsPending(m, now), nil)) {
			m.Draining = false
		}
	}
}

// drainSurplus starts to drain machines whose tasks fit on the other machines in use. It first tries the machines whose
// return saves the most money for each task that has to move.
func (l *Loop) drainSurplus(dryRun *placement.DryRun, inUse []*placement.Machine, now time.Time) {
	savedPerTask := func(v *placement.Machine) float64 {
		return l.pricePerHour(v) / float64(1+len(l.machines.Machines[v.Name].Allocations))
	}
	bySavings := slices.SortedFunc(slices.Values(inUse), func(a, b *placement.Machine) int {
		return cmp.Or(cmp.Compare(savedPerTask(b), savedPerTask(a)), cmp.Compare(a.Name, b.Name))
	})
	candidates := bySavings[:min(len(bySavings), max(tuning.ConsolidateCandidatesMin, len(bySavings)/tuning.ConsolidateCandidateDivisor))]
	for _, v := range candidates {
		m := l.machines.Machines[v.Name]
		if dryRun.TryPlace(now, tasksAsPending(m, now), v) {
			m.Draining = true
			l.log.Info("tasks of a machine fit on the other machines in use; draining it", "machine", m.Name, "type", m.Type, "spot", m.Spot, "tasks", len(m.Allocations))
		}
	}
}

// pricePerHour returns the price of a machine per hour, which is the spot price for a spot machine.
func (l *Loop) pricePerHour(v *placement.Machine) float64 {
	if t := l.env.machineType(v.Type); t != nil && v.Spot {
		return t.SpotPrice
	}
	return v.Price
}

// tasksAsPending returns the tasks on a machine as pending jobs, as if they had to be placed anew.
func tasksAsPending(m *machines.Machine, now time.Time) []*placement.PendingJob {
	byJob := map[*jobs.Job]*placement.PendingJob{}
	var pending []*placement.PendingJob
	for _, a := range m.Allocations {
		p := byJob[a.Job]
		if p == nil {
			p = &placement.PendingJob{Job: &a.Job.Job, WaitingSince: now, Zones: zoneCounts(a.Job)}
			byJob[a.Job] = p
			pending = append(pending, p)
		}
		p.Waiting++
		if p.Zones != nil {
			p.Zones[a.Zone]--
		}
	}
	return pending
}

// moveReplicas stops replicas on machines that are being drained, as far as the downtime budget allows. The next
// scheduling cycle places them on other machines.
func (l *Loop) moveReplicas(draining []*machines.Machine, now time.Time) {
	replicaCount := l.countAllocatedReplicas()
	l.moves.addBudget(replicaCount)
	maxMoves := max(tuning.MovesPerCheckMin, replicaCount/tuning.MovesPerCheckDivisor)
	var moved []*jobs.Allocation
	var dryRun *placement.DryRun // of the machines in use; created for the first movable replica, because mostly there is none
	for _, m := range draining {
		if !m.Draining || len(moved) >= maxMoves {
			continue
		}
		for _, a := range m.Allocations {
			if !movable(a, now) {
				continue
			}
			if dryRun == nil {
				dryRun = placement.NewDryRun(l.filterInUse(l.schedulableMachines(now)))
			}
			downtimeS, ok := moveDowntimeS(a, dryRun, now)
			if !ok || downtimeS > l.moves.budgetS || len(moved) >= maxMoves {
				continue
			}
			l.moves.budgetS -= downtimeS
			a.Stop = &jobs.StopRequest{Reason: charge.Drained}
			moved = append(moved, a)
		}
	}
	l.sendCommands(moved)
}

// countAllocatedReplicas counts the replicas of all services that are allocated to a machine.
func (l *Loop) countAllocatedReplicas() int {
	n := 0
	for _, j := range l.jobs.Jobs {
		if j.Kind == wire.KindService {
			n += j.Allocated
		}
	}
	return n
}

// movable reports whether an allocation is a service replica that may be moved. Replicas that started recently are not
// moved yet, because a replica that is stopped within 30 s of its start does not count as started.
func movable(a *jobs.Allocation, now time.Time) bool {
	return a.Job.Kind == wire.KindService && a.Stop == nil && a.State == wire.TaskRunning && now.Sub(a.RunningSince) >= tuning.PreemptMinRun
}

// moveDowntimeS returns for how long a replica would be down if it were moved, in seconds. It includes the time in
// which the new machine fetches the replica's image. ok is false if no machine in use has room for the replica.
func moveDowntimeS(a *jobs.Allocation, dryRun *placement.DryRun, now time.Time) (downtimeS float64, ok bool) {
	p := &placement.PendingJob{Job: &a.Job.Job, WaitingSince: now, Waiting: 1, Zones: cloneCounts(a.Job.AllocationsByZone()), LatencySensitive: true}
	p.Zones[a.Zone]--
	m := dryRun.BestMachine(p)
	if m == nil {
		return 0, false
	}
	return m.FetchS(a.Job.Image, a.Job.ImageGB) + tuning.MoveDowntime.Seconds(), true
}
