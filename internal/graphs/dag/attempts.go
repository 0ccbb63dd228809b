package dag

import (
	"slices"
	"time"
)

// TakeCancellations returns the jobs that are to be cancelled, since it was last asked.
func (r *Run) TakeCancellations() []string {
	out := r.cancellations
	r.cancellations = nil
	return out
}

func (r *Run) instance(at Ref) *Instance {
	if at.Step < 0 || at.Step >= len(r.nodes) || at.Index < 0 || at.Index >= len(r.nodes[at.Step].instances) {
		return nil
	}
	return &r.nodes[at.Step].instances[at.Index]
}

// JobSubmitted records that an instance's job is accepted.
func (r *Run) JobSubmitted(at Ref) {
	if inst := r.instance(at); inst != nil && inst.State == Scheduled {
		inst.State = Queued
		r.updateStepState(at.Step)
	}
}

// SubmissionFailed records that an instance's job could not be stored.
func (r *Run) SubmissionFailed(at Ref) {
	if inst := r.instance(at); inst != nil && inst.State == Queued {
		inst.State = Scheduled
		r.updateStepState(at.Step)
		r.enqueue(at)
	}
}

// TaskRunning records that a task of an instance's job runs.
func (r *Run) TaskRunning(at Ref, now time.Time) {
	if inst := r.instance(at); inst != nil && !inst.Cancelling && (inst.State == Queued || inst.State == UpForRetry) {
		inst.State, inst.StartedAt, inst.RetryAt = Running, now, time.Time{}
		r.updateStepState(at.Step)
	}
}

// AttemptFailed records that an attempt of an instance's job failed. Its job rests, or, when
// its tries are used up, is cancelled and the instance has failed.
func (r *Run) AttemptFailed(at Ref, now time.Time, jitter float64) {
	inst := r.instance(at)
	if inst == nil || inst.State.Final() || inst.State == Scheduled || inst.Cancelling {
		return
	}
	inst.Failures++
	inst.StartedAt = time.Time{}
	s := &r.Plan.Steps[at.Step]
	if inst.Failures > s.Retries {
		r.cancelJob(at)
		return
	}
	inst.State, inst.RetryAt = UpForRetry, now.Add(s.DelayBefore(inst.Failures, jitter))
	r.updateStepState(at.Step)
}

// cancelJob has the job of an instance, which the core would try for ever, cancelled. The
// instance ends with its job: one that completes before its cancellation is stored has
// succeeded. Otherwise a step could be called failed whose job is done.
func (r *Run) cancelJob(at Ref) {
	inst := r.instance(at)
	inst.Cancelling, inst.RetryAt, inst.StartedAt = true, time.Time{}, time.Time{}
	r.cancellations = append(r.cancellations, r.JobID(at))
}

// JobsBeingCancelled returns the jobs that are being cancelled, for a new leader.
func (r *Run) JobsBeingCancelled() (jobs []string) {
	jobs = slices.Clone(r.orphans)
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if inst := &r.nodes[i].instances[k]; inst.Cancelling && !inst.State.Final() {
				jobs = append(jobs, r.JobID(Ref{i, k}))
			}
		}
	}
	return jobs
}

// TimeOut fails an instance whose present try has run for longer than it may, and reports
// whether that is so.
func (r *Run) TimeOut(at Ref, now time.Time) bool {
	inst, limit := r.instance(at), time.Duration(r.Plan.Steps[at.Step].Timeout)
	if inst == nil || limit == 0 || inst.State != Running || inst.Cancelling || now.Before(inst.StartedAt.Add(limit)) {
		return false
	}
	r.cancelJob(at)
	return true
}

// JobDone records that an instance's job is done. An error says that what it left (Push) is
// not what the step's kind asks for; the instance has failed then.
func (r *Run) JobDone(at Ref) error {
	inst := r.instance(at)
	if inst == nil || inst.State.Final() {
		return nil
	}
	if r.Plan.Steps[at.Step].Kind == KindBranch {
		if err := r.skipUnpicked(at.Step, r.nodes[at.Step].result); err != nil {
			r.finishInstance(at, Failed)
			return err
		}
	}
	r.finishInstance(at, Success)
	return nil
}

// JobCancelled records that an instance's job was cancelled by somebody: it has failed.
func (r *Run) JobCancelled(at Ref) { r.finishInstance(at, Failed) }

// finishInstance ends an instance, and the step with its last one.
func (r *Run) finishInstance(at Ref, s State) {
	inst := r.instance(at)
	if inst == nil || inst.State.Final() {
		return
	}
	inst.State, inst.RetryAt, inst.StartedAt, inst.Cancelling = s, time.Time{}, time.Time{}, false
	n := &r.nodes[at.Step]
	n.unfinished--
	for _, j := range r.Plan.Downstream[at.Step] {
		r.nodes[j].upstream.addCounted(s, 1)
	}
	if n.unfinished > 0 {
		// Those that wait for one end only need not wait for all.
		for _, j := range r.Plan.Downstream[at.Step] {
			r.evaluateStep(j)
		}
		r.updateStepState(at.Step)
		return
	}
	worst := Success
	for k := range n.instances {
		if n.instances[k].State == Failed {
			worst = Failed
		}
	}
	r.finishStep(at.Step, worst)
}
