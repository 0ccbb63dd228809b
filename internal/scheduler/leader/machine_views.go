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

// openMachines are the machines that may get tasks now.
func (l *Loop) openMachines(now time.Time) []*placement.Machine {
	return l.openMachinesWithFree(now, placement.Resources{})
}

// machinesWithRoomFor are those of the open machines that have room for some of the jobs: in a large cluster most are
// full, and a view of each, for each scheduling cycle, was most of its cost.
func (l *Loop) machinesWithRoomFor(now time.Time, pending []*placement.PendingJob) []*placement.Machine {
	if len(pending) == 0 {
		return nil
	}
	return l.openMachinesWithFree(now, placement.MinRequest(pending))
}

// openMachinesWithFree are the machines that may get tasks now and have at least so much free.
func (l *Loop) openMachinesWithFree(now time.Time, free placement.Resources) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.machines.Machines {
		t := l.env.typeOf(m.Type)
		if t == nil || !freeOn(m, t).Fits(free) || !l.isOpen(m, now) {
			continue
		}
		v := newMachineView(m, t)
		v.FreeInS = freeInS(m, now)
		out = append(out, &v)
	}
	return out
}

// isOpen reports whether a machine may get tasks now: it is alive and reachable, stays, and is in order.
func (l *Loop) isOpen(m *machines.Machine, now time.Time) bool {
	stays := !m.Returning && !m.Draining && m.InterruptionAt.IsZero()
	return m.Alive() && stays && !m.Unhealthy && !m.HasOrphans() &&
		!l.silent(m, now) && !leftCommandUnanswered(m) && m.Usable(l.leadership.Term, now) && !now.Before(m.RefusedAt)
}

// allOpenMachines are the machines that may get tasks now, with those of seen as they are: placements took of them.
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

// inUse reports whether a machine has tasks, as far as the leader knows.
func (l *Loop) inUse(v *placement.Machine) bool {
	return len(l.machines.Machines[v.Name].Allocations) > 0
}

// machineView is a machine as placement sees it; ok is false if its type is not known.
func (l *Loop) machineView(m *machines.Machine) (v placement.Machine, ok bool) {
	t := l.env.typeOf(m.Type)
	if t == nil {
		return placement.Machine{}, false
	}
	return newMachineView(m, t), true
}

// newMachineView is a machine of a type as placement sees it, but for FreeInS.
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

// expectedEnd is when tasks of a machine are expected to have ended.
type expectedEnd struct {
	inS   float64
	freed placement.Resources // by this end and those before it
}

// freeInS estimates in how many seconds the tasks that end by themselves on a machine, or were told to, leave so much more
// room. The ends are put in order once, when it is first asked for: of most machines it never is.
func freeInS(m *machines.Machine, now time.Time) func(lacks placement.Resources) float64 {
	var ends []expectedEnd
	return func(lacks placement.Resources) float64 {
		if ends == nil {
			ends = expectedEnds(m, now)
		}
		for _, e := range ends {
			if e.freed.Fits(lacks) {
				return e.inS
			}
		}
		return math.Inf(1)
	}
}

// expectedEnds are the expected ends of a machine's tasks in order, after a first one at which nothing has ended yet.
func expectedEnds(m *machines.Machine, now time.Time) []expectedEnd {
	ends := append(make([]expectedEnd, 0, len(m.Allocations)+1), expectedEnd{})
	for _, a := range m.Allocations {
		if inS, ok := endsInS(a, now); ok {
			ends = append(ends, expectedEnd{inS, placement.Resources{CPUs: a.Job.CPUs, GPUs: a.Job.GPUs, MemoryGB: a.Job.MemoryGB}})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.inS, b.inS) })
	for i := range ends[1:] {
		ends[i+1].freed.Sub(ends[i].freed, -1)
	}
	return ends
}

// endsInS estimates in how many seconds a task ends; ok is false for a replica that was not told to stop.
func endsInS(a *jobs.Allocation, now time.Time) (inS float64, ok bool) {
	switch {
	case a.Stop != nil:
		return a.Stop.GraceS, true
	case a.Job.Kind == wire.KindService:
		return 0, false
	}
	inS, _ = a.Job.ExpectedRunS()
	if !a.RunningSince.IsZero() {
		ran := now.Sub(a.RunningSince).Seconds()
		inS = max(inS-ran, ran/4) // one that takes longer than expected goes on for a while
	}
	return inS, true
}

// fetchInS estimates in how many seconds a machine fetches an image: none for
// one that it holds, as far as its tasks show. Images that are fetched at the same time
// share its rate.
func fetchInS(m *machines.Machine, t *wire.MachineType) func(image string, gb float64) float64 {
	sharing := 0 // counted when it is first asked for: of full machines it never is
	return func(image string, gb float64) float64 {
		if t.FetchGBPerS <= 0 || m.HasImage(image, t.CacheGB) {
			return 0
		}
		if sharing == 0 {
			sharing = 1 + imagesInFetch(m)
		}
		return gb / t.FetchGBPerS * float64(sharing)
	}
}

// imagesInFetch counts the images that a machine fetches now, or may.
func imagesInFetch(m *machines.Machine) int {
	fetching := map[string]bool{}
	for _, a := range m.Allocations {
		if a.State == "" || a.State == wire.TaskFetching {
			fetching[a.Job.Image] = true
		}
	}
	return len(fetching)
}
