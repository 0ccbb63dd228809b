package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// schedule places what waits.
func (l *Loop) schedule(now time.Time) {
	l.changed = false
	items, byID := l.pendingJobs(now)
	if len(items) == 0 {
		l.nextPass = now.Add(tuning.CycleBackoffMax)
		return
	}
	wanted, teams := append(slices.Clone(items), l.placeholders(now)...), l.teams()
	open := l.machinesWithRoomFor(now, wanted)
	l.preferKinds(items)
	placed := l.reservations.Schedule(now, wanted, open, teams)
	next := map[string]int{}
	for _, d := range placed {
		j := byID[d.Pending.Job.ID]
		i := j.NextWaiting(next[j.ID])
		if i < 0 {
			continue
		}
		// Jobs share what a slice admits: each placement takes of it.
		if n, _ := l.admissible(j, now); n <= 0 {
			continue
		}
		next[j.ID] = i + 1
		m := l.machines.Machines[d.Machine.Name]
		p := l.jobs.Allocate(j, i, m.Name, m.Zone, m.Incarnation, now)
		l.machines.AddAllocation(p, now)
		for _, s := range l.subsystems {
			s.Placed(p, m.Spot, l.env.typeOf(m.Type), now)
		}
		l.env.observe(func(o Observer) { o.TaskStarted(j.Class) })
		l.log.Debug("placed", "task", p.Task().String(), "attempt", p.Attempt, "class", j.Class, "machine", m.Name,
			"type", m.Type, "spot", m.Spot, "waited_s", now.Sub(j.WaitingSince).Seconds())
	}
	l.preempt(now, items, open, teams, byID)
	// The design's loop: a pass that places nothing waits 1 s, doubling to
	// 10 s, unless a change wakes it.
	if len(placed) > 0 {
		l.passWait = tuning.CycleBackoffMin
	} else {
		l.passWait = min(2*l.passWait, tuning.CycleBackoffMax)
	}
	l.nextPass = now.Add(l.passWait)
}

// preempt stops tasks for work within a guarantee that found no room and has
// used up half of the wait that its aim allows.
func (l *Loop) preempt(now time.Time, items []*placement.PendingJob, open []*placement.Machine, teams map[string]*placement.Team, byID map[string]*jobs.Job) {
	var due []*placement.PendingJob
	for _, it := range items {
		j := byID[it.Job.ID]
		patience, ok := l.env.maxStartWait(it.Job.Class)
		if ok && it.Waiting > 0 && !it.OnProbation && !now.Before(j.PreemptingUntil) && now.Sub(it.WaitingSince) >= seconds(patience*tuning.PreemptWaitShare) {
			due = append(due, it)
		}
	}
	// Right after a takeover much waits only because machines have not reported.
	if len(due) == 0 || l.leadership.Term > 1 && now.Sub(l.startedAt) < tuning.PreemptAfterFailover {
		return
	}
	open = l.allOpenMachines(now, open)
	for _, v := range open {
		v.Victims = victims(l.machines.Machines[v.Name], now)
	}
	before := map[*placement.PendingJob]int{}
	for _, it := range due {
		before[it] = it.Waiting
	}
	var stopped []*jobs.Allocation
	for _, v := range placement.Preempt(due, open, teams) {
		p := v.Ref.(*jobs.Allocation)
		p.Stop = &jobs.StopRequest{Reason: charge.Preempted}
		stopped = append(stopped, p)
		l.log.Debug("making room", "task", p.Task().String(), "class", p.Job.Class, "machine", p.Machine,
			"cost_s", v.Cost, "for", v.Preemptor.ID, "for_class", v.Preemptor.Class)
	}
	for _, it := range due {
		if it.Waiting < before[it] {
			byID[it.Job.ID].PreemptingUntil = now.Add(tuning.PreemptBackoff)
		}
	}
	l.sendCommands(stopped)
}

// victims are the tasks on a machine that can be stopped now. A task that was
// lost or stopped before is spared: in a full cluster the same ones would be
// stopped over and over, and nothing would ever be done.
func victims(m *machines.Machine, now time.Time) []placement.Victim {
	var out []placement.Victim
	for _, p := range m.Allocations {
		if p.Stop != nil || !p.Committed || p.Attempt > 1 || p.State != wire.TaskRunning && p.State != wire.TaskFetching {
			continue
		}
		v := placement.Victim{Job: &p.Job.Job, Ref: p, Cost: tuning.PreemptPriorityCost * float64(p.Job.Priority.Level())}
		if p.State == wire.TaskRunning {
			ran := now.Sub(p.RunningSince)
			lost := ran.Seconds()
			if p.Job.CheckpointS > 0 {
				lost = min(lost, p.Job.CheckpointS)
			}
			v.Cost += lost
			if ran < tuning.PreemptMinRun {
				v.Cost += tuning.PreemptFreshCost
			}
		}
		out = append(out, v)
	}
	return out
}

