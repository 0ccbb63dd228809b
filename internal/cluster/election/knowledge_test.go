package election

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

// Guards against members that redirect workers to each other in a circle. The state service refused two of three
// members, one of them the former leader. While it did so, both named the former leader, although the third member
// led.
func TestLeaderIsLearntFromOtherMembers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elector := newElector(nil, unreachablePeers, "a", clock)
	wantLeader := func(wantName string, wantTerm uint64) {
		t.Helper()
		if name, term := elector.LeaderAndTerm(); name != wantName || term != wantTerm && wantName != "" {
			t.Errorf("names leader %q of term %d, want %q of term %d", name, term, wantName, wantTerm)
		}
	}
	elector.beginTerm(3, 1, clock.Now())
	elector.noteHolder("a", 3)
	elector.NoteLeader("b", 2) // from a member whose knowledge is out of date
	elector.NoteLeader("", 9)
	wantLeader("a", 3)
	clock.Advance(tuning.LeaderLeaseTTL) // the term is no longer valid without a renewal, but this member has not resigned yet
	elector.NoteLeader("b", 4)
	wantLeader("b", 4)
	if elector.MayAct(4) || elector.MayAct(3) {
		t.Error("acts as the leader because of another member's answer")
	}
	elector.resign() // its own term ends after it learnt of the later one
	wantLeader("b", 4)
	elector.noteNoLeader() // the state service says that nobody leads
	elector.NoteLeader("b", 4)
	wantLeader("", 0)
	elector.NoteLeader("c", 5)
	wantLeader("c", 5)
}

// A leader that learns of a later term knows that its lease is over, even if the state service does not answer it, and
// stops acting as the leader.
func TestLeaderThatLearnsOfALaterTermResigns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elector := newElector(nil, unreachablePeers, "a", clock)
	elector.beginTerm(5, 1, clock.Now())
	elector.noteHolder("a", 5)
	elector.NoteLeader("b", 4)
	elector.NoteLeader("a", 5)
	if !elector.MayAct(5) {
		t.Error("resigns because of its own term or an earlier one")
	}
	elector.NoteLeader("b", 6)
	if name, term := elector.LeaderAndTerm(); elector.MayAct(5) || name != "b" || term != 6 {
		t.Errorf("after it learnt of term 6: own term valid %v, leader %q of term %d; want false, \"b\", 6", elector.MayAct(5), name, term)
	}
	elector.extendByVotes(5, elector.voteRound, clock.Now(), Votes{})
	if elector.MayAct(5) {
		t.Error("votes made the term valid again after the resignation")
	}
}
