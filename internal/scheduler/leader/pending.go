package leader

import (
	"maps"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// pendingJobs are the jobs with tasks that may be placed now.
func (l *Loop) pendingJobs(now time.Time) (pending []*placement.PendingJob, byID map[string]*jobs.Job) {
	var waiting []*jobs.Job
	probation := map[*jobs.Job]bool{}
	for _, j := range l.jobs.Jobs {
		if l.onProbation(j, now) { // asked of all jobs, since it may end a probation
			probation[j] = true
		}
		if j.CanStart() && j.Waiting() > 0 && !now.Before(j.BackoffUntil) {
			waiting = append(waiting, j)
		}
	}
	pending = make([]*placement.PendingJob, 0, len(waiting))
	room := make([]placement.PendingJob, 0, len(waiting)) // one memory allocation for all of them
	byID = make(map[string]*jobs.Job, len(waiting))
	for i, n := range l.subsystems.startLimits(waiting, now) {
		j := waiting[i]
		if n <= 0 || probation[j] && j.Allocated > 0 {
			continue
		}
		room = append(room, l.pendingJob(j, n, now))
		p := &room[len(room)-1]
		if probation[j] {
			tryOneTask(p, now)
		}
		byID[j.ID] = j
		pending = append(pending, p)
	}
	return pending, byID
}

// pendingJob is a job as placement sees it, with so many tasks that may start.
func (l *Loop) pendingJob(j *jobs.Job, waiting int, now time.Time) placement.PendingJob {
	_, latencySensitive := l.forecastShare(j.Class)
	p := placement.PendingJob{
		Job: &j.Job, WaitingSince: j.WaitingSince, Waiting: waiting, Started: j.Allocated + j.Done,
		Zones: zoneCounts(j), LatencySensitive: latencySensitive,
	}
	p.ExpectedRunS, _ = j.ExpectedRunS()
	// An array whose last tasks were lost does not queue up anew: of a team beyond its guarantee they
	// waited 120 s until they aged, and their jobs, nearly done, were late.
	if j.Kind == wire.KindArray {
		p.EnqueuedAt = j.EnqueuedAt
	}
	if avoidsMachines(j, now) {
		p.Avoid = func(machine string) bool { return now.Before(j.AvoidMachines[machine]) }
	}
	return p
}

// avoidsMachines reports whether a job avoids the machines on which it failed. One that fails everywhere may go anywhere, and so may
// one that has nothing and has waited beside such a machine for long.
func avoidsMachines(j *jobs.Job, now time.Time) bool {
	waitedLong := j.Allocated == 0 && now.Sub(j.WaitingSince) >= tuning.AvoidWait
	failedOn := len(j.AvoidMachines)
	return failedOn > 0 && failedOn < tuning.FaultyJobMachines && !waitedLong
}

// tryOneTask limits a job on probation to one task, which goes behind all others.
func tryOneTask(p *placement.PendingJob, now time.Time) {
	p.OnProbation, p.Waiting, p.WaitingSince, p.EnqueuedAt = true, 1, now, now
}

// zoneCounts is a copy of how many tasks of a job may be in each zone; nil for a job to which that does not matter.
func zoneCounts(j *jobs.Job) map[string]int {
	if !j.Spread && !j.OneZone {
		return nil
	}
	return cloneCounts(j.AllocationsByZone())
}

// cloneCounts copies a map; the copy can be written to also if the map is nil.
func cloneCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	maps.Copy(out, m)
	return out
}
