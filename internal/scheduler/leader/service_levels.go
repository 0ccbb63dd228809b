package leader

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// serviceLevels tracks which jobs arrived and which began to run, for metrics by class, team and size. A job is large if
// it is among the largest tenth of the last jobs of its class, by the CPUs of all its tasks.
type serviceLevels struct {
	sizes map[string][]float64 // by class: the sizes of its last jobs in CPUs, in order of arrival
	live  map[string]*liveJob  // by job ID
}

// liveJob is a job that has not finished.
type liveJob struct{ large, begun bool }

func newServiceLevels() serviceLevels {
	return serviceLevels{sizes: map[string][]float64{}, live: map[string]*liveJob{}}
}

// sizeName returns the job's size as a label value of metrics.
func (j *liveJob) sizeName() string {
	if j.large {
		return "largest"
	}
	return "other"
}

// jobArrived adds a job, and compares its size with those of the last jobs of its class.
func (s *serviceLevels) jobArrived(j *jobs.Job) *liveJob {
	size := j.CPUs * float64(j.Job.Tasks)
	last := append(s.sizes[j.Class], size)
	if len(last) > tuning.RememberedJobSizesMax {
		last = last[1:]
	}
	s.sizes[j.Class] = last
	live := &liveJob{large: isLargest(size, last)}
	s.live[j.ID] = live
	return live
}

// isLargest reports whether size is among the largest tenth of sizes. It is false while there are fewer than
// tuning.JobSizesMin sizes, or if none is smaller.
func isLargest(size float64, sizes []float64) bool {
	smaller, larger := 0, 0
	for _, s := range sizes {
		switch {
		case s < size:
			smaller++
		case s > size:
			larger++
		}
	}
	return len(sizes) >= tuning.JobSizesMin && smaller > 0 &&
		float64(len(sizes)-larger) > math.Ceil(float64(len(sizes))*tuning.LargestJobsQuantile)
}

// jobBegan records that a task of a job runs. It returns the job if that is its first task to run, and nil otherwise.
func (s *serviceLevels) jobBegan(j *jobs.Job) (first *liveJob) {
	if live := s.live[j.ID]; live != nil && !live.begun {
		live.begun = true
		return live
	}
	return nil
}

// jobFinished removes a job that has finished.
func (s *serviceLevels) jobFinished(id string) { delete(s.live, id) }

// oldestWaits returns, for each class, how long the oldest job that has not begun has waited, in seconds.
func (l *Loop) oldestWaits(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, j := range l.jobs.Jobs {
		if j.CanStart() && j.Allocated+j.Done == 0 {
			out[j.Class] = max(out[j.Class], now.Sub(j.EnqueuedAt).Seconds())
		}
	}
	return out
}

// reportStateSize reports to an observer how many jobs and machines are in memory and, by class, how many tasks wait and
// how long the oldest job has waited.
func (l *Loop) reportStateSize(o Observer) {
	waiting := map[string]int{}
	for _, j := range l.jobs.Jobs {
		if j.CanStart() {
			waiting[j.Class] += j.Waiting()
		}
	}
	o.StateSize(len(l.jobs.Jobs), len(l.machines.Machines), waiting, l.oldestWaits(l.env.Clock.Now()))
}
