package jobs

import (
	"cmp"
	"slices"

	"poppypass/internal/platform/tuning"
)

// CompletedRun is how long a completed task ran, and where.
type CompletedRun struct {
	Machine, Type string
	Seconds       float64
}

// RecordRun remembers a completed task. It returns how long, in seconds, the remembered
// tasks ran that completed on other machines of the same type: another type may be
// slower as it is.
func (j *Job) RecordRun(r CompletedRun) (elsewhere []float64) {
	for _, o := range j.runs {
		if o.Machine != r.Machine && o.Type == r.Type {
			elsewhere = append(elsewhere, o.Seconds)
		}
	}
	if j.runs = append(j.runs, r); len(j.runs) > tuning.SlowRuns {
		j.runs = j.runs[1:]
	}
	if len(j.runs) >= tuning.SeenRuns {
		sorted := slices.SortedFunc(slices.Values(j.runs), func(a, b CompletedRun) int { return cmp.Compare(a.Seconds, b.Seconds) })
		j.medianRunS = sorted[len(sorted)/2].Seconds
	}
	return elsewhere
}

// ExpectedRunS is for how long a task of the job is expected to run, in seconds: as long
// as those that completed, whose run times differ little within a job (seen is true
// then), or else as its owner says.
func (j *Job) ExpectedRunS() (s float64, seen bool) {
	if len(j.runs) < tuning.SeenRuns {
		return j.EstimateS, false
	}
	return j.medianRunS, true
}
