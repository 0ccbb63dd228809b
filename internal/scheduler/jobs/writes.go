package jobs

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Batch is one transaction of the book's changes.
type Batch struct {
	Txn         wire.Txn
	chunks      []chunkRef
	allocations []*Allocation
	ends        []jobEnd
	detached    []DetachedCharges // charges that come to lie apart; their version is that of the batch, if 0
	// BatchCounts is how many of its changes serve what.
	Counts BatchCounts
}

// BatchCounts are changes by what they serve.
type BatchCounts struct {
	Starts   int // records of places that wait to be started
	Ends     int // ends of jobs, with what goes with them
	Progress int // records that nobody waits for
	Garbage  int // what jobs that are over left behind
}

type jobEnd struct {
	job   *Job
	state wire.JobState // the state that it stores; empty: it was stored before
}

// FinishedJob is a job that came to a final state.
type FinishedJob struct {
	Job   *Job
	State wire.JobState
}

// WriteDue tells whether changes should be written now.
func (b *Store) WriteDue(now time.Time) bool {
	b.flushLongRunning(now)
	return b.writeNow || !b.flushAt.IsZero() && !now.Before(b.flushAt)
}

// WriteBudget is how much of the limit on changes a transaction may use.
type WriteBudget struct {
	Changes int // all that go into it; 0: as many as one transaction holds
	Spare   int // those of them that nobody waits for
	Overdue int // the same, for records that have waited for LazyMax
}

