package dag

import (
	"slices"
	"time"
)

// JobSubmitted records that the scheduler accepted an instance's job.
func (r *Run) JobSubmitted(ref InstanceRef) {
	if inst := r.instance(ref); inst != nil && inst.State == Scheduled {
		inst.State = Queued
		r.updateStepState(ref.Step)
	}
}

// SubmissionFailed records that an instance's job could not be stored. It makes the instance ready again.
func (r *Run) SubmissionFailed(ref InstanceRef) {
	if inst := r.instance(ref); inst != nil && inst.State == Queued {
		inst.State = Scheduled
		r.updateStepState(ref.Step)
		r.enqueue(ref)
	}
}

// TaskRunning records that a task of an instance's job was seen running at the time now.
func (r *Run) TaskRunning(ref InstanceRef, now time.Time) {
	if inst := r.instance(ref); inst != nil && !inst.Cancelling && (inst.State == Queued || inst.State == UpForRetry) {
		inst.State, inst.StartedAt, inst.RetryAt = Running, now, time.Time{}
		r.updateStepState(ref.Step)
	}
}

// AttemptFailed records that an attempt of an instance's job failed. The next try waits for the retry delay.
// Once the retries are used up, AttemptFailed requests the cancellation of the job instead, and the instance
// fails when the job is cancelled. jitter, from 0 to 1, spreads the delays (Retry.DelayBefore).
func (r *Run) AttemptFailed(ref InstanceRef, now time.Time, jitter float64) {
	inst := r.instance(ref)
	if inst == nil || inst.State.Final() || inst.State == Scheduled || inst.Cancelling {
		return
	}
	inst.Failures++
	inst.StartedAt = time.Time{}
	s := &r.Plan.Steps[ref.Step]
	if inst.Failures > s.Retries {
		r.cancelJob(ref)
		return
	}
	inst.State, inst.RetryAt = UpForRetry, now.Add(s.DelayBefore(inst.Failures, jitter))
	r.updateStepState(ref.Step)
}

// CancelIfTimedOut cancels the job of an instance if its current try has reached the step's timeout, and reports whether it did.
func (r *Run) CancelIfTimedOut(ref InstanceRef, now time.Time) bool {
	inst, limit := r.instance(ref), time.Duration(r.Plan.Steps[ref.Step].Timeout)
	if inst == nil || limit == 0 || inst.State != Running || inst.Cancelling || now.Before(inst.StartedAt.Add(limit)) {
		return false
	}
	r.cancelJob(ref)
	return true
}

// JobDone records that an instance's job completed. It returns a *ResultError, and the instance fails, if the
// step's result (SetResult) does not meet the requirements of the step's kind.
func (r *Run) JobDone(ref InstanceRef) error {
	inst := r.instance(ref)
	if inst == nil || inst.State.Final() {
		return nil
	}
	if r.Plan.Steps[ref.Step].Kind == KindBranch {
		if err := r.skipUnpicked(ref.Step); err != nil {
			r.finishInstance(ref, Failed)
			return err
		}
	}
	r.finishInstance(ref, Success)
	return nil
}

// JobCancelled records that an instance's job was cancelled, by the run or by someone else. The instance fails.
func (r *Run) JobCancelled(ref InstanceRef) { r.finishInstance(ref, Failed) }

// finishInstance ends an instance. The step ends with its last instance.
func (r *Run) finishInstance(ref InstanceRef, s State) {
	inst := r.instance(ref)
	if inst == nil || inst.State.Final() {
		return
	}
	inst.finish(s)
	n := &r.nodes[ref.Step]
	n.unfinished--
	r.countDownstream(ref.Step, s)
	if n.unfinished == 0 {
		r.finishStep(ref.Step, n.outcome(Success))
		return
	}
	// Steps whose trigger rule needs only one ended instance do not wait for the others.
	for _, j := range r.Plan.Downstream[ref.Step] {
		r.evaluateStep(j)
	}
	r.updateStepState(ref.Step)
}

// updateStepState sets the state of an unfinished step to the most advanced state among its unfinished instances.
func (r *Run) updateStepState(i int) {
	n := &r.nodes[i]
	if n.state.Final() {
		return
	}
	n.state = Scheduled
	for k := range n.instances {
		if s := n.instances[k].State; !s.Final() && s > n.state {
			n.state = s
		}
	}
}

// cancelJob requests the cancellation of an instance's job, which the scheduler would otherwise retry
// indefinitely. The instance does not end yet; it ends with its job. A job that completes before its
// cancellation is stored has succeeded, and its step must not be recorded as failed.
func (r *Run) cancelJob(ref InstanceRef) {
	inst := r.instance(ref)
	inst.Cancelling, inst.RetryAt, inst.StartedAt = true, time.Time{}, time.Time{}
	r.cancellations = append(r.cancellations, r.JobID(ref))
}

// TakeCancellations returns the IDs of the jobs whose cancellation was requested since the last call.
func (r *Run) TakeCancellations() []string {
	out := r.cancellations
	r.cancellations = nil
	return out
}

// JobsBeingCancelled returns the IDs of all jobs whose cancellation was requested and that have not ended. A
// new leader cancels them again, because the former leader may have stopped before it cancelled them.
func (r *Run) JobsBeingCancelled() (jobs []string) {
	jobs = slices.Clone(r.orphans)
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if inst := &r.nodes[i].instances[k]; inst.Cancelling && !inst.State.Final() {
				jobs = append(jobs, r.JobID(InstanceRef{i, k}))
			}
		}
	}
	return jobs
}
