// Package jobs keeps the accepted jobs: their tasks, where each task may be,
// and the records of all that in the state service.
//
// The Book belongs to the leader's loop and is not safe for concurrent use.
package jobs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// TaskState is what the book knows of a task.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Placed
	Done
)

// Task is one task of a job.
type Task struct {
	State   TaskState
	Attempt uint64 // the last attempt used
	Place   *Place // where it may be, while placed
}

// Stop is the wish that a placed task ends.
type Stop struct {
	GraceS float64 // time to save
}

// Place is a machine on which a task may be. It lasts from the decision until
// the task is proven gone from there.
type Place struct {
	Job       *Job
	Index     int
	Attempt   uint64
	Machine   string
	Session   uint64
	Zone      string
	Committed bool // the record that names it is stored: it may be started
	Removed   bool // proven gone, or given up before it was ever started
	Stop      *Stop
	State     wire.TaskState // as reported; empty: not yet
	At        time.Time      // when it was placed (or found, by a new leader)
	Running   time.Time      // when it was first reported running
}

// Task names the task.
func (p *Place) Task() wire.TaskID { return wire.TaskID{Job: p.Job.ID, Index: p.Index} }

type chunk struct {
	version uint64
	dirty   bool
	urgent  bool // it holds a place that waits to be stored before its start
	writing bool
}

// Job is a live job.
type Job struct {
	wire.Job
	AcceptedAt time.Time // by the time of day
	Tasks      []Task
	Done       int
	Placed     int
	WaitSince  time.Time // since when some task of it waits without a break
	PauseUntil time.Time // no task is placed before, after failures
	MakingRoom time.Time // until then, what was stopped for it is on its way out
	Errors     int
	Tries      int                  // in vain, since a task of it last worked
	Avoid      map[string]time.Time // machines on which a task of it failed, until when

	version      uint64 // of the stored job
	atMS         int64
	chunks       []chunk
	cancelWanted bool
	cancelled    bool // stored
	ending       bool // its end is being written
	ended        bool // stored as done, or dropped
	first        int  // no task before this index waits
	waiters      []func(wire.JobState)
	zones        map[string]int
}

// Waiting is how many tasks wait to be placed.
func (j *Job) Waiting() int { return len(j.Tasks) - j.Done - j.Placed }

// Open tells whether tasks of the job may be started.
func (j *Job) Open() bool { return !j.cancelWanted && !j.cancelled && !j.ended }

// Cancelled tells whether the job's cancellation is stored or wanted.
func (j *Job) Cancelled() bool { return j.cancelWanted || j.cancelled }

// Zones is how many tasks of the job may be in each zone.
func (j *Job) Zones() map[string]int { return j.zones }

// Status is what the job's user may be told now.
func (j *Job) Status() wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, State: wire.StateQueued, Done: j.Done}
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil && (p.State == wire.TaskRunning || p.State == wire.TaskSaving) {
			s.Running++
		}
	}
	switch {
	case j.cancelled:
		s.State, s.Running = wire.StateCancelled, 0
	case s.Running > 0:
		s.State = wire.StateRunning
	}
	return s
}

// NextWaiting gives the first waiting task at or behind an index, or -1.
func (j *Job) NextWaiting(from int) int {
	for i := max(from, j.first); i < len(j.Tasks); i++ {
		if j.Tasks[i].State == Waiting {
			return i
		}
		if i == j.first {
			j.first++
		}
	}
	return -1
}

// Book holds the live jobs.
type Book struct {
	Jobs map[string]*Job

	txnOps  int
	dirty   []chunkRef // urgent ones, in the order in which they became so
	slow    []chunkRef // the others, in the order in which they became dirty
	ends    []*Job
	garbage []wire.Condition // records of jobs that are over
	lazyAt  time.Time        // when the oldest lazy change wants to be written
	urgent  bool
}

type chunkRef struct {
	job *Job
	n   int
}

// NewBook makes an empty book; txnOps is how many changes one transaction may hold.
func NewBook(txnOps int) *Book { return &Book{Jobs: map[string]*Job{}, txnOps: txnOps} }

