package leader

import (
	"maps"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// pendingJobs returns the jobs with tasks that may be placed now: pending has the views that placement uses, and byID the
// jobs of the job store.
func (l *Loop) pendingJobs(now time.Time) (pending []*placement.PendingJob, byID map[string]*jobs.Job) {
	var waiting []*jobs.Job
	onProbation := map[*jobs.Job]bool{}
	for _, j := range l.jobs.Jobs {
		if l.onProbation(j, now) { // called for every job, because the call may end a probation
			onProbation[j] = true
		}
		if j.CanStart() && j.Waiting() > 0 && !now.Before(j.BackoffUntil) {
			waiting = append(waiting, j)
		}
	}
	pending = make([]*placement.PendingJob, 0, len(waiting))
	views := make([]placement.PendingJob, 0, len(waiting)) // one memory allocation for all pending jobs
	byID = make(map[string]*jobs.Job, len(waiting))
	for i, n := range l.subsystems.startLimits(waiting, now) {
		j := waiting[i]
		if n <= 0 || onProbation[j] && j.Allocated > 0 {
			continue
		}
		views = append(views, l.pendingJob(j, n, now))
		p := &views[len(views)-1]
		if onProbation[j] {
			limitToOneTask(p, now)
		}
		byID[j.ID] = j
		pending = append(pending, p)
	}
	return pending, byID
}

// pendingJob returns a job as placement sees it. waiting is the number of its tasks that may start.
func (l *Loop) pendingJob(j *jobs.Job, waiting int, now time.Time) placement.PendingJob {
	_, latencySensitive := l.forecastShare(j.Class)
	p := placement.PendingJob{
		Job: &j.Job, WaitingSince: j.WaitingSince, Waiting: waiting, Started: j.Allocated + j.Done,
		Zones: zoneCounts(j), LatencySensitive: latencySensitive,
	}
	p.ExpectedRunS, _ = j.ExpectedRunS()
	// An array whose last tasks were lost keeps its place in the queue. At the end of the queue, these tasks would wait
	// 120 s until aging raises their priority, if their team uses more than its guarantee. The nearly finished array
	// would then be late.
	if j.Kind == wire.KindArray {
		p.EnqueuedAt = j.EnqueuedAt
	}
	if avoidsMachines(j, now) {
		p.Avoid = func(machine string) bool { return now.Before(j.AvoidMachines[machine]) }
	}
	return p
}

// avoidsMachines reports whether a job avoids the machines on which its tasks failed. A job that failed on
// tuning.FaultyJobMachinesMin machines or more avoids none, because it fails everywhere. A job without any allocated task
// avoids none either once it has waited for tuning.AvoidMachineMaxWait, possibly while such a machine had room.
func avoidsMachines(j *jobs.Job, now time.Time) bool {
	waitedLong := j.Allocated == 0 && now.Sub(j.WaitingSince) >= tuning.AvoidMachineMaxWait
	failedOn := len(j.AvoidMachines)
	return failedOn > 0 && failedOn < tuning.FaultyJobMachinesMin && !waitedLong
}

// limitToOneTask limits a job on probation to one task, which is queued behind all others.
func limitToOneTask(p *placement.PendingJob, now time.Time) {
	p.OnProbation, p.Waiting, p.WaitingSince, p.EnqueuedAt = true, 1, now, now
}

// zoneCounts returns, for each zone, the number of a job's tasks that may be running there. The map is a copy. It is nil
// for a job whose placement does not depend on zones.
func zoneCounts(j *jobs.Job) map[string]int {
	if !j.Spread && !j.OneZone {
		return nil
	}
	return cloneCounts(j.AllocationsByZone())
}

// cloneCounts copies a map. The copy is never nil, so it can be written to even if m is nil.
func cloneCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	maps.Copy(out, m)
	return out
}
