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

// replicaMoves is what the loop keeps for moving replicas off machines that are drained.
type replicaMoves struct {
	next    time.Time
	budgetS float64 // seconds for which replicas may still be down for moves
}

// grow adds to the budget what so many replicas earn between two rounds of moves: the time for which all moves together
// may keep replicas down is a share of the time that all replicas run.
func (r *replicaMoves) grow(replicas int) {
	grows := float64(replicas) * tuning.ConsolidateEvery.Seconds() * tuning.MoveDowntimeShare
	r.budgetS = min(r.budgetS+grows, max(grows, tuning.MoveDowntimeBudgetMax.Seconds()))
}

// consolidate drains machines whose tasks fit on others that are kept anyway,
// so that they can be returned: a single replica would keep one rented for as
// long as it lives. Tasks of arrays end by themselves; replicas are moved a few
// at a time.
func (l *Loop) consolidate(now time.Time) {
	if now.Before(l.moves.next) {
		return
	}
	l.moves.next = now.Add(tuning.ConsolidateEvery)
	draining := l.drainingMachines()
	short := l.jobsShortOfRoom(now)
	l.undrainForWaitingJobs(short, draining, now)

	open := l.openMachines(now)
	expected := l.expectedJobs(now)
	placement.Schedule(now, expected, open, autoscale.UnlimitedTeams(expected)) // takes the room that is kept for them
	used := l.onlyInUse(open)
	dryRun := placement.NewDryRun(used)
	undrainWhatFitsNowhere(dryRun, draining, now)
	roomForExpected := !slices.ContainsFunc(expected, func(p *placement.PendingJob) bool { return p.Waiting > 0 })
	// In a partition the rest of the fleet stands in for the zone that is unreachable.
	if len(short) == 0 && roomForExpected && len(l.partitionedZones(now)) == 0 {
		l.drainSurplus(dryRun, used, now)
	}
	l.moveReplicas(l.drainingMachines(), now)
}

// drainingMachines are the machines that are being emptied, by name.
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

// onlyInUse gives those of some machines that have tasks; it changes its argument.
func (l *Loop) onlyInUse(open []*placement.Machine) []*placement.Machine {
	return slices.DeleteFunc(open, func(v *placement.Machine) bool { return !l.inUse(v) })
}

// jobsShortOfRoom are the jobs that wait for room. Those at their team's quota
// wait for their team's own tasks: more machines would not help them.
func (l *Loop) jobsShortOfRoom(now time.Time) []*placement.PendingJob {
	pending, _ := l.pendingJobs(now)
	teams := l.teams()
	return slices.DeleteFunc(pending, func(p *placement.PendingJob) bool {
		return p.OnProbation || placement.TasksWithinQuota(p, teams) == 0
	})
}

// undrainForWaitingJobs ends the draining of machines that have room for jobs that wait.
func (l *Loop) undrainForWaitingJobs(short []*placement.PendingJob, draining []*machines.Machine, now time.Time) {
	var views []*placement.Machine
	for _, m := range draining {
		if v, ok := l.machineView(m); ok && m.Alive() {
			views = append(views, &v)
		}
	}
	if len(short) == 0 || len(views) == 0 {
		return
	}
	for _, p := range placement.Schedule(now, short, views, l.teams()) {
		l.machines.Machines[p.Machine.Name].Draining = false
	}
}

// undrainWhatFitsNowhere ends the draining of machines that died, or whose tasks fit on no others any more.
func undrainWhatFitsNowhere(dryRun *placement.DryRun, draining []*machines.Machine, now time.Time) {
	for _, m := range draining {
		if m.Draining && (!m.Alive() || !dryRun.TryPlace(now, tasksAsPending(m, now), nil)) {
			m.Draining = false
		}
	}
}

