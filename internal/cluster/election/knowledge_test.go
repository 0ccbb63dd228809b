package election

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

// Guards against members that send workers in a circle: two of three were
// refused by the state service, one of them the old leader, and both named it
// for as long as that lasted, while the third led.
func TestLeaderIsLearntFromOtherMembers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newElector(nil, unreachablePeers, "a", clock)
	holds := func(want string, wantTerm uint64) {
		t.Helper()
		if name, term := e.Holder(); name != want || term != wantTerm && want != "" {
			t.Errorf("leader %q of term %d, want %q of %d", name, term, want, wantTerm)
		}
	}
	e.beginTerm(3, 1, clock.Now())
	e.noteHolder("a", 3)
	e.NoteLeader("b", 2) // by one that lags behind
	e.NoteLeader("", 9)
	holds("a", 3)
	clock.Advance(tuning.LeaseTTL) // renewals are refused: the validity ends, the term does not
	e.NoteLeader("b", 4)
	holds("b", 4)
	if e.Valid(4) || e.Valid(3) {
		t.Error("acts as the leader because of what others said")
	}
	e.resign() // our own term's end comes later
	holds("b", 4)
	e.noteNoHolder() // the state service says that nobody leads
	e.NoteLeader("b", 4)
	holds("", 0)
	e.NoteLeader("c", 5)
	holds("c", 5)
}

// A leader that hears of a later one knows that its lease is over, though nothing tells it: it acts no more.
func TestLeaderThatLearnsOfALaterTermResigns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newElector(nil, unreachablePeers, "a", clock)
	e.beginTerm(5, 1, clock.Now())
	e.noteHolder("a", 5)
	e.NoteLeader("b", 4)
	e.NoteLeader("a", 5)
	if !e.Valid(5) {
		t.Error("resigns for itself or an earlier one")
	}
	e.NoteLeader("b", 6)
	if name, term := e.Holder(); e.Valid(5) || name != "b" || term != 6 {
		t.Errorf("valid %v, names %q of term %d", e.Valid(5), name, term)
	}
	e.extendByVotes(5, e.voteRound, clock.Now(), Votes{})
	if e.Valid(5) {
		t.Error("votes make the term valid again")
	}
}
