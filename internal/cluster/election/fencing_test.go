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
// is silent: if it was fenced off before, the leader goes on with the votes of
// the others, for as long as the fencing lease surely stands.
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
			until(t, s, clock, leading, "a look at who is silent", func() bool { return clock.Since(begun) > 2*tuning.FencingLeaseRenew })
			s.Refuse(true)
			begun = clock.Now()
			until(t, s, clock, leading, "the end of the term's validity", func() bool { return !a.Valid(leadership.Term) })
			d := clock.Since(begun)
			if c.goesOn && (d < tuning.FencingLeaseTTL/2 || d > tuning.FencingLeaseTTL) || !c.goesOn && d > tuning.LeaseTTL {
				t.Errorf("invalid after %v", d)
			}
		})
	}
}

// Guards against a second leader beside one that counts on a fencing lease: a member
// that is fenced off does not campaign without a confirmation while the lease stands,
// not even if the lease was taken a moment before the member's transaction.
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
	clock.Advance(tuning.LeaseTTL + time.Second) // the leader's lease has expired, the fencing lease stands
	s.Expire()
	_, version, err := e.readTerm(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := e.campaign(t.Context(), leadership.Term, version, early); ok {
		t.Error("leads on an eligibility that is older than the fencing lease")
	}
	if _, err := e.checkEligibility(t.Context(), leadership.Term); !errors.Is(err, errNotConfirmed) {
		t.Error("campaigns though it is fenced off")
	}
	e.peers = &fakePeers{confirm: always(true)}
	if l, err := e.checkEligibility(t.Context(), leadership.Term); err != nil || l.until.IsZero() {
		t.Error("a confirmation gives no eligibility for a time")
	}
	e.peers = &fakePeers{confirm: always(false)}
	clock.Advance(tuning.FencingLeaseTTL)
	s.Expire()
	if _, err := e.checkEligibility(t.Context(), leadership.Term); err != nil {
		t.Error("waits though the fencing lease is gone")
	}
}

// A member that answers again is released, unless votes may count on the fencing lease.
func TestMemberThatAnswersAgainIsReleased(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "a", clock)
	eligible, _ := e.checkEligibility(t.Context(), 0)
	leadership, ok := e.campaign(t.Context(), 0, 0, eligible)
	if !ok {
		t.Fatal("does not lead")
	}
	e.peers = &fakePeers{silent: []string{"b"}}
	e.updateFencing(t.Context(), leadership)
	if _, ok := s.Value(prefixFencing + "b"); !ok || e.fencing.member != "b" {
		t.Fatal("a silent member is not fenced off")
	}
	e.peers = &fakePeers{}
	e.noteFailedRenewal() // the term's validity may rest on the fencing lease
	if e.updateFencing(t.Context(), leadership); e.fencing.member != "b" {
		t.Error("a fencing lease that may be counted on is revoked")
	}
	e.noteRenewal(leadership.Term, clock.Now())
	e.updateFencing(t.Context(), leadership)
	if _, ok := s.Value(prefixFencing + "b"); ok || e.fencing.member != "" {
		t.Error("it stays fenced off")
	}
}

// Guards against a member that is released while the term's validity rests on votes that count on its fencing lease: a round of
// votes that was begun before a renewal's answer was taken in, and ends after it.
func TestRenewalVoidsTheOpenVoteRound(t *testing.T) {
	clock, s := newState(t)
	e := newElector(statestore.New(s.Addr(), 1e6, 1e6), &fakePeers{silent: []string{"b"}}, "a", clock)
	eligible, _ := e.checkEligibility(t.Context(), 0)
	leadership, ok := e.campaign(t.Context(), 0, 0, eligible)
	if !ok {
		t.Fatal("does not lead")
	}
	e.updateFencing(t.Context(), leadership)
	renewalSent := clock.Now()
	e.noteFailedRenewal()
	clock.Advance(2 * tuning.LeaseTTL) // the process stands still, and its lease may expire
	round, sent, needed := e.beginVoteRound(leadership.Term)
	if !needed {
		t.Fatal("no votes are needed")
	}
	e.noteRenewal(leadership.Term, renewalSent)
	e.extendByVotes(leadership.Term, round, sent, votesBut("b")())
	if e.Valid(leadership.Term) {
		t.Error("the term is valid by votes")
	}
	e.peers = &fakePeers{} // b answers again
	e.updateFencing(t.Context(), leadership)
	if _, ok := s.Value(prefixFencing + "b"); ok {
		t.Error("b stays fenced off")
	}
}

// Guards against a fencing lease that ends while the leader counts on it: the first attempt to take it, without an answer and carried
// out after the second, hung the key on its own lease, which ended earlier.
func TestLateFencingLeaseDoesNotReplaceANewerOne(t *testing.T) {
	clock, s := newState(t)
	e := newElector(unrevokableStore{statestore.New(s.Addr(), 1e6, 1e6)}, &fakePeers{silent: []string{"b"}}, "a", clock)
	eligible, _ := e.checkEligibility(t.Context(), 0)
	leadership, ok := e.campaign(t.Context(), 0, 0, eligible)
	if !ok {
		t.Fatal("does not lead")
	}
	s.DelayTransactions(func(txn wire.Txn) bool { return txn.Then[0].Put == prefixFencing+"b" })
	if e.updateFencing(t.Context(), leadership); e.fencing.member != "" || s.HeldTransactions() != 1 {
		t.Fatal("counts on a fencing lease that may not be there")
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
		t.Error("the first attempt was carried out after the second")
	}
	for clock.Since(e.fencing.sent) < fencingReliedFor-tuning.RenewEvery {
		advance(tuning.RenewEvery)
		if _, ok := s.Value(prefixFencing + "b"); !ok {
			t.Fatalf("the fencing lease is gone %v after it was taken, and is counted on for %v", clock.Since(e.fencing.sent), fencingReliedFor)
		}
	}
}
