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

// pickedStep is an instance that is to be submitted.
type pickedStep struct {
	run *liveRun
	at  dag.InstanceRef
	id  string // its job's
}

// pickReady takes slots for what is ready of a run, and has it described. What finds no room
// waits in line.
func (g *Graphs) pickReady(x *liveRun, now time.Time) {
	if !g.mayProceed(x, now) {
		return
	}
	before := x.graph.active
	g.recheckPast(x)
	g.pickWaitingForPool(x)
	g.pickNext(x)
	took := x.graph.active != before // each pick takes a slot, and nothing here gives one back
	for _, p := range g.pools {
		p.line.update(g, x, len(x.waitingForPool[p]) > 0, took, p.used < p.slots)
	}
	gr := x.graph
	gr.line.update(g, x, !gr.hasRoom() && (x.run.ReadyCount() > 0 || len(x.waitingForPool) > 0), took, gr.hasRoom())
}

// hasRoom reports whether one more step of the graph may be submitted.
func (gr *graph) hasRoom() bool { return gr.active < gr.rec.MaxTasks }

// recheckPast has the steps that waited for the run before wait for their pools, where that one has done them.
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

// pickWaitingForPool picks the steps that waited for a pool which has room now.
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

// pickNext picks steps that became ready since, or has them wait for what they lack.
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
			g.waitForPool(x, at) // behind those that wait for the pool already
		default:
			g.pickStep(x, at)
		}
	}
}

// pickStep takes a step's slots, and has it described unless that is done already.
func (g *Graphs) pickStep(x *liveRun, at dag.InstanceRef) {
	g.takeSlots(x, at.Step)
	p := pickedStep{run: x, at: at, id: x.run.JobID(at)}
	if g.cfg.Source == nil || x.meta.Described && x.run.Generation(at.Step) == 0 && !mappedAtRunTime(x.run.Plan, at.Step) {
		x.picked = append(x.picked, p)
	} else {
		g.source.queue = append(g.source.queue, p)
	}
}

// mappedAtRunTime reports whether nobody can name a step's jobs before those that it follows are done.
func mappedAtRunTime(p *dag.Plan, step int) bool {
	m := p.Steps[step].Map
	return m != nil && m.Over != ""
}

func (g *Graphs) waitForPool(x *liveRun, at dag.InstanceRef) {
	p := g.pool(x.run.Plan, at.Step)
	x.waitingForPool[p] = append(x.waitingForPool[p], at)
}

// previousRunDone reports whether the run before, by logical date, has done a step, if it had it.
func (g *Graphs) previousRunDone(x *liveRun, step int) bool {
	i := slices.Index(x.graph.history, x.entry)
	if i <= 0 {
		return true
	}
	before, name := x.graph.history[i-1], x.run.Plan.Steps[step].ID
	if before.live == nil {
		return !before.failed[name]
	}
	j, ok := before.live.run.Plan.Index[name]
	if !ok {
		return true
	}
	state, _ := before.live.run.StepState(j)
	return state == dag.Success || state == dag.Skipped
}

// storeRuns puts runs into a transaction, each with the jobs of its steps that are ready.
func (g *Graphs) storeRuns(b *batch, now time.Time) {
	for n := len(g.todo); n > 0 && b.fits(2, tuning.RecordOverheadBytes); n-- {
		x := g.todo[0]
		g.todo = g.todo[1:]
		x.queued = false
		g.pickReady(x, now)
		if !g.storeRun(x, b, now) {
			// The next look begins with it; the others' turn comes behind it.
			x.queued = true
			g.todo = append([]*liveRun{x}, g.todo...)
			return
		}
		if len(x.picked) > 0 {
			g.enqueueRun(x) // a run of 10,000 ready steps must not hold up the others
		}
	}
}

// storeRun puts a run into a transaction, and reports whether it fitted.
func (g *Graphs) storeRun(x *liveRun, b *batch, now time.Time) bool {
	if !x.dirty && len(x.picked) == 0 {
		return true
	}
	if !b.fits(2, x.size+tuning.RecordOverheadBytes) || x.suspect && len(b.txn.Then) > 0 {
		return false
	}
	taken := g.submitPicked(x, b, now)
	g.cancelUnneeded(x)
	if x.suspect && len(x.picked) == 0 && len(taken) == 0 {
		x.suspect = false
	}
	x.noteEnd(now)
	value, ok := g.encodeRun(x, b.value)
	if !ok {
		return true // it rests until a leader reads what was stored
	}
	g.putRun(x, b, value, taken)
	return true
}

