// Package jobs keeps the accepted jobs: their tasks, where each task may be,
// and the records of all that in the state service.
//
// The Book belongs to the leader's loop and is not safe for concurrent use.
package jobs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// TaskState is what the book knows of a task.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Allocated
	Done
)

// Task is one task of a job.
type Task struct {
	State      TaskState
	Attempt    uint64      // the last attempt used
	Allocation *Allocation // where it may be, while placed
}

// StopRequest is the wish that a placed task ends.
type StopRequest struct {
	GraceS float64        // time to save
	Reason charge.Outcome // why, for its charge
}

// Allocation is a machine on which a task may be. It lasts from the decision until
// the task is proven gone from there.
type Allocation struct {
	Job          *Job
	Index        int
	Attempt      uint64
	Machine      string
	Incarnation  uint64
	Zone         string
	Committed    bool // the record that names it is stored: it may be started
	Removed      bool // proven gone, or given up before it was ever started
	Stop         *StopRequest
	State        wire.TaskState // as reported; empty: not yet
	KnownSince   time.Time      // when it was placed (or found, by a new leader)
	RunningSince time.Time      // when it was first reported running
	StartSentAt  time.Time      // when an answer to a report last held its start

	// What its charge counts from; kept only while charges are (Book.Meter).
	Kind         charge.Kind
	PlacedAt     time.Time // when it was placed, by the time of day, whoever led then
	BeganAt      time.Time // when it was first seen to run, or its day began
	ChargedParts int       // how many parts of it are charged already
	beganStored  bool
	Inherited    bool // a former leader placed it
}

// Task names the task.
func (p *Allocation) Task() wire.TaskID { return wire.TaskID{Job: p.Job.ID, Index: p.Index} }

type progressChunk struct {
	version    uint64
	dirty      bool
	dirtySince time.Time // since when it is dirty
	queued     bool      // it is in the book's slow list
	urgent     bool      // it holds a place that waits to be stored before its start
	writing    bool
	pack       charge.Pack // charges of ended attempts, and the kinds of machines that entries name
	baseMS     int64       // times in the record count from here
}

// Job is a live job.
type Job struct {
	wire.Job
	AcceptedAt      time.Time // by the time of day
	Tasks           []Task
	Done            int
	Allocated       int
	WaitingSince    time.Time // since when some task of it waits without a break
	EnqueuedAt      time.Time // when it was accepted, by the steady clock
	BackoffUntil    time.Time // no task is placed before, after failures
	PreemptingUntil time.Time // until then, what was stopped for it is on its way out
	Failures        int
	FailedWaves     int                  // in vain, since a task of it last worked
	AvoidMachines   map[string]time.Time // machines on which a task of it failed, until when
	runs            []CompletedRun       // of its last completed tasks
	medianRunS      float64              // the median of theirs, from SeenRuns on

	version      uint64 // of the stored job
	atMS         int64
	chunks       []progressChunk
	cancelWanted bool
	cancelled    bool // stored
	ending       bool // its end is being written, or waits for that
	endSent      bool // a transaction with its end was made
	ended        bool // stored as done, or dropped
	firstWaiting int  // no task before this index waits
	waiters      []func(wire.JobState)
	zones        map[string]int
}

// CompletedRun is how long a completed task ran, and where.
type CompletedRun struct {
	Machine, Type string
	Seconds       float64
}

// RecordRun notes a completed task, and gives how long the last others took on other machines of the type: another type
// may be slower as it is.
func (j *Job) RecordRun(r CompletedRun) (elsewhere []float64) {
	for _, o := range j.runs {
		if o.Machine != r.Machine && o.Type == r.Type {
			elsewhere = append(elsewhere, o.Seconds)
		}
	}
	if j.runs = append(j.runs, r); len(j.runs) > tuning.SlowRuns {
		j.runs = j.runs[1:]
	}
	if len(j.runs) >= tuning.SeenRuns {
		sorted := slices.SortedFunc(slices.Values(j.runs), func(a, b CompletedRun) int { return cmp.Compare(a.Seconds, b.Seconds) })
		j.medianRunS = sorted[len(sorted)/2].Seconds
	}
	return elsewhere
}

// ExpectedRunS is for how long a task of the job is expected to run, in seconds: as long as those that completed, whose run
// times differ little within a job (seen is true then), or else as its owner says.
func (j *Job) ExpectedRunS() (s float64, seen bool) {
	if len(j.runs) < tuning.SeenRuns {
		return j.EstimateS, false
	}
	return j.medianRunS, true
}

// Waiting is how many tasks wait to be placed.
func (j *Job) Waiting() int { return len(j.Tasks) - j.Done - j.Allocated }

// CanStart tells whether tasks of the job may be started.
func (j *Job) CanStart() bool { return !j.cancelWanted && !j.cancelled && !j.ended }

// Cancelled tells whether the job's cancellation is stored or wanted.
func (j *Job) Cancelled() bool { return j.cancelWanted || j.cancelled }

