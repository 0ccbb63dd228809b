package jobs

import (
	"encoding/json"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Charges are stored in the records that are written anyway. While a job is live, the
// charges of its ended attempts lie in the progress record of their chunk: the
// write that records an attempt's end records its charge. When a record's charges grow many,
// some are moved, in such a write, to a record of their own, which bears the name of its
// first attempt and must not exist yet. When the job is over, its progress records that hold
// charges stay behind instead of being dropped. Both are detached charges: nothing of them
// changes any more, until the ledger accounts for them and drops them in one transaction.
//
// So a charge lies in exactly one record at any time, and each step of it is
// guarded on the version of the record that it comes from.

// DetachedCharges is a record of charges that the store no longer changes.
type DetachedCharges struct {
	Key     string
	Version uint64
	Pack    *charge.Pack
}

// TraitsOf is what the charges of a job have in common.
func TraitsOf(j *wire.Job) charge.JobTraits {
	return charge.JobTraits{
		Team: j.Team, Account: j.Account, Class: j.Class,
		Cores: charge.InMilli(j.CPUs), GPUs: charge.InMilli(j.GPUs), Memory: charge.InMilli(j.MemoryGB),
	}
}

// AddCharges records what an attempt took, or parts of it. It must be called in the
// same step as what records the attempt's end, or the turn of its day.
func (s *Store) AddCharges(a *Allocation, parts []charge.Charge, now time.Time) {
	c := a.chunk().chunk()
	for _, part := range parts {
		part.Kind = c.pack.KindIndex(a.Kind)
		c.pack.Charges = append(c.pack.Charges, part)
	}
	s.queue.markDirty(a.chunk(), now)
	s.queue.scheduleFlush(now)
}

// MarkRunning records that a task was seen to run. Its time is stored with the next
// write of its record, or by itself if it runs on for BeganAfter: what ends sooner
// costs no write.
func (s *Store) MarkRunning(a *Allocation, now time.Time) {
	if !s.Metered || !a.ChargedFrom.IsZero() {
		return
	}
	a.ChargedFrom = now
	if a.Inherited {
		// It may have run since before this leader: when it was allocated is all that
		// is known. That both times are equal says so.
		a.ChargedFrom = a.AllocatedAt
	}
	s.newlyRunning = append(s.newlyRunning, a)
}

// flushLongRunning has the times of tasks that run on written.
func (s *Store) flushLongRunning(now time.Time) {
	for len(s.newlyRunning) > 0 && now.Sub(s.newlyRunning[0].KnownSince) >= tuning.BeganAfter {
		a := s.newlyRunning[0]
		s.newlyRunning = s.newlyRunning[1:]
		if !a.Removed && !a.chargedFromStored {
			s.queue.markDirty(a.chunk(), now)
			s.queue.scheduleFlush(now)
		}
	}
}

// VisitCharges calls fn with the charges that still lie with each live job.
func (s *Store) VisitCharges(fn func(*charge.Pack)) {
	for _, j := range s.Jobs {
		for n := range j.chunks {
			if p := &j.chunks[n].pack; len(p.Charges) > 0 {
				fn(p)
			}
		}
	}
}

// TakeDetached returns the records of charges that were detached since it was last asked.
func (s *Store) TakeDetached() []DetachedCharges {
	out := s.detached
	s.detached = nil
	return out
}

// DecodeCharges returns the charges in a progress record or a record of detached charges;
// nil if it holds none. The error is a *RecordError.
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

// loadCharges adds the charges in a progress record of a live job.
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

// detachOldCharges moves the first of a chunk's charges to a record of their own, if there
// are many. The chunk must be written in the same transaction.
func (c *progressChunk) detachOldCharges() (d DetachedCharges, value json.RawMessage, ok bool) {
	n := min(len(c.pack.Charges), tuning.DetachChargesMax)
	if n < tuning.DetachCharges {
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
