package runner

import (
	"encoding/json"
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
	jobID string // of its job; differs from the run's if the step was cleared since
}

// pickReady allocates slots to ready instances of a run, and has them described. If slots are missing, the run joins
// the queues of the pools or of the graph.
func (g *Graphs) pickReady(x *liveRun, now time.Time) {
	if !g.startIfAllowed(x, now) {
		return
	}
	before := x.graph.activeInstances
	g.recheckPast(x)
	g.pickWaitingForPool(x)
	g.pickNext(x)
	took := x.graph.activeInstances != before // each picked instance increments active, and nothing here decrements it
	for _, p := range g.pools {
		p.waitQueue.update(g, x, len(x.waitingForPool[p]) > 0, took, p.used < p.slots)
	}
	gr := x.graph
	gr.waitQueue.update(g, x, !gr.hasRoom() && (x.run.ReadyCount() > 0 || len(x.waitingForPool) > 0), took, gr.hasRoom())
}

// hasRoom reports whether one more step of the graph may be submitted.
func (gr *graph) hasRoom() bool { return gr.activeInstances < gr.rec.MaxTasks }

// recheckPast moves instances that waited for the previous run to the queues of their pools, if that run has done
// the step.
func (g *Graphs) recheckPast(x *liveRun) {
	waits := x.waitingForPast
	x.waitingForPast = nil
	for _, at := range waits {
		switch {
		case !x.run.IsReady(at):
		case !g.previousRunDone(x, at.Step):
			x.waitingForPast = append(x.waitingForPast, at)
		default:
			g.waitForPool(x, at)
		}
	}
}

// pickWaitingForPool picks the instances that waited for a pool and for which it has free slots now.
func (g *Graphs) pickWaitingForPool(x *liveRun) {
	for p, refs := range x.waitingForPool {
		for len(refs) > 0 && x.graph.hasRoom() && (!x.run.IsReady(refs[0]) || p.fits(x, refs[0].Step)) {
			if x.run.IsReady(refs[0]) {
				g.pickStep(x, refs[0])
			}
			refs = refs[1:]
		}
		if x.waitingForPool[p] = refs; len(refs) == 0 {
			delete(x.waitingForPool, p)
		}
	}
}

// pickNext picks instances that became ready since the last call, or has them wait for their pool or the previous
// run.
func (g *Graphs) pickNext(x *liveRun) {
	for x.graph.hasRoom() {
		refs := x.run.TakeReady(1)
		if len(refs) == 0 {
			return
		}
		at := refs[0]
		switch p := g.pool(x.run.Plan, at.Step); {
		case x.run.Plan.Steps[at.Step].DependsOnPast && !g.previousRunDone(x, at.Step):
			x.waitingForPast = append(x.waitingForPast, at)
		case len(x.waitingForPool[p]) > 0 || !p.fits(x, at.Step):
			g.waitForPool(x, at) // behind instances that already wait for the pool
		default:
			g.pickStep(x, at)
		}
	}
}

// pickStep allocates slots to an instance, and has it described unless the client has done that or there is no
// source of descriptions.
func (g *Graphs) pickStep(x *liveRun, at dag.InstanceRef) {
	g.allocateSlots(x, at.Step)
	p := pickedStep{run: x, ref: at, jobID: x.run.JobID(at)}
	if g.cfg.Source == nil || x.meta.Described && x.run.Generation(at.Step) == 0 && !mappedAtRunTime(x.run.Plan, at.Step) {
		x.picked = append(x.picked, p)
	} else {
		g.describeQueue.steps = append(g.describeQueue.steps, p)
	}
}

// mappedAtRunTime reports whether a step is mapped over the result of another step, so that its jobs are unknown
// until that step is done.
func mappedAtRunTime(p *dag.Plan, step int) bool {
	m := p.Steps[step].Map
	return m != nil && m.Over != ""
}

