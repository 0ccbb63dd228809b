package runner

import (
	"slices"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// pickedStep is an instance that holds slots and is to be described and submitted.
type pickedStep struct {
	run   *liveRun
	ref   dag.InstanceRef
	jobID string // ID of the instance's job when it was picked; clearing the step changes the ID
}

// pickReady allocates slots to ready instances of a run, and has them described. If slots are missing, the run joins
// the queues of the pools or of the graph.
func (g *Graphs) pickReady(live *liveRun, now time.Time) {
	if !g.startIfAllowed(live, now) {
		return
	}
	activeBefore := live.graph.activeInstances
	g.recheckPast(live)
	g.pickWaitingForPool(live)
	g.pickNext(live)
	// Each picked instance increments activeInstances, and nothing between the two reads decrements it.
	allocated := live.graph.activeInstances != activeBefore
	recordRoom := g.hasRecordRoom(live) // without it the run waits for its own jobs, and must not hold up other runs
	for _, p := range g.pools {
		p.waitQueue.update(g, live, len(live.waitingForPool[p]) > 0 && recordRoom, allocated, p.used < p.slots)
	}
	gr := live.graph
	gr.waitQueue.update(g, live, !gr.hasRoom() && (live.run.ReadyCount() > 0 || len(live.waitingForPool) > 0), allocated, gr.hasRoom())
}

// hasRoom reports whether one more step of the graph may be submitted.
func (gr *graph) hasRoom() bool { return gr.activeInstances < gr.rec.MaxTasks }

// mayPick reports whether one more step of a run may be submitted, as far as the graph's limit and the run's record are
// concerned.
func (g *Graphs) mayPick(live *liveRun) bool {
	return live.graph.hasRoom() && !live.heldBack && g.hasRecordRoom(live)
}

// recheckPast moves instances that wait for the previous run to those that wait for their pools, if the same step
// succeeded or was skipped in that run.
func (g *Graphs) recheckPast(live *liveRun) {
	waiting := live.waitingForPast
	live.waitingForPast = nil
	for _, ref := range waiting {
		switch {
		case !live.run.IsReady(ref):
		case !g.previousRunDone(live, ref.Step):
			live.waitingForPast = append(live.waitingForPast, ref)
		default:
			g.waitForPool(live, ref)
		}
	}
}

// pickWaitingForPool picks the instances that waited for a pool and for which it has free slots now.
func (g *Graphs) pickWaitingForPool(live *liveRun) {
	for p, refs := range live.waitingForPool {
		for len(refs) > 0 && g.mayPick(live) && (!live.run.IsReady(refs[0]) || p.fits(live, refs[0].Step)) {
			if live.run.IsReady(refs[0]) {
				g.pickStep(live, refs[0])
			}
			refs = refs[1:]
		}
		if live.waitingForPool[p] = refs; len(refs) == 0 {
			delete(live.waitingForPool, p)
		}
	}
}

// pickNext picks instances that became ready since the last call, or adds them to those that wait for their pool or
// the previous run.
func (g *Graphs) pickNext(live *liveRun) {
	for g.mayPick(live) {
		refs := live.run.TakeReady(1)
		if len(refs) == 0 {
			return
		}
		ref := refs[0]
		switch p := g.pool(live.run.Plan, ref.Step); {
		case live.run.Plan.Steps[ref.Step].DependsOnPast && !g.previousRunDone(live, ref.Step):
			live.waitingForPast = append(live.waitingForPast, ref)
		case len(live.waitingForPool[p]) > 0 || !p.fits(live, ref.Step):
			g.waitForPool(live, ref) // behind instances that already wait for the pool
		default:
			g.pickStep(live, ref)
		}
	}
}

// pickStep allocates slots to an instance, and has it described unless the client has done that or there is no
// source of descriptions.
func (g *Graphs) pickStep(live *liveRun, ref dag.InstanceRef) {
	g.allocateSlots(live, ref.Step)
	picked := pickedStep{run: live, ref: ref, jobID: live.run.JobID(ref)}
	if g.cfg.DescriptionSource == nil || live.meta.Described && live.run.Generation(ref.Step) == 0 && !mappedAtRunTime(live.run.Plan, ref.Step) {
		live.picked = append(live.picked, picked)
	} else {
		g.describeQueue.steps = append(g.describeQueue.steps, picked)
	}
}

// mappedAtRunTime reports whether a step is mapped over the result of another step, so that its jobs are unknown
// until that step is done.
func mappedAtRunTime(p *dag.Plan, step int) bool {
	m := p.Steps[step].Map
	return m != nil && m.Over != ""
}

// waitForPool adds an instance to those that wait for slots of its pool.
func (g *Graphs) waitForPool(live *liveRun, ref dag.InstanceRef) {
	p := g.pool(live.run.Plan, ref.Step)
	live.waitingForPool[p] = append(live.waitingForPool[p], ref)
}

// previousRunDone reports whether a step succeeded or was skipped in the previous run by logical date. It is true if
// there is no previous run or that run has no such step.
func (g *Graphs) previousRunDone(live *liveRun, step int) bool {
	i := slices.Index(live.graph.history, live.entry)
	if i <= 0 {
		return true
	}
	previous, name := live.graph.history[i-1], live.run.Plan.Steps[step].ID
	if previous.live == nil {
		return !previous.failedPastDependents[name]
	}
	j, ok := previous.live.run.Plan.Index[name]
	if !ok {
		return true
	}
	state, _ := previous.live.run.StepState(j)
	return state == dag.Success || state == dag.Skipped
}

// submitPicked adds the jobs of picked instances to a transaction, as many as fit, and returns these instances. If
// submitOneByOne is set, it adds only one.
func (g *Graphs) submitPicked(live *liveRun, b *batch, now time.Time) (submitted []pickedStep) {
	for len(live.picked) > 0 && !live.heldBack && (!live.submitOneByOne || len(submitted) == 0) {
		picked := live.picked[0]
		_, value, err := instanceJob(live.run, picked.ref, now.UnixMilli())
		if !b.fits(2, g.maxRecordBytes(live)+len(value)+tuning.RecordOverheadBytes) {
			break
		}
		live.picked = live.picked[1:]
		if !live.run.IsReadyWithJob(picked.ref, picked.jobID) {
			g.releaseSlots(live, picked.ref.Step) // the step was cleared or cancelled in the meantime
			continue
		}
		if err != nil || len(value) > b.maxValueBytes {
			g.log.Error("record of a step's job is too long or cannot be encoded; marking the step failed", "graph", live.graph.rec.ID, "run", live.run.ID, "job", picked.jobID, "err", err)
			g.releaseSlots(live, picked.ref.Step)
			live.run.JobCancelled(picked.ref)
			continue
		}
		live.run.JobSubmitted(picked.ref)
		b.txn.If = append(b.txn.If, wire.Condition{Key: jobs.KeyFinalState(picked.jobID)})
		b.put(jobs.KeyJob(picked.jobID), 0, value)
		// The job may finish before this transaction is answered, so it is registered here: jobFinished must
		// find it.
		g.byJob[picked.jobID] = stepJob{live, picked.ref, live.run.Generation(picked.ref.Step)}
		g.notSeenRunning[picked.jobID] = g.byJob[picked.jobID]
		live.unansweredJobs[picked.jobID] = ""
		submitted = append(submitted, picked)
	}
	return submitted
}

// revertSubmission reverts a submission whose transaction failed a condition, because another submitter's job with the
// ID of one of its jobs is stored: job IDs are hashes that others can compute. If the job was the only one in its
// transaction, its instance fails. Otherwise the instance becomes ready again, and the run's jobs are submitted one
// by one to find the one with the conflict.
func (g *Graphs) revertSubmission(picked pickedStep, oneByOne bool) {
	live := picked.run
	orphan := g.byJob[picked.jobID].ref.Step < 0
	delete(live.unansweredJobs, picked.jobID)
	delete(g.byJob, picked.jobID)
	delete(g.notSeenRunning, picked.jobID)
	if orphan { // the step was cleared in the meantime
		live.activeJobs--
		live.run.OrphanFinished(picked.jobID)
		return
	}
	g.releaseSlots(live, picked.ref.Step)
	if oneByOne {
		g.log.Error("another job with the ID of a step's job exists; marking the step failed", "graph", live.graph.rec.ID, "run", live.run.ID, "job", picked.jobID)
		live.run.JobCancelled(picked.ref)
		return
	}
	live.submitOneByOne = true
	live.run.SubmissionFailed(picked.ref)
}
