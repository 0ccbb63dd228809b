package election

import "time"

// Leader returns the name of the leading member as far as this member knows, "" if it does not know.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// LeaderAndTerm returns the name of the leading member and its term as far as this member knows, "" if it does not know.
func (e *Elector) LeaderAndTerm() (name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leaderTerm
}

// NoteLeader records who leads according to another member. The state service may refuse only this member, and
// workers that connect to this member must be redirected to the leader nevertheless. No member starts to act as the
// leader because of what another member says. A leader that learns of a later term this way knows that its own lease
// is over, even if the state service does not answer it, and resigns.
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

// noteHolder records who leads according to the leader key.
func (e *Elector) noteHolder(name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vacantSince = time.Time{}
	e.leader, e.leaderTerm = name, term
}

// noteNoLeader records that the leader key is vacant, or that its value cannot be decoded: the last known term is over.
func (e *Elector) noteNoLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.vacantSince.IsZero() {
		e.vacantSince = e.clock.Now()
	}
	e.endedTerm = max(e.endedTerm, e.leaderTerm)
	e.leader, e.leaderTerm = "", 0
}

// noteStillLeading records that a read sent at the given time found a term in force. From
// earlierProcessConfirmationsUntil on, no member acts on a confirmation of an earlier process of this member. So if the
// read was sent at that time or later, no such confirmation can end the term.
func (e *Elector) noteStillLeading(term uint64, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sentAt.Before(e.earlierProcessConfirmationsUntil) {
		e.leadingTermSinceRestart = max(e.leadingTermSinceRestart, term)
	}
}

// knowsLaterTerm reports whether this member knows of a leader with a later term, which may be itself. The leader of
// the given term must then not act again, whatever votes members grant now. The caller holds the lock.
func (e *Elector) knowsLaterTerm(term uint64) bool {
	return max(e.leaderTerm, e.endedTerm) > term
}
