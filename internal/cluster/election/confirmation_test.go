package election

import (
	"encoding/json"
	"testing"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against a member that stands still between its confirmation and its
// campaign: by then who confirmed may not remember it.
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
	until(t, s, clock, following, "a term of office", func() bool { return len(a.terms) > 0 })
	if leadership := <-a.terms; leadership.Term != 2 || asked != 2 {
		t.Errorf("leads in term %d after asking %d times", leadership.Term, asked)
	}
}

// Guards against a vote for a leader whose term we confirmed to be over, also by
// a member that was restarted and cannot know.
func TestConfirmationExcludesLaterVotes(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "a", clock)
	s.Refuse(true)
	if e.ConfirmTermOver(5) {
		t.Error("confirms though its earlier process may have voted")
	}
	e.noteStillLeading(5, clock.Now()) // its earlier process may have confirmed a moment ago
	clock.Advance(voteKeptFor)
	if got := e.Vote(t.Context(), 5); got != GrantedWithoutMemory {
		t.Errorf("restarted, it answers %v", got)
	}
	clock.Advance(tuning.ConfirmationFor)
	e.noteStillLeading(5, clock.Now())
	if got := e.Vote(t.Context(), 5); got != Granted {
		t.Errorf("having read that the term still leads, it answers %v", got)
	}
	if e.ConfirmTermOver(5) {
		t.Error("confirms in spite of its vote")
	}
	clock.Advance(voteKeptFor)
	if !e.ConfirmTermOver(5) {
		t.Error("confirms nothing")
	}
	if got := e.Vote(t.Context(), 5); got != Refused {
		t.Errorf("having confirmed that the term is over, it answers %v", got)
	}
	e.noteStillLeading(6, clock.Now())
	if got := e.Vote(t.Context(), 6); got != Granted {
		t.Errorf("a later term's leader is answered %v", got)
	}
}

// A leader that is asked to confirm that its term is over resigns: the one who
// asks has seen its lease's end. It does not resign for an earlier term.
func TestLeaderAskedToConfirmItsOwnTermResigns(t *testing.T) {
	clock, s := newState(t)
	a := start(t, "a", s, unreachablePeers, clock)
	leadership := <-a.terms
	if a.ConfirmTermOver(leadership.Term-1) || !a.Valid(leadership.Term) {
		t.Error("resigns for a term before its own")
	}
	if !a.ConfirmTermOver(leadership.Term) || a.Valid(leadership.Term) {
		t.Error("acts on, though its lease was seen to be over")
	}
	<-a.ended
}
