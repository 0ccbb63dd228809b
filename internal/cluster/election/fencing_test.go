package election

import (
	"errors"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against workers that kill their tasks in an outage because one member
// is silent: if that member was fenced off before, the votes of the others keep the
// term valid for as long as the fencing lease certainly exists.
func TestFencedOffMemberDoesNotEndTheTermsValidity(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent []string // before the outage
		votes  Votes
		goesOn bool
	}{
		{"fenced off", []string{"b"}, Votes{Silent: []string{"b"}}, true},
		{"silent only now", nil, Votes{Silent: []string{"b"}}, false},
		{"another is silent", []string{"b"}, Votes{Silent: []string{"c"}}, false},
		{"two are silent", []string{"b", "c"}, Votes{Silent: []string{"b", "c"}}, false},
		{"another may have confirmed", []string{"b"}, Votes{Silent: []string{"b"}, WithoutMemory: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock, s := newState(t)
			a := start(t, "a", s, &fakePeers{nobodyLeads: always(true), silent: c.silent, votes: func() Votes { return c.votes }}, clock)
			leadership := <-a.terms
			begun := clock.Now()
			until(t, s, clock, leading, "the leader to check which members are silent", func() bool { return clock.Since(begun) > 2*tuning.FencingLeaseRenew })
			s.Refuse(true)
			begun = clock.Now()
			until(t, s, clock, leading, "the end of the term's validity", func() bool { return !a.Valid(leadership.Term) })
			d := clock.Since(begun)
			if c.goesOn && (d < tuning.FencingLeaseTTL/2 || d > tuning.FencingLeaseTTL) || !c.goesOn && d > tuning.LeaseTTL {
				t.Errorf("the term became invalid %v after the outage began", d)
			}
		})
	}
}

// Guards against a second leader while the first relies on a fencing lease: a member
// that is fenced off does not campaign without a confirmation while the lease exists,
// not even if it was fenced off just before its campaign's transaction.
func TestFencedOffMemberNeedsAConfirmation(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), &fakePeers{confirm: always(false)}, "b", clock)
	early, err := e.checkEligibility(t.Context(), 0)
	if err != nil {
		t.Fatalf("a member that is not fenced off needs a confirmation: %v", err)
	}
	a := start(t, "a", s, &fakePeers{nobodyLeads: always(true), votes: votesBut("b"), silent: []string{"b"}}, clock)
	leadership := <-a.terms
	until(t, s, clock, leading, "the fencing lease", func() bool { _, ok := s.Value(prefixFencing + "b"); return ok })
	a.stop()
	<-a.ended
	clock.Advance(tuning.LeaseTTL + time.Second) // the leader's lease has expired, the fencing lease has not
	s.Expire()
	_, version, err := e.readTerm(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := e.campaign(t.Context(), leadership.Term, version, early); ok {
		t.Error("won a campaign with an eligibility from before it was fenced off")
	}
	if _, err := e.checkEligibility(t.Context(), leadership.Term); !errors.Is(err, errNotConfirmed) {
		t.Error("may campaign although it is fenced off and nobody confirms")
	}
	e.peers = &fakePeers{confirm: always(true)}
	if l, err := e.checkEligibility(t.Context(), leadership.Term); err != nil || l.until.IsZero() {
		t.Error("a confirmation does not make it eligible for a limited time")
	}
	e.peers = &fakePeers{confirm: always(false)}
	clock.Advance(tuning.FencingLeaseTTL)
	s.Expire()
	if _, err := e.checkEligibility(t.Context(), leadership.Term); err != nil {
		t.Error("may not campaign although the fencing lease has expired")
	}
}

