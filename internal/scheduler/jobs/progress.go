package jobs

import (
	"encoding/json"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// progressChunk is the progress of ChunkTasks tasks of a job that share one stored
// record, and what of it is to be written.
type progressChunk struct {
	version    uint64 // of the stored record; 0: there is none
	dirty      bool   // memory holds more than the record
	dirtySince time.Time
	queued     bool        // it is in the store's lazy queue
	urgent     bool        // an allocation in it waits to be stored before its task starts
	writing    bool        // the record is in a batch that is not committed yet
	pack       charge.Pack // charges of ended attempts, and the kinds of machines that entries name
	baseMS     int64       // times in the record count from here, in milliseconds
}

// chunkRef names a progress chunk.
type chunkRef struct {
	job *Job
	n   int
}

// chunkOf is the chunk that holds a task.
func chunkOf(j *Job, task int) chunkRef { return chunkRef{j, task / tuning.ChunkTasks} }

func (r chunkRef) chunk() *progressChunk { return &r.job.chunks[r.n] }

func (r chunkRef) key() string { return keyProgress(r.job.ID, r.n) }

// tasks are the indexes of the chunk's tasks, from the first to behind the last.
func (r chunkRef) tasks() (from, to int) {
	from = r.n * tuning.ChunkTasks
	return from, min(len(r.job.Tasks), from+tuning.ChunkTasks)
}

// encode returns the chunk's record and the allocations in it that are not committed yet.
func (r chunkRef) encode(metered bool) (json.RawMessage, []*Allocation) {
	c := r.chunk()
	rec, uncommitted := r.encodeTasks(metered)
	if r.n == 0 {
		rec.FailedWaves = r.job.FailedWaves
	}
	// Only now: the entries may have set the base and added kinds.
	if rec.BaseMS = c.baseMS; len(c.pack.Charges)+len(c.pack.Kinds) > 0 {
		rec.Charges = charge.EncodePack(&c.pack)
	}
	return wire.EncodeRecord(rec), uncommitted
}

func (r chunkRef) encodeTasks(metered bool) (rec progressRecord, uncommitted []*Allocation) {
	c := r.chunk()
	var done []int
	from, to := r.tasks()
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
			rec.Tasks = append(rec.Tasks, e)
			if !a.Committed {
				uncommitted = append(uncommitted, a)
			}
		case t.Attempt > 0:
			rec.Tasks = append(rec.Tasks, taskEntry{Index: i, Attempt: t.Attempt})
		}
	}
	rec.Done = encodeRanges(done)
	return rec, uncommitted
}

// encodeTimes adds what the charge of an attempt will count from to its stored entry.
// Times are stored as milliseconds from the record's base, and at least 1.
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