// pendingJobs are the jobs with tasks that may be placed now.
func (l *Loop) pendingJobs(now time.Time) ([]*placement.PendingJob, map[string]*jobs.Job) {
	var waiting []*jobs.Job
	trials := map[*jobs.Job]bool{}
	for _, j := range l.jobs.Jobs {
		if l.onTrial(j, now) { // also for what it ends
			trials[j] = true
		}
		if j.CanStart() && j.Waiting() > 0 && !now.Before(j.BackoffUntil) {
			waiting = append(waiting, j)
		}
	}
	items := make([]*placement.PendingJob, 0, len(waiting))
	room := make([]placement.PendingJob, 0, len(waiting)) // one allocation for all of them
	byID := make(map[string]*jobs.Job, len(waiting))
	for i, n := range l.startLimits(waiting, now) {
		if n <= 0 {
			continue
		}
		j := waiting[i]
		_, prompt := l.promptShare(j.Class)
		room = append(room, placement.PendingJob{
			Job: &j.Job, WaitingSince: j.WaitingSince, Waiting: n, Started: j.Allocated + j.Done, Zones: zoneCounts(j), LatencySensitive: prompt,
		})
		it := &room[len(room)-1]
		it.ExpectedRunS, _ = j.ExpectedRunS()
		// An array whose last tasks were lost does not queue up anew: of a team beyond its guarantee they
		// waited 120 s until they aged, and their jobs, nearly done, were late.
		if j.Kind == wire.KindArray {
			it.EnqueuedAt = j.EnqueuedAt
		}
		// A job that fails everywhere may go anywhere, and so may one that has nothing and waits beside such a machine for long.
		waits := j.Allocated == 0 && now.Sub(j.WaitingSince) >= tuning.AvoidWait
		if bad := len(j.AvoidMachines); bad > 0 && bad < tuning.FaultyJobMachines && !waits {
			it.Avoid = func(machine string) bool { return now.Before(j.AvoidMachines[machine]) }
		}
		if trials[j] {
			if j.Allocated > 0 {
				continue
			}
			it.OnProbation, it.Waiting, it.WaitingSince, it.EnqueuedAt = true, 1, now, now
		}
		byID[j.ID] = j
		items = append(items, it)
	}
	return items, byID
}

// zoneCounts is a copy of how many tasks of a job may be in each zone, for one
// that cares.
func zoneCounts(j *jobs.Job) map[string]int {
	if !j.Spread && !j.OneZone {
		return nil
	}
	return cloneCounts(j.AllocationsByZone())
}

// openMachines are the machines that may get tasks now.
func (l *Loop) openMachines(now time.Time) []*placement.Machine {
	return l.machinesWithFree(now, placement.Resources{})
}

// machinesWithRoomFor are those of them that have room for some of the items: in a large cluster most are
// full, and a view of each, for each pass, was most of its cost.
func (l *Loop) machinesWithRoomFor(now time.Time, items []*placement.PendingJob) []*placement.Machine {
	if len(items) == 0 {
		return nil
	}
	return l.machinesWithFree(now, placement.MinRequest(items))
}

// machinesWithFree are the machines that may get tasks now and have at least so much free.
func (l *Loop) machinesWithFree(now time.Time, least placement.Resources) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.machines.Machines {
		t := l.env.typeOf(m.Type)
		if t == nil || !freeOn(m, t).Fits(least) {
			continue
		}
		if !m.Alive() || m.Returning || m.Draining || m.Unhealthy || m.HasOrphans() || !m.InterruptionAt.IsZero() ||
			l.silent(m, now) || leftCommandUnanswered(m) || !m.Usable(l.leadership.Term, now) || now.Before(m.RefusedAt) {
			continue
		}
		v := newMachineView(m, t)
		v.FreeInS = freeInS(m, now)
		out = append(out, &v)
	}
	return out
}

// allOpenMachines are the machines that may get tasks now, with those that were looked at already as they are.
func (l *Loop) allOpenMachines(now time.Time, seen []*placement.Machine) []*placement.Machine {
	known := make(map[string]*placement.Machine, len(seen))
	for _, v := range seen {
		known[v.Name] = v
	}
	all := l.openMachines(now)
	for i, v := range all {
		if k := known[v.Name]; k != nil {
			all[i] = k
		}
	}
	return all
}

