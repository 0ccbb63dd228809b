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

// consolidate empties machines whose work fits on others that are kept anyway,
// so that they can be returned: a single replica would keep one rented for as
// long as it lives. Tasks of arrays end by themselves; replicas are moved a few
// at a time.
func (l *Loop) consolidate(now time.Time) {
	if now.Before(l.fleet.nextMove) {
		return
	}
	l.fleet.nextMove = now.Add(tuning.ConsolidateEvery)
	draining := l.drainingMachines()
	short := l.jobsShortOfRoom(now)
	l.undrainForWaitingJobs(short, draining, now)
	// What is free on the others, less the room for what is expected.
	open := l.openMachines(now)
	expected := l.expectedJobs(now)
	placement.Schedule(now, expected, open, autoscale.UnlimitedTeams(expected))
	used := slices.DeleteFunc(open, func(v *placement.Machine) bool { return len(l.machines.Machines[v.Name].Allocations) == 0 })
	trial := placement.NewDryRun(used)
	for _, m := range draining {
		if m.Draining && (!m.Alive() || !trial.TryPlace(now, tasksAsPending(m, now), nil)) {
			m.Draining = false // its room is wanted after all
		}
	}
	kept := !slices.ContainsFunc(expected, func(it *placement.PendingJob) bool { return it.Waiting > 0 })
	// In a cut the rest of the fleet stands in for the zone that is out of reach.
	if len(short) == 0 && kept && len(l.partitionedZones(now)) == 0 {
		l.drainSurplus(trial, used, now)
	}
	l.moveReplicas(l.drainingMachines(), now)
}

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

// jobsShortOfRoom are the jobs that wait for room. Those at their team's limit
// wait for their team's own tasks: more machines would not help them.
func (l *Loop) jobsShortOfRoom(now time.Time) []*placement.PendingJob {
	items, _ := l.pendingJobs(now)
	teams := l.teams()
	return slices.DeleteFunc(items, func(it *placement.PendingJob) bool {
		return it.OnProbation || placement.TasksWithinQuota(it, teams) == 0
	})
}

// undrainForWaitingJobs ends the emptying of machines that have room for what waits.
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

// drainSurplus finds machines whose work fits on the others in use, those
// first that save the most money for each task that has to go, and takes them
// out of placement.
func (l *Loop) drainSurplus(trial *placement.DryRun, used []*placement.Machine, now time.Time) {
	gain := func(v *placement.Machine) float64 {
		return l.pricePerHour(v) / float64(1+len(l.machines.Machines[v.Name].Allocations))
	}
	order := slices.SortedFunc(slices.Values(used), func(a, b *placement.Machine) int {
		return cmp.Or(cmp.Compare(gain(b), gain(a)), cmp.Compare(a.Name, b.Name))
	})
	for _, v := range order[:min(len(order), max(tuning.ConsolidateCandidates, len(order)/tuning.ConsolidateCandidateShare))] {
		m := l.machines.Machines[v.Name]
		if trial.TryPlace(now, tasksAsPending(m, now), v) {
			m.Draining = true
			l.log.Info("emptying machine", "machine", m.Name, "type", m.Type, "spot", m.Spot, "tasks", len(m.Allocations))
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
	var items []*placement.PendingJob
	for _, p := range m.Allocations {
		it := byJob[p.Job]
		if it == nil {
			it = &placement.PendingJob{Job: &p.Job.Job, WaitingSince: now, Zones: zoneCounts(p.Job)}
			byJob[p.Job] = it
			items = append(items, it)
		}
		it.Waiting++
		if it.Zones != nil {
			it.Zones[p.Zone]--
		}
	}
	return items
}

// moveReplicas stops replicas of machines that are being emptied; the next pass places
// them anew. The time for which all moves together may keep replicas down is a
// share of the time that all replicas run. A start that is stopped within 30 s
// does not count, so fresh ones stay for now.
func (l *Loop) moveReplicas(draining []*machines.Machine, now time.Time) {
	replicas := 0
	for _, j := range l.jobs.Jobs {
		if j.Kind == wire.KindService {
			replicas += j.Allocated
		}
	}
	grows := float64(replicas) * tuning.ConsolidateEvery.Seconds() * tuning.MoveDowntimeShare
	l.fleet.moveBudget = min(l.fleet.moveBudget+grows, max(grows, tuning.MoveDowntimeBudgetMax.Seconds()))
	var moved []*jobs.Allocation
	most := max(tuning.MovesInFlight, replicas/tuning.MovesInFlightShare)
	var trial *placement.DryRun // of the machines in use; most of the time nothing is to be moved
	for _, m := range draining {
		if !m.Draining || len(moved) >= most {
			continue
		}
		for _, p := range m.Allocations {
			if p.Job.Kind != wire.KindService || p.Stop != nil || p.State != wire.TaskRunning || now.Sub(p.RunningSince) < tuning.PreemptMinRun {
				continue
			}
			if trial == nil {
				trial = placement.NewDryRun(slices.DeleteFunc(l.openMachines(now), func(v *placement.Machine) bool { return len(l.machines.Machines[v.Name].Allocations) == 0 }))
			}
			down, ok := moveFetchTime(p, trial, now)
			if down += tuning.MoveDowntime.Seconds(); !ok || down > l.fleet.moveBudget || len(moved) >= most {
				continue
			}
			l.fleet.moveBudget -= down
			p.Stop = &jobs.StopRequest{Reason: charge.Drained}
			moved = append(moved, p)
		}
	}
	l.sendCommands(moved)
}

// moveFetchTime is how long a replica would fetch its image on the machine to which
// it would move, in seconds; ok is false when no machine in use has room for it.
func moveFetchTime(p *jobs.Allocation, trial *placement.DryRun, now time.Time) (fetch float64, ok bool) {
	it := &placement.PendingJob{Job: &p.Job.Job, WaitingSince: now, Waiting: 1, Zones: cloneCounts(p.Job.AllocationsByZone()), LatencySensitive: true}
	it.Zones[p.Zone]--
	m := trial.BestMachine(it)
	if m == nil {
		return 0, false
	}
	return m.FetchS(p.Job.Image, p.Job.ImageGB), true
}
