package leader

import (
	"cmp"
	"math"
	"slices"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// Where spot machines are scarce, arrays run on on-demand machines too. It matters which arrays do. The cloud may take a
// spot machine back, and a task on it then loses up to its whole run. A job can still end in time if it loses a short
// task, but not if it loses a long one. So the arrays whose tasks would lose the most work prefer on-demand machines, and
// the others prefer spot machines. The limit between the two groups depends on the shares of array tasks that run on
// each kind now (see lossLimitOnSpot). Tasks that find no room on the preferred kind may go to any machine, so that no
// room stays unused.

// lostWorkS returns the most work, in seconds, that a task of an array may lose with its machine.
func lostWorkS(j *jobs.Job) float64 {
	s, _ := j.ExpectedRunS()
	if j.CheckpointS > 0 {
		return min(s, j.CheckpointS)
	}
	return s
}

// usesBothKinds reports whether a job is an array whose tasks may run on spot and on on-demand machines.
func usesBothKinds(j *wire.Job) bool { return j.Kind == wire.KindArray && j.Spot }

// lossLimitOnSpot returns the loss per task, in seconds, above which an array prefers on-demand machines. The limit is
// chosen so that two shares are about equal: the share of the live arrays' remaining work that is in arrays above the
// limit, and the share of the running array tasks that are on on-demand machines. The limit is infinite while no array
// tasks run on on-demand machines, and 0 while all of them do.
func (l *Loop) lossLimitOnSpot() float64 {
	onSpot, onDemand := l.arrayTasksByKind()
	switch {
	case onDemand == 0:
		return math.Inf(1)
	case onSpot == 0:
		return 0
	}
	arrays, totalWorkS := l.arraysByLoss()
	onDemandWorkS := totalWorkS * float64(onDemand) / float64(onSpot+onDemand)
	for _, j := range arrays {
		if onDemandWorkS -= remainingWorkS(j); onDemandWorkS <= 0 {
			return lostWorkS(j)
		}
	}
	return math.Inf(1)
}

// arrayTasksByKind counts the tasks that may run on both kinds of machine, by the kind on which they run.
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

// arraysByLoss returns the live arrays that may run on both kinds of machine, in descending order of the work that their
// tasks may lose. totalWorkS is the remaining work of all these arrays in CPU seconds.
func (l *Loop) arraysByLoss() (arrays []*jobs.Job, totalWorkS float64) {
	for _, j := range l.jobs.Jobs {
		if usesBothKinds(&j.Job) && j.CanStart() {
			arrays = append(arrays, j)
			totalWorkS += remainingWorkS(j)
		}
	}
	slices.SortFunc(arrays, func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(lostWorkS(b), lostWorkS(a)), cmp.Compare(a.ID, b.ID))
	})
	return arrays, totalWorkS
}

// remainingWorkS returns the remaining work of an array, in CPU seconds.
func remainingWorkS(j *jobs.Job) float64 {
	s, _ := j.ExpectedRunS()
	return float64(j.Allocated+j.Waiting()) * j.CPUs * s
}

// setKindPreferences sets, for each of the jobs that may run on both kinds of machine, the kind that is tried first.
func (l *Loop) setKindPreferences(pending []*placement.PendingJob) {
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
