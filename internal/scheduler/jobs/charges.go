package jobs

import (
	"encoding/json"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Charges are stored in records that are written anyway. While a job is live, the charges of its ended
// attempts are in the progress record of their chunk: the write that records an attempt's end also records
// its charge. When a record has many charges, such a write also moves some of them to a record of their own,
// whose key is made from the first of these charges and must not exist yet. When the job ends, its progress
// records that contain charges are not deleted. The separate records and the remaining progress records of ended
// jobs are called detached charges. They no longer change. The ledger accounts for the charges of a record and
// deletes the record in one transaction.
//
// Each charge is therefore in exactly one record at any time. Every transaction that moves a charge has the condition
// that the record from which the charge is moved still has its known version.

// DetachedCharges is a stored record of charges that the Store no longer changes.
type DetachedCharges struct {
	Key     string
	Version uint64
	Pack    *charge.Pack
}

// TraitsOf returns what the charges of a job have in common.
func TraitsOf(j *wire.Job) charge.JobTraits {
	return charge.JobTraits{
		Team: j.Team, Account: j.Account, Class: j.Class,
		Cores: charge.InMilli(j.CPUs), GPUs: charge.InMilli(j.GPUs), Memory: charge.InMilli(j.MemoryGB),
	}
}

// AddCharges records the charges of an attempt, or of parts of it. It must be called in the same step of the
// leader's loop as the call that records the attempt's end, or as the change of Allocation.ChargedFrom at a
// day's end, so that one transaction stores both.
func (s *Store) AddCharges(a *Allocation, parts []charge.Charge, now time.Time) {
	c := a.chunkRef().chunk()
	for _, part := range parts {
		part.KindIndex = c.pack.KindIndex(a.Kind)
		c.pack.Charges = append(c.pack.Charges, part)
	}
	s.queue.markDirty(a.chunkRef(), now)
	s.queue.scheduleFlush(now)
}

// MarkRunning records the time at which a task was first seen running. The time is stored with the next write
// of the task's record. A write for this time alone is made only once the allocation has been known for
// StartTimeStoreDelay, so a shorter task costs no extra write.
func (s *Store) MarkRunning(a *Allocation, now time.Time) {
	if !s.Metered || !a.ChargedFrom.IsZero() {
		return
	}
	a.ChargedFrom = now
	if a.Inherited {
		// The task may have started under an earlier leader, so only the time of its allocation is known.
		// The ledger recognizes this case by the equality of the two times, and marks the charge as an upper
		// bound.
		a.ChargedFrom = a.AllocatedAt
	}
	s.newlyRunning = append(s.newlyRunning, a)
}

// flushLongRunning queues writes of ChargedFrom for tasks whose allocation has been known for StartTimeStoreDelay.
func (s *Store) flushLongRunning(now time.Time) {
	for len(s.newlyRunning) > 0 && now.Sub(s.newlyRunning[0].KnownSince) >= tuning.StartTimeStoreDelay {
		a := s.newlyRunning[0]
		s.newlyRunning = s.newlyRunning[1:]
		if !a.Removed && !a.chargedFromStored {
			s.queue.markDirty(a.chunkRef(), now)
			s.queue.scheduleFlush(now)
		}
	}
}

// VisitCharges calls fn with the charges that are still in the progress records of live jobs.
func (s *Store) VisitCharges(fn func(*charge.Pack)) {
	for _, j := range s.Jobs {
		for n := range j.chunks {
			if p := &j.chunks[n].pack; len(p.Charges) > 0 {
				fn(p)
			}
		}
	}
}

// TakeDetached returns the records of detached charges that were added since the last call.
func (s *Store) TakeDetached() []DetachedCharges {
	out := s.detached
	s.detached = nil
	return out
}

// DecodeCharges returns the charges in a progress record or a record of detached charges, or nil if the record
// contains none. The error is a *RecordError.
func DecodeCharges(item wire.Item) (*charge.Pack, error) {
	var r detachedRecord
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, &RecordError{item.Key, err}
	}
	if len(r.Charges) == 0 {
		return nil, nil
	}
	p, err := charge.DecodePack(r.Charges)
	if err != nil {
		return nil, &RecordError{item.Key, err}
	}
	return p, nil
}

// loadCharges sets a chunk's charges to those encoded in a progress record of a live job.
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

// detachOldCharges moves the oldest of a chunk's charges to a record of their own, and returns that record and
// its encoded value. The chunk must be written in the same transaction. If the chunk has fewer than
// DetachChargesMin charges, nothing changes and ok is false.
func (c *progressChunk) detachOldCharges() (d DetachedCharges, value json.RawMessage, ok bool) {
	n := min(len(c.pack.Charges), tuning.DetachChargesMax)
	if n < tuning.DetachChargesMin {
		return DetachedCharges{}, nil, false
	}
	pack := c.pack
	pack.Charges = c.pack.Charges[:n:n]
	d = DetachedCharges{Key: keyDetached(pack.Job, &pack.Charges[0]), Pack: &pack}
	value = wire.EncodeRecord(detachedRecord{Charges: charge.EncodePack(&pack)})
	c.pack.Charges = slices.Clone(c.pack.Charges[n:])
	c.pack.Kinds = slices.Clone(pack.Kinds)
	return d, value, true
}
