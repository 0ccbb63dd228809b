package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// fakePeers are the other members, as a test wants them to answer.
type fakePeers struct {
	votes       func() Votes
	nobodyLeads func() bool
	confirm     func() bool // nil: they do
	endLease    func(lease uint64)
	silent      []string
}

func (p *fakePeers) RequestVotes(context.Context, uint64) Votes { return p.votes() }
func (p *fakePeers) NobodyLeads(context.Context) bool           { return p.nobodyLeads() }
func (p *fakePeers) ConfirmTermOver(context.Context, uint64) bool {
	return p.confirm == nil || p.confirm()
}
func (p *fakePeers) EndLease(_ context.Context, lease uint64) { p.endLease(lease) }
func (p *fakePeers) Silent() []string                         { return p.silent }

func always(b bool) func() bool { return func() bool { return b } }

func votesBut(names ...string) func() Votes {
	return func() Votes { return Votes{Silent: names} }
}

// unreachablePeers is how it is when no peer answers a leader, though none leads.
var unreachablePeers = &fakePeers{votes: votesBut("b", "c"), nobodyLeads: always(true)}

type member struct {
	*Elector
	stop  context.CancelFunc
	terms chan Leadership
	ended chan Leadership
}

func start(t *testing.T, name string, s *fakes.State, p Peers, clock clockwork.Clock) *member {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	m := &member{
		Elector: New(statestore.New(s.Addr(), 1e6, 1e6), p, name, clock, slog.New(slog.DiscardHandler)),
		stop:    stop, terms: make(chan Leadership, 8), ended: make(chan Leadership, 8),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx, func(ctx context.Context, t Leadership) {
			m.terms <- t
			<-ctx.Done()
			m.ended <- t
		})
	}()
	t.Cleanup(func() { stop(); <-done })
	return m
}

// How many goroutines of an elector wait for the clock: a follower's one, or
// of a leader those that renew the lease, ask for promises and look after the fence.
const (
	following = 1
	leading   = 3
)

// until lets time pass in small steps until a condition holds. It moves the
// clock only while the one elector that runs waits for it, never during a call.
func until(t *testing.T, s *fakes.State, clock *clockwork.FakeClock, waiting int, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // a hang is a failure
	defer cancel()
	for !holds() {
		if err := clock.BlockUntilContext(ctx, waiting); err != nil {
			t.Fatalf("never happened: %s", what)
		}
		clock.Advance(10 * time.Millisecond)
		s.Expire()
	}
}

func TestOneLeadsAndAnotherFollowsWhenItsLeaseEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	a := start(t, "a", s, unreachablePeers, clock)
	first := <-a.terms
	if !a.Valid(first.Term) || a.Leader() != "a" {
		t.Fatalf("valid %v, leader %q", a.Valid(first.Term), a.Leader())
	}
	b := start(t, "b", s, unreachablePeers, clock)
	a.stop() // killed: it gives nothing back
	<-a.ended
	clock.Advance(2 * tuning.LeaseTTL)
	s.Expire()
	second := <-b.terms
	if second.Term <= first.Term || a.Valid(first.Term) || !b.Valid(second.Term) || b.Valid(first.Term) {
		t.Errorf("terms %d, %d", first.Term, second.Term)
	}
	// Whatever the first leader still sends fails on its guard.
	_, err := statestore.New(s.Addr(), 1e6, 1e6).Commit(t.Context(), wire.Txn{
		If: []wire.Condition{first.Guard}, Then: []wire.Change{{Put: "run/x", Value: json.RawMessage("1")}},
	})
	if err == nil {
		t.Error("a late transaction of the first leader was applied")
	}
}

// Guards against acting on a lease that may have ended: during an outage the
// right ends by the local clock, and the tenure outlives it.
func TestTheRightEndsInAnOutageAndComesBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	a := start(t, "a", s, unreachablePeers, clock)
	tenure := <-a.terms
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
	if clock.Since(begun) > tuning.LeaseTTL {
		t.Errorf("acted for %v without a renewal", clock.Since(begun))
	}
	s.Refuse(false)
	until(t, s, clock, leading, "the right to come back", func() bool { return a.Valid(tenure.Term) })
	if len(a.terms) != 0 || len(a.ended) != 0 {
		t.Error("the tenure was lost in the outage")
	}
}

