package jobs

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MarkFailed records that a task of a job failed. Failures during the job's backoff count as one wave with the
// failure that began it: all running tasks of a job that was submitted with a mistake fail at once. The number
// of waves is stored, so that a new leader continues the backoff instead of starting all the job's tasks
// again.
func (s *Store) MarkFailed(j *Job, now time.Time) {
	j.Failures++
	if now.Before(j.BackoffUntil) {
		return
	}
	j.FailedWaves++
	j.BackoffUntil = now.Add(backoff(j.FailedWaves))
	s.queue.markDirty(failedWavesChunk(j), now)
	s.queue.scheduleFlush(now)
}

// ResetBackoff records that a task of the job ran well: the job itself is not the cause of its failures. It
// ends the job's backoff.
func (s *Store) ResetBackoff(j *Job, now time.Time) {
	if j.FailedWaves > 0 {
		j.FailedWaves = 0
		j.BackoffUntil = time.Time{}
		s.queue.markDirty(failedWavesChunk(j), now)
	}
}

// failedWavesChunk returns the chunk whose record contains the job's number of failed waves.
func failedWavesChunk(j *Job) chunkRef { return chunkRef{j, 0} }

// HasHealthyRun reports whether a task of the job has completed or has been running for HealthyRunAfter. Tasks of a
// job that was submitted with a mistake fail as soon as they start.
func (j *Job) HasHealthyRun(now time.Time) bool {
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

// backoff returns how long a job waits after a number of waves of failures.
func backoff(waves int) time.Duration {
	return min(tuning.FailureBackoff<<min(max(waves-1, 0), 10), tuning.FailureBackoffMax)
}
