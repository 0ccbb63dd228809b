package leader

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// serviceLevels tells operators who is served: jobs that came and jobs that began, by class, team and size. A job is large when
// it is among the largest tenth of its class's last ones, by the CPUs of all its tasks.
type serviceLevels struct {
	sizes map[string][]float64 // of the last jobs of a class, in the order in which they came
	live  map[string]*liveJob
}

// liveJob is a live job.
type liveJob struct{ large, begun bool }

func newServiceLevels() serviceLevels {
	return serviceLevels{sizes: map[string][]float64{}, live: map[string]*liveJob{}}
}

// sizeName is how metrics call it.
func (p *liveJob) sizeName() string {
	if p.large {
		return "largest"
	}
	return "other"
}

// jobArrived takes in a job, and tells how it stands.
func (s *serviceLevels) jobArrived(j *jobs.Job) *liveJob {
	size := j.CPUs * float64(j.Job.Tasks)
	last := append(s.sizes[j.Class], size)
	if len(last) > tuning.SizesRemembered {
		last = last[1:]
	}
	s.sizes[j.Class] = last
	smaller, larger := 0, 0
	for _, o := range last {
		switch {
		case o < size:
			smaller++
		case o > size:
			larger++
		}
	}
	p := &liveJob{large: len(last) >= tuning.SizesMin && smaller > 0 && float64(len(last)-larger) > math.Ceil(float64(len(last))*tuning.LargestShare)}
	s.live[j.ID] = p
	return p
}

// jobBegan takes in that a task of a job runs; first is nil unless it is the job's first.
func (s *serviceLevels) jobBegan(j *jobs.Job) (first *liveJob) {
	if p := s.live[j.ID]; p != nil && !p.begun {
		p.begun = true
		return p
	}
	return nil
}

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