// drainSurplus finds machines whose tasks fit on the others in use, those
// first that save the most money for each task that has to go, and takes them
// out of placement.
func (l *Loop) drainSurplus(dryRun *placement.DryRun, used []*placement.Machine, now time.Time) {
	savedPerTask := func(v *placement.Machine) float64 {
		return l.pricePerHour(v) / float64(1+len(l.machines.Machines[v.Name].Allocations))
	}
	order := slices.SortedFunc(slices.Values(used), func(a, b *placement.Machine) int {
		return cmp.Or(cmp.Compare(savedPerTask(b), savedPerTask(a)), cmp.Compare(a.Name, b.Name))
	})
	candidates := order[:min(len(order), max(tuning.ConsolidateCandidates, len(order)/tuning.ConsolidateCandidateShare))]
	for _, v := range candidates {
		m := l.machines.Machines[v.Name]
		if dryRun.TryPlace(now, tasksAsPending(m, now), v) {
			m.Draining = true
			l.log.Info("draining machine", "machine", m.Name, "type", m.Type, "spot", m.Spot, "tasks", len(m.Allocations))
		}
	}
}

// pricePerHour is what a machine costs an hour.
func (l *Loop) pricePerHour(v *placement.Machine) float64 {
	if t := l.env.typeOf(v.Type); t != nil && v.Spot {
		return t.SpotPrice
	}
	return v.Price
}

// tasksAsPending are the tasks on a machine as if they waited to be placed.
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

// moveReplicas stops replicas of machines that are drained, as far as the budget goes; the next scheduling cycle places
// them anew.
func (l *Loop) moveReplicas(draining []*machines.Machine, now time.Time) {
	replicas := l.runningReplicas()
	l.moves.grow(replicas)
	most := max(tuning.MovesInFlight, replicas/tuning.MovesInFlightShare)
	var moved []*jobs.Allocation
	var dryRun *placement.DryRun // of the machines in use; most of the time nothing is to be moved
	for _, m := range draining {
		if !m.Draining || len(moved) >= most {
			continue
		}
		for _, a := range m.Allocations {
			if !movable(a, now) {
				continue
			}
			if dryRun == nil {
				dryRun = placement.NewDryRun(l.onlyInUse(l.openMachines(now)))
			}
			downS, ok := moveDowntimeS(a, dryRun, now)
			if !ok || downS > l.moves.budgetS || len(moved) >= most {
				continue
			}
			l.moves.budgetS -= downS
			a.Stop = &jobs.StopRequest{Reason: charge.Drained}
			moved = append(moved, a)
		}
	}
	l.sendCommands(moved)
}

// runningReplicas counts the replicas of all services that have a machine.
func (l *Loop) runningReplicas() int {
	n := 0
	for _, j := range l.jobs.Jobs {
		if j.Kind == wire.KindService {
			n += j.Allocated
		}
	}
	return n
}

// movable reports whether an allocation is a replica that may be moved. A start that is stopped within 30 s
// does not count, so fresh ones stay for now.
func movable(a *jobs.Allocation, now time.Time) bool {
	return a.Job.Kind == wire.KindService && a.Stop == nil && a.State == wire.TaskRunning && now.Sub(a.RunningSince) >= tuning.PreemptMinRun
}

// moveDowntimeS is for how long a replica would be down for a move, in seconds: with the time in which the machine to which
// it would move fetches its image. ok is false when no machine in use has room for it.
func moveDowntimeS(a *jobs.Allocation, dryRun *placement.DryRun, now time.Time) (downS float64, ok bool) {
	p := &placement.PendingJob{Job: &a.Job.Job, WaitingSince: now, Waiting: 1, Zones: cloneCounts(a.Job.AllocationsByZone()), LatencySensitive: true}
	p.Zones[a.Zone]--
	m := dryRun.BestMachine(p)
	if m == nil {
		return 0, false
	}
	return m.FetchS(a.Job.Image, a.Job.ImageGB) + tuning.MoveDowntime.Seconds(), true
}
