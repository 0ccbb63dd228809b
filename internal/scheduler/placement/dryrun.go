package placement

import "time"

// Marks of machines in a dry run, in place of the ID of a job that reserves one.
const (
	excludedFromDryRun = "\x00" // while its own tasks are tried on the others
	removedFromDryRun  = "\x01" // after they fitted
)

// DryRun finds where tasks would be placed on a set of machines that it keeps
// ranked from one question to the next. To ask for each of hundreds of machines
// whether its tasks fit on the others then costs as much as one cycle, rather
// than one cycle each.
type DryRun struct {
	rankings     machineRankings
	usedRankings []*machineRanking // by the present question
	placed       []Placement       // of the present question
}

// NewDryRun begins a dry run. What fits takes the machines' free resources;
// nothing else may change them in the meantime.
func NewDryRun(machines []*Machine) *DryRun {
	return &DryRun{rankings: newMachineRankings(machines)}
}

// BestMachine returns the machine on which one more task of a job would be
// placed; nil: there is none.
func (d *DryRun) BestMachine(p *PendingJob) *Machine { return d.rankings.forJob(p, AnyKind).best(p) }

// TryPlace reports whether all waiting tasks of some jobs, whose teams have no
// quotas, fit on the machines without one of them (nil: on all). If they do, they
// take their room, and that machine is removed from the dry run; otherwise
// nothing changes but the order of the jobs and their counts.
func (d *DryRun) TryPlace(now time.Time, pending []*PendingJob, without *Machine) bool {
	if without != nil {
		without.reservedFor = excludedFromDryRun
	}
	team, teams := unlimitedTeam(), map[string]*Team{}
	for _, p := range pending {
		teams[p.Job.Team] = team
	}
	Sort(pending, teams, now)
	fit := d.placeAll(pending, team)
	mark := removedFromDryRun
	if !fit {
		d.undo()
		mark = ""
	}
	if without != nil {
		without.reservedFor = mark
	}
	return fit
}

// placeAll places all waiting tasks, until one does not fit. It reports whether all
// did.
func (d *DryRun) placeAll(pending []*PendingJob, team *Team) bool {
	d.usedRankings, d.placed = d.usedRankings[:0], d.placed[:0]
	for _, job := range pending {
		if job.Waiting == 0 {
			continue
		}
		ranking := d.rankings.forJob(job, AnyKind)
		d.usedRankings = append(d.usedRankings, ranking)
		for request := job.Request(); job.Waiting > 0; {
			machine := ranking.best(job)
			if machine == nil {
				return false
			}
			job.assign(machine, request, team)
			d.placed = append(d.placed, Placement{job, machine})
		}
	}
	return true
}

// undo returns the room that a question took. The searches that it used may have
// ranked the machines by less room, and so too far behind: they get a new entry.
func (d *DryRun) undo() {
	for _, p := range d.placed {
		p.Machine.Free.Add(p.Pending.Request())
	}
	for i, placement := range d.placed {
		if i > 0 && d.placed[i-1].Machine == placement.Machine {
			continue
		}
		for _, ranking := range d.usedRankings {
			ranking.reinsert(placement.Machine)
		}
	}
}