// waitForPool adds an instance to those that wait for slots of its pool.
func (g *Graphs) waitForPool(x *liveRun, at dag.InstanceRef) {
	p := g.pool(x.run.Plan, at.Step)
	x.waitingForPool[p] = append(x.waitingForPool[p], at)
}

// previousRunDone reports whether a step succeeded or was skipped in the previous run by logical date. It is true if
// there is no previous run or that run has no such step.
func (g *Graphs) previousRunDone(x *liveRun, step int) bool {
	i := slices.Index(x.graph.history, x.entry)
	if i <= 0 {
		return true
	}
	before, name := x.graph.history[i-1], x.run.Plan.Steps[step].ID
	if before.live == nil {
		return !before.failedPastDependents[name]
	}
	j, ok := before.live.run.Plan.Index[name]
	if !ok {
		return true
	}
	state, _ := before.live.run.StepState(j)
	return state == dag.Success || state == dag.Skipped
}

// storeRuns adds runs to a transaction, each with the jobs of its picked instances.
func (g *Graphs) storeRuns(b *batch, now time.Time) {
	for n := len(g.runQueue); n > 0 && b.fits(2, tuning.RecordOverheadBytes); n-- {
		x := g.runQueue[0]
		g.runQueue = g.runQueue[1:]
		x.inQueue = false
		g.pickReady(x, now)
		if !g.storeRun(x, b, now) {
			// The next transaction begins with this run; the other runs stay queued behind it.
			x.inQueue = true
			g.runQueue = append([]*liveRun{x}, g.runQueue...)
			return
		}
		if len(x.picked) > 0 {
			g.enqueueRun(x) // it goes to the end of the queue, so that a run of 10,000 ready steps does not block the others
		}
	}
}

// storeRun adds a run to a transaction if it has changes. It returns false if the transaction has no room for it.
func (g *Graphs) storeRun(x *liveRun, b *batch, now time.Time) bool {
	if !x.dirty && len(x.picked) == 0 {
		return true
	}
	if !b.fits(2, x.recordBytes+tuning.RecordOverheadBytes) || x.submitOneByOne && len(b.txn.Then) > 0 {
		return false
	}
	taken := g.submitPicked(x, b, now)
	g.cancelUnneeded(x)
	if x.submitOneByOne && len(x.picked) == 0 && len(taken) == 0 {
		x.submitOneByOne = false
	}
	x.updateEnd(now)
	value, ok := g.encodeRun(x, b.maxValueBytes)
	if !ok {
		return true // it is not stored; the next leader continues from the last stored record
	}
	g.putRun(x, b, value, taken)
	return true
}

// submitPicked adds the jobs of picked instances to a transaction, as many as fit, and returns these instances. For a
// suspect run it adds only one.
func (g *Graphs) submitPicked(x *liveRun, b *batch, now time.Time) (taken []pickedStep) {
	for len(x.picked) > 0 && b.fits(2, x.recordBytes+2*tuning.RecordOverheadBytes) && (!x.submitOneByOne || len(taken) == 0) {
		p := x.picked[0]
		x.picked = x.picked[1:]
		if !x.run.IsReadyWithJob(p.ref, p.jobID) {
			g.releaseSlots(x, p.ref.Step) // the step was cleared or cancelled in the meantime
			continue
		}
		_, value, err := instanceJob(x.run, p.ref, now.UnixMilli())
		if err != nil || len(value) > b.maxValueBytes {
			g.log.Error("record of a step's job is too long or cannot be encoded; marking the step failed", "graph", x.graph.rec.ID, "run", x.run.ID, "job", p.jobID, "err", err)
			g.releaseSlots(x, p.ref.Step)
			x.run.JobCancelled(p.ref)
			continue
		}
		x.run.JobSubmitted(p.ref)
		b.txn.If = append(b.txn.If, wire.Condition{Key: jobs.KeyFinalState(p.jobID)})
		b.put(jobs.KeyJob(p.jobID), 0, value)
		// The job may finish before this transaction is answered, so it is registered here: jobFinished must
		// find it.
		g.byJob[p.jobID] = stepJob{x, p.ref, x.run.Generation(p.ref.Step)}
		g.notSeenRunning[p.jobID] = g.byJob[p.jobID]
		x.unansweredJobs[p.jobID] = ""
		taken = append(taken, p)
	}
	return taken
}

