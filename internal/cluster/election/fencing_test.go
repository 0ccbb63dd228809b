package election

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against workers that kill their tasks in an outage because one member is silent. If that member was fenced
// off before, the votes of the others extend the term's validity for as long as the fencing lease certainly exists.
func TestFencedOffMemberDoesNotEndTheTermsValidity(t *testing.T) {
	for _, c := range []struct {
		name       string
		silent     []string // the members that are silent before the outage
		votes      Votes
		staysValid bool
	}{
		{"fenced off", []string{"b"}, Votes{Silent: []string{"b"}}, true},
		{"silent only now", nil, Votes{Silent: []string{"b"}}, false},
		{"another is silent", []string{"b"}, Votes{Silent: []string{"c"}}, false},
		{"two are silent", []string{"b", "c"}, Votes{Silent: []string{"b", "c"}}, false},
		{"another may have confirmed", []string{"b"}, Votes{Silent: []string{"b"}, WithoutMemory: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock, state := newStateService(t)
			a := startMember(t, "a", state, &fakePeers{nobodyLeads: always(true), silent: c.silent, votes: func() Votes { return c.votes }}, clock)
			leadership := <-a.terms
			started := clock.Now()
			advanceUntil(t, state, clock, leaderGoroutines, "the leader to check which members are silent", func() bool { return clock.Since(started) > 2*tuning.FencingLeaseRenewEvery })
			state.Refuse(true)
			started = clock.Now()
			advanceUntil(t, state, clock, leaderGoroutines, "the end of the term's validity", func() bool { return !a.MayAct(leadership.Term) })
			validFor := clock.Since(started)
			if c.staysValid && (validFor < tuning.FencingLeaseTTL/2 || validFor > tuning.FencingLeaseTTL) || !c.staysValid && validFor > tuning.LeaderLeaseTTL {
				t.Errorf("the term became invalid %v after the outage began", validFor)
			}
		})
	}
}

