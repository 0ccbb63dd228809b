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
	Txn    wire.Txn
	chunks []chunkRef
	places []*Allocation
	ends   []endRef
	lefts  []DetachedCharges // charges that come to lie apart; their version is that of the batch, if 0
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

type endRef struct {
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
	b.noteBegan(now)
	return b.urgent || !b.lazyAt.IsZero() && !now.Before(b.lazyAt)
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
			n += r.ops(b.txnOps)
			bytes += r.bytes()
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
		j := b.ends[0]
		b.ends = b.ends[1:]
		ref := endRef{job: j}
		j.sent = true
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
				left := DetachedCharges{Key: keyRun(j.ID, n), Pack: &c.pack, Version: c.version}
				if dirty {
					put(left.Key, c.version, wire.EncodeRecord(leftRecord{Charges: charge.EncodePack(&c.pack)}))
					left.Version = 0
				}
				w.lefts = append(w.lefts, left)
			case c.version == 0:
			case room(1):
				drop(keyRun(j.ID, n), c.version)
			default:
				b.garbage = append(b.garbage, wire.Condition{Key: keyRun(j.ID, n), Version: c.version})
				if b.lazyAt.IsZero() {
					b.lazyAt = now
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
			left, value, ok := c.seal()
			if !ok {
				break
			}
			put(left.Key, 0, value)
			w.lefts = append(w.lefts, left)
		}
		value, places := ref.job.encodeChunk(ref.n, b.Metered)
		c.dirty, c.urgent, c.writing = false, false, true
		// Progress is only written for a job that is still stored as it was
		// loaded: one that is over can never come back to life.
		if !guarded[ref.job.ID] {
			guarded[ref.job.ID] = true
			w.Txn.If = append(w.Txn.If, wire.Condition{Key: KeyJob(ref.job.ID), Version: ref.job.version})
		}
		put(keyRun(ref.job.ID, ref.n), c.version, value)
		w.chunks = append(w.chunks, ref)
		w.places = append(w.places, places...)
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
	b.sort()
	for len(b.ends)+len(b.dirty) > 0 {
		before := len(w.Txn.Then)
		if b.endFirst() {
			if !room(3) || !settled(b.ends[0]) {
				w.Counts.Ends += len(w.Txn.Then) - before
				break
			}
			end()
			w.Counts.Ends += len(w.Txn.Then) - before
			continue
		}
		if !holds(b.dirty[0]) {
			break
		}
		ref := b.dirty[0]
		b.dirty = b.dirty[1:]
		write(ref)
		w.Counts.Starts += len(w.Txn.Then) - before
	}
	lazy := !b.lazyAt.IsZero() && !now.Before(b.lazyAt)
	sum := len(w.Txn.Then)
	for n := len(b.slow); lazy && n > 0; n-- {
		ref := b.slow[0]
		c := &ref.job.chunks[ref.n]
		if c.dirty && !ref.job.ended {
			age, limit := now.Sub(c.since), sum+budget.Spare
			if age >= tuning.LazyMax {
				limit = max(limit, sum+budget.Overdue)
			}
			if len(w.Txn.Then) >= limit || !holds(ref) {
				break
			}
			if age < tuning.LazyFlush { // it was written for a start meanwhile, and changed again
				b.slow = append(b.slow[1:], ref)
				continue
			}
		}
		b.slow, c.listed = b.slow[1:], false
		write(ref)
	}
	w.Counts.Progress = len(w.Txn.Then) - sum
	for limit := len(w.Txn.Then) + budget.Spare; lazy && len(b.garbage) > 0 && room(1) && len(w.Txn.Then) < limit; {
		g := b.garbage[0]
		b.garbage = b.garbage[1:]
		drop(g.Key, g.Version)
	}
	w.Counts.Garbage = len(w.Txn.Then) - sum - w.Counts.Progress
	b.urgent = len(b.ends)+len(b.dirty) > 0
	if len(b.slow)+len(b.garbage) == 0 {
		b.lazyAt = time.Time{}
	}
	if len(w.Txn.Then) == 0 {
		return nil
	}
	return w
}

// ops is how many changes the writing of a chunk takes at the least: its record must
// not hold more charges than fit it.
func (r chunkRef) ops(most int) int {
	return min(most, 1+len(r.job.chunks[r.n].pack.Charges)/(tuning.DetachChargesMax+1))
}

// bytes is what the writing of a chunk takes at the most, in bytes.
func (r chunkRef) bytes() int {
	c := &r.job.chunks[r.n]
	tasks := min(tuning.ChunkTasks, len(r.job.Tasks)-r.n*tuning.ChunkTasks)
	return tuning.EntryBytes*tasks + tuning.ChargeBytes*len(c.pack.Charges) + tuning.RecordBytes
}

// sort puts what waits to be written in the order of the jobs' priorities, so
// that starts of urgent work do not wait behind hundreds of tiny jobs: starts before ends, and
// cancellations, which users wait for, behind the starts of the highest priority only.
func (b *Store) sort() {
	slices.SortStableFunc(b.ends, func(x, y *Job) int { return cmp.Compare(y.endLevel(), x.endLevel()) })
	// What is about to be dropped with its job needs no writing.
	b.dirty = slices.DeleteFunc(b.dirty, func(r chunkRef) bool { return r.job.ending })
	slices.SortStableFunc(b.dirty, func(x, y chunkRef) int { return cmp.Compare(y.job.Priority.Level(), x.job.Priority.Level()) })
}

// endLevel is the priority of a job's end. Cancellations that came together used to hold up the starts of
// production work: each takes three changes, and its tasks are being stopped already.
func (j *Job) endLevel() int {
	if j.cancelWanted {
		return wire.PriorityProduction.Level()
	}
	return j.Priority.Level()
}

// endFirst tells whether the first end goes before the first start.
func (b *Store) endFirst() bool {
	return len(b.dirty) == 0 || len(b.ends) > 0 && b.ends[0].endLevel() > b.dirty[0].job.Priority.Level()
}

func (j *Job) encodeChunk(n int, meter bool) (json.RawMessage, []*Allocation) {
	var r chunkRecord
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
				c.meter(&e, t.Allocation)
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
	if r.Base = c.base; len(c.pack.Charges)+len(c.pack.Kinds) > 0 {
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
			b.dirty = append(b.dirty, ref)
			b.urgent = true
		case c.dirty:
			b.list(ref)
		}
	}
	for _, left := range w.lefts {
		if left.Version == 0 {
			left.Version = revision
		}
		b.lefts = append(b.lefts, left)
	}
	for _, p := range w.places {
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
			b.notify(j, e.state)
		}
	}
	return start, over
}

func (b *Store) notify(j *Job, s wire.JobState) {
	for _, fn := range j.waiters {
		fn(s)
	}
	j.waiters = nil
}