// updateEnd sets the time when the run ended, or resets it if the run is running again.
func (x *liveRun) updateEnd(now time.Time) {
	if x.run.RunState() != dag.RunRunning && x.meta.EndMS == 0 {
		x.meta.EndMS = now.UnixMilli()
	} else if x.run.RunState() == dag.RunRunning {
		x.meta.EndMS = 0
	}
}

// encodeRun returns a run's record of at most the given number of bytes. A run whose record is longer is cancelled; ok
// is false if it is too long even then.
func (g *Graphs) encodeRun(x *liveRun, most int) (value json.RawMessage, ok bool) {
	value, err := encodeRunRecord(g.codec, x, most)
	if err == nil && len(value) <= most {
		return value, true
	}
	g.log.Error("record of a run is too long or cannot be encoded; cancelling the run", "run", x.key, "bytes", len(value), "err", err)
	x.run.Cancel()
	g.cancelUnneeded(x)
	value, err = encodeRunRecord(g.codec, x, most)
	return value, err == nil && len(value) <= most
}

// putRun adds a run's record to a transaction that submits the instances in taken, with callbacks for the case that the
// transaction is committed and for the case that a condition does not hold.
func (g *Graphs) putRun(x *liveRun, b *batch, value json.RawMessage, taken []pickedStep) {
	x.recordBytes = len(value)
	told, late := x.onStored, x.storeLaterSince
	x.dirty, x.onStored = false, nil
	delete(g.storeLater, x)
	b.put(x.key, x.version, value)
	b.onCommitted = append(b.onCommitted, func(revision uint64) {
		x.version = revision
		for _, fn := range told {
			fn()
		}
		g.finishEarlyJobs(x, taken)
		g.finish(x)
	})
	b.onConflict = append(b.onConflict, func() {
		x.storeLaterSince, x.onStored = late, append(told, x.onStored...)
		alone := x.submitOneByOne
		for _, p := range taken {
			g.revertSubmission(p, alone)
		}
		g.markDirty(x)
	})
}

// finishEarlyJobs handles the jobs of a committed transaction that finished before its answer arrived.
func (g *Graphs) finishEarlyJobs(x *liveRun, taken []pickedStep) {
	for _, p := range taken {
		state := x.unansweredJobs[p.jobID]
		delete(x.unansweredJobs, p.jobID)
		if state != "" {
			g.jobFinished(p.jobID, state, g.cfg.Clock.Now())
		}
	}
}

// revertSubmission reverts a submission whose transaction failed a condition, because another submitter's job with that ID is
// stored: job IDs are hashes that others can compute. If the job was alone in its transaction, the step fails.
// Otherwise the step becomes ready again, and the run's jobs are submitted one by one to identify the job.
func (g *Graphs) revertSubmission(p pickedStep, alone bool) {
	x := p.run
	orphan := g.byJob[p.jobID].ref.Step < 0
	delete(x.unansweredJobs, p.jobID)
	delete(g.byJob, p.jobID)
	delete(g.notSeenRunning, p.jobID)
	if orphan { // the step was cleared in the meantime
		x.activeJobs--
		x.run.OrphanFinished(p.jobID)
		return
	}
	g.releaseSlots(x, p.ref.Step)
	if alone {
		g.log.Error("another job with the ID of a step's job exists; marking the step failed", "graph", x.graph.rec.ID, "run", x.run.ID, "job", p.jobID)
		x.run.JobCancelled(p.ref)
		return
	}
	x.submitOneByOne = true
	x.run.SubmissionFailed(p.ref)
}
