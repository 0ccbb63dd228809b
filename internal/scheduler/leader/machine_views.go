package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// schedulableMachines returns the schedulable machines, those on which tasks may be placed now (isSchedulable).
func (l *Loop) schedulableMachines(now time.Time) []*placement.Machine {
	return l.schedulableMachinesWithFree(now, placement.Resources{})
}

// machinesWithRoomFor returns the schedulable machines that may have room for a task of the jobs: of each resource, at
// least the smallest amount that any of them requests is free. In a large cluster most machines are full, and making a
// view of each of them took most of the time of a scheduling cycle.
func (l *Loop) machinesWithRoomFor(now time.Time, pending []*placement.PendingJob) []*placement.Machine {
	if len(pending) == 0 {
		return nil
	}
	return l.schedulableMachinesWithFree(now, placement.MinRequest(pending))
}

// schedulableMachinesWithFree returns the schedulable machines that have at least these resources free.
func (l *Loop) schedulableMachinesWithFree(now time.Time, free placement.Resources) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.machines.Machines {
		t := l.env.machineType(m.Type)
		if t == nil || !freeResources(m, t).Fits(free) || !l.isSchedulable(m, now) {
			continue
		}
		v := newMachineView(m, t)
		v.FreeInS = freeInS(m, now)
		out = append(out, &v)
	}
	return out
}

// isSchedulable reports whether tasks may be placed on a machine now. It must be alive, healthy and reachable, and
// must not be leaving the fleet. It must run no task that the leader does not know, and must not have refused a
// task for lack of room within tuning.RefusalPause.
func (l *Loop) isSchedulable(m *machines.Machine, now time.Time) bool {
	stays := !m.Returning && !m.Draining && m.InterruptionAt.IsZero()
	return m.Alive() && stays && !m.Unhealthy && !m.HasOrphans() &&
		!l.silent(m, now) && !leftCommandUnanswered(m) && m.Usable(l.leadership.Term, now) && !now.Before(m.RefusalPauseUntil)
}

// allSchedulableMachines returns the views of the schedulable machines. For a machine that has a view in seen, that view
// is returned, because it already accounts for the tasks placed in this cycle.
func (l *Loop) allSchedulableMachines(now time.Time, seen []*placement.Machine) []*placement.Machine {
	seenByName := make(map[string]*placement.Machine, len(seen))
	for _, v := range seen {
		seenByName[v.Name] = v
	}
	all := l.schedulableMachines(now)
	for i, v := range all {
		if seenView := seenByName[v.Name]; seenView != nil {
			all[i] = seenView
		}
	}
	return all
}

// inUse reports whether a machine has tasks that the leader knows of.
func (l *Loop) inUse(v *placement.Machine) bool {
	return len(l.machines.Machines[v.Name].Allocations) > 0
}

// machineView returns placement's view of a machine. ok is false if the machine's type is not known.
func (l *Loop) machineView(m *machines.Machine) (v placement.Machine, ok bool) {
	t := l.env.machineType(m.Type)
	if t == nil {
		return placement.Machine{}, false
	}
	return newMachineView(m, t), true
}

// newMachineView returns placement's view of a machine of a type, without FreeInS.
func newMachineView(m *machines.Machine, t *wire.MachineType) placement.Machine {
	return placement.Machine{
		Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Price: t.Price,
		Total: placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, Free: freeResources(m, t),
		FetchS: fetchEstimator(m, t), Unacknowledged: !m.Reachability.EverAcknowledged(),
	}
}

// freeResources returns the resources of a machine that are not used by the tasks that may be on it.
func freeResources(m *machines.Machine, t *wire.MachineType) placement.Resources {
	used := m.Used()
	return placement.Resources{CPUs: t.CPUs - used.CPUs, GPUs: t.GPUs - used.GPUs, MemoryGB: t.MemoryGB - used.MemoryGB}
}

// expectedEnd is the time at which a task on a machine is expected to end.
type expectedEnd struct {
	afterS float64             // seconds from now
	freed  placement.Resources // resources freed by this end and all earlier ones
}

// freeInS returns a function that estimates in how many seconds a machine will have freed the resources that are
// lacking, as its tasks end by themselves or by a stop command. The result is infinite if these tasks never free enough.
// The ends are computed at the first call of the function, since it is never called for most machines.
func freeInS(m *machines.Machine, now time.Time) func(lacking placement.Resources) float64 {
	var ends []expectedEnd
	return func(lacking placement.Resources) float64 {
		if ends == nil {
			ends = expectedEnds(m, now)
		}
		for _, e := range ends {
			if e.freed.Fits(lacking) {
				return e.afterS
			}
		}
		return math.Inf(1)
	}
}

// expectedEnds returns the expected ends of a machine's tasks in the order of time. The first entry is for the present
// time, with nothing freed.
func expectedEnds(m *machines.Machine, now time.Time) []expectedEnd {
	ends := append(make([]expectedEnd, 0, len(m.Allocations)+1), expectedEnd{})
	for _, a := range m.Allocations {
		if afterS, ok := expectedEndS(a, now); ok {
			ends = append(ends, expectedEnd{afterS, placement.Resources{CPUs: a.Job.CPUs, GPUs: a.Job.GPUs, MemoryGB: a.Job.MemoryGB}})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.afterS, b.afterS) })
	for i := range ends[1:] {
		ends[i+1].freed.Sub(ends[i].freed, -1)
	}
	return ends
}

// expectedEndS estimates in how many seconds a task ends. ok is false for a service replica that is not being
// stopped, which has no end.
func expectedEndS(a *jobs.Allocation, now time.Time) (afterS float64, ok bool) {
	switch {
	case a.Stop != nil:
		return a.Stop.GraceS, true
	case a.Job.Kind == wire.KindService:
		return 0, false
	}
	afterS, _ = a.Job.ExpectedRunS()
	if !a.RunningSince.IsZero() {
		ran := now.Sub(a.RunningSince).Seconds()
		afterS = max(afterS-ran, ran/4) // a task that overruns its estimate continues for a while
	}
	return afterS, true
}

// fetchEstimator returns a function that estimates how many seconds a machine needs to fetch an image of gb gigabytes.
// The estimate is 0 for an image that the machine holds, as far as its tasks show. Images that are fetched at the same
// time share the machine's fetch rate.
func fetchEstimator(m *machines.Machine, t *wire.MachineType) func(image string, gb float64) float64 {
	concurrentFetches := 0 // counted at the first call, since the function is never called for full machines
	return func(image string, gb float64) float64 {
		if t.FetchGBPerS <= 0 || m.HasImage(image, t.CacheGB) {
			return 0
		}
		if concurrentFetches == 0 {
			concurrentFetches = 1 + countImagesInFetch(m)
		}
		return gb / t.FetchGBPerS * float64(concurrentFetches)
	}
}

// countImagesInFetch counts the images that a machine fetches, or may be fetching, now.
func countImagesInFetch(m *machines.Machine) int {
	fetching := map[string]bool{}
	for _, a := range m.Allocations {
		if a.State == "" || a.State == wire.TaskFetching {
			fetching[a.Job.Image] = true
		}
	}
	return len(fetching)
}
