package election

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
)

// Guards against workers that kill their tasks in an outage of the state service. With the votes of all other members
// the leader may continue to answer workers; without them it may not.
func TestVotesKeepTheTermValidInAnOutage(t *testing.T) {
	clock, state := newStateService(t)
	var votesGranted atomic.Bool
	votesGranted.Store(true)
	a := startMember(t, "a", state, &fakePeers{nobodyLeads: always(true), votes: func() Votes {
		if votesGranted.Load() {
			return Votes{}
		}
		return Votes{Silent: []string{"b", "c"}}
	}}, clock)
	leadership := <-a.terms
	state.Refuse(true)
	started := clock.Now()
	advanceUntil(t, state, clock, leaderGoroutines, "a long outage to pass", func() bool {
		return clock.Since(started) > 2*tuning.FencingLeaseTTL || !a.MayAct(leadership.Term)
	})
	if !a.MayAct(leadership.Term) {
		t.Fatalf("the term became invalid %v after the outage began, although all others vote", clock.Since(started))
	}
	votesGranted.Store(false)
	started = clock.Now()
	advanceUntil(t, state, clock, leaderGoroutines, "the end of the term's validity", func() bool { return !a.MayAct(leadership.Term) })
	if clock.Since(started) > tuning.VoteValidity {
		t.Errorf("the term stayed valid for %v after the last vote", clock.Since(started))
	}
}

// Guards against two leaders: a member that voted neither campaigns nor confirms, and neither does a
// member that was restarted and whose earlier process may have voted.
func TestVoteBindsTheVoter(t *testing.T) {
	clock, state := newStateService(t)
	elector := newElector(statestore.New(state.Addr(), 1e6, 1e6), &fakePeers{nobodyLeads: always(false)}, "a", clock)
	if elector.mayCampaign(t.Context()) {
		t.Error("may campaign at once although a leader may rely on a vote of its earlier process")
	}
	clock.Advance(voteBindsFor)
	if !elector.mayCampaign(t.Context()) {
		t.Error("may not campaign although the votes of its earlier process have expired")
	}
	elector.noteStillLeading(5, elector.earlierProcessConfirmationsUntil)
	if elector.Vote(t.Context(), 5) != Refused {
		t.Error("votes although it campaigns")
	}
	elector.endCampaign()
	if elector.Vote(t.Context(), 5) != Refused {
		t.Error("votes although the state service answers it")
	}
	state.Refuse(true)
	if elector.Vote(t.Context(), 5) != Granted {
		t.Error("does not vote in an outage")
	}
	if elector.mayCampaign(t.Context()) {
		t.Error("may campaign although its vote forbids that")
	}
	if elector.ConfirmTermOver(5) {
		t.Error("confirms although its vote forbids that")
	}
	clock.Advance(voteBindsFor)
	if !elector.mayCampaign(t.Context()) {
		t.Error("may not campaign although its vote has expired")
	}
}

// Guards against relying on a vote that the voter no longer knows of, because it was restarted while the
// vote round was still open.
func TestQuestionOfARestartedMemberVoidsTheVoteRound(t *testing.T) {
	clock, state := newStateService(t)
	var a *member
	ready := make(chan struct{})
	peers := &fakePeers{nobodyLeads: always(true), votes: func() Votes {
		<-ready
		if a.ConfirmNotLeading() { // a restarted member asks during the round
			return Votes{Refused: 1}
		}
		return Votes{}
	}}
	a = startMember(t, "a", state, peers, clock)
	close(ready)
	leadership := <-a.terms
	state.Refuse(true)
	started := clock.Now()
	advanceUntil(t, state, clock, leaderGoroutines, "the end of the term's validity", func() bool { return !a.MayAct(leadership.Term) })
	if clock.Since(started) > tuning.LeaderLeaseTTL {
		t.Errorf("the term stayed valid for %v by void vote rounds", clock.Since(started))
	}
}