// Guards against two leaders after a campaign without an answer: nobody acts
// on it, and when its lease is over the next campaign has a higher term.
func TestACampaignWithoutAnAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	muted := 0
	s.Mute(func(txn wire.Txn) bool {
		if strings.HasPrefix(txn.Then[0].Put, "lead/") {
			muted++
		}
		return muted == 1
	})
	a := start(t, "a", s, unreachablePeers, clock)
	var tenure Leadership
	until(t, s, clock, following, "a tenure", func() bool {
		select {
		case tenure = <-a.terms:
			return true
		default:
			return false
		}
	})
	if tenure.Term != 2 {
		t.Errorf("term %d; the campaign without an answer had term 1", tenure.Term)
	}
}

// Guards against workers that kill their tasks in an outage of the state
// service: with every other member's promise not to campaign, the leader may
// go on answering them; without, it may not.
func TestPromisesExtendTheRightInAnOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	var given atomic.Bool
	given.Store(true)
	a := start(t, "a", s, &fakePeers{nobodyLeads: always(true), votes: func() Votes {
		if given.Load() {
			return Votes{}
		}
		return Votes{Silent: []string{"b", "c"}}
	}}, clock)
	tenure := <-a.terms
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "a long outage to pass", func() bool {
		return clock.Since(begun) > 2*tuning.FencingLeaseTTL || !a.Valid(tenure.Term)
	})
	if !a.Valid(tenure.Term) {
		t.Fatalf("the right ended after %v", clock.Since(begun))
	}
	given.Store(false)
	begun = clock.Now()
	until(t, s, clock, leading, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
	if clock.Since(begun) > tuning.VoteFor {
		t.Errorf("acted for %v after the last promise", clock.Since(begun))
	}
}

// Guards against two leaders: who promised keeps quiet, and so does a member
// that was started anew and may have promised in its former life.
func TestPromisesAreKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	e := New(statestore.New(s.Addr(), 1e6, 1e6), &fakePeers{nobodyLeads: always(false)}, "a", clock, slog.New(slog.DiscardHandler))
	if e.mayCampaign(t.Context()) {
		t.Error("campaigns at once though a leader may count on its former life's promise")
	}
	clock.Advance(voteKeptFor)
	if !e.mayCampaign(t.Context()) {
		t.Error("does not campaign once those promises are over")
	}
	e.noteStillLeading(5, e.earlierConfirmationsUntil)
	if e.Vote(t.Context(), 5) != Refused {
		t.Error("promises while it campaigns")
	}
	e.endCampaign()
	if e.Vote(t.Context(), 5) != Refused {
		t.Error("promises though the state service answers it")
	}
	s.Refuse(true)
	if e.Vote(t.Context(), 5) != Granted {
		t.Error("does not promise in an outage")
	}
	if e.mayCampaign(t.Context()) {
		t.Error("campaigns in spite of its promise")
	}
	if e.ConfirmTermOver(5) {
		t.Error("vouches for another in spite of its promise")
	}
	clock.Advance(voteKeptFor)
	if !e.mayCampaign(t.Context()) {
		t.Error("keeps quiet after its promise is over")
	}
}

// Guards against a promise that its giver forgot by being restarted while the
// round that asked for it was still open.
func TestAQuestionOfARestartedMemberVoidsTheRound(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
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
	tenure := <-a.terms
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
	if clock.Since(begun) > tuning.LeaseTTL {
		t.Errorf("acted for %v on void rounds", clock.Since(begun))
	}
}

// Guards against members that send workers in a circle: two of three were
// refused by the state service, one of them the old leader, and both named it
// for as long as that lasted, while the third led.
func TestWhoLeadsIsHeardFromOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(nil, unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
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
	clock.Advance(tuning.LeaseTTL) // renewals are refused: the right ends, the tenure does not
	e.NoteLeader("b", 4)
	holds("b", 4)
	if e.Valid(4) || e.Valid(3) {
		t.Error("what is heard gives a right to act")
	}
	e.resign() // the own tenure's end comes later
	holds("b", 4)
	e.noteNoHolder() // the state service says that nobody leads
	e.NoteLeader("b", 4)
	holds("", 0)
	e.NoteLeader("c", 5)
	holds("c", 5)
}

