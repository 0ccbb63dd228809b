package machines

import (
	"math"
	"slices"

	"poppypass/internal/platform/tuning"
)

// RelativeSpeed is how fast a machine runs its tasks against the same work elsewhere: the evidence, as the logarithm of a
// likelihood ratio, that it is slower by tuning.SlowFactor rather than like the others (Wald's sequential
// test, begun anew whenever it speaks for the machine). One long task proves nothing: tasks of one job differ.
type RelativeSpeed struct{ evidence float64 }

// Note takes in a completed task that ran for ran seconds, by how long others of its job ran on other machines, and tells
// whether the machine counts as slow now. With fewer than tuning.SlowPeers others it learns nothing.
func (p *RelativeSpeed) Note(ran float64, others []float64) bool {
	if len(others) < tuning.SlowPeers || ran <= 0 {
		return false
	}
	sorted := slices.Sorted(slices.Values(others))
	usual := sorted[len(sorted)/2]
	if usual <= 0 {
		return false
	}
	slow := math.Log(tuning.SlowFactor)
	x := min(math.Log(ran/usual), slow) // one task, however long, counts as one slow one
	p.evidence = max(0, p.evidence+(x-slow/2)*slow/(tuning.EstimateSpread*tuning.EstimateSpread))
	return p.evidence >= tuning.SlowEvidence
}
