package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Charges ride in the records that are written anyway. While a job is live, the
// charges of its ended attempts lie in the progress record of their chunk: the
// write that records an attempt's end records its charge. One that grows long is
// moved, in such a write, to a record of its own, which bears the name of its first
// attempt and must not exist yet. When the job is over, its progress records that hold
// charges stay behind instead of being dropped. What stays is a Left: nothing of it
// changes any more, until somebody takes it in and drops it in one transaction.
//
// So a charge lies in exactly one record at any time, and each step of it is
// guarded on the version of the record that it comes from.

// PrefixDetached holds charges that were moved out of progress records.
const PrefixDetached = "left/"

func keyDetached(job string, c *charge.Charge) string {
	return fmt.Sprintf("%s%s/%d.%d.%d", PrefixDetached, job, c.Task, c.Attempt, c.Part)
}

// DetachedCharges is a record of charges that the book no longer touches.
type DetachedCharges struct {
	Key     string
	Version uint64
	Pack    *charge.Pack
}

// detachedRecord is how a Left is stored; progress records have the same field.
type detachedRecord struct {
	Charges []byte `json:"c"`
}

// BriefOf is what the charges of a job have in common.
func BriefOf(j *wire.Job) charge.Brief {
	return charge.Brief{
		Team: j.Team, Account: j.Account, Class: j.Class,
		Cores: charge.InMilli(j.CPUs), GPUs: charge.InMilli(j.GPUs), Memory: charge.InMilli(j.MemoryGB),
	}
}

// AddCharges notes what an attempt took, or parts of it. It must be called in the
// step in which its end, or the turn of its day, is taken in.
func (b *Store) AddCharges(p *Allocation, parts []charge.Charge, now time.Time) {
	n := p.Index / tuning.ChunkTasks
	c := &p.Job.chunks[n]
	for _, part := range parts {
		part.Kind = c.pack.KindIndex(p.Kind)
		c.pack.Charges = append(c.pack.Charges, part)
	}
	b.markDirty(p.Job, n, now)
	b.scheduleFlush(now)
}

// MarkRunning takes in that a task was seen to run. Its time is stored with the next
// write of its record, or by itself if it runs on for BeganAfter: what ends sooner
// costs no write.
func (b *Store) MarkRunning(p *Allocation, now time.Time) {
	if b.Metered && p.BeganAt.IsZero() {
		p.BeganAt = now
		if p.Inherited {
			// It may have run since before this leader: that it was placed is all that
			// is known. A start that equals the placing says so.
			p.BeganAt = p.PlacedAt
		}
		b.newlyRunning = append(b.newlyRunning, p)
	}
}

// flushLongRunning has the times of tasks that run on written.
func (b *Store) flushLongRunning(now time.Time) {
	for len(b.newlyRunning) > 0 && now.Sub(b.newlyRunning[0].KnownSince) >= tuning.BeganAfter {
		p := b.newlyRunning[0]
		b.newlyRunning = b.newlyRunning[1:]
		if !p.Removed && !p.beganStored {
			b.markDirty(p.Job, p.Index/tuning.ChunkTasks, now)
			b.scheduleFlush(now)
		}
	}
}

// VisitCharges calls fn with the charges that still lie with each live job.
func (b *Store) VisitCharges(fn func(*charge.Pack)) {
	for _, j := range b.Jobs {
		for n := range j.chunks {
			if p := &j.chunks[n].pack; len(p.Charges) > 0 {
				fn(p)
			}
		}
	}
}

// TakeDetached gives the records of charges that came to lie apart since it was last asked.
func (b *Store) TakeDetached() []DetachedCharges {
	out := b.detached
	b.detached = nil
	return out
}

// TakeDamaged gives the records whose charges could not be read. What their jobs are owed
// is not touched by that.
func (b *Store) TakeDamaged() []error {
	out := b.damaged
	b.damaged = nil
	return out
}

// DecodeCharges gives the charges in a record, of a live job or apart; nil if it holds none.
func DecodeCharges(item wire.Item) (*charge.Pack, error) {
	var r detachedRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	if len(r.Charges) == 0 {
		return nil, nil
	}
	p, err := charge.DecodePack(r.Charges)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", item.Key, err)
	}
	return p, nil
}

// LoadDetached takes in a stored Left.
func (b *Store) LoadDetached(item wire.Item) {
	switch p, err := DecodeCharges(item); {
	case err != nil:
		b.damaged = append(b.damaged, err)
	case p != nil:
		b.detached = append(b.detached, DetachedCharges{Key: item.Key, Version: item.Version, Pack: p})
	}
}

// loadCharges takes in the charges in a progress record of a live job.
func (c *progressChunk) loadCharges(raw []byte) error {
	if len(raw) == 0 {
		return nil
	}
	p, err := charge.DecodePack(raw)
	if err != nil {
		return err
	}
	c.pack.Kinds, c.pack.Charges = p.Kinds, p.Charges
	return nil
}

// detachOldCharges gives a record to which the first of a chunk's charges are moved, if there are
// many. The chunk must be written in the same transaction.
func (c *progressChunk) detachOldCharges() (DetachedCharges, json.RawMessage, bool) {
	n := min(len(c.pack.Charges), tuning.DetachChargesMax)
	if n < tuning.DetachCharges {
		return DetachedCharges{}, nil, false
	}
	pack := c.pack
	pack.Charges = c.pack.Charges[:n:n]
	left := DetachedCharges{Key: keyDetached(pack.Job, &pack.Charges[0]), Pack: &pack}
	value := wire.EncodeRecord(detachedRecord{Charges: charge.EncodePack(&pack)})
	c.pack.Charges = slices.Clone(c.pack.Charges[n:])
	c.pack.Kinds = slices.Clone(pack.Kinds)
	return left, value, true
}

// encodeTimes adds what the charge of an attempt will count from to its stored entry.
// Times are stored as milliseconds from the record's base, and at least 1.
func (c *progressChunk) encodeTimes(e *taskEntry, p *Allocation) {
	if c.baseMS == 0 {
		c.baseMS = p.PlacedAt.UnixMilli() - 1
	}
	e.Placed = max(1, p.PlacedAt.UnixMilli()-c.baseMS)
	if !p.BeganAt.IsZero() {
		e.Began = max(1, p.BeganAt.UnixMilli()-c.baseMS)
		p.beganStored = true
	}
	e.Part = p.ChargedParts
	if p.Kind.Type != "" {
		e.Kind = c.pack.KindIndex(p.Kind) + 1
	}
}

// decodeTimes is the reverse of meter.
func (c *progressChunk) decodeTimes(e *taskEntry, p *Allocation) {
	if e.Placed > 0 {
		p.PlacedAt = time.UnixMilli(c.baseMS + e.Placed)
	}
	if e.Began > 0 {
		p.BeganAt, p.beganStored = time.UnixMilli(c.baseMS+e.Began), true
	}
	p.ChargedParts = e.Part
	if e.Kind > 0 && e.Kind <= len(c.pack.Kinds) {
		p.Kind = c.pack.Kinds[e.Kind-1]
	}
}
