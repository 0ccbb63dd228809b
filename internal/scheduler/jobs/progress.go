package jobs

import (
	"encoding/json"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// progressChunk is the progress of TasksPerChunk consecutive tasks of a job, which share one stored record, and
// the state of writing that record.
type progressChunk struct {
	version     uint64      // of the stored record; 0: no record is stored
	dirty       bool        // the stored record is out of date
	dirtySince  time.Time   // valid while dirty
	inLazyQueue bool        // the chunk is in writeQueue.lazy
	urgent      bool        // somebody waits for the write, mostly because a newly allocated task cannot start before it
	writing     bool        // the record is in a batch whose commit is not confirmed yet
	pack        charge.Pack // charges of ended attempts, and the machine kinds that entries refer to
	baseMS      int64       // time of day that the record's times are relative to, in Unix milliseconds; 0: unset
}

// chunkRef refers to a progress chunk of a job.
type chunkRef struct {
	job   *Job
	index int // in Job.chunks
}

// chunkRefOf returns the chunk that contains a task, given by its index.
func chunkRefOf(j *Job, task int) chunkRef { return chunkRef{j, task / tuning.TasksPerChunk} }

func (r chunkRef) chunk() *progressChunk { return &r.job.chunks[r.index] }

func (r chunkRef) key() string { return keyProgress(r.job.ID, r.index) }

// taskRange returns the range of the chunk's task indexes; to is exclusive.
func (r chunkRef) taskRange() (from, to int) {
	from = r.index * tuning.TasksPerChunk
	return from, min(len(r.job.Tasks), from+tuning.TasksPerChunk)
}

// encode returns the chunk's encoded record and the allocations in it that are not committed yet.
func (r chunkRef) encode(metered bool) (json.RawMessage, []*Allocation) {
	c := r.chunk()
	record, uncommitted := r.encodeTasks(metered)
	if r.index == 0 {
		record.FailureWaves = r.job.FailureWaves
	}
	// These fields are set last: encoding the entries may set the base time and add machine kinds.
	if record.BaseMS = c.baseMS; len(c.pack.Charges)+len(c.pack.Kinds) > 0 {
		record.Charges = charge.EncodePack(&c.pack)
	}
	return wire.EncodeRecord(record), uncommitted
}

// encodeTasks returns a record with the chunk's tasks, and the allocations in it that are not committed yet.
func (r chunkRef) encodeTasks(metered bool) (record progressRecord, uncommitted []*Allocation) {
	c := r.chunk()
	var done []int
	from, to := r.taskRange()
	for i := from; i < to; i++ {
		t := &r.job.Tasks[i]
		a := t.Allocation
		switch {
		case t.State == Done:
			done = append(done, i)
		case a != nil:
			e := taskEntry{Index: i, Attempt: t.Attempt, Machine: a.Machine, Incarnation: a.Incarnation, Zone: a.Zone}
			if metered {
				c.encodeTimes(&e, a)
			}
			record.Tasks = append(record.Tasks, e)
			if !a.Committed {
				uncommitted = append(uncommitted, a)
			}
		case t.Attempt > 0:
			record.Tasks = append(record.Tasks, taskEntry{Index: i, Attempt: t.Attempt})
		}
	}
	record.Done = encodeRanges(done)
	return record, uncommitted
}

// encodeTimes adds to a stored entry the values from which the charge of its attempt is computed. Times are
// stored as milliseconds after the record's base, and as at least 1, since 0 means that the time is absent.
func (c *progressChunk) encodeTimes(e *taskEntry, a *Allocation) {
	if c.baseMS == 0 {
		c.baseMS = a.AllocatedAt.UnixMilli() - 1
	}
	e.AllocatedMS = max(1, a.AllocatedAt.UnixMilli()-c.baseMS)
	if !a.ChargedFrom.IsZero() {
		e.ChargedFromMS = max(1, a.ChargedFrom.UnixMilli()-c.baseMS)
		a.chargedFromStored = true
	}
	e.ChargedParts = a.ChargedParts
	if a.Kind.Type != "" {
		e.Kind = c.pack.KindIndex(a.Kind) + 1
	}
}

// decodeTimes is the reverse of encodeTimes.
func (c *progressChunk) decodeTimes(e *taskEntry, a *Allocation) {
	if e.AllocatedMS > 0 {
		a.AllocatedAt = time.UnixMilli(c.baseMS + e.AllocatedMS)
	}
	if e.ChargedFromMS > 0 {
		a.ChargedFrom, a.chargedFromStored = time.UnixMilli(c.baseMS+e.ChargedFromMS), true
	}
	a.ChargedParts = e.ChargedParts
	if e.Kind > 0 && e.Kind <= len(c.pack.Kinds) {
		a.Kind = c.pack.Kinds[e.Kind-1]
	}
}
