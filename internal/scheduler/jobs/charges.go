package jobs

import (
	"encoding/base64"
	"encoding/json"
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

// detachOldCharges moves the oldest n of a chunk's charges to a record of their own, and returns that record and its
// encoded value. The chunk must be written in the same transaction.
func (c *progressChunk) detachOldCharges(n int) (d DetachedCharges, value json.RawMessage) {
	pack := c.pack.Slice(0, n)
	d = DetachedCharges{Key: keyDetached(pack.Job, &pack.Charges[0]), Pack: pack}
	c.pack = *c.pack.Slice(n, len(c.pack.Charges))
	return d, wire.EncodeRecord(detachedRecord{Charges: charge.EncodePack(pack)})
}

// chargesToDetach returns how many charges are to be moved to each of the records of their own that writing the chunk
// needs: none, unless the chunk has many charges, or its record has no room for them and for the kinds of machines
// that they and the allocations refer to. There is a new kind whenever the price of a type changes.
func (r chunkRef) chargesToDetach() (counts []int) {
	pack := &r.chunk().pack
	r.addAllocationKinds(pack)
	for {
		n := r.nextDetached(pack)
		if n == 0 {
			return counts
		}
		counts = append(counts, n)
		pack = pack.Slice(n, len(pack.Charges))
		r.addAllocationKinds(pack)
	}
}

// nextDetached returns how many charges of a pack, which includes the kinds of the chunk's allocations, are to be moved to
// a record of their own; 0 if the chunk's record may contain the pack.
func (r chunkRef) nextDetached(pack *charge.Pack) int {
	n := len(pack.Charges)
	switch {
	case n >= tuning.DetachChargesMin:
		n = min(n, tuning.DetachChargesMax)
	case n == 0 || !exceeds(pack, r.roomForCharges()):
		return 0
	}
	for n > 1 && exceeds(pack.Slice(0, n), chargeRecordBytes) {
		n -= max(1, n/detachSizeSteps)
	}
	return n
}

// detachSizeSteps is in how many steps the number of charges for a record is lowered until they fit.
const detachSizeSteps = 8

// chargeRecordBytes bounds the charges in a record of their own, in bytes of base64.
const chargeRecordBytes = tuning.LedgerMinValueKiB<<10 - tuning.RecordOverheadBytes

// roomForCharges returns the room for charges and kinds of machines in the chunk's record, in bytes of base64.
func (r chunkRef) roomForCharges() int {
	from, to := r.taskRange()
	return chargeRecordBytes - tuning.TaskEntryMaxBytes*(to-from)
}

// addAllocationKinds adds to a pack the kinds of the machines that the chunk's allocations refer to.
func (r chunkRef) addAllocationKinds(pack *charge.Pack) {
	from, to := r.taskRange()
	for i := from; i < to; i++ {
		if a := r.job.Tasks[i].Allocation; a != nil && a.Kind.Type != "" {
			pack.KindIndex(a.Kind)
		}
	}
}

// exceeds reports whether a pack takes more than room bytes of base64. It encodes the pack only if an estimate does not
// suffice.
func exceeds(pack *charge.Pack, room int) bool {
	return maxPackBytes(pack) > room && base64.StdEncoding.EncodedLen(len(charge.EncodePack(pack))) > room
}

// maxPackBytes returns an upper bound of the size of a pack, in bytes of base64.
func maxPackBytes(pack *charge.Pack) int {
	return tuning.ChargeMaxBytes*len(pack.Charges) + tuning.KindMaxBytes*len(pack.Kinds)
}

// dropUnusedKinds removes the kinds of machines that no charge of the chunk refers to. encode adds those of allocations.
func (c *progressChunk) dropUnusedKinds() { c.pack = *c.pack.Slice(0, len(c.pack.Charges)) }