// A member that answers again is released, unless votes may rely on the fencing lease.
func TestMemberThatAnswersAgainIsReleased(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "a", clock)
	eligible, _ := e.checkEligibility(t.Context(), 0)
	leadership, ok := e.campaign(t.Context(), 0, 0, eligible)
	if !ok {
		t.Fatal("the campaign failed")
	}
	e.peers = &fakePeers{silent: []string{"b"}}
	e.updateFencing(t.Context(), leadership)
	if _, ok := s.Value(prefixFencing + "b"); !ok || e.fencing.member != "b" {
		t.Fatal("a silent member is not fenced off")
	}
	e.peers = &fakePeers{}
	e.noteFailedRenewal() // the term's validity may depend on the fencing lease
	if e.updateFencing(t.Context(), leadership); e.fencing.member != "b" {
		t.Error("a fencing lease that votes may rely on was released")
	}
	e.noteRenewal(leadership.Term, clock.Now())
	e.updateFencing(t.Context(), leadership)
	if _, ok := s.Value(prefixFencing + "b"); ok || e.fencing.member != "" {
		t.Error("a member that answers again is still fenced off")
	}
}

// Guards against a member that is released while the term's validity depends on votes that rely on its fencing lease. That
// happened when a vote round began before the answer to a renewal was processed, and ended after it.
func TestRenewalVoidsTheOpenVoteRound(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), &fakePeers{silent: []string{"b"}}, "a", clock)
	eligible, _ := e.checkEligibility(t.Context(), 0)
	leadership, ok := e.campaign(t.Context(), 0, 0, eligible)
	if !ok {
		t.Fatal("the campaign failed")
	}
	e.updateFencing(t.Context(), leadership)
	renewalSent := clock.Now()
	e.noteFailedRenewal()
	clock.Advance(2 * tuning.LeaseTTL) // the process is stalled, and its lease may expire
	round, sent, needed := e.beginVoteRound(leadership.Term)
	if !needed {
		t.Fatal("a leader whose renewals fail does not ask for votes")
	}
	e.noteRenewal(leadership.Term, renewalSent)
	e.extendByVotes(leadership.Term, round, sent, votesBut("b")())
	if e.Valid(leadership.Term) {
		t.Error("a void vote round made the term valid")
	}
	e.peers = &fakePeers{} // b answers again
	e.updateFencing(t.Context(), leadership)
	if _, ok := s.Value(prefixFencing + "b"); ok {
		t.Error("b answers again and is still fenced off")
	}
}

// Guards against a fencing lease that expires while the leader relies on it. That happened when the first attempt to fence
// the member off got no answer and was executed after the second: it attached the key to its own lease, which expired earlier.
func TestLateFencingLeaseDoesNotReplaceANewerOne(t *testing.T) {
	clock, s := newState(t)
	e := newElector(unrevokableStore{statestore.New(s.Addr(), 1e6, 1e6)}, &fakePeers{silent: []string{"b"}}, "a", clock)
	eligible, _ := e.checkEligibility(t.Context(), 0)
	leadership, ok := e.campaign(t.Context(), 0, 0, eligible)
	if !ok {
		t.Fatal("the campaign failed")
	}
	s.DelayTransactions(func(txn wire.Txn) bool { return txn.Then[0].Put == prefixFencing+"b" })
	if e.updateFencing(t.Context(), leadership); e.fencing.member != "" || s.HeldTransactions() != 1 {
		t.Fatal("relies on a fencing lease although the transaction got no answer")
	}
	s.DelayTransactions(nil)
	advance := func(d time.Duration) {
		for ; d > 0; d -= tuning.RenewEvery {
			clock.Advance(tuning.RenewEvery)
			if err := e.store.RenewLease(t.Context(), e.lease); err != nil {
				t.Fatal(err)
			}
		}
	}
	advance(tuning.FencingLeaseTTL / 2)
	if e.updateFencing(t.Context(), leadership); e.fencing.member != "b" {
		t.Fatal("the silent member is not fenced off")
	}
	if late := s.Deliver(); len(late) != 0 {
		t.Error("the first attempt was executed after the second")
	}
	for clock.Since(e.fencing.sent) < fencingReliedFor-tuning.RenewEvery {
		advance(tuning.RenewEvery)
		if _, ok := s.Value(prefixFencing + "b"); !ok {
			t.Fatalf("the fencing lease is gone %v after it was acquired, but the leader relies on it for %v", clock.Since(e.fencing.sent), fencingReliedFor)
		}
	}
}
