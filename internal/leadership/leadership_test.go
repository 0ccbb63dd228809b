package leadership

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/standin"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// peers are the other members, as a test wants them to answer.
type peers struct {
	promise, nobody func() bool
}

func (p *peers) Promise(context.Context) bool     { return p.promise() }
func (p *peers) NobodyLeads(context.Context) bool { return p.nobody() }

func always(b bool) func() bool { return func() bool { return b } }

// alone is how it is when no peer can be reached, though none leads.
var alone = &peers{promise: always(false), nobody: always(true)}

type member struct {
	*Elector
	stop    context.CancelFunc
	tenures chan Tenure
	over    chan Tenure
}

func start(t *testing.T, name string, s *standin.State, p Peers, clock clockwork.Clock) *member {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	m := &member{
		Elector: New(statestore.New(s.Addr(), 1e6, 1e6), p, name, clock, slog.New(slog.DiscardHandler)),
		stop:    stop, tenures: make(chan Tenure, 8), over: make(chan Tenure, 8),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx, func(ctx context.Context, t Tenure) {
			m.tenures <- t
			<-ctx.Done()
			m.over <- t
		})
	}()
	t.Cleanup(func() { stop(); <-done })
	return m
}

// How many goroutines of an elector wait for the clock: a follower's one, or
// of a leader the one that renews the lease and the one that asks for promises.
const (
	following = 1
	leading   = 2
)

// until lets time pass in small steps until a condition holds. It moves the
// clock only while the one elector that runs waits for it, never during a call.
func until(t *testing.T, s *standin.State, clock *clockwork.FakeClock, waiting int, what string, holds func() bool) {
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
	s := standin.NewState(clock)
	t.Cleanup(s.Close)
	a := start(t, "a", s, alone, clock)
	first := <-a.tenures
	if !a.Valid(first.Term) || a.Leader() != "a" {
		t.Fatalf("valid %v, leader %q", a.Valid(first.Term), a.Leader())
	}
	b := start(t, "b", s, alone, clock)
	a.stop() // killed: it gives nothing back
	<-a.over
	clock.Advance(2 * tuning.LeaseTTL)
	s.Expire()
	second := <-b.tenures
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
	s := standin.NewState(clock)
	t.Cleanup(s.Close)
	a := start(t, "a", s, alone, clock)
	tenure := <-a.tenures
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
	if clock.Since(begun) > tuning.LeaseTTL {
		t.Errorf("acted for %v without a renewal", clock.Since(begun))
	}
	s.Refuse(false)
	until(t, s, clock, leading, "the right to come back", func() bool { return a.Valid(tenure.Term) })
	if len(a.tenures) != 0 || len(a.over) != 0 {
		t.Error("the tenure was lost in the outage")
	}
}

// Guards against two leaders after a campaign without an answer: nobody acts
// on it, and when its lease is over the next campaign has a higher term.
func TestACampaignWithoutAnAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := standin.NewState(clock)
	t.Cleanup(s.Close)
	muted := 0
	s.Mute(func(txn wire.Txn) bool {
		muted++
		return muted == 1 && strings.HasPrefix(txn.Then[0].Put, "lead/")
	})
	a := start(t, "a", s, alone, clock)
	var tenure Tenure
	until(t, s, clock, following, "a tenure", func() bool {
		select {
		case tenure = <-a.tenures:
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
	s := standin.NewState(clock)
	t.Cleanup(s.Close)
	var given atomic.Bool
	given.Store(true)
	a := start(t, "a", s, &peers{promise: given.Load, nobody: always(true)}, clock)
	tenure := <-a.tenures
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, leading, "three times the lease's life to pass", func() bool {
		return clock.Since(begun) > 3*tuning.LeaseTTL || !a.Valid(tenure.Term)
	})
	if !a.Valid(tenure.Term) {
		t.Fatalf("the right ended after %v", clock.Since(begun))
	}
	given.Store(false)
	begun = clock.Now()
	until(t, s, clock, leading, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
	if clock.Since(begun) > tuning.PromiseFor {
		t.Errorf("acted for %v after the last promise", clock.Since(begun))
	}
}

// Guards against two leaders: who promised keeps quiet, and so does a member
// that was started anew and may have promised in its former life.
func TestPromisesAreKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := standin.NewState(clock)
	t.Cleanup(s.Close)
	e := New(statestore.New(s.Addr(), 1e6, 1e6), &peers{nobody: always(false)}, "a", clock, slog.New(slog.DiscardHandler))
	if e.mayCampaign(t.Context()) {
		t.Error("campaigns at once though a leader may count on its former life's promise")
	}
	clock.Advance(promiseKept)
	if !e.mayCampaign(t.Context()) {
		t.Error("does not campaign once those promises are over")
	}
	if e.Promise(t.Context()) {
		t.Error("promises while it campaigns")
	}
	e.endCampaign()
	if e.Promise(t.Context()) {
		t.Error("promises though the state service answers it")
	}
	s.Refuse(true)
	if !e.Promise(t.Context()) {
		t.Error("does not promise in an outage")
	}
	if e.mayCampaign(t.Context()) {
		t.Error("campaigns in spite of its promise")
	}
	clock.Advance(promiseKept)
	if !e.mayCampaign(t.Context()) {
		t.Error("keeps quiet after its promise is over")
	}
}

// Guards against a promise that its giver forgot by being restarted while the
// round that asked for it was still open.
func TestAQuestionOfARestartedMemberVoidsTheRound(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := standin.NewState(clock)
	t.Cleanup(s.Close)
	var a *member
	ready := make(chan struct{})
	p := &peers{nobody: always(true), promise: func() bool {
		<-ready
		return !a.NotLeading() // asked in the middle of the round, it says that it leads
	}}
	a = start(t, "a", s, p, clock)
	close(ready)
	tenure := <-a.tenures
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
	e := New(nil, alone, "a", clock, slog.New(slog.DiscardHandler))
	holds := func(want string, wantTerm uint64) {
		t.Helper()
		if name, term := e.Holder(); name != want || term != wantTerm && want != "" {
			t.Errorf("leader %q of term %d, want %q of %d", name, term, want, wantTerm)
		}
	}
	e.publish(3, clock.Now())
	e.setLeader("a", 3)
	e.Hint("b", 2) // by one that lags behind
	e.Hint("", 9)
	holds("a", 3)
	clock.Advance(tuning.LeaseTTL) // renewals are refused: the right ends, the tenure does not
	e.Hint("b", 4)
	holds("b", 4)
	if e.Valid(4) || e.Valid(3) {
		t.Error("what is heard gives a right to act")
	}
	e.clear() // the own tenure's end comes later
	holds("b", 4)
	e.setLeader("", 0) // the state service says that nobody leads
	e.Hint("b", 4)
	holds("", 0)
	e.Hint("c", 5)
	holds("c", 5)
}
