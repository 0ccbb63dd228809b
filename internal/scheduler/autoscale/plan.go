// Package autoscale decides about scale-out: which machines to rent for the tasks that found no room (Plan), and which
// expected jobs to reserve room for (Forecast). It does no I/O and has no state. Nothing here is safe for concurrent use
// with the same input.
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

// Rental is an offering and the number of machines to rent of it.
type Rental struct {
	Offering
	Count int
}

// Input is the input of a plan. Plan updates it, so that a further plan made from it adds to the first one.
type Input struct {
	Now     time.Time
	Pending []*placement.PendingJob // jobs with tasks that found no room
	Booting []*placement.Machine    // machines that will be usable soon
	Teams   map[string]*placement.Team
	Types   []wire.MachineType
	// Unavailable reports whether an offering must not be requested now.
	Unavailable func(Offering) bool
	// InFlight reports whether a request for an offering is in flight. More machines of it are requested only
	// after the answer. nil: no request is in flight.
	InFlight       func(Offering) bool
	MaxPerRequest  int              // number of machines that one request may ask for; 0: any number
	MaxNew         int              // number of machines that may be rented in addition
	ExistingCounts map[Offering]int // number of machines that are up, booting or requested
	SpotOnly       bool             // no on-demand machines are rented for work that may run on spot machines
}

// Plan returns the machines to rent for the tasks that fit neither on the existing machines (the caller has placed what
// fits) nor on booting ones. It plans no more than can be requested now: a job waits for the next plan if its next machine
// would be of an offering that has a request in flight, or of which MaxPerRequest machines are planned already. Without
// this limit, planning a backlog that needs a thousand machines takes 92 ms, although only the first fifty machines can
// be requested.
func Plan(in *Input) []Rental {
	placement.Schedule(in.Now, in.Pending, in.Booting, in.Teams)
	plan := rentalPlan{counts: map[Offering]int{}}
	for _, p := range in.Pending {
		in.planFor(p, &plan)
	}
	return plan.rentals()
}

// planFor adds machines for the tasks of a job to the plan, one at a time. Each new machine is filled with tasks of this
// job and of the jobs behind it in the queue.
func (in *Input) planFor(p *placement.PendingJob, plan *rentalPlan) {
	for in.MaxNew > 0 && placement.TasksWithinQuota(p, in.Teams) > 0 {
		best, found := in.cheapest(p)
		if !found || in.mustWait(best.Offering, plan.counts[best.Offering]) {
			return
		}
		m := best.machine()
		if len(placement.ScheduleSorted(in.Now, in.Pending, []*placement.Machine{m}, in.Teams)) == 0 {
			return
		}
		plan.add(best.Offering)
		in.ExistingCounts[best.Offering]++
		in.MaxNew--
	}
}

// mustWait reports whether one more machine of an offering, of which some are planned already, has to wait for the next
// plan.
func (in *Input) mustWait(o Offering, planned int) bool {
	return in.InFlight != nil && in.InFlight(o) || in.MaxPerRequest > 0 && planned >= in.MaxPerRequest
}

// rentalPlan holds the machines that a plan rents, as the number of machines of each offering.
type rentalPlan struct {
	offerings []Offering       // in the order in which they were first needed
	counts    map[Offering]int // number of machines to rent
}

func (p *rentalPlan) add(offering Offering) {
	if p.counts[offering] == 0 {
		p.offerings = append(p.offerings, offering)
	}
	p.counts[offering]++
}

func (p *rentalPlan) rentals() []Rental {
	out := make([]Rental, 0, len(p.offerings))
	for _, offering := range p.offerings {
		out = append(out, Rental{offering, p.counts[offering]})
	}
	return out
}

// option is an offering that could be rented for a job, with the values by which offerings are compared.
type option struct {
	Offering
	machineType *wire.MachineType
	taskCost    float64 // price per hour for each task that the machine would hold
	countInZone int     // number of machines in the zone, or of the job's tasks there if the job is spread over zones
}

// cheaperThan compares options by the cost per task. At equal cost, the zone with the fewest machines or tasks is
// preferred.
func (o *option) cheaperThan(other *option) bool {
	return o.taskCost < other.taskCost || o.taskCost == other.taskCost && o.countInZone < other.countInZone
}

// machine returns a machine without tasks, as the option describes it.
func (o *option) machine() *placement.Machine {
	total := placement.Resources{CPUs: o.machineType.CPUs, GPUs: o.machineType.GPUs, MemoryGB: o.machineType.MemoryGB}
	return &placement.Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Total: total, Free: total}
}

// cheapest returns the cheapest option for a job; found is false if no offering suits the job.
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
				o := option{offering, t, price(t, spot) / min(capacity, tasks), in.countInZone(p, zone)}
				if !found || o.cheaperThan(&best) {
					best, found = o, true
				}
			}
		}
	}
	return best, found
}

// suits reports whether an offering may be requested for a job now.
func (in *Input) suits(p *placement.PendingJob, o Offering) bool {
	awaitsSpot := (in.SpotOnly || p.AwaitSpot) && p.Job.Spot
	return p.Allows(o.Type, o.Zone, o.Spot) && !in.Unavailable(o) && (o.Spot || !awaitsSpot)
}

// countInZone counts the machines in a zone, or the job's tasks there if the job is spread over zones.
func (in *Input) countInZone(p *placement.PendingJob, zone string) int {
	if p.Job.Spread {
		return p.Zones[zone]
	}
	n := 0
	for o, count := range in.ExistingCounts {
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

// tasksPerMachine returns how many tasks with a resource request a machine of a type can hold.
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

// FitsSomeType reports whether a task of the job fits on a machine of some type that the job allows.
func FitsSomeType(j *wire.Job, types []wire.MachineType) bool {
	request := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	return slices.ContainsFunc(types, func(t wire.MachineType) bool {
		return (j.Types == nil || slices.Contains(j.Types, t.Name)) &&
			(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && tasksPerMachine(&t, request) >= 1
	})
}
