package placement

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
)

// Within a priority, the order of the queue favours jobs with little work: the longest wait per CPU second
// goes first, and a job that has had its fair share goes last. A large job can therefore starve. Each machine
// that becomes free may be too small for its task and be filled by small tasks, small jobs may use up its
// team's quota, or small jobs may precede it in every cycle. The wait for the first task is therefore bounded.
//
// A job that has waited for tuning.StarvingAfter without any task placed is starving. Before anything else
// of its priority is placed, one task of that job is placed. If the task does not fit, a machine and the part of
// the team's quota that the task requests are reserved against the jobs behind it until it fits. They are
// reserved only if tasks that end by themselves will free them, and for at most tuning.ReservationMaxTime at a
// time (see BackfillReservations). Once the task is placed, the job counts as started and the usual order applies
// again, so each large job delays small jobs by the time of one task only.

// Starving reports whether the job has waited too long for its first task.
func (p *PendingJob) Starving(now time.Time) bool {
	return p.Started == 0 && !p.Placeholder && !p.OnProbation && p.Waiting > 0 && now.Sub(p.enqueuedAt()) >= tuning.StarvingAfter
}

// starvingIn returns the indexes of the starving jobs at the indexes lo <= i < hi. Jobs whose tasks request
// more CPUs in total come first; jobs with the same total are ordered by the time at which they were enqueued.
// Large jobs come first because the usual order favours small ones. Large jobs are few, so placing one task of
// each first delays the other jobs little.
func starvingIn(pending []*PendingJob, lo, hi int, now time.Time) []int {
	var starving []int
	for i := lo; i < hi; i++ {
		if pending[i].Starving(now) {
			starving = append(starving, i)
		}
	}
	slices.SortFunc(starving, func(a, b int) int {
		p, q := pending[a], pending[b]
		return cmp.Or(cmp.Compare(q.totalCPUs(), p.totalCPUs()), p.enqueuedAt().Compare(q.enqueuedAt()), cmp.Compare(p.Job.ID, q.Job.ID))
	})
	return starving
}

// totalCPUs returns how many CPUs all tasks of the job request together.
func (p *PendingJob) totalCPUs() float64 { return p.Job.CPUs * float64(p.Job.Tasks) }

// startStarvingJob places one task of a starving job, or reserves a machine and quota for it.
func (c *cycle) startStarvingJob(job *PendingJob) {
	team, request := c.teams[job.Job.Team], job.Request()
	if team == nil {
		return
	}
	if team.admits(job) {
		if machine := c.rankings.forJob(job, AnyKind).best(job); machine != nil {
			c.place(job, machine, request, team)
			return
		}
	}
	// If the team's permanent use leaves too little of its quota, reserving the rest would not help this job
	// and would keep the team's other jobs waiting.
	if c.reservations.allowed && team.everFits(request) {
		c.reserveForStarving(job, request, team)
	}
}

// reserveForStarving reserves a part of the team's quota and a machine at the same time, because waiting for
// one after the other takes as long as both waits together. Quota is reserved for one job of a team at a time.
// The number of machines that may be reserved for the starving jobs of all teams together is the number of the
// cycle's machines divided by tuning.StarvationReservationDivisor, but at least one.
func (c *cycle) reserveForStarving(job *PendingJob, request Resources, team *Team) {
	if team.reservedFor == "" {
		team.reservedFor, team.reserved = job.Job.ID, request
		c.reservations.quotaReserved = true
	}
	if team.reservedFor != job.Job.ID || c.reservations.starvingMachines >= max(1, len(c.machines)/tuning.StarvationReservationDivisor) {
		return
	}
	if job.reserveMachine(c.machines, request) {
		c.reservations.starvingMachines++
	}
}
