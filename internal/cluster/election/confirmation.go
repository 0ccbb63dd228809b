package election

// ConfirmTermOver answers a member that is fenced off, found the leader key vacant after a term, and wants to lead.
// It reports whether this member confirms that the term is over. After a confirmation this member does not vote for
// a leader of that term or of an earlier one. It does not confirm while a vote binds it, or while it leads in a
// later term. A leader that is asked about its own term or a later one learns that its lease is over, and resigns.
func (e *Elector) ConfirmTermOver(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != 0 && e.ownTerm <= term {
		e.resignLocked()
	}
	if e.ownTerm != 0 || e.clock.Now().Before(e.boundByVoteUntil) {
		return false
	}
	e.confirmedEndOfTerm = max(e.confirmedEndOfTerm, term)
	return true
}

// ConfirmNotLeading answers a member that has just started. It reports whether this member does not lead, and makes an
// open vote round of this member void. The round may rely on a vote of an earlier process of the member that asks, and
// the new process of that member does not know of that vote.
func (e *Elector) ConfirmNotLeading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voteRound++
	return e.ownTerm == 0
}
