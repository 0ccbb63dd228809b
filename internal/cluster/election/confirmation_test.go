package election

import (
	"encoding/json"
	"testing"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against a member that is stalled between the confirmation that it gets and its campaign: by
// then the member that confirmed may not remember its confirmation.
func TestOldConfirmationIsNotActedOn(t *testing.T) {
	clock, s := newState(t)
	if _, err := statestore.New(s.Addr(), 1e6, 1e6).Commit(t.Context(), wire.Txn{
		Then: []wire.Change{{Put: prefixFencing + "a", Value: json.RawMessage("true")}},
	}); err != nil {
		t.Fatal(err)
	}
	asked := 0
	p := &fakePeers{nobodyLeads: always(true), confirm: func() bool {
		if asked++; asked == 1 {
			clock.Advance(tuning.ConfirmationFor)
		}
		return true
	}}
	a := start(t, "a", s, p, clock)
	until(t, s, clock, following, "a won campaign", func() bool { return len(a.terms) > 0 })
	if leadership := <-a.terms; leadership.Term != 2 || asked != 2 {
		t.Errorf("leads in term %d after asking for %d confirmations, want term 2 after 2: the first one expired", leadership.Term, asked)
	}
}

// Guards against a vote for a leader whose term the voter confirmed to be over, also by a voter that
// was restarted and does not know what it confirmed before.
func TestConfirmationExcludesLaterVotes(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "a", clock)
	s.Refuse(true)
	if e.ConfirmTermOver(5) {
		t.Error("confirms although an earlier process of the member may have voted")
	}
	e.noteStillLeading(5, clock.Now()) // an earlier process of the member may have confirmed just before it ended
	clock.Advance(voteKeptFor)
	if got := e.Vote(t.Context(), 5); got != GrantedWithoutMemory {
		t.Errorf("just restarted, it answers the vote request with %v, want GrantedWithoutMemory", got)
	}
	clock.Advance(tuning.ConfirmationFor)
	e.noteStillLeading(5, clock.Now())
	if got := e.Vote(t.Context(), 5); got != Granted {
		t.Errorf("having read that the term is still in force, it answers the vote request with %v, want Granted", got)
	}
	if e.ConfirmTermOver(5) {
		t.Error("confirms although its vote forbids that")
	}
	clock.Advance(voteKeptFor)
	if !e.ConfirmTermOver(5) {
		t.Error("does not confirm although its vote has expired")
	}
	if got := e.Vote(t.Context(), 5); got != Refused {
		t.Errorf("having confirmed that the term is over, it answers the vote request with %v, want Refused", got)
	}
	e.noteStillLeading(6, clock.Now())
	if got := e.Vote(t.Context(), 6); got != Granted {
		t.Errorf("it answers the vote request of a later term's leader with %v, want Granted", got)
	}
}

// A leader that is asked to confirm that its own term is over resigns: the member that asks has read
// that the lease is gone. It does not resign if the question is about an earlier term.
func TestLeaderAskedToConfirmItsOwnTermResigns(t *testing.T) {
	clock, s := newState(t)
	a := start(t, "a", s, unreachablePeers, clock)
	leadership := <-a.terms
	if a.ConfirmTermOver(leadership.Term-1) || !a.Valid(leadership.Term) {
		t.Error("confirms or resigns when asked about a term before its own")
	}
	if !a.ConfirmTermOver(leadership.Term) || a.Valid(leadership.Term) {
		t.Error("does not confirm, or still acts as the leader, although its lease was read to be gone")
	}
	<-a.ended
}