// Guards against a former leader whose term becomes valid again although another member has led since. A leader
// was cut off from the state service and all other members, and its lease expired. Then an outage prevented all
// members from reading who leads, and the former leader got the votes of members that had led themselves or knew of a
// later leader.
func TestTermKnownToBeOverGetsNoVotes(t *testing.T) {
	for _, c := range []struct {
		name    string
		history func(elector *Elector, now time.Time)
		want    Vote
	}{
		{"knows of no later term", func(*Elector, time.Time) {}, Granted},
		{"led itself, and resigned before it recorded that it leads", func(elector *Elector, now time.Time) { elector.beginTerm(6, 1, now); elector.resign() }, Refused},
		{"led itself, and resigned", func(elector *Elector, now time.Time) {
			elector.beginTerm(6, 1, now)
			elector.noteHolder("b", 6)
			elector.resign()
		}, Refused},
		{"led itself, resigned, and read that nobody leads now", func(elector *Elector, now time.Time) {
			elector.beginTerm(6, 1, now)
			elector.noteHolder("b", 6)
			elector.resign()
			elector.noteNoLeader()
		}, Refused},
		{"read that another leads", func(elector *Elector, _ time.Time) { elector.noteHolder("c", 6) }, Refused},
		{"read that another leads, and then that nobody leads", func(elector *Elector, _ time.Time) { elector.noteHolder("c", 6); elector.noteNoLeader() }, Refused},
		{"learnt from a member that another leads", func(elector *Elector, _ time.Time) { elector.NoteLeader("c", 6) }, Refused},
		{"read that the same term is over", func(elector *Elector, _ time.Time) { elector.noteHolder("a", 5); elector.noteNoLeader() }, Granted},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock, state := newStateService(t)
			elector := newElector(statestore.New(state.Addr(), 1e6, 1e6), unreachablePeers, "b", clock)
			clock.Advance(voteBindsFor + tuning.ConfirmationValidity)
			elector.noteStillLeading(5, clock.Now())
			c.history(elector, clock.Now())
			state.Refuse(true)
			if got := elector.Vote(t.Context(), 5); got != c.want {
				t.Errorf("answers the vote request with %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a former leader whose term becomes valid again by the votes of members that led in between but were
// restarted, so that they do not know of it. Their votes may extend a valid term, but not make a lapsed term valid
// again.
func TestVotesWithoutMemoryDoNotRevalidateALapsedTerm(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapsed bool
		votes  Votes
		valid  bool
	}{
		{"extend the validity of a valid term", false, Votes{WithoutMemory: 2}, true},
		{"do not make a lapsed term valid again", true, Votes{WithoutMemory: 2}, false},
		{"nor do they if only one of two is without memory", true, Votes{WithoutMemory: 1}, false},
		{"votes of members that remember make it valid again", true, Votes{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			elector := newElector(nil, unreachablePeers, "a", clock)
			elector.beginTerm(5, 1, clock.Now())
			clock.Advance(tuning.LeaderLeaseTTL - tuning.VoteValidity/2)
			if c.lapsed {
				clock.Advance(tuning.VoteValidity)
			}
			sentAt := clock.Now()
			elector.extendByVotes(5, elector.voteRound, sentAt, c.votes)
			clock.Advance(tuning.VoteValidity * 3 / 4)
			if elector.MayAct(5) != c.valid {
				t.Errorf("the term is valid after the vote round: %v", elector.MayAct(5))
			}
		})
	}
}

// Guards against a term that lapses while the members are asked and becomes valid again by votes without memory.
func TestTermThatLapsesDuringAVoteRoundIsNotRevalidated(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elector := newElector(nil, unreachablePeers, "a", clock)
	elector.beginTerm(5, 1, clock.Now())
	clock.Advance(tuning.LeaderLeaseTTL - tuning.VoteValidity/4)
	sentAt := clock.Now()
	clock.Advance(tuning.VoteValidity / 2)
	if elector.extendByVotes(5, elector.voteRound, sentAt, Votes{WithoutMemory: 1}); elector.MayAct(5) {
		t.Error("votes without memory made a lapsed term valid again")
	}
}

// Guards against a vote by a member that began a campaign, or became the leader, after it checked that it is a
// follower.
func TestNoVoteAfterACampaignBeganMeanwhile(t *testing.T) {
	for name, begin := range map[string]func(elector *Elector){
		"a campaign":       func(elector *Elector) { elector.campaigning = true },
		"a term as leader": func(elector *Elector) { elector.ownTerm = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			var elector *Elector
			elector = newElector(interruptedStore{fn: func() { begin(elector) }}, unreachablePeers, "a", clock)
			clock.Advance(voteBindsFor + tuning.ConfirmationValidity)
			elector.noteStillLeading(5, clock.Now())
			if got := elector.Vote(t.Context(), 5); got != Refused {
				t.Errorf("answers the vote request with %v, want Refused", got)
			}
		})
	}
}
