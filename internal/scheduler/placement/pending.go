package placement

import (
	"slices"
	"time"

	"poppypass/internal/platform/wire"
)

// PendingJob is the view of a job with tasks that wait to be placed.
type PendingJob struct {
	Job          *wire.Job
	WaitingSince time.Time // since when its tasks have been waiting
	// EnqueuedAt is when the job was submitted, if its order in the queue depends on that. If it is zero,
	// the order depends on WaitingSince.
	EnqueuedAt time.Time
	Waiting    int // number of waiting tasks; a cycle decrements it for each task placed
	Started    int // number of tasks that are placed or done
	// Zones counts the job's placed tasks per zone, if its constraints depend on them; nil otherwise. A
	// cycle adds the tasks that it places.
	Zones            map[string]int
	Avoid            func(machine string) bool // reports whether the job must not run on a machine; nil: it may run on all
	ExpectedRunS     float64                   // expected run time of a task in seconds; 0: use the estimate in Job
	Preference       MachineKindPreference     // the kind of machine that is tried first
	LatencySensitive bool                      // its tasks should start sooner than a new machine boots
	AwaitSpot        bool                      // no on-demand machine may be rented for it yet
	OnProbation      bool                      // all its attempts have failed so far: no room is made for it
	// Placeholder marks expected work that is not submitted yet. It reserves room against lower priorities,
	// and its tasks are never started.
	Placeholder bool
}

// MachineKindPreference is the kind of machine, spot or on-demand, that is tried first for a job. While spot machines
// are scarce, the jobs that would lose most on a spot machine prefer on-demand machines, and all others prefer
// spot machines. Tasks that find no room on the preferred kind are then tried on any kind.
type MachineKindPreference int

// The kinds of machine that a job can prefer.
const (
	AnyKind MachineKindPreference = iota
	PreferOnDemand
	PreferSpot
)

// matches reports whether a machine, spot or not, is of the preferred kind.
func (k MachineKindPreference) matches(spot bool) bool {
	return k == AnyKind || spot == (k == PreferSpot)
}

// Request returns the resources that one task of the job requests.
func (p *PendingJob) Request() Resources {
	return Resources{p.Job.CPUs, p.Job.GPUs, p.Job.MemoryGB}
}

// expectedRunS returns the expected run time of a task in seconds.
func (p *PendingJob) expectedRunS() float64 {
	if p.ExpectedRunS > 0 {
		return p.ExpectedRunS
	}
	return p.Job.EstimateS
}

// enqueuedAt returns the time since which the job's wait in the queue is counted.
func (p *PendingJob) enqueuedAt() time.Time {
	if p.EnqueuedAt.IsZero() {
		return p.WaitingSince
	}
	return p.EnqueuedAt
}

// AllowsZone reports whether the job's constraints allow one more task in a zone, given the zones of its
// other tasks.
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

// Allows reports whether the job's constraints allow one more task on a machine of the given type and zone,
// spot or not.
func (p *PendingJob) Allows(machineType, zone string, spot bool) bool {
	return (!spot || p.Job.Spot) && (p.Job.Types == nil || slices.Contains(p.Job.Types, machineType)) && p.AllowsZone(zone)
}

// avoids reports whether the job must not run on a machine.
func (p *PendingJob) avoids(machine string) bool { return p.Avoid != nil && p.Avoid(machine) }

// couldRunOn reports whether a task of the job could run on a machine if the machine were empty.
func (p *PendingJob) couldRunOn(m *Machine, request Resources) bool {
	return m.Total.Fits(request) && p.Allows(m.Type, m.Zone, m.Spot) && !p.avoids(m.Name)
}

// assign places one waiting task on a machine. It updates the machine's free resources, the team's use, the
// job's zones and its number of waiting tasks.
func (p *PendingJob) assign(m *Machine, request Resources, team *Team) {
	m.Free.Sub(request, 1)
	team.use(request)
	if p.Zones != nil {
		p.Zones[m.Zone]++
	}
	p.Waiting--
}
