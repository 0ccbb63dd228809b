package jobs

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MarkFailed records that a task of a job failed. A failure outside a backoff begins a new wave of failures
// and a longer backoff. Failures during a backoff belong to the wave that began it, because all running tasks
// of a job that was submitted with a mistake fail at once. The number of waves is stored, so that a new leader
// continues the backoff instead of starting all the job's tasks again.
func (s *Store) MarkFailed(j *Job, now time.Time) {
	j.Failures++
	if now.Before(j.BackoffUntil) {
		return
	}
	j.FailureWaves++
	j.BackoffUntil = now.Add(backoff(j.FailureWaves))
	s.queue.markDirty(failureWavesChunk(j), now)
	s.queue.scheduleFlush(now)
}

// ResetBackoff ends the job's backoff. It is called when a task of the job ran well, which shows that the job
// itself is not the cause of its failures.
func (s *Store) ResetBackoff(j *Job, now time.Time) {
	if j.FailureWaves > 0 {
		j.FailureWaves = 0
		j.BackoffUntil = time.Time{}
		s.queue.markDirty(failureWavesChunk(j), now)
	}
}

// failureWavesChunk returns the chunk whose record contains the job's number of waves of failures.
func failureWavesChunk(j *Job) chunkRef { return chunkRef{j, 0} }

// HasHealthyRun reports whether a task of the job has completed or has been running for HealthyRunAfter.
// Either shows that the job works, because tasks of a job that was submitted with a mistake fail as soon as
// they start.
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
