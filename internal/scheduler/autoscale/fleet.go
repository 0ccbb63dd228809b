// Package autoscale decides which machines are wanted beyond those that are there:
// what to rent for the tasks that found no room, and what to return. It does
// no I/O and keeps no state.
package autoscale

import (
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// Offering is a type, zone and kind of machine that can be asked for.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// Purchase is a wish for machines.
type Purchase struct {
	Offering
	Count int
}

// Input is what a plan is made from. Plan changes it, so that a further plan
// from it comes on top.
type Input struct {
	Now           time.Time
	Pending       []*placement.PendingJob // with the tasks that found no room
	Booting       []*placement.Machine    // machines that will be there soon
	Teams         map[string]*placement.Team
	Types         []wire.MachineType
	Unavailable   func(Offering) bool // not to be asked for now
	InFlight      func(Offering) bool // asked for already: what more of it is wanted is asked for after the answer; nil: none is
	MaxPerRequest int                 // how many of an option one request may ask for; 0: any number
	MaxNew        int                 // how many machines more may be rented
	Existing      map[Offering]int    // machines there or booting
	SpotOnly      bool                // work that may run on spot machines gets no others
}

// Plan wants machines for the tasks that fit neither on the machines there
// (the caller has placed what fits) nor on those that boot. It goes no further than can be
// asked for now: an item whose next machine would be one more of what is asked for already, or
// fills a request, waits for the next plan. Planned to its end, a backlog that wanted a thousand
// machines took 92 ms for the first fifty of them.
func Plan(in *Input) []Purchase {
	placement.Schedule(in.Now, in.Pending, in.Booting, in.Teams)
	wants := map[Offering]int{}
	var order []Offering
	for _, it := range in.Pending {
		// Each round rents one machine for the item and fills it with it and
		// with those behind it.
		for in.MaxNew > 0 && placement.TasksWithinQuota(it, in.Teams) > 0 {
			o, t, ok := cheapest(in, it)
			if !ok || in.InFlight != nil && in.InFlight(o) || in.MaxPerRequest > 0 && wants[o] >= in.MaxPerRequest {
				break
			}
			total := placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
			m := &placement.Machine{Name: "", Type: o.Type, Zone: o.Zone, Spot: o.Spot, Total: total, Free: total}
			if len(placement.ScheduleSorted(in.Now, in.Pending, []*placement.Machine{m}, in.Teams)) == 0 {
				break
			}
			if wants[o] == 0 {
				order = append(order, o)
			}
			wants[o]++
			in.Existing[o]++
			in.MaxNew--
		}
	}
	out := make([]Purchase, 0, len(order))
	for _, o := range order {
		out = append(out, Purchase{o, wants[o]})
	}
	return out
}

// cheapest finds the option with the least price for each task that it would
// hold; among equals the zone with the fewest machines.
func cheapest(in *Input, it *placement.PendingJob) (best Offering, typ wire.MachineType, found bool) {
	left := float64(placement.TasksWithinQuota(it, in.Teams))
	need := it.Request()
	var bestCost float64
	var bestCount int
	for _, t := range in.Types {
		per := perMachine(t, need)
		if per < 1 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := Offering{t.Name, zone, spot}
				if !it.Allows(t.Name, zone, spot) || in.Unavailable(o) || (in.SpotOnly || it.AwaitSpot) && it.Job.Spot && !spot {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / min(per, left)
				count := in.zoneCount(zone)
				if it.Job.Spread {
					count = it.Zones[zone]
				}
				if !found || cost < bestCost || cost == bestCost && count < bestCount {
					best, typ, bestCost, bestCount, found = o, t, cost, count, true
				}
			}
		}
	}
	return best, typ, found
}

func (in *Input) zoneCount(zone string) int {
	n := 0
	for o, c := range in.Existing {
		if o.Zone == zone {
			n += c
		}
	}
	return n
}

// perMachine is how many tasks of a size a machine of a type holds.
func perMachine(t wire.MachineType, need placement.Resources) float64 {
	per := float64(wire.MaxTasks)
	for _, r := range [][2]float64{{t.CPUs, need.CPUs}, {t.GPUs, need.GPUs}, {t.MemoryGB, need.MemoryGB}} {
		if r[1] > 0 {
			per = min(per, float64(int(r[0]/r[1]+1e-9)))
		}
	}
	return per
}

// FitsSomeType tells whether a task of the job fits some type that the job allows.
func FitsSomeType(j *wire.Job, types []wire.MachineType) bool {
	need := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	return slices.ContainsFunc(types, func(t wire.MachineType) bool {
		return (j.Types == nil || slices.Contains(j.Types, t.Name)) &&
			(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && perMachine(t, need) >= 1
	})
}
