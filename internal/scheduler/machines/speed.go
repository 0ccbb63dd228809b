package machines

import (
	"math"
	"slices"

	"poppypass/internal/platform/tuning"
)

// RelativeSpeed is how fast a machine runs tasks, compared with the same work elsewhere. It is the evidence, as the logarithm
// of a likelihood ratio, that the machine is slower by tuning.SlowFactor rather than like the others (Wald's sequential test,
// restarted whenever the evidence is that it is like the others). One long task proves nothing: tasks of one job differ. The
// zero value is ready for use.
type RelativeSpeed struct{ evidence float64 }

// Note counts a completed task that ran for the given seconds. others are the run times of tasks of the same job on other
// machines, in seconds; with fewer than tuning.SlowPeers of them nothing is learned. It reports whether the machine counts as
// slow now.
func (s *RelativeSpeed) Note(ranS float64, othersS []float64) bool {
	if len(othersS) < tuning.SlowPeers || ranS <= 0 {
		return false
	}
	sorted := slices.Sorted(slices.Values(othersS))
	median := sorted[len(sorted)/2]
	if median <= 0 {
		return false
	}
	logSlowFactor := math.Log(tuning.SlowFactor)
	logRatio := min(math.Log(ranS/median), logSlowFactor) // one task, however long, counts as one slow one
	s.evidence = max(0, s.evidence+(logRatio-logSlowFactor/2)*logSlowFactor/(tuning.EstimateSpread*tuning.EstimateSpread))
	return s.evidence >= tuning.SlowEvidence
}
