package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// EffectivePriority returns a job's priority level after aging: one level above
// its own once it has waited for tuning.PriorityAgingStep. A job that has had its
// fair share does not age: its tasks are served, others wait.
func EffectivePriority(job *PendingJob, teams map[string]*Team, now time.Time) int {
	level := job.Job.Priority.Level()
	if now.Sub(job.enqueuedAt()) >= tuning.PriorityAgingStep && !hadFairShare(job, teams) {
		level++
	}
	return level
}

// hadFairShare reports whether a job of a team without a quota has had its fair
// share.
func hadFairShare(job *PendingJob, teams map[string]*Team) bool {
	team := teams[job.Job.Team]
	return team != nil && job.Started > 0 && team.FairShareCPUs > 0 && float64(job.Started+1)*job.Job.CPUs > team.FairShareCPUs
}

// fairShareUsed returns how many steps, of tuning.FairShareSteps, of what its
// team's quota admits at a time a job has had. A large array so lets the team's
// other jobs begin in between, rather than take every slot again as its own tasks
// end. Without a quota a share of the fleet takes its place: without that,
// hundreds of tiny jobs of a guest waited three minutes behind the guest's array
// of 25,000 tasks.
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

// responseRatio returns how long ago an array was enqueued per CPU second of its
// waiting work. What waits long for little work goes first (highest response
// ratio next), so that a backlog makes few jobs late rather than all. It is +Inf
// for other kinds: the absence of a service's replica is an outage.
func responseRatio(job *PendingJob, now time.Time) float64 {
	work := job.Job.CPUs * float64(job.Waiting) * job.expectedRunS()
	if job.Job.Kind != wire.KindArray || work <= 0 {
		return math.Inf(1)
	}
	return now.Sub(job.enqueuedAt()).Seconds() / work
}

// queueKey is what the order of the queue depends on.
type queueKey struct {
	job           *PendingJob
	priority      int
	fairShareUsed int
	responseRatio float64
	index         int
}

// before compares in the order of the queue. It ends with the job's ID and the
// index so that the order does not depend on how the jobs were given.
func (a queueKey) before(b queueKey) int {
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

// Sort puts the jobs in the order in which they are placed: by effective
// priority, then those that used less of their fair share, then by response
// ratio, then by the time waited, then by ID so that the order is deterministic.
func Sort(pending []*PendingJob, teams map[string]*Team, now time.Time) {
	keys := make([]queueKey, len(pending))
	for i, p := range pending {
		keys[i] = queueKey{
			job: p, priority: EffectivePriority(p, teams, now), fairShareUsed: fairShareUsed(p, teams),
			responseRatio: responseRatio(p, now), index: i,
		}
	}
	slices.SortFunc(keys, queueKey.before)
	for i, k := range keys {
		pending[i] = k.job
	}
}