// Guards against a second leader while the first relies on a fencing lease. A member that is fenced off does not
// campaign without a confirmation while that lease exists. That holds even if the member was fenced off just before
// its campaign's transaction.
func TestFencedOffMemberNeedsAConfirmation(t *testing.T) {
	clock, state := newStateService(t)
	elector := newElector(statestore.New(state.Addr(), 1e6, 1e6), &fakePeers{confirm: always(false)}, "b", clock)
	eligibilityBefore, err := elector.checkEligibility(t.Context(), 0)
	if err != nil {
		t.Fatalf("a member that is not fenced off needs a confirmation: %v", err)
	}
	a := startMember(t, "a", state, &fakePeers{nobodyLeads: always(true), votes: votesExcept("b"), silent: []string{"b"}}, clock)
	leadership := <-a.terms
	advanceUntil(t, state, clock, leaderGoroutines, "the fencing lease", func() bool { _, ok := state.Value(prefixFencing + "b"); return ok })
	a.stop()
	<-a.ended
	clock.Advance(tuning.LeaderLeaseTTL + time.Second) // the leader's lease has expired, the fencing lease has not
	state.Expire()
	_, version, err := elector.readTerm(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := elector.campaign(t.Context(), leadership.Term, version, eligibilityBefore); ok {
		t.Error("won a campaign with an eligibility from before it was fenced off")
	}
	if _, err := elector.checkEligibility(t.Context(), leadership.Term); !errors.Is(err, errNotConfirmed) {
		t.Error("may campaign although it is fenced off and nobody confirms")
	}
	elector.peers = &fakePeers{confirm: always(true)}
	if eligibility, err := elector.checkEligibility(t.Context(), leadership.Term); err != nil || eligibility.expiresAt.IsZero() {
		t.Error("a confirmation does not make it eligible for a limited time")
	}
	elector.peers = &fakePeers{confirm: always(false)}
	clock.Advance(tuning.FencingLeaseTTL)
	state.Expire()
	if _, err := elector.checkEligibility(t.Context(), leadership.Term); err != nil {
		t.Error("may not campaign although the fencing lease has expired")
	}
}

// A member that answers again is released, unless votes may rely on the fencing lease.
func TestMemberThatAnswersAgainIsReleased(t *testing.T) {
	clock, state := newStateService(t)
	elector := newElector(statestore.New(state.Addr(), 1e6, 1e6), unreachablePeers, "a", clock)
	eligibility, _ := elector.checkEligibility(t.Context(), 0)
	leadership, ok := elector.campaign(t.Context(), 0, 0, eligibility)
	if !ok {
		t.Fatal("the campaign failed")
	}
	elector.peers = &fakePeers{silent: []string{"b"}}
	elector.updateFencing(t.Context(), leadership)
	if _, ok := state.Value(prefixFencing + "b"); !ok || elector.fencing.member != "b" {
		t.Fatal("a silent member is not fenced off")
	}
	elector.peers = &fakePeers{}
	elector.noteFailedRenewal() // the term's validity may depend on the fencing lease
	if elector.updateFencing(t.Context(), leadership); elector.fencing.member != "b" {
		t.Error("a fencing lease that votes may rely on was released")
	}
	elector.noteRenewal(leadership.Term, clock.Now())
	elector.updateFencing(t.Context(), leadership)
	if _, ok := state.Value(prefixFencing + "b"); ok || elector.fencing.member != "" {
		t.Error("a member that answers again is still fenced off")
	}
}

// Guards against a member that is released while the term's validity depends on votes that rely on its fencing
// lease. That happened when a vote round began before the answer to a renewal was processed, and ended after it.
func TestRenewalVoidsTheOpenVoteRound(t *testing.T) {
	clock, state := newStateService(t)
	elector := newElector(statestore.New(state.Addr(), 1e6, 1e6), &fakePeers{silent: []string{"b"}}, "a", clock)
	eligibility, _ := elector.checkEligibility(t.Context(), 0)
	leadership, ok := elector.campaign(t.Context(), 0, 0, eligibility)
	if !ok {
		t.Fatal("the campaign failed")
	}
	elector.updateFencing(t.Context(), leadership)
	renewalSent := clock.Now()
	elector.noteFailedRenewal()
	clock.Advance(2 * tuning.LeaderLeaseTTL) // the process is stalled, and its lease may expire
	round, sentAt, needed := elector.beginVoteRound(leadership.Term)
	if !needed {
		t.Fatal("a leader whose renewals fail does not ask for votes")
	}
	elector.noteRenewal(leadership.Term, renewalSent)
	elector.extendByVotes(leadership.Term, round, sentAt, votesExcept("b")())
	if elector.MayAct(leadership.Term) {
		t.Error("a void vote round made the term valid")
	}
	elector.peers = &fakePeers{} // b answers again
	elector.updateFencing(t.Context(), leadership)
	if _, ok := state.Value(prefixFencing + "b"); ok {
		t.Error("b answers again and is still fenced off")
	}
}

// Guards against a fencing lease that expires while the leader relies on it. That happened when the first attempt
// to fence the member off got no answer and was executed after the second attempt: the first attempt then attached
// the key to its own lease, which expired earlier.
func TestLateFencingLeaseDoesNotReplaceANewerOne(t *testing.T) {
	clock, state := newStateService(t)
	elector := newElector(unrevokableStore{statestore.New(state.Addr(), 1e6, 1e6)}, &fakePeers{silent: []string{"b"}}, "a", clock)
	eligibility, _ := elector.checkEligibility(t.Context(), 0)
	leadership, ok := elector.campaign(t.Context(), 0, 0, eligibility)
	if !ok {
		t.Fatal("the campaign failed")
	}
	state.DelayTransactions(func(txn wire.Txn) bool { return txn.Then[0].Put == prefixFencing+"b" })
	if elector.updateFencing(t.Context(), leadership); elector.fencing.member != "" || state.UndeliveredRequests() != 1 {
		t.Fatal("relies on a fencing lease although the transaction got no answer")
	}
	state.DelayTransactions(nil)
	advance := func(d time.Duration) {
		for ; d > 0; d -= tuning.LeaderLeaseRenewEvery {
			clock.Advance(tuning.LeaderLeaseRenewEvery)
			if err := elector.store.RenewLease(t.Context(), elector.lease); err != nil {
				t.Fatal(err)
			}
		}
	}
	advance(tuning.FencingLeaseTTL / 2)
	if elector.updateFencing(t.Context(), leadership); elector.fencing.member != "b" {
		t.Fatal("the silent member is not fenced off")
	}
	if applied := state.Deliver(); len(applied) != 0 {
		t.Error("the first attempt was executed after the second")
	}
	for clock.Since(elector.fencing.sentAt) < fencingReliedOnFor-tuning.LeaderLeaseRenewEvery {
		advance(tuning.LeaderLeaseRenewEvery)
		if _, ok := state.Value(prefixFencing + "b"); !ok {
			t.Fatalf("the fencing lease is gone %v after it was acquired, but the leader relies on it for %v", clock.Since(elector.fencing.sentAt), fencingReliedOnFor)
		}
	}
}