// machineView is a machine as placement sees it.
func (l *Loop) machineView(m *machines.Machine) (placement.Machine, bool) {
	t := l.env.typeOf(m.Type)
	if t == nil {
		return placement.Machine{}, false
	}
	return newMachineView(m, t), true
}

func newMachineView(m *machines.Machine, t *wire.MachineType) placement.Machine {
	return placement.Machine{
		Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Price: t.Price,
		Total: placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, Free: freeOn(m, t),
		FetchS: fetchInS(m, t), Unacknowledged: !m.Reachability.EverAcknowledged(),
	}
}

// freeOn is what the tasks that may be on a machine leave of it.
func freeOn(m *machines.Machine, t *wire.MachineType) placement.Resources {
	used := m.Used()
	return placement.Resources{CPUs: t.CPUs - used.CPUs, GPUs: t.GPUs - used.GPUs, MemoryGB: t.MemoryGB - used.MemoryGB}
}

// freeInS estimates how long it takes until what ends by itself on a machine, or was told to, leaves so much more room. The machine's
// tasks are put in order once, when it is first asked for: most machines never are.
func freeInS(m *machines.Machine, now time.Time) func(lacks placement.Resources) float64 {
	type end struct {
		s    float64
		left placement.Resources // that it and those before leave
	}
	var ends []end
	return func(lacks placement.Resources) float64 {
		if ends == nil {
			ends = append(make([]end, 0, len(m.Allocations)+1), end{}) // nothing has ended yet
			for _, p := range m.Allocations {
				e := end{left: placement.Resources{CPUs: p.Job.CPUs, GPUs: p.Job.GPUs, MemoryGB: p.Job.MemoryGB}}
				switch {
				case p.Stop != nil:
					e.s = p.Stop.GraceS
				case p.Job.Kind == wire.KindService:
					continue
				default:
					e.s, _ = p.Job.ExpectedRunS()
					if !p.RunningSince.IsZero() {
						ran := now.Sub(p.RunningSince).Seconds()
						e.s = max(e.s-ran, ran/4) // one that takes longer than expected goes on for a while
					}
				}
				ends = append(ends, e)
			}
			slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.s, b.s) })
			for i := range ends[1:] {
				ends[i+1].left.Sub(ends[i].left, -1)
			}
		}
		for _, e := range ends {
			if e.left.Fits(lacks) {
				return e.s
			}
		}
		return math.Inf(1)
	}
}

// fetchInS estimates how long a machine takes to get an image: nothing for
// one that it holds, as far as its tasks show; images fetched at the same time
// share its rate.
func fetchInS(m *machines.Machine, t *wire.MachineType) func(image string, gb float64) float64 {
	sharing := 0 // counted when it is first asked for: full machines never are
	return func(image string, gb float64) float64 {
		if t.FetchGBPerS <= 0 || m.HasImage(image, t.CacheGB) {
			return 0
		}
		if sharing == 0 {
			fetching := map[string]bool{}
			for _, p := range m.Allocations {
				if p.State == "" || p.State == wire.TaskFetching {
					fetching[p.Job.Image] = true
				}
			}
			sharing = 1 + len(fetching)
		}
		return gb / t.FetchGBPerS * float64(sharing)
	}
}

// teams counts what each team's tasks use, wherever they may be.
func (l *Loop) teams() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.env.Teams))
	fill := 0.0
	for name, t := range l.env.Teams {
		teams[name] = &placement.Team{QuotaCPUs: t.CPUsMax, QuotaGPUs: t.GPUsMax, GuaranteedCPUs: t.CPUs, GuaranteedGPUs: t.GPUs}
		if !math.IsInf(t.CPUsMax, 1) {
			continue
		}
		if fill == 0 {
			fill = tuning.FairShareOfFleet * l.fleetCPUs()
		}
		teams[name].FairShareCPUs = fill
	}
	for _, j := range l.jobs.Jobs {
		if t := teams[j.Team]; t != nil {
			t.UsedCPUs += float64(j.Allocated) * j.CPUs
			t.UsedGPUs += float64(j.Allocated) * j.GPUs
			if j.Kind == wire.KindService && j.CanStart() {
				t.PermanentUse.CPUs += float64(j.Allocated) * j.CPUs
				t.PermanentUse.GPUs += float64(j.Allocated) * j.GPUs
			}
		}
	}
	return teams
}

// fleetCPUs is what all machines have together.
func (l *Loop) fleetCPUs() float64 {
	cpus := map[string]float64{}
	for _, t := range l.env.Types() {
		cpus[t.Name] = t.CPUs
	}
	sum := 0.0
	for _, m := range l.machines.Machines {
		sum += cpus[m.Type]
	}
	return sum
}
