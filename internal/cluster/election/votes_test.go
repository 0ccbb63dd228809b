package election

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
)

// Guards against workers that kill their tasks in an outage of the state
// service: with every other member's vote, the leader may
// go on answering them; without, it may not.
func TestVotesKeepTheTermValidInAnOutage(t *testing.T) {
	clock, s := newState(t)
	var given atomic.Bool
	given.Store(true)
	a := start(t, "a", s, &fakePeers{nobodyLeads: always(true), votes: func() Votes {
		if given.Load() {
			return Votes{}
		}
		return Votes{Silent: []string{"b", "c"}}
	}}, clock)
	leadership := <-a.terms
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "a long outage to pass", func() bool {
		return clock.Since(begun) > 2*tuning.FencingLeaseTTL || !a.Valid(leadership.Term)
	})
	if !a.Valid(leadership.Term) {
		t.Fatalf("invalid after %v", clock.Since(begun))
	}
	given.Store(false)
	begun = clock.Now()
	until(t, s, clock, leading, "the end of the term's validity", func() bool { return !a.Valid(leadership.Term) })
	if clock.Since(begun) > tuning.VoteFor {
		t.Errorf("acted for %v after the last vote", clock.Since(begun))
	}
}

// Guards against two leaders: who voted neither campaigns nor confirms, nor does a member
// that was restarted and whose earlier process may have voted.
func TestVoteBindsItsGiver(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), &fakePeers{nobodyLeads: always(false)}, "a", clock)
	if e.mayCampaign(t.Context()) {
		t.Error("campaigns at once though a leader may count on its earlier process's vote")
	}
	clock.Advance(voteKeptFor)
	if !e.mayCampaign(t.Context()) {
		t.Error("does not campaign once those votes are over")
	}
	e.noteStillLeading(5, e.earlierConfirmationsUntil)
	if e.Vote(t.Context(), 5) != Refused {
		t.Error("votes while it campaigns")
	}
	e.endCampaign()
	if e.Vote(t.Context(), 5) != Refused {
		t.Error("votes though the state service answers it")
	}
	s.Refuse(true)
	if e.Vote(t.Context(), 5) != Granted {
		t.Error("does not vote in an outage")
	}
	if e.mayCampaign(t.Context()) {
		t.Error("campaigns in spite of its vote")
	}
	if e.ConfirmTermOver(5) {
		t.Error("confirms in spite of its vote")
	}
	clock.Advance(voteKeptFor)
	if !e.mayCampaign(t.Context()) {
		t.Error("does not campaign after its vote is over")
	}
}

// Guards against a vote that its giver forgot by being restarted while the
// round that asked for it was still open.
func TestQuestionOfARestartedMemberVoidsTheVoteRound(t *testing.T) {
	clock, s := newState(t)
	var a *member
	ready := make(chan struct{})
	p := &fakePeers{nobodyLeads: always(true), votes: func() Votes {
		<-ready
		if a.NotLeading() { // asked in the middle of the round, it says that it leads
			return Votes{Refused: 1}
		}
		return Votes{}
	}}
	a = start(t, "a", s, p, clock)
	close(ready)
	leadership := <-a.terms
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "the end of the term's validity", func() bool { return !a.Valid(leadership.Term) })
	if clock.Since(begun) > tuning.LeaseTTL {
		t.Errorf("acted for %v on void vote rounds", clock.Since(begun))
	}
}

