package jobs

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MarkFailed records that a task of a job failed. What fails of one wave counts
// as one try: a job that is submitted with a mistake has all its tasks fail at
// once. The count is stored, so that a new leader does not begin with a wave
// again.
func (b *Store) MarkFailed(j *Job, now time.Time) {
	j.Failures++
	if now.Before(j.BackoffUntil) {
		return
	}
	j.FailedWaves++
	j.BackoffUntil = now.Add(backoff(j.FailedWaves))
	b.markDirty(j, 0, now)
	b.scheduleFlush(now)
}

// MarkWorking records that a task of the job works: it is not to blame.
func (b *Store) MarkWorking(j *Job, now time.Time) {
	if j.FailedWaves > 0 {
		j.FailedWaves = 0
		j.BackoffUntil = time.Time{}
		b.markDirty(j, 0, now)
	}
}

// HasWorked tells whether a task of the job has completed or has run for a
// while: tasks of a job with a mistake fail as soon as they start.
func (j *Job) HasWorked(now time.Time) bool {
	if j.Done > 0 {
		return true
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].Allocation; p != nil && p.State == wire.TaskRunning && now.Sub(p.RunningSince) >= tuning.HealthyRunAfter {
			return true
		}
	}
	return false
}

// backoff is how long a job waits after some tries in vain.
func backoff(tries int) time.Duration {
	return min(tuning.ErrorPause<<min(max(tries-1, 0), 10), tuning.ErrorPauseMax)
}