// LoadJob takes in a stored job; it is known already if it was seen before.
func (b *Book) LoadJob(item wire.Item, now, wall time.Time) (*Job, error) {
	var r Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, fmt.Errorf("job record %s: %w", item.Key, err)
	}
	if r.Job.Tasks < 1 || r.Job.Tasks > wire.MaxTasks || KeyJob(r.Job.ID) != item.Key {
		return nil, fmt.Errorf("job record %s does not hold its job", item.Key)
	}
	if j := b.Jobs[r.Job.ID]; j != nil {
		return j, nil
	}
	at := time.UnixMilli(r.AtMS)
	// The wait is measured by the steady clock; what passed before we knew of
	// the job comes from the time of day, which may be a little off.
	waited := max(0, wall.Sub(at))
	j := &Job{
		Job: r.Job, AcceptedAt: at, Tasks: make([]Task, r.Job.Tasks), WaitSince: now.Add(-waited),
		version: item.Version, atMS: r.AtMS, cancelled: r.Cancelled,
		chunks: make([]chunk, (r.Job.Tasks+tuning.ChunkTasks-1)/tuning.ChunkTasks),
		zones:  map[string]int{}, Avoid: map[string]time.Time{},
	}
	b.Jobs[j.ID] = j
	return j, nil
}

// LoadRun takes in a stored progress record of a job loaded before, and
// returns the places in which tasks of it may be.
func (b *Book) LoadRun(item wire.Item, now time.Time) ([]*Place, error) {
	id, n, ok := parseRunKey(item.Key)
	if !ok {
		return nil, fmt.Errorf("progress record %s: malformed key", item.Key)
	}
	j := b.Jobs[id]
	if j == nil {
		// Left behind by a job that is over: the leader that ended it could
		// not drop all its records in one transaction.
		b.garbage = append(b.garbage, wire.Condition{Key: item.Key, Version: item.Version})
		b.lazy(now)
		return nil, nil
	}
	var r chunkRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, fmt.Errorf("progress record %s: %w", item.Key, err)
	}
	done, err := decodeRanges(r.Done)
	if err != nil || n >= len(j.chunks) {
		return nil, fmt.Errorf("progress record %s is malformed", item.Key)
	}
	j.chunks[n].version = item.Version
	if r.Tries > 0 {
		j.Tries = r.Tries
		j.PauseUntil = now.Add(tryPause(j.Tries))
	}
	for _, i := range done {
		if i < len(j.Tasks) && j.Tasks[i].State != Done {
			j.Tasks[i].State = Done
			j.Done++
		}
	}
	var places []*Place
	for _, e := range r.Tasks {
		if e.Index < 0 || e.Index >= len(j.Tasks) || j.Tasks[e.Index].State == Done {
			continue
		}
		t := &j.Tasks[e.Index]
		t.Attempt = e.Attempt
		if e.Machine == "" {
			continue
		}
		p := &Place{Job: j, Index: e.Index, Attempt: e.Attempt, Machine: e.Machine, Session: e.Session, Zone: e.Zone, Committed: true, At: now}
		t.State, t.Place = Placed, p
		j.Placed++
		j.zones[e.Zone]++
		places = append(places, p)
	}
	return places, nil
}

// Loaded is called when all records are in: what they imply is queued for writing.
func (b *Book) Loaded() {
	for _, j := range b.Jobs {
		b.checkEnd(j)
	}
}

// Place decides that a waiting task goes to a machine. It may be started once
// the place is committed.
func (b *Book) Place(j *Job, index int, machine, zone string, session uint64, now time.Time) *Place {
	t := &j.Tasks[index]
	t.Attempt++
	p := &Place{Job: j, Index: index, Attempt: t.Attempt, Machine: machine, Zone: zone, Session: session, At: now}
	t.State, t.Place = Placed, p
	j.Placed++
	j.zones[zone]++
	b.touch(j, index/tuning.ChunkTasks)
	b.hurry(j, index/tuning.ChunkTasks)
	return p
}

func (b *Book) unplace(p *Place) *Task {
	t := &p.Job.Tasks[p.Index]
	p.Removed = true
	p.Job.zones[p.Zone]--
	t.Place = nil
	p.Job.Placed--
	b.touch(p.Job, p.Index/tuning.ChunkTasks)
	return t
}

// Finished records that a task has completed in its place.
func (b *Book) Finished(p *Place, now time.Time) {
	if p.Removed {
		return
	}
	b.unplace(p).State = Done
	p.Job.Done++
	b.lazy(now)
	b.checkEnd(p.Job)
}

// Gone records that a task is proven gone from its place without completing; it waits again.
func (b *Book) Gone(p *Place, now time.Time) {
	if p.Removed {
		return
	}
	j := p.Job
	if j.Waiting() == 0 {
		j.WaitSince = now
	}
	b.unplace(p).State = Waiting
	j.first = min(j.first, p.Index)
	b.lazy(now)
	b.checkEnd(j)
}

