package machines

import (
	"math"
	"slices"

	"poppypass/internal/platform/tuning"
)

// RelativeSpeed is how fast a machine runs tasks, compared with tasks of the same jobs on other machines. It holds
// the evidence, as the logarithm of a likelihood ratio, that the machine is slower by tuning.SlowFactor rather than
// as fast as the others. This is Wald's sequential test, restarted whenever the evidence favours a machine of normal
// speed. One long task proves nothing, because the tasks of a job differ. The zero value is ready for use.
type RelativeSpeed struct{ evidence float64 }

// Note adds the evidence of a completed task that ran for ranS seconds, and reports whether the machine counts as
// slow now. othersS are the run times of tasks of the same job on other machines, in seconds. With fewer than
// tuning.SlowPeersMin of them the task adds no evidence.
func (s *RelativeSpeed) Note(ranS float64, othersS []float64) bool {
	if len(othersS) < tuning.SlowPeersMin || ranS <= 0 {
		return false
	}
	sorted := slices.Sorted(slices.Values(othersS))
	median := sorted[len(sorted)/2]
	if median <= 0 {
		return false
	}
	logSlowFactor := math.Log(tuning.SlowFactor)
	// A task that took more than SlowFactor times the median counts as if it took exactly that.
	logRatio := min(math.Log(ranS/median), logSlowFactor)
	s.evidence = max(0, s.evidence+(logRatio-logSlowFactor/2)*logSlowFactor/(tuning.EstimateLogStdDev*tuning.EstimateLogStdDev))
	return s.evidence >= tuning.SlowLogLikelihoodRatio
}
