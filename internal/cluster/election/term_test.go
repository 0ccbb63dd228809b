package election

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

// Guards against acting on a lease that may have expired: during an outage the term stops being
// valid by the local clock. The term itself is not over, and a renewal after the outage makes it valid again.
func TestTermIsInvalidInAnOutageAndValidAgainAfterIt(t *testing.T) {
	clock, state := newStateService(t)
	a := startMember(t, "a", state, unreachablePeers, clock)
	leadership := <-a.terms
	state.Refuse(true)
	started := clock.Now()
	advanceUntil(t, state, clock, leaderGoroutines, "the end of the term's validity", func() bool { return !a.MayAct(leadership.Term) })
	if clock.Since(started) > tuning.LeaderLeaseTTL {
		t.Errorf("the term stayed valid for %v without a renewal", clock.Since(started))
	}
	state.Refuse(false)
	advanceUntil(t, state, clock, leaderGoroutines, "the term to be valid again", func() bool { return a.MayAct(leadership.Term) })
	if len(a.terms) != 0 || len(a.ended) != 0 {
		t.Error("the outage ended the term")
	}
}

// Guards against a term that stays valid for longer than the lease lasts because the time of the request was not
// counted: the validity counts from before the request was sent.
func TestValidityCountsFromBeforeTheRequest(t *testing.T) {
	for name, renew := range map[string]func(elector *Elector, sentAt time.Time){
		"granted": func(elector *Elector, sentAt time.Time) { elector.beginTerm(5, 1, sentAt) },
		"renewed": func(elector *Elector, sentAt time.Time) {
			elector.beginTerm(5, 1, sentAt)
			elector.noteRenewal(5, sentAt)
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			elector := newElector(nil, unreachablePeers, "a", clock)
			sentAt := clock.Now()
			clock.Advance(tuning.LeaseCallTimeout)
			renew(elector, sentAt)
			clock.Advance(tuning.LeaderLeaseTTL - tuning.LeaseCallTimeout - 100*time.Millisecond)
			if !elector.MayAct(5) {
				t.Errorf("invalid already %v after the request was sent", clock.Since(sentAt))
			}
			if clock.Advance(100 * time.Millisecond); elector.MayAct(5) {
				t.Errorf("still valid %v after the request was sent", clock.Since(sentAt))
			}
		})
	}
}

// Guards against seconds without a leader when the state service refuses only the leader. The leader resigns, and
// then another member revokes the leader's lease.
func TestLeaderRefusedAloneHandsOver(t *testing.T) {
	clock, state := newStateService(t)
	var a *member
	var leadership Leadership
	validAtRevocation := make(chan bool, 1)
	peers := &fakePeers{nobodyLeads: always(true), votes: func() Votes { return Votes{Refused: 1} }}
	peers.endLease = func(uint64) { validAtRevocation <- a.MayAct(leadership.Term) }
	a = startMember(t, "a", state, peers, clock)
	leadership = <-a.terms
	state.Refuse(true)
	advanceUntil(t, state, clock, 1, "the handover", func() bool { return len(a.ended) > 0 })
	if <-validAtRevocation {
		t.Error("asked for the revocation of its lease while its term was valid")
	}
	if a.Leader() == "a" {
		t.Error("still names itself as the leader")
	}
}

// Guards against an unnecessary change of leader at the end of an outage, which a follower may
// notice just before the leader's next renewal.
func TestEndOfAnOutageIsNoReasonToHandOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	elector := newElector(nil, &fakePeers{endLease: func(uint64) { t.Error("asked for the revocation of its lease") }}, "a", clock)
	elector.beginTerm(3, 1, clock.Now())
	for range 100 {
		elector.noteFailedRenewal() // the outage
	}
	elector.handOver(t.Context(), 3) // a follower answers that the state service serves it
	elector.noteFailedRenewal()      // this renewal was sent before the outage ended
	elector.handOver(t.Context(), 3)
	elector.noteRenewal(3, clock.Now())
	elector.noteFailedRenewal()
	elector.handOver(t.Context(), 3)
	if !elector.MayAct(3) {
		t.Error("resigned at the end of an outage")
	}
}
