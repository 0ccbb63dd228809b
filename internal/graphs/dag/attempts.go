package dag

import (
	"slices"
	"time"
)

// TakeCancellations returns the jobs that are to be cancelled, since it was last asked.
func (r *Run) TakeCancellations() []string {
	out := r.cancels
	r.cancels = nil
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
	if x := r.instance(at); x != nil && x.State == Scheduled {
		x.State = Queued
		r.follow(at.Step)
	}
}

// SubmissionFailed records that an instance's job could not be stored.
func (r *Run) SubmissionFailed(at Ref) {
	if x := r.instance(at); x != nil && x.State == Queued {
		x.State = Scheduled
		r.follow(at.Step)
		r.enqueue(at)
	}
}

// TaskRunning records that a task of an instance's job runs.
func (r *Run) TaskRunning(at Ref, now time.Time) {
	if x := r.instance(at); x != nil && !x.Cancelling && (x.State == Queued || x.State == UpForRetry) {
		x.State, x.StartedAt, x.RetryAt = Running, now, time.Time{}
		r.follow(at.Step)
	}
}

// AttemptFailed records that an attempt of an instance's job failed. Its job rests, or, when
// its tries are used up, is cancelled and the instance has failed.
func (r *Run) AttemptFailed(at Ref, now time.Time, jitter float64) {
	x := r.instance(at)
	if x == nil || x.State.Final() || x.State == Scheduled || x.Cancelling {
		return
	}
	x.Failures++
	x.StartedAt = time.Time{}
	s := &r.Plan.Steps[at.Step]
	if x.Failures > s.Retries {
		r.fail(at)
		return
	}
	x.State, x.RetryAt = UpForRetry, now.Add(s.DelayBefore(x.Failures, jitter))
	r.follow(at.Step)
}

// fail has the job of an instance, which the core would try for ever, cancelled. The
// instance ends with its job: one that completes before its cancellation is stored has
// succeeded. Otherwise a step could be called failed whose job is done.
func (r *Run) fail(at Ref) {
	x := r.instance(at)
	x.Cancelling, x.RetryAt, x.StartedAt = true, time.Time{}, time.Time{}
	r.cancels = append(r.cancels, r.JobID(at))
}

// JobsBeingCancelled returns the jobs that are being cancelled, for a new leader.
func (r *Run) JobsBeingCancelled() (jobs []string) {
	jobs = slices.Clone(r.orphans)
	for i := range r.nodes {
		for k := range r.nodes[i].instances {
			if x := &r.nodes[i].instances[k]; x.Cancelling && !x.State.Final() {
				jobs = append(jobs, r.JobID(Ref{i, k}))
			}
		}
	}
	return jobs
}

// TimeOut fails an instance whose present try has run for longer than it may, and reports
// whether that is so.
func (r *Run) TimeOut(at Ref, now time.Time) bool {
	x, limit := r.instance(at), time.Duration(r.Plan.Steps[at.Step].Timeout)
	if x == nil || limit == 0 || x.State != Running || x.Cancelling || now.Before(x.StartedAt.Add(limit)) {
		return false
	}
	r.fail(at)
	return true
}

// JobDone records that an instance's job is done. An error says that what it left (Push) is
// not what the step's kind asks for; the instance has failed then.
func (r *Run) JobDone(at Ref) error {
	x := r.instance(at)
	if x == nil || x.State.Final() {
		return nil
	}
	if r.Plan.Steps[at.Step].Kind == KindBranch {
		if err := r.branch(at.Step, r.nodes[at.Step].result); err != nil {
			r.over(at, Failed)
			return err
		}
	}
	r.over(at, Success)
	return nil
}

// JobCancelled records that an instance's job was cancelled by somebody: it has failed.
func (r *Run) JobCancelled(at Ref) { r.over(at, Failed) }

// over ends an instance, and the step with its last one.
func (r *Run) over(at Ref, s State) {
	x := r.instance(at)
	if x == nil || x.State.Final() {
		return
	}
	x.State, x.RetryAt, x.StartedAt, x.Cancelling = s, time.Time{}, time.Time{}, false
	n := &r.nodes[at.Step]
	n.open--
	for _, j := range r.Plan.Downstream[at.Step] {
		r.nodes[j].before.add(s, 1)
	}
	if n.open > 0 {
		// Those that wait for one end only need not wait for all.
		for _, j := range r.Plan.Downstream[at.Step] {
			r.judge(j)
		}
		r.follow(at.Step)
		return
	}
	worst := Success
	for k := range n.instances {
		if n.instances[k].State == Failed {
			worst = Failed
		}
	}
	r.end(at.Step, worst)
}
