package leader

import (
	"cmp"
	"math"
	"slices"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// Where spot machines are short, arrays run on on-demand ones too. Which of them is not the same: spot machines go, and
// what a task loses with one is up to its whole run. A short task that is lost still lets its job end in
// time, a long one does not. So the arrays that would lose most are tried on on-demand machines first and the others
// on spot ones, in the shares in which those kinds are in use by them; what is left goes anywhere, so no room waits.

// lostWorkS is what a task of an array loses at the most when its machine goes, in seconds.
func lostWorkS(j *jobs.Job) float64 {
	s, _ := j.ExpectedRunS()
	if j.CheckpointS > 0 {
		return min(s, j.CheckpointS)
	}
	return s
}

// usesBothKinds reports whether a job's tasks may run on machines of both kinds.
func usesBothKinds(j *wire.Job) bool { return j.Kind == wire.KindArray && j.Spot }

// lossLimitOnSpot is what a task may lose, in seconds, so that those of all live arrays that lose more have the share of the
// work that runs on on-demand machines now. It is infinite while nothing of it does.
func (l *Loop) lossLimitOnSpot() float64 {
	onSpot, onDemand := l.arrayTasksByKind()
	switch {
	case onDemand == 0:
		return math.Inf(1)
	case onSpot == 0:
		return 0
	}
	arrays, work := l.arraysByLoss()
	share := work * float64(onDemand) / float64(onSpot+onDemand)
	for _, j := range arrays {
		if share -= workS(j); share <= 0 {
			return lostWorkS(j)
		}
	}
	return math.Inf(1)
}

// arrayTasksByKind counts the tasks that may run on both kinds of machine, by the kind on which they are.
func (l *Loop) arrayTasksByKind() (onSpot, onDemand int) {
	for _, m := range l.machines.Machines {
		for _, a := range m.Allocations {
			switch {
			case !usesBothKinds(&a.Job.Job):
			case m.Spot:
				onSpot++
			default:
				onDemand++
			}
		}
	}
	return onSpot, onDemand
}

// arraysByLoss are the live arrays that may run on both kinds of machine, those first whose tasks would lose most, with the
// work of all of them.
func (l *Loop) arraysByLoss() (arrays []*jobs.Job, work float64) {
	for _, j := range l.jobs.Jobs {
		if usesBothKinds(&j.Job) && j.CanStart() {
			arrays = append(arrays, j)
			work += workS(j)
		}
	}
	slices.SortFunc(arrays, func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(lostWorkS(b), lostWorkS(a)), cmp.Compare(a.ID, b.ID))
	})
	return arrays, work
}

// workS is the work of an array that is not done, in seconds of a CPU.
func workS(j *jobs.Job) float64 {
	s, _ := j.ExpectedRunS()
	return float64(j.Allocated+j.Waiting()) * j.CPUs * s
}

// preferKinds says which of the jobs are tried on which kind of machine first.
func (l *Loop) preferKinds(pending []*placement.PendingJob) {
	if math.IsInf(l.fleet.spotLossLimitS, 1) {
		return
	}
	for _, p := range pending {
		if !usesBothKinds(p.Job) {
			continue
		}
		p.Preference = placement.PreferSpot
		if lostWorkS(l.jobs.Jobs[p.Job.ID]) > l.fleet.spotLossLimitS {
			p.Preference = placement.PreferOnDemand
		}
	}
}
