package election

import "time"

// Leader names the leading member, as far as this one knows; "" if unknown.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Holder names the leading member and its term, as far as this one knows.
func (e *Elector) Holder() (name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leaderTerm
}

// NoteLeader notes who leads by another member's knowledge: the state service may
// refuse us alone, and workers that come here must find the leader all the
// same. Nobody acts as the leader because of it. A leader that hears of a later term so learns that its
// own lease is over, though the state service does not tell it, and resigns.
func (e *Elector) NoteLeader(name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name != "" && term > e.leaderTerm && term > e.endedTerm {
		e.leader, e.leaderTerm = name, term
	}
	if e.ownTerm != 0 && e.knowsLaterTerm(e.ownTerm) {
		e.resignLocked()
	}
}

// noteHolder notes who leads by the leader key.
func (e *Elector) noteHolder(name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vacantSince = time.Time{}
	e.leader, e.leaderTerm = name, term
}

// noteNoHolder notes that the leader key is vacant, or that it cannot be read who holds it: the last term that was known is over.
func (e *Elector) noteNoHolder() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.vacantSince.IsZero() {
		e.vacantSince = e.clock.Now()
	}
	e.endedTerm = max(e.endedTerm, e.leaderTerm)
	e.leader, e.leaderTerm = "", 0
}

// noteStillLeading notes that a term was read as leading, by a request sent at
// a time. A campaign on a confirmation that an earlier process of this member gave before has failed by then.
func (e *Elector) noteStillLeading(term uint64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sent.Before(e.earlierConfirmationsUntil) {
		e.leadingTerm = max(e.leadingTerm, term)
	}
}

// knowsLaterTerm reports whether this member knows of a leader after a term, itself for one: that term's leader must not act
// again, whatever votes are given now. The caller holds the lock.
func (e *Elector) knowsLaterTerm(term uint64) bool {
	return max(e.leaderTerm, e.endedTerm) > term
}