// Guards against workers that kill their tasks in an outage because one member
// is silent: if it was fenced off before, the leader goes on with the promises of
// the others, for as long as the fence surely stands.
func TestAFencedMemberDoesNotEndTheRight(t *testing.T) {
	for _, c := range []struct {
		name     string
		silent   []string // before the outage
		promises Votes
		goesOn   bool
	}{
		{"fenced off", []string{"b"}, Votes{Silent: []string{"b"}}, true},
		{"silent only now", nil, Votes{Silent: []string{"b"}}, false},
		{"another is silent", []string{"b"}, Votes{Silent: []string{"c"}}, false},
		{"two are silent", []string{"b", "c"}, Votes{Silent: []string{"b", "c"}}, false},
		{"another may have vouched for it", []string{"b"}, Votes{Silent: []string{"b"}, WithoutMemory: 1}, false},
	} {
		clock := clockwork.NewFakeClock()
		s := fakes.NewState(clock)
		t.Cleanup(s.Close)
		a := start(t, "a", s, &fakePeers{nobodyLeads: always(true), silent: c.silent, votes: func() Votes { return c.promises }}, clock)
		tenure := <-a.terms
		begun := clock.Now()
		until(t, s, clock, leading, "a look at who is silent", func() bool { return clock.Since(begun) > 2*tuning.FencingLeaseRenew })
		s.Refuse(true)
		begun = clock.Now()
		until(t, s, clock, leading, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
		d := clock.Since(begun)
		if c.goesOn && (d < tuning.FencingLeaseTTL/2 || d > tuning.FencingLeaseTTL) || !c.goesOn && d > tuning.LeaseTTL {
			t.Errorf("%s: the right ended after %v", c.name, d)
		}
	}
}

// Guards against a second leader beside one that counts on a fence: a member
// that is fenced off does not campaign without a voucher while the fence stands,
// not even if it was set a moment before its transaction.
func TestAFencedMemberWaitsForAVoucher(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	e := New(statestore.New(s.Addr(), 1e6, 1e6), &fakePeers{confirm: always(false)}, "b", clock, slog.New(slog.DiscardHandler))
	early, err := e.checkEligibility(t.Context(), 0)
	if err != nil {
		t.Fatal("a member that is not fenced off needs a voucher")
	}
	a := start(t, "a", s, &fakePeers{nobodyLeads: always(true), votes: votesBut("b"), silent: []string{"b"}}, clock)
	tenure := <-a.terms
	until(t, s, clock, leading, "the fence", func() bool { _, ok := s.Value(prefixFencing + "b"); return ok })
	a.stop()
	<-a.ended
	clock.Advance(tuning.LeaseTTL + time.Second) // the leader's lease is over, the fence stands
	s.Expire()
	_, version, err := e.readTerm(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := e.campaign(t.Context(), tenure.Term, version, early); ok {
		t.Error("leads on a leave that is older than the fence")
	}
	if _, err := e.checkEligibility(t.Context(), tenure.Term); !errors.Is(err, errNotConfirmed) {
		t.Error("campaigns though it is fenced off")
	}
	e.peers = &fakePeers{confirm: always(true)}
	if l, err := e.checkEligibility(t.Context(), tenure.Term); err != nil || l.until.IsZero() {
		t.Error("a voucher gives no leave for a time")
	}
	e.peers = &fakePeers{confirm: always(false)}
	clock.Advance(tuning.FencingLeaseTTL)
	s.Expire()
	if _, err := e.checkEligibility(t.Context(), tenure.Term); err != nil {
		t.Error("waits though the fence is gone")
	}
}

// A member that answers again is let free.
func TestAFenceEndsWithTheSilence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	e := New(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
	leave, _ := e.checkEligibility(t.Context(), 0)
	tenure, ok := e.campaign(t.Context(), 0, 0, leave)
	if !ok {
		t.Fatal("does not lead")
	}
	e.peers = &fakePeers{silent: []string{"b"}}
	e.updateFencing(t.Context(), tenure)
	if _, ok := s.Value(prefixFencing + "b"); !ok || e.fencing.member != "b" {
		t.Fatal("a silent member is not fenced off")
	}
	e.peers = &fakePeers{}
	e.noteFailedRenewal() // the right may rest on the fence
	if e.updateFencing(t.Context(), tenure); e.fencing.member != "b" {
		t.Error("a fence that may be counted on is taken down")
	}
	e.noteRenewal(tenure.Term, clock.Now())
	e.updateFencing(t.Context(), tenure)
	if _, ok := s.Value(prefixFencing + "b"); ok || e.fencing.member != "" {
		t.Error("it stays fenced off")
	}
}

// Guards against a member that stands still between its voucher and its
// campaign: by then the voucher may be forgotten.
func TestAnOldVoucherIsNotActedOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	if _, err := statestore.New(s.Addr(), 1e6, 1e6).Commit(t.Context(), wire.Txn{
		Then: []wire.Change{{Put: prefixFencing + "a", Value: json.RawMessage("true")}},
	}); err != nil {
		t.Fatal(err)
	}
	asked := 0
	p := &fakePeers{nobodyLeads: always(true), confirm: func() bool {
		if asked++; asked == 1 {
			clock.Advance(tuning.ConfirmationFor)
		}
		return true
	}}
	a := start(t, "a", s, p, clock)
	until(t, s, clock, following, "a tenure", func() bool { return len(a.terms) > 0 })
	if tenure := <-a.terms; tenure.Term != 2 || asked != 2 {
		t.Errorf("leads in term %d after asking %d times", tenure.Term, asked)
	}
}

// Guards against a promise to a leader whose successor we vouched for, also by
// a member that was restarted and cannot know.
func TestAVoucherBinds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	e := New(statestore.New(s.Addr(), 1e6, 1e6), unreachablePeers, "a", clock, slog.New(slog.DiscardHandler))
	s.Refuse(true)
	if e.ConfirmTermOver(5) {
		t.Error("vouches though its former life may have promised otherwise")
	}
	e.noteStillLeading(5, clock.Now()) // its former life may have vouched a moment ago
	clock.Advance(voteKeptFor)
	if got := e.Vote(t.Context(), 5); got != GrantedWithoutMemory {
		t.Errorf("restarted, it answers %v", got)
	}
	clock.Advance(tuning.ConfirmationFor)
	e.noteStillLeading(5, clock.Now())
	if got := e.Vote(t.Context(), 5); got != Granted {
		t.Errorf("having read that the term still leads, it answers %v", got)
	}
	if e.ConfirmTermOver(5) {
		t.Error("vouches in spite of its promise")
	}
	clock.Advance(voteKeptFor)
	if !e.ConfirmTermOver(5) {
		t.Error("does not vouch for anybody")
	}
	if got := e.Vote(t.Context(), 5); got != Refused {
		t.Errorf("having vouched that the term is over, it answers %v", got)
	}
	e.noteStillLeading(6, clock.Now())
	if got := e.Vote(t.Context(), 6); got != Granted {
		t.Errorf("a later term's leader is answered %v", got)
	}
}