// EndSent tells whether a transaction that ends the job was made: if it is on its way, the end may be stored already.
func (j *Job) EndSent() bool { return j.endSent }

// AllocationsByZone is how many tasks of the job may be in each zone.
func (j *Job) AllocationsByZone() map[string]int { return j.zones }

// Status is what the job's user may be told now.
func (j *Job) Status() wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, State: wire.StateQueued, Done: j.Done}
	for i := range j.Tasks {
		if p := j.Tasks[i].Allocation; p != nil && (p.State == wire.TaskRunning || p.State == wire.TaskSaving) {
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
	for i := max(from, j.firstWaiting); i < len(j.Tasks); i++ {
		if j.Tasks[i].State == Waiting {
			return i
		}
		if i == j.firstWaiting {
			j.firstWaiting++
		}
	}
	return -1
}

// StopAll wants all places of a job empty, with no time to save, and gives them.
func (j *Job) StopAll(why charge.Outcome) []*Allocation {
	var places []*Allocation
	for i := range j.Tasks {
		if p := j.Tasks[i].Allocation; p != nil {
			p.Stop = &StopRequest{Reason: why}
			places = append(places, p)
		}
	}
	return places
}

// Store holds the live jobs.
type Store struct {
	Jobs map[string]*Job

	txnOps       int
	urgentQueue  []chunkRef // urgent ones, in the order in which they became so
	lazyQueue    []chunkRef // the others, in the order in which they became dirty
	endQueue     []*Job
	staleRecords []wire.Condition // records of jobs that are over
	flushAt      time.Time        // when the oldest lazy change wants to be written
	writeNow     bool

	// Metered tells whether what tasks take is charged: times are stored then.
	Metered      bool
	newlyRunning []*Allocation // seen to run, in that order
	detached     []DetachedCharges

	damaged []error
}

type chunkRef struct {
	job *Job
	n   int
}

// NewStore makes an empty book; txnOps is how many changes one transaction may hold.
func NewStore(txnOps int) *Store { return &Store{Jobs: map[string]*Job{}, txnOps: txnOps} }

// LoadJob takes in a stored job; it is known already if it was seen before.
func (b *Store) LoadJob(item wire.Item, now, wall time.Time) (*Job, error) {
	var r JobRecord
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
		Job: r.Job, AcceptedAt: at, Tasks: make([]Task, r.Job.Tasks), WaitingSince: now.Add(-waited), EnqueuedAt: now.Add(-waited),
		version: item.Version, atMS: r.AtMS, cancelled: r.Cancelled,
		chunks: make([]progressChunk, (r.Job.Tasks+tuning.ChunkTasks-1)/tuning.ChunkTasks),
		zones:  map[string]int{}, AvoidMachines: map[string]time.Time{},
	}
	for n := range j.chunks {
		j.chunks[n].pack.Job, j.chunks[n].pack.Brief = j.ID, BriefOf(&j.Job)
	}
	b.Jobs[j.ID] = j
	return j, nil
}

// LoadProgress takes in a stored progress record of a job loaded before, and
// returns the places in which tasks of it may be.
func (b *Store) LoadProgress(item wire.Item, now time.Time) ([]*Allocation, error) {
	id, n, ok := parseProgressKey(item.Key)
	if !ok {
		return nil, fmt.Errorf("progress record %s: malformed key", item.Key)
	}
	var r progressRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, fmt.Errorf("progress record %s: %w", item.Key, err)
	}
	j := b.Jobs[id]
	if j == nil {
		if len(r.Charges) > 0 {
			b.LoadDetached(item)
			return nil, nil
		}
		// Left behind by a job that is over: the leader that ended it could
		// not drop all its records in one transaction.
		b.staleRecords = append(b.staleRecords, wire.Condition{Key: item.Key, Version: item.Version})
		b.scheduleFlush(now)
		return nil, nil
	}
	done, err := decodeRanges(r.Done)
	if err != nil || n >= len(j.chunks) {
		return nil, fmt.Errorf("progress record %s is malformed", item.Key)
	}
	c := &j.chunks[n]
	c.version, c.baseMS = item.Version, r.Base
	if err := c.loadCharges(r.Charges); err != nil {
		b.damaged = append(b.damaged, fmt.Errorf("progress record %s: %w", item.Key, err))
	}
	if r.Tries > 0 {
		j.FailedWaves = r.Tries
		j.BackoffUntil = now.Add(backoff(j.FailedWaves))
	}
	for _, i := range done {
		if i < len(j.Tasks) && j.Tasks[i].State != Done {
			j.Tasks[i].State = Done
			j.Done++
		}
	}
	var places []*Allocation
	for _, e := range r.Tasks {
		if e.Index < 0 || e.Index >= len(j.Tasks) || j.Tasks[e.Index].State == Done {
			continue
		}
		t := &j.Tasks[e.Index]
		t.Attempt = e.Attempt
		if e.Machine == "" {
			continue
		}
		p := &Allocation{Job: j, Index: e.Index, Attempt: e.Attempt, Machine: e.Machine, Incarnation: e.Session, Zone: e.Zone, Committed: true, KnownSince: now, PlacedAt: now, Inherited: true}
		c.decodeTimes(&e, p)
		t.State, t.Allocation = Allocated, p
		j.Allocated++
		j.zones[e.Zone]++
		places = append(places, p)
	}
	return places, nil
}

