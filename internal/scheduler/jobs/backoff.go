package jobs

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MarkFailed records that a task of a job failed. What fails while the job backs off counts
// to the same wave: a job that is submitted with a mistake has all its tasks fail at
// once. The number of waves is stored, so that a new leader does not begin with a wave
// again.
func (s *Store) MarkFailed(j *Job, now time.Time) {
	j.Failures++
	if now.Before(j.BackoffUntil) {
		return
	}
	j.FailedWaves++
	j.BackoffUntil = now.Add(backoff(j.FailedWaves))
	s.queue.markDirty(wavesChunk(j), now)
	s.queue.scheduleFlush(now)
}

// MarkWorking records that a task of the job works: its failures are not the job's fault.
func (s *Store) MarkWorking(j *Job, now time.Time) {
	if j.FailedWaves > 0 {
		j.FailedWaves = 0
		j.BackoffUntil = time.Time{}
		s.queue.markDirty(wavesChunk(j), now)
	}
}

// wavesChunk is the chunk whose record holds the job's failed waves.
func wavesChunk(j *Job) chunkRef { return chunkRef{j, 0} }

// HasWorked reports whether a task of the job has completed or has run for a
// while: tasks of a job with a mistake fail as soon as they start.
func (j *Job) HasWorked(now time.Time) bool {
	if j.Done > 0 {
		return true
	}
	for i := range j.Tasks {
		a := j.Tasks[i].Allocation
		if a != nil && a.State == wire.TaskRunning && now.Sub(a.RunningSince) >= tuning.HealthyRunAfter {
			return true
		}
	}
	return false
}

// backoff is how long a job waits after waves of failures.
func backoff(waves int) time.Duration {
	return min(tuning.ErrorPause<<min(max(waves-1, 0), 10), tuning.ErrorPauseMax)
}
