package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// EffectivePriority returns a job's priority level after aging: one level above its own once it has waited
// for tuning.PriorityAgingAfter. A job that has had its fair share does not age, because its tasks are being
// placed while other jobs wait.
func EffectivePriority(job *PendingJob, teams map[string]*Team, now time.Time) int {
	level := job.Job.Priority.Level()
	if now.Sub(job.enqueuedAt()) >= tuning.PriorityAgingAfter && !hadFairShare(job, teams) {
		level++
	}
	return level
}

// hadFairShare reports whether a job of a team without a quota has started a task, and would exceed its fair
// share with the next one.
func hadFairShare(job *PendingJob, teams map[string]*Team) bool {
	team := teams[job.Job.Team]
	return team != nil && job.Started > 0 && team.FairShareCPUs > 0 && float64(job.Started+1)*job.Job.CPUs > team.FairShareCPUs
}

// fairShareUsed returns how much of its team's quota a job uses, counting the tasks that it has started and
// the next one, in steps of 1/tuning.FairShareSteps. Jobs that have used fewer steps go first. A large array
// therefore lets the team's other jobs start, instead of filling every free slot again as its own tasks end.
// For a team without a quota, a share of the fleet (Team.FairShareCPUs) replaces the quota. Without that
// share, hundreds of tiny jobs of such a team waited three minutes behind the team's array of 25,000 tasks.
func fairShareUsed(job *PendingJob, teams map[string]*Team) int {
	team := teams[job.Job.Team]
	if team == nil {
		return 0
	}
	tasks, request := float64(job.Started+1), job.Request()
	cpus := team.QuotaCPUs
	if team.FairShareCPUs > 0 {
		cpus = team.FairShareCPUs
	}
	share := 0.0
	if request.CPUs > 0 {
		share = max(share, (tasks*request.CPUs-roundingTolerance)/cpus)
	}
	if request.GPUs > 0 {
		share = max(share, (tasks*request.GPUs-roundingTolerance)/team.QuotaGPUs)
	}
	return int(min(share, 1) * tuning.FairShareSteps)
}

// responseRatio returns the seconds since an array was enqueued, per CPU second of its waiting work. The job
// with the highest ratio goes first (highest response ratio next), so that a backlog makes few jobs late
// rather than all. For other kinds of job the ratio is +Inf, since a missing service replica is an outage.
func responseRatio(job *PendingJob, now time.Time) float64 {
	work := job.Job.CPUs * float64(job.Waiting) * job.expectedRunS()
	if job.Job.Kind != wire.KindArray || work <= 0 {
		return math.Inf(1)
	}
	return now.Sub(job.enqueuedAt()).Seconds() / work
}

// queueKey holds the values by which a job is ordered in the queue.
type queueKey struct {
	job           *PendingJob
	priority      int
	fairShareUsed int
	responseRatio float64
	index         int // in the list before sorting
}

// compare compares two jobs for the order of the queue: the result is negative if a goes before b. The job's ID
// and the index are compared last, so that the order is deterministic.
func (a queueKey) compare(b queueKey) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if a.fairShareUsed != b.fairShareUsed {
		return a.fairShareUsed - b.fairShareUsed
	}
	if a.responseRatio != b.responseRatio {
		return cmp.Compare(b.responseRatio, a.responseRatio)
	}
	return cmp.Or(a.job.WaitingSince.Compare(b.job.WaitingSince), cmp.Compare(a.job.Job.ID, b.job.Job.ID), a.index-b.index)
}

// Sort puts the jobs in the order in which they are tried: by effective priority, then by the fair share used
// (less first), then by response ratio (higher first), then by the time waited (longer first), then by ID so
// that the order is deterministic.
func Sort(pending []*PendingJob, teams map[string]*Team, now time.Time) {
	keys := make([]queueKey, len(pending))
	for i, p := range pending {
		keys[i] = queueKey{
			job: p, priority: EffectivePriority(p, teams, now), fairShareUsed: fairShareUsed(p, teams),
			responseRatio: responseRatio(p, now), index: i,
		}
	}
	slices.SortFunc(keys, queueKey.compare)
	for i, k := range keys {
		pending[i] = k.job
	}
}
