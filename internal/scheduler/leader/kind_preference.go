package leader

import (
	"cmp"
	"math"
	"slices"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// Where spot machines are short, arrays run on ordinary ones too. Which of them is not the same: spot machines go, and
// what a task loses with one is up to its whole run. A short task that is lost still lets its job end in
// time, a long one does not. So the arrays that would lose most are tried on ordinary machines first and the others
// on spot ones, in the shares in which those kinds are in use by them; what is left goes anywhere, so no slot waits.

// lostWorkS is what a task of an array loses at the most when its machine goes, in seconds.
func lostWorkS(j *jobs.Job) float64 {
	s, _ := j.ExpectedRunS()
	if j.CheckpointS > 0 {
		return min(s, j.CheckpointS)
	}
	return s
}

// usesBothKinds tells whether a job's tasks may run on machines of both kinds.
func usesBothKinds(j *wire.Job) bool { return j.Kind == wire.KindArray && j.Spot }

// lossLimitOnSpot is what a task may lose, in seconds, so that those of all live arrays that lose more have the share of the
// work that runs on ordinary machines now. It is endless while nothing of it does.
func (l *Loop) lossLimitOnSpot() float64 {
	var arrays []*jobs.Job
	onSpot, placed, work := 0, 0, 0.0
	for _, m := range l.machines.Machines {
		for _, p := range m.Allocations {
			if usesBothKinds(&p.Job.Job) {
				placed++
				if m.Spot {
					onSpot++
				}
			}
		}
	}
	if placed == onSpot {
		return math.Inf(1)
	}
	if onSpot == 0 {
		return 0
	}
	weight := func(j *jobs.Job) float64 {
		s, _ := j.ExpectedRunS()
		return float64(j.Allocated+j.Waiting()) * j.CPUs * s
	}
	for _, j := range l.jobs.Jobs {
		if usesBothKinds(&j.Job) && j.CanStart() {
			arrays = append(arrays, j)
			work += weight(j)
		}
	}
	slices.SortFunc(arrays, func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(lostWorkS(b), lostWorkS(a)), cmp.Compare(a.ID, b.ID))
	})
	share := work * float64(placed-onSpot) / float64(placed)
	for _, j := range arrays {
		if share -= weight(j); share <= 0 {
			return lostWorkS(j)
		}
	}
	return math.Inf(1)
}

// preferKinds says which of the items are tried on which kind of machine first.
func (l *Loop) preferKinds(items []*placement.PendingJob) {
	if math.IsInf(l.fleet.spotLossLimitS, 1) {
		return
	}
	for _, it := range items {
		if !usesBothKinds(it.Job) {
			continue
		}
		it.Preference = placement.PreferSpot
		if lostWorkS(l.jobs.Jobs[it.Job.ID]) > l.fleet.spotLossLimitS {
			it.Preference = placement.PreferOnDemand
		}
	}
}