// FinishLoading is called when all records are in: what they imply is queued for writing.
func (b *Store) FinishLoading() {
	for _, j := range b.Jobs {
		b.checkEnd(j)
	}
}

// Allocate decides that a waiting task goes to a machine. It may be started once
// the place is committed.
func (b *Store) Allocate(j *Job, index int, machine, zone string, session uint64, now time.Time) *Allocation {
	t := &j.Tasks[index]
	t.Attempt++
	p := &Allocation{Job: j, Index: index, Attempt: t.Attempt, Machine: machine, Zone: zone, Incarnation: session, KnownSince: now, PlacedAt: now}
	t.State, t.Allocation = Allocated, p
	j.Allocated++
	j.zones[zone]++
	b.markDirty(j, index/tuning.ChunkTasks, now)
	b.markUrgent(j, index/tuning.ChunkTasks)
	return p
}

func (b *Store) release(p *Allocation, now time.Time) *Task {
	t := &p.Job.Tasks[p.Index]
	p.Removed = true
	p.Job.zones[p.Zone]--
	t.Allocation = nil
	p.Job.Allocated--
	b.markDirty(p.Job, p.Index/tuning.ChunkTasks, now)
	return t
}

// MarkDone records that a task has completed in its place.
func (b *Store) MarkDone(p *Allocation, now time.Time) {
	if p.Removed {
		return
	}
	b.release(p, now).State = Done
	p.Job.Done++
	b.scheduleFlush(now)
	b.checkEnd(p.Job)
}

// MarkLost records that a task is proven gone from its place without completing; it waits again.
func (b *Store) MarkLost(p *Allocation, now time.Time) {
	if p.Removed {
		return
	}
	j := p.Job
	if j.Waiting() == 0 {
		j.WaitingSince = now
	}
	b.release(p, now).State = Waiting
	j.firstWaiting = min(j.firstWaiting, p.Index)
	b.scheduleFlush(now)
	b.checkEnd(j)
}

// Cancel wants a job cancelled; fn is told the final state once it is stored.
// That is stored once all its tasks are gone: until then no more are started.
func (b *Store) Cancel(j *Job, fn func(wire.JobState)) {
	if j.cancelled {
		fn(wire.StateCancelled)
		return
	}
	j.waiters = append(j.waiters, fn)
	if j.ending || j.cancelWanted {
		return // fn learns how it ends
	}
	j.cancelWanted = true
	b.checkEnd(j)
}

// checkEnd queues the end of a job whose tasks are all done, the cancellation of
// one that is to be cancelled and whose tasks are all gone, or the dropping of one that was.
func (b *Store) checkEnd(j *Job) {
	if j.Done == len(j.Tasks) || (j.cancelled || j.cancelWanted) && j.Allocated == 0 {
		b.queueEnd(j)
	}
}

func (b *Store) queueEnd(j *Job) {
	if j.ending || j.ended {
		return
	}
	j.ending = true
	b.endQueue = append(b.endQueue, j)
	b.writeNow = true
}

func (b *Store) markDirty(j *Job, n int, now time.Time) {
	if c := &j.chunks[n]; !c.dirty {
		c.dirty, c.dirtySince = true, now
		if !c.writing {
			b.queueLazily(chunkRef{j, n})
		}
	}
}

// queueLazily has a dirty chunk written when there is room to spare.
func (b *Store) queueLazily(ref chunkRef) {
	if c := &ref.job.chunks[ref.n]; !c.queued {
		c.queued = true
		b.lazyQueue = append(b.lazyQueue, ref)
	}
}

// markUrgent has a dirty chunk written before those that nobody waits for.
func (b *Store) markUrgent(j *Job, n int) {
	if c := &j.chunks[n]; !c.urgent {
		c.urgent = true
		if !c.writing {
			b.urgentQueue = append(b.urgentQueue, chunkRef{j, n})
			b.writeNow = true
		}
	}
}

func (b *Store) scheduleFlush(now time.Time) {
	if b.flushAt.IsZero() {
		b.flushAt = now.Add(tuning.LazyFlush)
	}
}

// FlushSoon has a task's record written soon, since a worker holds many ends that it may not forget: its
// report must not outgrow what a request may be.
func (b *Store) FlushSoon(j *Job, index int) {
	if n := index / tuning.ChunkTasks; !j.ending && j.chunks[n].dirty {
		b.markUrgent(j, n)
	}
}

// Persisted tells whether the stored record of a task says what the book says.
func (b *Store) Persisted(j *Job, index int) bool {
	c := &j.chunks[index/tuning.ChunkTasks]
	// While the job's end is on its way nothing tells of its last tasks: workers that forgot
	// them in an outage had the next leader run them again.
	return !c.dirty && !c.writing && !j.ending
}