// submitPicked puts the jobs of as many picked steps as there is room for into a transaction, and returns those. While a
// run is suspect, one job goes at a time.
func (g *Graphs) submitPicked(x *liveRun, b *batch, now time.Time) (taken []pickedStep) {
	for len(x.picked) > 0 && b.fits(2, x.size+2*tuning.RecordOverheadBytes) && (!x.suspect || len(taken) == 0) {
		p := x.picked[0]
		x.picked = x.picked[1:]
		if !x.run.IsReadyWithJob(p.at, p.id) {
			g.releaseSlots(x, p.at.Step) // cleared or cancelled meanwhile
			continue
		}
		_, value, err := jobOf(x.run, p.at, now.UnixMilli())
		if err != nil || len(value) > b.value {
			g.log.Error("a step cannot be submitted", "graph", x.graph.rec.ID, "run", x.run.ID, "job", p.id, "err", err)
			g.releaseSlots(x, p.at.Step)
			x.run.JobCancelled(p.at)
			continue
		}
		x.run.JobSubmitted(p.at)
		b.txn.If = append(b.txn.If, wire.Condition{Key: jobs.KeyFinalState(p.id)})
		b.put(jobs.KeyJob(p.id), 0, value)
		// What hears of the job first, its end or this transaction's, must find it.
		g.byJob[p.id] = stepJob{x, p.at, x.run.Generation(p.at.Step)}
		g.notSeenRunning[p.id] = g.byJob[p.id]
		x.pending[p.id] = ""
		taken = append(taken, p)
	}
	return taken
}

// noteEnd sets when the run ended, or that it goes on.
func (x *liveRun) noteEnd(now time.Time) {
	if x.run.RunState() != dag.RunRunning && x.meta.EndMS == 0 {
		x.meta.EndMS = now.UnixMilli()
	} else if x.run.RunState() == dag.RunRunning {
		x.meta.EndMS = 0
	}
}

// encodeRun returns a run's record of at most so many bytes. A run whose record is longer is cancelled; ok is false if it
// is too long even then.
func (g *Graphs) encodeRun(x *liveRun, most int) (value json.RawMessage, ok bool) {
	value, err := runValue(g.codec, x, most)
	if err == nil && len(value) <= most {
		return value, true
	}
	g.log.Error("a run has become too large and is cancelled", "run", x.key, "bytes", len(value), "err", err)
	x.run.Cancel()
	g.cancelUnneeded(x)
	value, err = runValue(g.codec, x, most)
	return value, err == nil && len(value) <= most
}

// putRun puts a run's record into a transaction that submits some steps, with what follows once the transaction is stored,
// or if it is not.
func (g *Graphs) putRun(x *liveRun, b *batch, value json.RawMessage, taken []pickedStep) {
	x.size = len(value)
	told, late := x.onStored, x.lateAt
	x.dirty, x.onStored = false, nil
	delete(g.storeLater, x)
	b.put(x.key, x.version, value)
	b.done = append(b.done, func(revision uint64) {
		x.version = revision
		for _, fn := range told {
			fn()
		}
		g.endPending(x, taken)
		g.finish(x)
	})
	b.undo = append(b.undo, func() {
		x.lateAt, x.onStored = late, append(told, x.onStored...)
		alone := x.suspect
		for _, p := range taken {
			g.withdraw(p, alone)
		}
		g.markDirty(x)
	})
}

// endPending ends the submitted steps whose jobs' ends were heard of before the transaction that submitted them had its
// answer.
func (g *Graphs) endPending(x *liveRun, taken []pickedStep) {
	for _, p := range taken {
		state := x.pending[p.id]
		delete(x.pending, p.id)
		if state != "" {
			g.jobFinished(p.id, state, g.cfg.Clock.Now())
		}
	}
}

// withdraw takes back a submission that was not stored, since a job of that id is there
// that is none of ours: an id is a hash that others can work out. Alone in its
// transaction, the step has failed; otherwise it is tried alone.
func (g *Graphs) withdraw(p pickedStep, alone bool) {
	x := p.run
	orphan := g.byJob[p.id].at.Step < 0
	delete(x.pending, p.id)
	delete(g.byJob, p.id)
	delete(g.notSeenRunning, p.id)
	if orphan { // it was cleared meanwhile
		x.active--
		x.run.OrphanFinished(p.id)
		return
	}
	g.releaseSlots(x, p.at.Step)
	if alone {
		g.log.Error("a step's job cannot be stored: there is one of its id", "graph", x.graph.rec.ID, "run", x.run.ID, "job", p.id)
		x.run.JobCancelled(p.at)
		return
	}
	x.suspect = true
	x.run.SubmissionFailed(p.at)
}
