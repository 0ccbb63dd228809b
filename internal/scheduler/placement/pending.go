package placement

import (
	"slices"
	"time"

	"poppypass/internal/platform/wire"
)

// PendingJob is a job with tasks that wait for a machine.
type PendingJob struct {
	Job          *wire.Job
	WaitingSince time.Time // since when its tasks wait
	// EnqueuedAt is when the job was submitted, if that is what its order in the
	// queue depends on; zero: WaitingSince is.
	EnqueuedAt time.Time
	Waiting    int // tasks that wait; a cycle decrements it for each task placed
	Started    int // tasks that are placed or done
	// Zones counts the job's placed tasks per zone, if its constraints depend on
	// them; nil otherwise. A cycle adds the tasks that it places.
	Zones            map[string]int
	Avoid            func(machine string) bool // machines that it must not run on; nil: none
	ExpectedRunS     float64                   // expected run time of a task in seconds; 0: the owner's estimate
	Preference       KindPreference            // the kind of machines that is tried first
	LatencySensitive bool                      // it is to start sooner than a machine boots
	AwaitSpot        bool                      // no on-demand machine is to be rented for it yet
	OnProbation      bool                      // its job has only ever failed: no room is made for it
	// Placeholder marks expected work: it reserves room against lower priorities and
	// is never placed.
	Placeholder bool
}

// KindPreference is the kind of machines, spot or on-demand, that is tried first
// for a job. While spot machines are short, the work that would lose most with
// one prefers on-demand machines and the rest prefers spot ones; what finds no
// room there is then tried on any.
type KindPreference int

// The kinds of machines that a job can prefer.
const (
	AnyKind KindPreference = iota
	PreferOnDemand
	PreferSpot
)

// matches reports whether a machine is of the preferred kind.
func (k KindPreference) matches(spot bool) bool { return k == AnyKind || spot == (k == PreferSpot) }

// Request returns the resources that one task of the job requests.
func (p *PendingJob) Request() Resources {
	return Resources{p.Job.CPUs, p.Job.GPUs, p.Job.MemoryGB}
}

// expectedRunS returns how long a task is expected to run, in seconds.
func (p *PendingJob) expectedRunS() float64 {
	if p.ExpectedRunS > 0 {
		return p.ExpectedRunS
	}
	return p.Job.EstimateS
}

// enqueuedAt returns the time from which the job's wait in the queue counts.
func (p *PendingJob) enqueuedAt() time.Time {
	if p.EnqueuedAt.IsZero() {
		return p.WaitingSince
	}
	return p.EnqueuedAt
}

// AllowsZone reports whether one more task may be placed in a zone, given where
// the job's other tasks may be.
func (p *PendingJob) AllowsZone(zone string) bool {
	j := p.Job
	if j.Zone != "" && j.Zone != zone {
		return false
	}
	if j.OneZone {
		for z, n := range p.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || p.Zones[zone] < (j.Tasks+1)/2
}

// Allows reports whether one more task may run on a machine of a type, in a
// zone, spot or not.
func (p *PendingJob) Allows(machineType, zone string, spot bool) bool {
	return (!spot || p.Job.Spot) && (p.Job.Types == nil || slices.Contains(p.Job.Types, machineType)) && p.AllowsZone(zone)
}

// avoids reports whether the job must not run on a machine.
func (p *PendingJob) avoids(machine string) bool { return p.Avoid != nil && p.Avoid(machine) }

// couldRunOn reports whether a task could run on a machine if the machine were
// empty.
func (p *PendingJob) couldRunOn(m *Machine, request Resources) bool {
	return m.Total.Fits(request) && p.Allows(m.Type, m.Zone, m.Spot) && !p.avoids(m.Name)
}

// assign places one waiting task on a machine and counts it: in the machine's
// free resources, the team's use and the job's zones.
func (p *PendingJob) assign(m *Machine, request Resources, team *Team) {
	m.Free.Sub(request, 1)
	team.use(request)
	if p.Zones != nil {
		p.Zones[m.Zone]++
	}
	p.Waiting--
}