// Cancel wants a job cancelled; fn is told the final state once it is stored.
func (b *Book) Cancel(j *Job, fn func(wire.JobState)) {
	if j.cancelled {
		fn(wire.StateCancelled)
		return
	}
	j.waiters = append(j.waiters, fn)
	if j.ending || j.cancelWanted {
		return // fn learns how it ends
	}
	j.cancelWanted = true
	b.queueEnd(j)
}

// checkEnd queues the end of a job whose tasks are all done, or the dropping
// of a cancelled one whose tasks are all gone.
func (b *Book) checkEnd(j *Job) {
	over := j.Done == len(j.Tasks) || j.cancelled && j.Placed == 0
	if over && !j.cancelWanted {
		b.queueEnd(j)
	}
}

func (b *Book) queueEnd(j *Job) {
	if j.ending || j.ended {
		return
	}
	j.ending = true
	b.ends = append(b.ends, j)
	b.urgent = true
}

func (b *Book) touch(j *Job, n int) {
	if c := &j.chunks[n]; !c.dirty {
		c.dirty = true
		if !c.writing {
			b.slow = append(b.slow, chunkRef{j, n})
		}
	}
}

// hurry has a dirty chunk written before those that nobody waits for.
func (b *Book) hurry(j *Job, n int) {
	if c := &j.chunks[n]; !c.urgent {
		c.urgent = true
		if !c.writing {
			b.dirty = append(b.dirty, chunkRef{j, n})
			b.urgent = true
		}
	}
}

func (b *Book) lazy(now time.Time) {
	if b.lazyAt.IsZero() {
		b.lazyAt = now.Add(tuning.LazyFlush)
	}
}

// Clean tells whether the stored record of a task says what the book says.
func (b *Book) Clean(j *Job, index int) bool {
	c := &j.chunks[index/tuning.ChunkTasks]
	return !c.dirty && !c.writing
}

// Batch is one transaction of the book's changes.
type Batch struct {
	Txn    wire.Txn
	chunks []chunkRef
	places []*Place
	ends   []endRef
}

type endRef struct {
	job   *Job
	state wire.JobState // the state that it stores; empty: a cancelled job's records are dropped
}

// Over is a job that came to a final state.
type Over struct {
	Job   *Job
	State wire.JobState
}

// Due tells whether changes should be written now.
func (b *Book) Due(now time.Time) bool {
	return b.urgent || !b.lazyAt.IsZero() && !now.Before(b.lazyAt)
}

