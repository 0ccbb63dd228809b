package placement

import (
	"cmp"
	"slices"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Victim is a placed task that may be preempted.
type Victim struct {
	Job       *wire.Job
	Cost      float64   // of preempting it, in seconds of lost work
	Ref       any       // identifies the task to the caller
	Preemptor *wire.Job // the job that it makes room for, once it is chosen
}

// request returns the resources that the task holds.
func (v *Victim) request() Resources { return Resources{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB} }

// Preempt chooses tasks to preempt for jobs that found no room. Only work within
// its team's guarantee preempts: tasks of a lower priority, and, of any priority,
// what another team runs beyond its own guarantee. For each task the machine is
// chosen on which the least work is lost. It changes the jobs, machines and teams
// as if the victims had ended and the tasks were placed.
func Preempt(pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Victim {
	p := preemption{machines: machines, teams: teams, victimSets: make([]victimSet, len(machines))}
	for _, job := range pending {
		p.makeRoomFor(job)
	}
	return p.chosen
}

// preemption is the state of one choice of victims.
type preemption struct {
	machines   []*Machine
	teams      map[string]*Team
	victimSets []victimSet // of each machine, for a task of the present job
	upToDate   bool        // the offers are for the present job, and no team's borrowing has changed
	chosen     []Victim
}

// victimSet is what room for one task on a machine costs.
type victimSet struct {
	sufficient bool
	cost       float64 // in seconds of lost work
	victims    []int   // indexes in the machine's victims
}

// makeRoomFor chooses victims for up to tuning.PreemptBatch tasks of a job.
func (p *preemption) makeRoomFor(job *PendingJob) {
	team, request := p.teams[job.Job.Team], job.Request()
	if team == nil {
		return
	}
	p.upToDate = false
	for n := 0; job.Waiting > 0 && n < tuning.PreemptBatch && team.withinQuota(request) && team.withinGuarantee(request); n++ {
		if !p.upToDate {
			p.findVictimSets(job, request)
		}
		i := p.cheapestMachine(job, request)
		if i < 0 {
			return
		}
		p.removeVictims(i, job)
		job.assign(p.machines[i], request, team)
		p.victimSets[i] = p.victimSetOn(p.machines[i], job, request)
	}
}

// findVictimSets asks all machines for an offer.
func (p *preemption) findVictimSets(job *PendingJob, request Resources) {
	for i, m := range p.machines {
		p.victimSets[i] = p.victimSetOn(m, job, request)
	}
	p.upToDate = true
}

// cheapestMachine returns the index of the machine with the cheapest offer; -1: there
// is none.
//
// While one job makes room, an offer is withdrawn (a zone is full) or stays, but
// for that of the machine that was just used, and unless a team stops borrowing.
// So the cheapest known offer is the cheapest if it still holds.
func (p *preemption) cheapestMachine(job *PendingJob, request Resources) int {
	for {
		i := cheapest(p.victimSets)
		if i < 0 {
			return -1
		}
		updated := p.victimSetOn(p.machines[i], job, request)
		holds := updated.sufficient && updated.cost == p.victimSets[i].cost
		p.victimSets[i] = updated
		if holds {
			return i
		}
	}
}

// cheapest returns the index of the first of the cheapest offers; -1: there is
// none.
func cheapest(victimSets []victimSet) int {
	best := -1
	for i := range victimSets {
		if victimSets[i].sufficient && (best < 0 || victimSets[i].cost < victimSets[best].cost) {
			best = i
		}
	}
	return best
}

// removeVictims takes the victims of the offer at index i from their machine, for a job.
func (p *preemption) removeVictims(i int, job *PendingJob) {
	machine, victims := p.machines[i], p.victimSets[i].victims
	for _, k := range victims {
		v := machine.Victims[k]
		v.Preemptor = job.Job
		p.chosen = append(p.chosen, v)
		machine.Free.Add(v.request())
		p.release(&v)
	}
	slices.Sort(victims)
	for _, k := range slices.Backward(victims) {
		machine.Victims = slices.Delete(machine.Victims, k, k+1)
	}
}

// release takes a victim out of its team's use. If the team stops borrowing by
// that, the offers with its tasks do not hold any more.
func (p *preemption) release(v *Victim) {
	team := p.teams[v.Job.Team]
	if team == nil {
		return
	}
	borrowed := team.borrows()
	team.release(v.request())
	p.upToDate = p.upToDate && borrowed == team.borrows()
}

// victimSetOn returns a machine's offer for one task of a job.
func (p *preemption) victimSetOn(m *Machine, job *PendingJob, request Resources) victimSet {
	if !job.couldRunOn(m, request) {
		return victimSet{}
	}
	victims, cost, ok := job.victimsOn(m, request, p.teams)
	return victimSet{sufficient: ok, cost: cost, victims: victims}
}

// victimsOn returns the indexes and the cost of the cheapest tasks of a machine
// whose end makes room for one task of the job.
func (p *PendingJob) victimsOn(machine *Machine, request Resources, teams map[string]*Team) (victims []int, cost float64, ok bool) {
	var preemptible []int
	for i := range machine.Victims {
		if p.mayPreempt(machine.Victims[i].Job, teams) {
			preemptible = append(preemptible, i)
		}
	}
	slices.SortFunc(preemptible, func(a, b int) int { return cmp.Compare(machine.Victims[a].Cost, machine.Victims[b].Cost) })
	free := machine.Free
	for _, i := range preemptible {
		if free.Fits(request) {
			break
		}
		v := &machine.Victims[i]
		free.Add(v.request())
		victims = append(victims, i)
		cost += v.Cost
	}
	return victims, cost, free.Fits(request)
}

// mayPreempt reports whether tasks of another job may be preempted for this one:
// those of a lower priority, and what another team borrows. A service's replicas
// are not preempted for a guarantee alone: the end of one is an outage to its
// users.
func (p *PendingJob) mayPreempt(victim *wire.Job, teams map[string]*Team) bool {
	if victim.Priority.Level() < p.Job.Priority.Level() {
		return true
	}
	team := teams[victim.Team]
	return team != nil && victim.Team != p.Job.Team && team.borrows() && victim.Kind != wire.KindService
}