// Guards against a former leader whose term becomes valid again, though another has led since: one that was cut off from the
// state service and all others, its lease expired, once got the votes of members that had led or heard of a later
// leader, as soon as an outage kept all from seeing who leads.
func TestTermKnownToBeOverGetsNoVotes(t *testing.T) {
	for _, c := range []struct {
		name string
		past func(e *Elector, now time.Time)
		want Vote
	}{
		{"nothing later is known", func(*Elector, time.Time) {}, Granted},
		{"it led itself, and resigned before it noted that it leads", func(e *Elector, now time.Time) { e.beginTerm(6, 1, now); e.resign() }, Refused},
		{"it led itself, and gave up", func(e *Elector, now time.Time) { e.beginTerm(6, 1, now); e.noteHolder("b", 6); e.resign() }, Refused},
		{"it led itself, and heard that nobody does now", func(e *Elector, now time.Time) {
			e.beginTerm(6, 1, now)
			e.noteHolder("b", 6)
			e.resign()
			e.noteNoHolder()
		}, Refused},
		{"it read of another", func(e *Elector, _ time.Time) { e.noteHolder("c", 6) }, Refused},
		{"it read of another, and that nobody leads now", func(e *Elector, _ time.Time) { e.noteHolder("c", 6); e.noteNoHolder() }, Refused},
		{"it heard of another", func(e *Elector, _ time.Time) { e.NoteLeader("c", 6) }, Refused},
		{"it read that the very term is over", func(e *Elector, _ time.Time) { e.noteHolder("a", 5); e.noteNoHolder() }, Granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock, s := newState(t)
			e := newElector(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "b", clock)
			clock.Advance(voteKeptFor + tuning.ConfirmationFor)
			e.noteStillLeading(5, clock.Now())
			c.past(e, clock.Now())
			s.Refuse(true)
			if got := e.Vote(t.Context(), 5); got != c.want {
				t.Errorf("it answers %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against the same where those that led in between were restarted and know nothing of it: their votes may extend a valid
// term, not make a lapsed one valid again.
func TestVotesWithoutMemoryDoNotRevalidateALapsedTerm(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapsed bool
		p      Votes
		valid  bool
	}{
		{"extend a valid term", false, Votes{WithoutMemory: 2}, true},
		{"do not revalidate a lapsed one", true, Votes{WithoutMemory: 2}, false},
		{"nor with one of two without memory", true, Votes{WithoutMemory: 1}, false},
		{"those that remember revalidate it", true, Votes{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := newElector(nil, unreachablePeers, "a", clock)
			e.beginTerm(5, 1, clock.Now())
			clock.Advance(tuning.LeaseTTL - tuning.VoteFor/2)
			if c.lapsed {
				clock.Advance(tuning.VoteFor)
			}
			sent := clock.Now()
			e.extendByVotes(5, e.voteRound, sent, c.p)
			clock.Advance(tuning.VoteFor * 3 / 4)
			if e.Valid(5) != c.valid {
				t.Errorf("valid %v", e.Valid(5))
			}
		})
	}
}

// Guards against the same where the term lapses while the members are being asked.
func TestTermThatLapsesDuringAVoteRoundIsNotRevalidated(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newElector(nil, unreachablePeers, "a", clock)
	e.beginTerm(5, 1, clock.Now())
	clock.Advance(tuning.LeaseTTL - tuning.VoteFor/4)
	sent := clock.Now()
	clock.Advance(tuning.VoteFor / 2)
	if e.extendByVotes(5, e.voteRound, sent, Votes{WithoutMemory: 1}); e.Valid(5) {
		t.Error("the term is valid again")
	}
}

// Guards against a vote that is given though a campaign of ours has begun, or we have come to lead, since we looked whether we follow.
func TestNoVoteBesideACampaignThatBeganMeanwhile(t *testing.T) {
	for name, begin := range map[string]func(e *Elector){
		"a campaign":       func(e *Elector) { e.campaigning = true },
		"a term of office": func(e *Elector) { e.ownTerm = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			var e *Elector
			e = newElector(interruptedStore{fn: func() { begin(e) }}, unreachablePeers, "a", clock)
			clock.Advance(voteKeptFor + tuning.ConfirmationFor)
			e.noteStillLeading(5, clock.Now())
			if got := e.Vote(t.Context(), 5); got != Refused {
				t.Errorf("it answers %v", got)
			}
		})
	}
}
