package election

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// Guards against a former leader that takes its right up again, though another has led since: one that was cut off from the
// state service and all others, its lease over, once got the promises of members that had led or heard of a later
// leader, as soon as an outage kept all from seeing who leads.
func TestAFormerTermGetsNoPromises(t *testing.T) {
	for _, c := range []struct {
		name string
		past func(e *Elector, now time.Time)
		want Vote
	}{
		{"nothing later is known", func(*Elector, time.Time) {}, Granted},
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
		clock := clockwork.NewFakeClock()
		s := fakes.NewState(clock)
		t.Cleanup(s.Close)
		e := New(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "b", clock, slog.New(slog.DiscardHandler))
		clock.Advance(voteKeptFor + tuning.ConfirmationFor)
		e.noteStillLeading(5, clock.Now())
		c.past(e, clock.Now())
		s.Refuse(true)
		if got := e.Vote(t.Context(), 5); got != c.want {
			t.Errorf("%s: it answers %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against the same where those that led in between were started anew and know nothing of it: their promises may go on with a
// right, not bring one back.
func TestForgetfulPromisesBringNoRightBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapsed bool
		p      Votes
		valid  bool
	}{
		{"goes on with a right", false, Votes{WithoutMemory: 2}, true},
		{"does not bring one back", true, Votes{WithoutMemory: 2}, false},
		{"nor does one of two", true, Votes{WithoutMemory: 1}, false},
		{"those that remember bring it back", true, Votes{}, true},
	} {
		clock := clockwork.NewFakeClock()
		e := New(nil, unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
		e.beginTerm(5, 1, clock.Now())
		clock.Advance(tuning.LeaseTTL - tuning.VoteFor/2)
		if c.lapsed {
			clock.Advance(tuning.VoteFor)
		}
		sent := clock.Now()
		e.extendByVotes(5, e.voteRound, sent, c.p)
		clock.Advance(tuning.VoteFor * 3 / 4)
		if e.Valid(5) != c.valid {
			t.Errorf("%s: valid %v", c.name, e.Valid(5))
		}
	}
}

// Guards against the same where the right lapses while the members are being asked.
func TestARightThatLapsesInTheRoundIsNotBroughtBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(nil, unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
	e.beginTerm(5, 1, clock.Now())
	clock.Advance(tuning.LeaseTTL - tuning.VoteFor/4)
	sent := clock.Now()
	clock.Advance(tuning.VoteFor / 2)
	if e.extendByVotes(5, e.voteRound, sent, Votes{WithoutMemory: 1}); e.Valid(5) {
		t.Error("the right came back")
	}
}

// A leader that hears of a later one knows that its lease is over, though nothing tells it: it acts no more.
func TestALeaderThatHearsOfALaterOneGivesUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(nil, unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
	e.beginTerm(5, 1, clock.Now())
	e.noteHolder("a", 5)
	e.NoteLeader("b", 4)
	e.NoteLeader("a", 5)
	if !e.Valid(5) {
		t.Error("gives up for itself or an earlier one")
	}
	e.NoteLeader("b", 6)
	if name, term := e.Holder(); e.Valid(5) || name != "b" || term != 6 {
		t.Errorf("valid %v, names %q of term %d", e.Valid(5), name, term)
	}
	e.extendByVotes(5, e.voteRound, clock.Now(), Votes{})
	if e.Valid(5) {
		t.Error("promises bring the right back")
	}
}

// unrevokableStore is a store in which no lease can be given back.
type unrevokableStore struct{ Store }

func (unrevokableStore) RevokeLease(context.Context, uint64) error { return statestore.ErrNotExecuted }

// Guards against a fence that ends while the leader counts on it: the first attempt to set it, without an answer and carried
// out after the second, hung the key on its own lease, which ended earlier.
func TestALateFenceDoesNotReplaceANewerOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	e := New(unrevokableStore{statestore.New(s.Addr(), 1e6, 1e6)}, &fakePeers{silent: []string{"b"}}, "a", clock, slog.New(slog.DiscardHandler))
	leave, _ := e.checkEligibility(t.Context(), 0)
	tenure, ok := e.campaign(t.Context(), 0, 0, leave)
	if !ok {
		t.Fatal("does not lead")
	}
	s.Late(func(txn wire.Txn) bool { return txn.Then[0].Put == prefixFencing+"b" })
	if e.updateFencing(t.Context(), tenure); e.fencing.member != "" || s.Held() != 1 {
		t.Fatal("counts on a fence that may not be there")
	}
	s.Late(nil)
	pass := func(d time.Duration) {
		for ; d > 0; d -= tuning.RenewEvery {
			clock.Advance(tuning.RenewEvery)
			if err := e.store.RenewLease(t.Context(), e.lease); err != nil {
				t.Fatal(err)
			}
		}
	}
	pass(tuning.FencingLeaseTTL / 2)
	if e.updateFencing(t.Context(), tenure); e.fencing.member != "b" {
		t.Fatal("the silent member is not fenced off")
	}
	if late := s.Deliver(); len(late) != 0 {
		t.Error("the first attempt was carried out after the second")
	}
	for clock.Since(e.fencing.sent) < fencingReliedFor-tuning.RenewEvery {
		pass(tuning.RenewEvery)
		if _, ok := s.Value(prefixFencing + "b"); !ok {
			t.Fatalf("the fence is gone %v after it was set, and is counted on for %v", clock.Since(e.fencing.sent), fencingReliedFor)
		}
	}
}

// interruptedStore is a store whose reading fails after something has happened.
type interruptedStore struct {
	Store
	fn func()
}

func (s interruptedStore) Get(context.Context, string) (wire.Item, bool, error) {
	s.fn()
	return wire.Item{}, false, statestore.ErrNotExecuted
}

// Guards against a promise that is given while a campaign of ours has begun, or we have come to lead, since we looked whether we follow.
func TestNoPromiseBesideACampaignThatBeganMeanwhile(t *testing.T) {
	for name, begin := range map[string]func(e *Elector){
		"a campaign": func(e *Elector) { e.campaigning = true },
		"a tenure":   func(e *Elector) { e.ownTerm = 4 },
	} {
		clock := clockwork.NewFakeClock()
		var e *Elector
		e = New(interruptedStore{fn: func() { begin(e) }}, unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
		clock.Advance(voteKeptFor + tuning.ConfirmationFor)
		e.noteStillLeading(5, clock.Now())
		if got := e.Vote(t.Context(), 5); got != Refused {
			t.Errorf("%s: it answers %v", name, got)
		}
	}
}

// Guards against a right that outlives the lease by the time that a renewal took: it counts from before the request.
func TestTheRightCountsFromBeforeTheRequest(t *testing.T) {
	for name, renew := range map[string]func(e *Elector, sent time.Time){
		"gained":  func(e *Elector, sent time.Time) { e.beginTerm(5, 1, sent) },
		"renewed": func(e *Elector, sent time.Time) { e.beginTerm(5, 1, sent); e.noteRenewal(5, sent) },
	} {
		clock := clockwork.NewFakeClock()
		e := New(nil, unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
		sent := clock.Now()
		clock.Advance(tuning.RenewTimeout)
		renew(e, sent)
		clock.Advance(tuning.LeaseTTL - tuning.RenewTimeout - 100*time.Millisecond)
		if !e.Valid(5) {
			t.Errorf("%s: over %v after the request", name, clock.Since(sent))
		}
		if clock.Advance(100 * time.Millisecond); e.Valid(5) {
			t.Errorf("%s: acts %v after the request", name, clock.Since(sent))
		}
	}
}
