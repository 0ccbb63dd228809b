package runner

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Ended records a failed attempt of a step's job in the run of the step. It ignores attempts that ended otherwise.
func (g *Graphs) Ended(o machines.Outcome, now time.Time) {
	id := o.Allocation.Job.ID
	job, ok := g.byJob[id]
	if !ok || !job.current() || o.Reason != wire.ExitError || o.Allocation.Job.Cancelled() {
		return
	}
	job.run.tryEnded(job.ref, now, dag.Failed)
	job.run.run.AttemptFailed(job.ref, now, g.cfg.Jitter())
	delete(g.withTimeout, id)
	g.notSeenRunning[id] = job
	g.markDirty(job.run)
	g.cancelUnneeded(job.run)
}

// Finished records the final state of a step's job.
func (g *Graphs) Finished(o jobs.FinishedJob, now time.Time) { g.jobFinished(o.Job.ID, o.State, now) }

// jobFinished updates the run of a finished job. It ignores jobs that are not known to belong to a step.
func (g *Graphs) jobFinished(id string, state wire.JobState, now time.Time) {
	job, ok := g.byJob[id]
	if !ok {
		return
	}
	live := job.run
	if recorded, pending := live.unansweredJobs[id]; pending {
		// The transaction that stores the job is unanswered. Only its answer shows whether this is the step's
		// job or one of another submitter with the same ID.
		if recorded == "" {
			live.unansweredJobs[id] = state
		}
		return
	}
	delete(g.byJob, id)
	delete(g.notSeenRunning, id)
	delete(g.withTimeout, id)
	if job.ref.Step >= 0 {
		g.releaseSlots(live, job.ref.Step)
	} else {
		live.activeJobs--
	}
	g.markDirty(live)
	if !job.current() {
		live.run.OrphanFinished(id)
		return
	}
	tryState := dag.Success
	if state != wire.StateDone {
		tryState = dag.Failed
		live.run.JobCancelled(job.ref)
	} else if err := live.run.JobDone(job.ref); err != nil {
		tryState = dag.Failed
		g.log.Info("job of a step is done but its result is missing or invalid; marking the step failed", "graph", live.graph.rec.ID, "run", live.run.ID, "err", err)
	}
	live.tryEnded(job.ref, now, tryState)
	g.cancelUnneeded(live)
	if live.graph.hasPastDependents {
		// The same step of the next run may wait for this one.
		for _, e := range live.graph.history {
			if e.live != nil && len(e.live.waitingForPast) > 0 {
				g.enqueueRun(e.live)
			}
		}
	}
}

// cancelUnneeded cancels the jobs that a run no longer needs.
func (g *Graphs) cancelUnneeded(live *liveRun) {
	for _, id := range live.run.TakeCancellations() {
		g.jobsToCancel[id] = struct{}{}
	}
	g.cancelKnownJobs()
}

// cancelKnownJobs cancels those of g.jobsToCancel that are in the job store. A new job is added to the job store a
// moment after the transaction that stores it. Until then the job remains in g.jobsToCancel.
func (g *Graphs) cancelKnownJobs() {
	for id := range g.jobsToCancel {
		if _, ok := g.byJob[id]; !ok {
			delete(g.jobsToCancel, id) // the job has finished
		} else if j := g.jobStore.Jobs[id]; j != nil {
			delete(g.jobsToCancel, id)
			g.jobStore.Cancel(j, func(wire.JobState) {})
			g.allocationsToStop = append(g.allocationsToStop, j.StopAll(charge.Cancelled)...)
		}
	}
}
