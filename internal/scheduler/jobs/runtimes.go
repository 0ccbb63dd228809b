package jobs

import (
	"cmp"
	"slices"

	"poppypass/internal/platform/tuning"
)

// CompletedRun is the run of a completed task.
type CompletedRun struct {
	Machine, Type string  // the machine's name and its type
	Seconds       float64 // run time
}

// RecordRun adds the run of a completed task to the job's recent runs. It returns the run times, in seconds, of
// earlier recent runs on other machines of the same type. Runs on other types are left out because a type can
// be slower by design.
func (j *Job) RecordRun(run CompletedRun) (elsewhere []float64) {
	for _, other := range j.recentRuns {
		if other.Machine != run.Machine && other.Type == run.Type {
			elsewhere = append(elsewhere, other.Seconds)
		}
	}
	if j.recentRuns = append(j.recentRuns, run); len(j.recentRuns) > tuning.RememberedRunsMax {
		j.recentRuns = j.recentRuns[1:]
	}
	if len(j.recentRuns) >= tuning.ObservedRunsMin {
		sorted := slices.SortedFunc(slices.Values(j.recentRuns), func(a, b CompletedRun) int { return cmp.Compare(a.Seconds, b.Seconds) })
		j.medianRunS = sorted[len(sorted)/2].Seconds
	}
	return elsewhere
}

// ExpectedRunS returns the expected run time of a task of the job, in seconds. Once ObservedRunsMin tasks have
// completed, it is the median of the recent runs, because run times differ little within a job, and measured
// is true. Until then it is the owner's estimate, and measured is false.
func (j *Job) ExpectedRunS() (seconds float64, measured bool) {
	if len(j.recentRuns) < tuning.ObservedRunsMin {
		return j.EstimateS, false
	}
	return j.medianRunS, true
}