// Take gathers the next transaction, or nil when there is nothing to write.
// Only one may be on its way at a time. What somebody waits for goes first;
// spare is how many changes that nobody waits for may go with it: finished tasks
// of large arrays would otherwise use up the limit on writes, and starts wait
// behind them.
func (b *Book) Take(now time.Time, spare int) *Batch {
	if !b.lazyAt.IsZero() && now.Sub(b.lazyAt) > tuning.LazyMax {
		spare = max(spare, tuning.LazyLeast)
	}
	w := &Batch{}
	size := 0
	guarded := map[string]bool{} // jobs whose stored record is a condition already
	room := func(ops int) bool { return len(w.Txn.Then)+ops <= b.txnOps && size < tuning.CommitBytes }
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
		if j.cancelWanted && j.Done < len(j.Tasks) {
			ref.state = wire.StateCancelled
			put(KeyEnd(j.ID), 0, mustJSON(End{State: wire.StateCancelled, Done: j.Done}))
			put(KeyJob(j.ID), j.version, mustJSON(Record{Job: j.Job, AtMS: j.atMS, Cancelled: true}))
			w.ends = append(w.ends, ref)
			guarded[j.ID] = true
			return
		}
		if !j.cancelled {
			ref.state = wire.StateDone
			put(KeyEnd(j.ID), 0, mustJSON(End{State: wire.StateDone, Done: j.Done}))
		}
		drop(KeyJob(j.ID), j.version)
		for n := range j.chunks {
			c := &j.chunks[n]
			c.dirty, c.urgent = false, false
			switch {
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
		value, places := ref.job.encodeChunk(ref.n)
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
	b.sort()
	for len(b.ends)+len(b.dirty) > 0 {
		if b.endFirst() {
			if !room(3) {
				break
			}
			end()
			continue
		}
		if !room(1) {
			break
		}
		ref := b.dirty[0]
		b.dirty = b.dirty[1:]
		write(ref)
	}
	lazy := !b.lazyAt.IsZero() && !now.Before(b.lazyAt)
	for limit := len(w.Txn.Then) + spare; lazy && len(b.slow) > 0 && room(1) && len(w.Txn.Then) < limit; {
		ref := b.slow[0]
		b.slow = b.slow[1:]
		write(ref)
	}
	for limit := len(w.Txn.Then) + spare; lazy && len(b.garbage) > 0 && room(1) && len(w.Txn.Then) < limit; {
		g := b.garbage[0]
		b.garbage = b.garbage[1:]
		drop(g.Key, g.Version)
	}
	b.urgent = len(b.ends)+len(b.dirty) > 0
	if len(b.slow)+len(b.garbage) == 0 {
		b.lazyAt = time.Time{}
	}
	if len(w.Txn.Then) == 0 {
		return nil
	}
	return w
}

// sort puts what waits to be written in the order of the jobs' priorities, so
// that starts of urgent work do not wait behind hundreds of tiny jobs: first
// cancellations, which users wait for, then starts before ends.
func (b *Book) sort() {
	slices.SortStableFunc(b.ends, func(x, y *Job) int { return cmp.Compare(y.endLevel(), x.endLevel()) })
	// What is about to be dropped with its job needs no writing.
	b.dirty = slices.DeleteFunc(b.dirty, func(r chunkRef) bool { return r.job.ending && !r.job.cancelWanted })
	slices.SortStableFunc(b.dirty, func(x, y chunkRef) int { return cmp.Compare(y.job.Priority.Level(), x.job.Priority.Level()) })
}

// endLevel is the priority of a job's end.
func (j *Job) endLevel() int {
	if j.cancelWanted {
		return math.MaxInt
	}
	return j.Priority.Level()
}

// endFirst tells whether the first end goes before the first start.
func (b *Book) endFirst() bool {
	return len(b.dirty) == 0 || len(b.ends) > 0 && b.ends[0].endLevel() > b.dirty[0].job.Priority.Level()
}

func (j *Job) encodeChunk(n int) (json.RawMessage, []*Place) {
	var r chunkRecord
	var done []int
	var places []*Place
	for i := n * tuning.ChunkTasks; i < min(len(j.Tasks), (n+1)*tuning.ChunkTasks); i++ {
		t := &j.Tasks[i]
		switch {
		case t.State == Done:
			done = append(done, i)
		case t.Place != nil:
			r.Tasks = append(r.Tasks, taskEntry{Index: i, Attempt: t.Attempt, Machine: t.Place.Machine, Session: t.Place.Session, Zone: t.Place.Zone})
			if !t.Place.Committed {
				places = append(places, t.Place)
			}
		case t.Attempt > 0:
			r.Tasks = append(r.Tasks, taskEntry{Index: i, Attempt: t.Attempt})
		}
	}
	r.Done = encodeRanges(done)
	if n == 0 {
		r.Tries = j.Tries
	}
	return mustJSON(r), places
}

// Written takes in that a batch is stored at a revision. It returns the places
// that may now be started, and the jobs that came to a final state.
func (b *Book) Written(w *Batch, revision uint64) (start []*Place, over []Over) {
	for _, ref := range w.chunks {
		c := &ref.job.chunks[ref.n]
		c.version, c.writing = revision, false
		switch {
		case c.urgent:
			b.dirty = append(b.dirty, ref)
			b.urgent = true
		case c.dirty:
			b.slow = append(b.slow, ref)
		}
	}
	for _, p := range w.places {
		p.Committed = true
		if !p.Removed {
			start = append(start, p)
		}
	}
	for _, e := range w.ends {
		j := e.job
		j.ending = false
		if e.state == wire.StateCancelled {
			j.cancelled, j.cancelWanted, j.version = true, false, revision
			over = append(over, Over{j, e.state})
			b.notify(j, e.state)
			b.checkEnd(j)
			continue
		}
		j.ended = true
		delete(b.Jobs, j.ID)
		if e.state == wire.StateDone {
			over = append(over, Over{j, e.state})
			b.notify(j, e.state)
		}
	}
	return start, over
}

func (b *Book) notify(j *Job, s wire.JobState) {
	for _, fn := range j.waiters {
		fn(s)
	}
	j.waiters = nil
}