// NextBatch gathers the next transaction, or nil when there is nothing to write.
// Only one may be on its way at a time. What somebody waits for goes first: finished tasks
// of large arrays would otherwise use up the limit on changes, and starts wait
// behind them. It is best called once the changes may be written at once: what has
// to wait for the limit anyway is then put in order as late as can be.
func (b *Store) NextBatch(now time.Time, budget WriteBudget) *Batch {
	ops := b.txnOps
	if budget.Changes > 0 {
		ops = min(ops, budget.Changes)
	}
	w := &Batch{}
	size := 0
	guarded := map[string]bool{} // jobs whose stored record is a condition already
	room := func(n int) bool { return len(w.Txn.Then)+n <= ops && size < tuning.CommitBytes }
	// holds tells whether a chunk has room, by what its record takes at the most: with
	// charges, records are long enough for one to carry a transaction past its bound.
	holds := func(refs ...chunkRef) bool {
		n, bytes := 0, 0
		for _, r := range refs {
			n += r.minChanges(b.txnOps)
			bytes += r.maxBytes()
		}
		return room(n) && (len(w.Txn.Then) == 0 || size+bytes <= tuning.TxnBytes)
	}
	put := func(key string, version uint64, value json.RawMessage) {
		w.Txn.If = append(w.Txn.If, wire.Condition{Key: key, Version: version})
		w.Txn.Then = append(w.Txn.Then, wire.Change{Put: key, Value: value})
		size += len(value) + 2*len(key) + 64
	}
	drop := func(key string, version uint64) {
		w.Txn.If = append(w.Txn.If, wire.Condition{Key: key, Version: version})
		w.Txn.Then = append(w.Txn.Then, wire.Change{Delete: key})
		size += 2*len(key) + 64
	}
	end := func() {
		j := b.endQueue[0]
		b.endQueue = b.endQueue[1:]
		ref := jobEnd{job: j}
		j.endSent = true
		if !j.cancelled {
			ref.state = wire.StateDone
			if j.Done < len(j.Tasks) {
				ref.state = wire.StateCancelled
			}
			put(KeyFinalState(j.ID), 0, wire.EncodeRecord(FinalState{State: ref.state, Done: j.Done}))
		}
		drop(KeyJob(j.ID), j.version)
		for n := range j.chunks {
			c := &j.chunks[n]
			dirty := c.dirty
			c.dirty, c.urgent = false, false
			switch {
			case len(c.pack.Charges) > 0:
				left := DetachedCharges{Key: keyProgress(j.ID, n), Pack: &c.pack, Version: c.version}
				if dirty {
					put(left.Key, c.version, wire.EncodeRecord(detachedRecord{Charges: charge.EncodePack(&c.pack)}))
					left.Version = 0
				}
				w.detached = append(w.detached, left)
			case c.version == 0:
			case room(1):
				drop(keyProgress(j.ID, n), c.version)
			default:
				b.staleRecords = append(b.staleRecords, wire.Condition{Key: keyProgress(j.ID, n), Version: c.version})
				if b.flushAt.IsZero() {
					b.flushAt = now
				}
			}
		}
		w.ends = append(w.ends, ref)
	}
	write := func(ref chunkRef) {
		c := &ref.job.chunks[ref.n]
		if !c.dirty || ref.job.ended {
			return
		}
		for room(2) {
			left, value, ok := c.detachOldCharges()
			if !ok {
				break
			}
			put(left.Key, 0, value)
			w.detached = append(w.detached, left)
		}
		value, places := ref.job.encodeProgress(ref.n, b.Metered)
		c.dirty, c.urgent, c.writing = false, false, true
		// Progress is only written for a job that is still stored as it was
		// loaded: one that is over can never come back to life.
		if !guarded[ref.job.ID] {
			guarded[ref.job.ID] = true
			w.Txn.If = append(w.Txn.If, wire.Condition{Key: KeyJob(ref.job.ID), Version: ref.job.version})
		}
		put(keyProgress(ref.job.ID, ref.n), c.version, value)
		w.chunks = append(w.chunks, ref)
		w.allocations = append(w.allocations, places...)
	}
	// settled writes the charges that a job's end would bring along, as far as there is
	// room, if they are more than have room with it: it then goes with the next batch.
	settled := func(j *Job) bool {
		var with []chunkRef
		long := false
		for n := range j.chunks {
			if c := &j.chunks[n]; c.dirty && len(c.pack.Charges) > 0 {
				with = append(with, chunkRef{j, n})
				long = long || len(c.pack.Charges) > tuning.DetachChargesMax
			}
		}
		if !long && (len(with) == 0 || len(with) <= tuning.EndChunks && room(2+len(with)) && holds(with...)) {
			return true
		}
		for _, ref := range with {
			if !holds(ref) {
				break
			}
			write(ref)
		}
		return false
	}
	b.sortQueues()
	for len(b.endQueue)+len(b.urgentQueue) > 0 {
		before := len(w.Txn.Then)
		if b.endGoesFirst() {
			if !room(3) || !settled(b.endQueue[0]) {
				w.Counts.Ends += len(w.Txn.Then) - before
				break
			}
			end()
			w.Counts.Ends += len(w.Txn.Then) - before
			continue
		}
		if !holds(b.urgentQueue[0]) {
			break
		}
		ref := b.urgentQueue[0]
		b.urgentQueue = b.urgentQueue[1:]
		write(ref)
		w.Counts.Starts += len(w.Txn.Then) - before
	}
	lazy := !b.flushAt.IsZero() && !now.Before(b.flushAt)
	sum := len(w.Txn.Then)
	for n := len(b.lazyQueue); lazy && n > 0; n-- {
		ref := b.lazyQueue[0]
		c := &ref.job.chunks[ref.n]
		if c.dirty && !ref.job.ended {
			age, limit := now.Sub(c.dirtySince), sum+budget.Spare
			if age >= tuning.LazyMax {
				limit = max(limit, sum+budget.Overdue)
			}
			if len(w.Txn.Then) >= limit || !holds(ref) {
				break
			}
			if age < tuning.LazyFlush { // it was written for a start meanwhile, and changed again
				b.lazyQueue = append(b.lazyQueue[1:], ref)
				continue
			}
		}
		b.lazyQueue, c.queued = b.lazyQueue[1:], false
		write(ref)
	}
	w.Counts.Progress = len(w.Txn.Then) - sum
	for limit := len(w.Txn.Then) + budget.Spare; lazy && len(b.staleRecords) > 0 && room(1) && len(w.Txn.Then) < limit; {
		g := b.staleRecords[0]
		b.staleRecords = b.staleRecords[1:]
		drop(g.Key, g.Version)
	}
	w.Counts.Garbage = len(w.Txn.Then) - sum - w.Counts.Progress
	b.writeNow = len(b.endQueue)+len(b.urgentQueue) > 0
	if len(b.lazyQueue)+len(b.staleRecords) == 0 {
		b.flushAt = time.Time{}
	}
	if len(w.Txn.Then) == 0 {
		return nil
	}
	return w
}

// minChanges is how many changes the writing of a chunk takes at the least: its record must
// not hold more charges than fit it.
func (r chunkRef) minChanges(most int) int {
	return min(most, 1+len(r.job.chunks[r.n].pack.Charges)/(tuning.DetachChargesMax+1))
}

