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
	Cost      float64   // cost of preempting the task, in seconds of lost work
	Ref       any       // identifies the task to the caller
	Preemptor *wire.Job // the job for which the task is preempted; nil until the task is chosen
}

// request returns the resources that the task occupies.
func (v *Victim) request() Resources { return Resources{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB} }

// Preempt chooses tasks to preempt for jobs that found no room. Only tasks that fit their team's guarantee
// may preempt others. They may preempt tasks of a lower priority and, at any priority, tasks of another
// team that uses more than its guarantee. For each task the machine is chosen on which the least work is
// lost. Preempt changes the jobs, machines and teams as if the victims had ended and the tasks had been
// placed.
func Preempt(pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Victim {
	p := preemption{machines: machines, teams: teams, victimSets: make([]victimSet, len(machines))}
	for _, job := range pending {
		p.makeRoomFor(job)
	}
	return p.chosen
}

// preemption is the state of one call of Preempt.
type preemption struct {
	machines   []*Machine
	teams      map[string]*Team
	victimSets []victimSet // by index in machines, for one task of the current job
	upToDate   bool        // victimSets is for the current job, and no team has stopped borrowing since
	chosen     []Victim
}

// victimSet holds the tasks to preempt on a machine for one task of a job. It contains the cheapest tasks, as
// many as are needed to make room.
type victimSet struct {
	sufficient bool    // the machine has room once the victims have ended
	cost       float64 // in seconds of lost work
	victims    []int   // indexes in Machine.Victims
}

// makeRoomFor chooses victims for up to tuning.PreemptBatchTasks tasks of a job.
func (p *preemption) makeRoomFor(job *PendingJob) {
	team, request := p.teams[job.Job.Team], job.Request()
	if team == nil {
		return
	}
	p.upToDate = false
	for n := 0; job.Waiting > 0 && n < tuning.PreemptBatchTasks && team.withinQuota(request) && team.withinGuarantee(request); n++ {
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

// findVictimSets finds the victim sets of all machines for a job.
func (p *preemption) findVictimSets(job *PendingJob, request Resources) {
	for i, m := range p.machines {
		p.victimSets[i] = p.victimSetOn(m, job, request)
	}
	p.upToDate = true
}

// cheapestMachine returns the index of the machine with the cheapest victim set, or -1 if no machine has a
// sufficient one.
//
// While victims are chosen for one job, a stored set either remains as it is or becomes insufficient (the
// job's limit of tasks in the zone is reached). There are two exceptions. The set of the machine that was
// just used is recomputed by makeRoomFor. All sets are recomputed when a team stops borrowing (see release).
// So no set becomes cheaper, and the cheapest stored set is the cheapest of all if recomputing it gives the
// same cost.
func (p *preemption) cheapestMachine(job *PendingJob, request Resources) int {
	for {
		i := cheapest(p.victimSets)
		if i < 0 {
			return -1
		}
		updated := p.victimSetOn(p.machines[i], job, request)
		unchanged := updated.sufficient && updated.cost == p.victimSets[i].cost
		p.victimSets[i] = updated
		if unchanged {
			return i
		}
	}
}

// cheapest returns the index of the first of the cheapest sufficient sets, or -1 if there is none.
func cheapest(victimSets []victimSet) int {
	best := -1
	for i := range victimSets {
		if victimSets[i].sufficient && (best < 0 || victimSets[i].cost < victimSets[best].cost) {
			best = i
		}
	}
	return best
}

// removeVictims chooses the victims of the set at index i for a job, and removes them from their machine and
// from their teams' use.
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

// release subtracts a victim's resources from its team's use. If the team then no longer borrows, stored victim
// sets are out of date: they may contain tasks that were preemptible only because the team borrowed.
func (p *preemption) release(v *Victim) {
	team := p.teams[v.Job.Team]
	if team == nil {
		return
	}
	borrowed := team.borrows()
	team.release(v.request())
	p.upToDate = p.upToDate && borrowed == team.borrows()
}

// victimSetOn returns the victim set of a machine for one task of a job.
func (p *preemption) victimSetOn(m *Machine, job *PendingJob, request Resources) victimSet {
	if !job.couldRunOn(m, request) {
		return victimSet{}
	}
	victims, cost, sufficient := job.victimsOn(m, request, p.teams)
	return victimSet{sufficient: sufficient, cost: cost, victims: victims}
}

// victimsOn chooses the tasks of a machine whose end makes room for one task of the job, in ascending order
// of their cost. It returns their indexes in Machine.Victims and the sum of their costs. ok is false if
// all preemptible tasks together do not make enough room.
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

// mayPreempt reports whether a task of another job may be preempted for this one: the victim has a lower
// priority, or it belongs to another team that uses more than its guarantee. Service replicas are not
// preempted for a guarantee alone, because the end of a replica is an outage to its users.
func (p *PendingJob) mayPreempt(victim *wire.Job, teams map[string]*Team) bool {
	if victim.Priority.Level() < p.Job.Priority.Level() {
		return true
	}
	team := teams[victim.Team]
	return team != nil && victim.Team != p.Job.Team && team.borrows() && victim.Kind != wire.KindService
}
