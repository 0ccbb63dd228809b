package election

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

// Guards against members that redirect workers to each other in a circle: the state service refused
// two of three members, one of them the old leader. Both named the old leader for as
// long as that lasted, while the third member led.
func TestLeaderIsLearntFromOtherMembers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newElector(nil, unreachablePeers, "a", clock)
	holds := func(want string, wantTerm uint64) {
		t.Helper()
		if name, term := e.Holder(); name != want || term != wantTerm && want != "" {
			t.Errorf("names leader %q of term %d, want %q of term %d", name, term, want, wantTerm)
		}
	}
	e.beginTerm(3, 1, clock.Now())
	e.noteHolder("a", 3)
	e.NoteLeader("b", 2) // from a member whose knowledge is out of date
	e.NoteLeader("", 9)
	holds("a", 3)
	clock.Advance(tuning.LeaseTTL) // renewals are refused: the term is no longer valid, but not over
	e.NoteLeader("b", 4)
	holds("b", 4)
	if e.Valid(4) || e.Valid(3) {
		t.Error("acts as the leader because of another member's answer")
	}
	e.resign() // its own term ends after it learnt of the later one
	holds("b", 4)
	e.noteNoHolder() // the state service says that nobody leads
	e.NoteLeader("b", 4)
	holds("", 0)
	e.NoteLeader("c", 5)
	holds("c", 5)
}

// A leader that learns of a later term knows that its lease is over, even if the state service does not answer it, and
// stops acting as the leader.
func TestLeaderThatLearnsOfALaterTermResigns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newElector(nil, unreachablePeers, "a", clock)
	e.beginTerm(5, 1, clock.Now())
	e.noteHolder("a", 5)
	e.NoteLeader("b", 4)
	e.NoteLeader("a", 5)
	if !e.Valid(5) {
		t.Error("resigns because of its own term or an earlier one")
	}
	e.NoteLeader("b", 6)
	if name, term := e.Holder(); e.Valid(5) || name != "b" || term != 6 {
		t.Errorf("after it learnt of term 6: own term valid: %v, want false; names %q of term %d, want \"b\" of term 6", e.Valid(5), name, term)
	}
	e.extendByVotes(5, e.voteRound, clock.Now(), Votes{})
	if e.Valid(5) {
		t.Error("votes made the term valid again after the resignation")
	}
}