// maxBytes is what the writing of a chunk takes at the most, in bytes.
func (r chunkRef) maxBytes() int {
	c := &r.job.chunks[r.n]
	tasks := min(tuning.ChunkTasks, len(r.job.Tasks)-r.n*tuning.ChunkTasks)
	return tuning.EntryBytes*tasks + tuning.ChargeBytes*len(c.pack.Charges) + tuning.RecordBytes
}

// sortQueues puts what waits to be written in the order of the jobs' priorities, so
// that starts of urgent work do not wait behind hundreds of tiny jobs: starts before ends, and
// cancellations, which users wait for, behind the starts of the highest priority only.
func (b *Store) sortQueues() {
	slices.SortStableFunc(b.endQueue, func(x, y *Job) int { return cmp.Compare(y.endPriority(), x.endPriority()) })
	// What is about to be dropped with its job needs no writing.
	b.urgentQueue = slices.DeleteFunc(b.urgentQueue, func(r chunkRef) bool { return r.job.ending })
	slices.SortStableFunc(b.urgentQueue, func(x, y chunkRef) int { return cmp.Compare(y.job.Priority.Level(), x.job.Priority.Level()) })
}

// endPriority is the priority of a job's end. Cancellations that came together used to hold up the starts of
// production work: each takes three changes, and its tasks are being stopped already.
func (j *Job) endPriority() int {
	if j.cancelWanted {
		return wire.PriorityProduction.Level()
	}
	return j.Priority.Level()
}

// endGoesFirst tells whether the first end goes before the first start.
func (b *Store) endGoesFirst() bool {
	return len(b.urgentQueue) == 0 || len(b.endQueue) > 0 && b.endQueue[0].endPriority() > b.urgentQueue[0].job.Priority.Level()
}

func (j *Job) encodeProgress(n int, meter bool) (json.RawMessage, []*Allocation) {
	var r progressRecord
	c := &j.chunks[n]
	var done []int
	var places []*Allocation
	for i := n * tuning.ChunkTasks; i < min(len(j.Tasks), (n+1)*tuning.ChunkTasks); i++ {
		t := &j.Tasks[i]
		switch {
		case t.State == Done:
			done = append(done, i)
		case t.Allocation != nil:
			e := taskEntry{Index: i, Attempt: t.Attempt, Machine: t.Allocation.Machine, Session: t.Allocation.Incarnation, Zone: t.Allocation.Zone}
			if meter {
				c.encodeTimes(&e, t.Allocation)
			}
			r.Tasks = append(r.Tasks, e)
			if !t.Allocation.Committed {
				places = append(places, t.Allocation)
			}
		case t.Attempt > 0:
			r.Tasks = append(r.Tasks, taskEntry{Index: i, Attempt: t.Attempt})
		}
	}
	r.Done = encodeRanges(done)
	if n == 0 {
		r.Tries = j.FailedWaves
	}
	if r.Base = c.baseMS; len(c.pack.Charges)+len(c.pack.Kinds) > 0 {
		r.Charges = charge.EncodePack(&c.pack)
	}
	return wire.EncodeRecord(r), places
}

// MarkCommitted takes in that a batch is stored at a revision. It returns the places
// that may now be started, and the jobs that came to a final state.
func (b *Store) MarkCommitted(w *Batch, revision uint64) (start []*Allocation, over []FinishedJob) {
	for _, ref := range w.chunks {
		c := &ref.job.chunks[ref.n]
		c.version, c.writing = revision, false
		switch {
		case c.urgent:
			b.urgentQueue = append(b.urgentQueue, ref)
			b.writeNow = true
		case c.dirty:
			b.queueLazily(ref)
		}
	}
	for _, left := range w.detached {
		if left.Version == 0 {
			left.Version = revision
		}
		b.detached = append(b.detached, left)
	}
	for _, p := range w.allocations {
		p.Committed = true
		if !p.Removed {
			start = append(start, p)
		}
	}
	for _, e := range w.ends {
		j := e.job
		j.ending, j.ended = false, true
		delete(b.Jobs, j.ID)
		if e.state != "" {
			over = append(over, FinishedJob{j, e.state})
			b.notifyWaiters(j, e.state)
		}
	}
	return start, over
}

func (b *Store) notifyWaiters(j *Job, s wire.JobState) {
	for _, fn := range j.waiters {
		fn(s)
	}
	j.waiters = nil
}
