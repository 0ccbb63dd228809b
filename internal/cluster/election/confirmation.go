package election

// ConfirmTermOver answers a member that found the leader key vacant after a term and
// wants to lead, though it is fenced off. Once we confirmed, we grant no leader of that term, or of an earlier one, our vote. While a
// vote binds us, or we lead, we confirm nothing. A leader that is asked about its own term so learns that its lease is over,
// and resigns.
func (e *Elector) ConfirmTermOver(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != 0 && e.ownTerm <= term {
		e.resignLocked()
	}
	if e.ownTerm != 0 || e.clock.Now().Before(e.boundUntil) {
		return false
	}
	e.confirmedOverTerm = max(e.confirmedOverTerm, term)
	return true
}

// NotLeading answers a member that was just started and asks whether anybody
// leads. An earlier process of it may have given us a vote that the new
// one knows nothing of: a round that counts on it is void.
func (e *Elector) NotLeading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voteRound++
	return e.ownTerm == 0
}
