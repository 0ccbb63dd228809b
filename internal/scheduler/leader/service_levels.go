package leader

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// serviceLevels tells operators who is served: jobs that arrived and jobs that began, by class, team and size. A job is large when
// it is among the largest tenth of its class's last ones, by the CPUs of all its tasks.
type serviceLevels struct {
	sizes map[string][]float64 // of the last jobs of a class, in the order in which they arrived
	live  map[string]*liveJob  // by ID
}

// liveJob is a job that is not over.
type liveJob struct{ large, begun bool }

func newServiceLevels() serviceLevels {
	return serviceLevels{sizes: map[string][]float64{}, live: map[string]*liveJob{}}
}

// sizeName is what metrics call the job's size.
func (j *liveJob) sizeName() string {
	if j.large {
		return "largest"
	}
	return "other"
}

// jobArrived adds a job.
func (s *serviceLevels) jobArrived(j *jobs.Job) *liveJob {
	size := j.CPUs * float64(j.Job.Tasks)
	last := append(s.sizes[j.Class], size)
	if len(last) > tuning.SizesRemembered {
		last = last[1:]
	}
	s.sizes[j.Class] = last
	live := &liveJob{large: isLargest(size, last)}
	s.live[j.ID] = live
	return live
}

// isLargest reports whether a size is among the largest tenth of some.
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
	return len(sizes) >= tuning.SizesMin && smaller > 0 &&
		float64(len(sizes)-larger) > math.Ceil(float64(len(sizes))*tuning.LargestShare)
}

// jobBegan tells that a task of a job runs; first is nil unless it is the job's first.
func (s *serviceLevels) jobBegan(j *jobs.Job) (first *liveJob) {
	if live := s.live[j.ID]; live != nil && !live.begun {
		live.begun = true
		return live
	}
	return nil
}

// jobFinished removes a job.
func (s *serviceLevels) jobFinished(id string) { delete(s.live, id) }

// oldestWaits gives for each class for how long its oldest job waits to begin, in seconds.
func (l *Loop) oldestWaits(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, j := range l.jobs.Jobs {
		if j.CanStart() && j.Allocated+j.Done == 0 {
			out[j.Class] = max(out[j.Class], now.Sub(j.EnqueuedAt).Seconds())
		}
	}
	return out
}

// reportStateSize tells an observer how much the loop has in memory, and what waits.
func (l *Loop) reportStateSize(o Observer) {
	waiting := map[string]int{}
	for _, j := range l.jobs.Jobs {
		if j.CanStart() {
			waiting[j.Class] += j.Waiting()
		}
	}
	o.StateSize(len(l.jobs.Jobs), len(l.machines.Machines), waiting, l.oldestWaits(l.env.Clock.Now()))
}
