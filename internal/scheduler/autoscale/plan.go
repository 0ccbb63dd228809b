// Package autoscale decides about scale-out: which machines to rent for the tasks
// that found no room (Plan), and which work is expected soon and has room reserved
// for it (Forecast). It does no I/O and keeps no state. Nothing here is safe for
// concurrent use with the same input.
package autoscale

import (
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// Offering is a type of machine in a zone, spot or on-demand, that can be rented.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// Purchase is a number of machines to rent of an offering.
type Purchase struct {
	Offering
	Count int
}

// Input is what a plan is made from. Plan changes it, so that a further plan made
// from it comes on top.
type Input struct {
	Now     time.Time
	Pending []*placement.PendingJob // with the tasks that found no room
	Booting []*placement.Machine    // machines that will be there soon
	Teams   map[string]*placement.Team
	Types   []wire.MachineType
	// Unavailable reports whether an offering is not to be asked for now.
	Unavailable func(Offering) bool
	// InFlight reports whether a request for an offering is waiting for its answer:
	// more of it is asked for afterwards; nil: none is.
	InFlight      func(Offering) bool
	MaxPerRequest int              // machines that one request may ask for; 0: any number
	MaxNew        int              // machines that may be rented in addition
	Existing      map[Offering]int // machines that are there or booting
	SpotOnly      bool             // work that may run on spot machines gets no on-demand ones
}

// Plan returns the machines to rent for the tasks that fit neither on the machines
// that are there (the caller has placed what fits) nor on those that boot. It goes
// no further than can be asked for now: a job whose next machine would be one more
// of an offering that has a request in flight, or that fills a request, waits for
// the next plan. Planned to its end, a backlog that wanted a thousand machines took
// 92 ms for the first fifty of them.
func Plan(in *Input) []Purchase {
	placement.Schedule(in.Now, in.Pending, in.Booting, in.Teams)
	o := order{counts: map[Offering]int{}}
	for _, p := range in.Pending {
		in.planFor(p, &o)
	}
	return o.purchases()
}

// planFor orders machines for the tasks of a job: each round one, which is filled
// with them and with those of the jobs behind it.
func (in *Input) planFor(p *placement.PendingJob, o *order) {
	for in.MaxNew > 0 && placement.TasksWithinQuota(p, in.Teams) > 0 {
		best, found := in.cheapest(p)
		if !found || in.mustWait(best.Offering, o.counts[best.Offering]) {
			return
		}
		m := best.machine()
		if len(placement.ScheduleSorted(in.Now, in.Pending, []*placement.Machine{m}, in.Teams)) == 0 {
			return
		}
		o.add(best.Offering)
		in.Existing[best.Offering]++
		in.MaxNew--
	}
}

// mustWait reports whether one more machine of an offering, of which some are
// ordered already, has to wait for the next plan.
func (in *Input) mustWait(o Offering, ordered int) bool {
	return in.InFlight != nil && in.InFlight(o) || in.MaxPerRequest > 0 && ordered >= in.MaxPerRequest
}

// order is the machines that a plan rents, in the order in which their offerings
// were first wanted.
type order struct {
	offerings []Offering
	counts    map[Offering]int
}

func (o *order) add(of Offering) {
	if o.counts[of] == 0 {
		o.offerings = append(o.offerings, of)
	}
	o.counts[of]++
}

func (o *order) purchases() []Purchase {
	out := make([]Purchase, 0, len(o.offerings))
	for _, of := range o.offerings {
		out = append(out, Purchase{of, o.counts[of]})
	}
	return out
}

// option is an offering as it suits a job.
type option struct {
	Offering
	typ      *wire.MachineType
	taskCost float64 // price per hour for each task that the machine would hold
	inZone   int     // machines in the zone, or the job's tasks if it is to be spread
}

// cheaperThan compares by the cost per task; among equals the zone with the fewest
// machines or tasks goes first.
func (o *option) cheaperThan(than *option) bool {
	return o.taskCost < than.taskCost || o.taskCost == than.taskCost && o.inZone < than.inZone
}

// machine returns an empty machine of the option.
func (o *option) machine() *placement.Machine {
	total := placement.Resources{CPUs: o.typ.CPUs, GPUs: o.typ.GPUs, MemoryGB: o.typ.MemoryGB}
	return &placement.Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Total: total, Free: total}
}

// cheapest returns the cheapest of the options for a job.
func (in *Input) cheapest(p *placement.PendingJob) (best option, found bool) {
	tasks, request := float64(placement.TasksWithinQuota(p, in.Teams)), p.Request()
	for i := range in.Types {
		t := &in.Types[i]
		capacity := tasksPerMachine(t, request)
		if capacity < 1 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				offering := Offering{t.Name, zone, spot}
				if !in.suits(p, offering) {
					continue
				}
				o := option{offering, t, price(t, spot) / min(capacity, tasks), in.inZone(p, zone)}
				if !found || o.cheaperThan(&best) {
					best, found = o, true
				}
			}
		}
	}
	return best, found
}

// suits reports whether an offering may be asked for now, for a job.
func (in *Input) suits(p *placement.PendingJob, o Offering) bool {
	awaitsSpot := (in.SpotOnly || p.AwaitSpot) && p.Job.Spot
	return p.Allows(o.Type, o.Zone, o.Spot) && !in.Unavailable(o) && (o.Spot || !awaitsSpot)
}

// inZone counts the machines in a zone, or the tasks there of a job that is to be
// spread.
func (in *Input) inZone(p *placement.PendingJob, zone string) int {
	if p.Job.Spread {
		return p.Zones[zone]
	}
	n := 0
	for o, count := range in.Existing {
		if o.Zone == zone {
			n += count
		}
	}
	return n
}

// price returns the price of a machine per hour.
func price(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// tasksPerMachine returns how many tasks a machine of a type holds.
func tasksPerMachine(t *wire.MachineType, request placement.Resources) float64 {
	const slack = 1e-9 // absorbs rounding
	n := float64(wire.MaxTasks)
	for _, r := range [...]struct{ has, requested float64 }{
		{t.CPUs, request.CPUs}, {t.GPUs, request.GPUs}, {t.MemoryGB, request.MemoryGB},
	} {
		if r.requested > 0 {
			n = min(n, float64(int(r.has/r.requested+slack)))
		}
	}
	return n
}

// FitsSomeType reports whether a task of the job fits a machine of some type that
// the job allows.
func FitsSomeType(j *wire.Job, types []wire.MachineType) bool {
	request := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	return slices.ContainsFunc(types, func(t wire.MachineType) bool {
		return (j.Types == nil || slices.Contains(j.Types, t.Name)) &&
			(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && tasksPerMachine(&t, request) >= 1
	})
}
