package runner

import (
	"encoding/base64"
	"encoding/json"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
)

// storeRuns adds runs to a transaction, each with the jobs of its picked instances.
func (g *Graphs) storeRuns(b *batch, now time.Time) {
	for n := len(g.runQueue); n > 0 && b.fits(2, tuning.RecordOverheadBytes); n-- {
		live := g.runQueue[0]
		g.runQueue = g.runQueue[1:]
		live.inQueue = false
		g.pickReady(live, now)
		if !g.storeRun(live, b, now) {
			// The next transaction begins with this run; the other runs stay queued behind it.
			live.inQueue = true
			g.runQueue = append([]*liveRun{live}, g.runQueue...)
			return
		}
		if len(live.picked) > 0 && !live.heldBack {
			g.enqueueRun(live) // at the end, so that a run of 10,000 ready steps does not block the others
		}
	}
}

// storeRun adds a run to a transaction if it has changes. It returns false if the transaction has no room for it.
func (g *Graphs) storeRun(live *liveRun, b *batch, now time.Time) bool {
	if !live.dirty && len(live.picked) == 0 {
		return true
	}
	if live.submitOneByOne && len(b.txn.Then) > 0 {
		return false
	}
	g.separateAllResults(live)
	if !g.putResults(live, b) || !b.fits(1, g.maxRecordBytes(live)) {
		return false
	}
	before := b.mark()
	submitted := g.submitPicked(live, b, now)
	g.cancelUnneeded(live)
	if live.submitOneByOne && len(live.picked) == 0 && len(submitted) == 0 {
		live.submitOneByOne = false
	}
	if !live.dirty && len(submitted) == 0 {
		return len(live.picked) == 0 || live.heldBack // the next transaction has room for an instance
	}
	live.updateEnd(now)
	live.trimTries(b.maxValueBytes)
	value, err := encodeRunRecord(g.codec, live, min(b.maxValueBytes, tuning.TxnMaxBytes-b.bytes))
	if err != nil || len(value) > b.maxValueBytes {
		b.resetTo(before)
		g.holdBack(live, submitted, len(value), err)
		return true
	}
	if live.heldBack {
		live.heldBack = false
		g.enqueueRun(live) // its steps are submitted again
	}
	g.putRun(live, b, value, submitted)
	return true
}

// maxRecordBytes returns the greatest length that the record of a run may have in the next transaction.
func (g *Graphs) maxRecordBytes(live *liveRun) int {
	return min(g.maxValueBytes(), live.recordBound(live.submitted())+base64.StdEncoding.EncodedLen(live.size.inlineBytes)) + tuning.RecordOverheadBytes
}

// holdBack handles a run whose record would be too long to be stored: the bounds on a run's record are meant to
// exclude that, but a record of an earlier version may be beyond them. Nothing that was accepted is withdrawn. The run's
// jobs go on, their ends are stored with the jobs, and no more of its steps are submitted. Each change of the run tries
// to store it again; the next leader continues from its last stored record.
func (g *Graphs) holdBack(live *liveRun, submitted []pickedStep, bytes int, err error) {
	if !live.heldBack {
		g.log.Error("record of a run is too long or cannot be encoded; submitting none of its steps until it can be stored", "run", live.key, "bytes", bytes, "err", err)
	}
	live.heldBack = true
	for _, p := range submitted {
		g.revertSubmission(p, false)
	}
	live.submitOneByOne = false
}

// updateEnd sets the time when the run ended, or resets it if the run is running again.
func (live *liveRun) updateEnd(now time.Time) {
	if live.run.RunState() != dag.RunRunning && live.meta.EndMS == 0 {
		live.meta.EndMS = now.UnixMilli()
	} else if live.run.RunState() == dag.RunRunning {
		live.meta.EndMS = 0
	}
}

// putRun adds a run's record to a transaction that submits the given instances, with callbacks for the cases
// that the transaction is committed and that a condition does not hold.
func (g *Graphs) putRun(live *liveRun, b *batch, value json.RawMessage, submitted []pickedStep) {
	onStored, storeLaterSince := live.onStored, live.storeLaterSince
	live.dirty, live.onStored = false, nil
	delete(g.storeLater, live)
	b.put(live.key, live.version, value)
	b.onCommitted = append(b.onCommitted, func(revision uint64) {
		live.version = revision
		for _, fn := range onStored {
			fn()
		}
		g.finishEarlyJobs(live, submitted)
		g.finish(live)
	})
	b.onConflict = append(b.onConflict, func() {
		live.storeLaterSince, live.onStored = storeLaterSince, append(onStored, live.onStored...)
		oneByOne := live.submitOneByOne
		for _, p := range submitted {
			g.revertSubmission(p, oneByOne)
		}
		g.markDirty(live)
	})
}

// finishEarlyJobs handles the jobs of a committed transaction that finished before its answer arrived.
func (g *Graphs) finishEarlyJobs(live *liveRun, submitted []pickedStep) {
	for _, picked := range submitted {
		state := live.unansweredJobs[picked.jobID]
		delete(live.unansweredJobs, picked.jobID)
		if state != "" {
			g.jobFinished(picked.jobID, state, g.cfg.Clock.Now())
		}
	}
}
