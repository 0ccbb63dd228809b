package placement

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
)

// The order within a priority favours little work: the longest wait per CPU
// second goes first, and what has had its fair share goes last. A job that is
// large in any way can therefore starve: each machine that becomes free is too
// small for its task and is taken by small ones, its team's quota is used up by
// them, or it is behind them in every cycle. So the wait for the first task is
// bounded.
//
// A job none of whose tasks was placed within tuning.StarvationBound is starving:
// before anything else of its priority it gets one task. If none fits, a machine,
// and what the task requests of its team's quota, is reserved against the jobs
// behind it until one does: as far as what runs ends by itself, and for
// tuning.ReservationMax at a time (see BackfillReservations). With that task the
// job has begun, and the usual order applies again, so that small jobs lose the
// time of one task to each large job.

// Starving reports whether the job has waited too long for its first task.
func (p *PendingJob) Starving(now time.Time) bool {
	return p.Started == 0 && !p.Placeholder && !p.OnProbation && p.Waiting > 0 && now.Sub(p.enqueuedAt()) >= tuning.StarvationBound
}

// starvingIn returns the indexes of the starving jobs among those from lo to
// before hi, the largest first, of equals those enqueued first. Small jobs have
// the usual order in their favour, and large ones are few: one task for each
// costs little.
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

// totalCPUs returns the CPUs that all tasks of the job request together.
func (p *PendingJob) totalCPUs() float64 { return p.Job.CPUs * float64(p.Job.Tasks) }

// startStarvingJob places one task of a starving job, or reserves what it lacks.
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
	// If the team's permanent use leaves too little of its quota, reserving the
	// rest brings nothing, and keeps its other jobs waiting.
	if c.reservations.allowed && team.everFits(request) {
		c.reserveForStarving(job, request, team)
	}
}

// reserveForStarving reserves a part of the quota and a machine at the same
// time: one after the other took as long as both together. A team has one such
// job at a time, and the machines with room are shared by all teams' jobs.
func (c *cycle) reserveForStarving(job *PendingJob, request Resources, team *Team) {
	if team.reservedFor == "" {
		team.reservedFor, team.reserved = job.Job.ID, request
		c.reservations.quota = true
	}
	if team.reservedFor != job.Job.ID || c.reservations.starvingMachines >= max(1, len(c.machines)/tuning.StarvationReservationShare) {
		return
	}
	if job.reserveMachine(c.machines, request) {
		c.reservations.starvingMachines++
	}
}
