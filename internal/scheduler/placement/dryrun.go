package placement

import "time"

// These values mark machines of a dry run. They are stored in Machine.reservedFor in place of a job ID, and
// are not valid job IDs.
const (
	excludedFromDryRun = "\x00" // while TryPlace tries to move the machine's tasks to other machines
	removedFromDryRun  = "\x01" // after all the machine's tasks fitted on other machines
)

// DryRun finds where tasks would be placed, without starting them. It ranks the machines once and reuses the
// ranking for every call. Testing each of hundreds of machines for whether its tasks fit on the others
// therefore costs as much as one cycle, rather than one cycle per machine.
type DryRun struct {
	rankings     rankings
	usedRankings []*machineRanking // in the current call of TryPlace
	placed       []Placement       // in the current call of TryPlace
}

// NewDryRun starts a dry run. Tasks that fit reduce the machines' free resources. Nothing else may change the
// free resources during the dry run.
func NewDryRun(machines []*Machine) *DryRun {
	return &DryRun{rankings: newRankings(machines)}
}

// BestMachine returns the machine on which one more task of a job would be placed, or nil if there is none.
func (d *DryRun) BestMachine(p *PendingJob) *Machine { return d.rankings.forJob(p, AnyKind).best(p) }

// TryPlace reports whether all waiting tasks of the pending jobs fit on the machines without the excluded one;
// nil excludes none. Quotas do not apply. If all tasks fit, they use up their room, and the excluded machine
// is removed from the dry run. Otherwise nothing changes except the order of pending and the jobs' waiting
// counts and zones.
func (d *DryRun) TryPlace(now time.Time, pending []*PendingJob, excluded *Machine) bool {
	if excluded != nil {
		excluded.reservedFor = excludedFromDryRun
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
	if excluded != nil {
		excluded.reservedFor = mark
	}
	return fit
}

// placeAll places waiting tasks until one does not fit, and reports whether all of them fitted.
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

// undo gives back the room that the current call of TryPlace has used up. The rankings that the call used may
// contain the affected machines with less room than they have now, and so rank them too low. Each affected
// machine is therefore inserted into these rankings again.
func (d *DryRun) undo() {
	for _, placement := range d.placed {
		placement.Machine.Free.Add(placement.Pending.Request())
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