// A leader that is asked to vouch that its term is over gives up: the one who
// asks has seen its lease's end. It does not for an earlier term.
func TestALeaderThatIsAskedToVouchGivesUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	a := start(t, "a", s, unreachablePeers, clock)
	tenure := <-a.terms
	if a.ConfirmTermOver(tenure.Term-1) || !a.Valid(tenure.Term) {
		t.Error("gives up for a term before its own")
	}
	if !a.ConfirmTermOver(tenure.Term) || a.Valid(tenure.Term) {
		t.Error("acts on, though its lease was seen to be over")
	}
	<-a.ended
}

// Guards against seconds without a leader when the state service refuses the
// leader alone: it gives up its right, then another ends its lease.
func TestALeaderThatIsRefusedAloneHandsOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := fakes.NewState(clock)
	t.Cleanup(s.Close)
	var a *member
	var tenure Leadership
	yielded := make(chan bool, 1)
	p := &fakePeers{nobodyLeads: always(true), votes: func() Votes { return Votes{Refused: 1} }}
	p.endLease = func(uint64) { yielded <- a.Valid(tenure.Term) }
	a = start(t, "a", s, p, clock)
	tenure = <-a.terms
	s.Refuse(true)
	until(t, s, clock, 1, "the handing over", func() bool { return len(a.ended) > 0 })
	if <-yielded {
		t.Error("has its lease ended while it acts on it")
	}
	if a.Leader() == "a" {
		t.Error("still names itself")
	}
}

// Guards against a change of leaders at the end of an outage, which a follower
// notices a moment before the leader's next renewal.
func TestTheEndOfAnOutageIsNoReasonToHandOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(nil, &fakePeers{endLease: func(uint64) { t.Error("has its lease ended") }}, "a", clock, slog.New(slog.DiscardHandler))
	e.beginTerm(3, 1, clock.Now())
	for range 100 {
		e.noteFailedRenewal() // the outage
	}
	e.handOver(t.Context(), 3) // a follower says that it is served
	e.noteFailedRenewal()      // this one was on its way
	e.handOver(t.Context(), 3)
	e.noteRenewal(3, clock.Now())
	e.noteFailedRenewal()
	e.handOver(t.Context(), 3)
	if !e.Valid(3) {
		t.Error("gives up its right")
	}
}
