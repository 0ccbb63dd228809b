package leadership

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/standin"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

type member struct {
	*Elector
	stop    context.CancelFunc
	tenures chan Tenure
	over    chan Tenure
}

func start(t *testing.T, name string, s *standin.State, clock clockwork.Clock) *member {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	m := &member{
		Elector: New(statestore.New(s.Addr(), 1e6, 1e6), name, clock, slog.New(slog.DiscardHandler)),
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

// until lets time pass in small steps until a condition holds. It moves the
// clock only while the one elector that runs waits for it, never during a call.
func until(t *testing.T, s *standin.State, clock *clockwork.FakeClock, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatalf("never happened: %s", what)
		}
		clock.Advance(10 * time.Millisecond)
		s.Expire()
	}
}

func TestOneLeadsAndAnotherFollowsWhenItsLeaseEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := standin.NewState(clock)
	defer s.Close()
	a := start(t, "a", s, clock)
	first := <-a.tenures
	if !a.Valid(first.Term) || a.Leader() != "a" {
		t.Fatalf("valid %v, leader %q", a.Valid(first.Term), a.Leader())
	}
	b := start(t, "b", s, clock)
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
	defer s.Close()
	a := start(t, "a", s, clock)
	tenure := <-a.tenures
	s.Refuse(true)
	begun := clock.Now()
	until(t, s, clock, "the end of the right", func() bool { return !a.Valid(tenure.Term) })
	if clock.Since(begun) > tuning.LeaseTTL {
		t.Errorf("acted for %v without a renewal", clock.Since(begun))
	}
	s.Refuse(false)
	until(t, s, clock, "the right to come back", func() bool { return a.Valid(tenure.Term) })
	if len(a.tenures) != 0 || len(a.over) != 0 {
		t.Error("the tenure was lost in the outage")
	}
}

// Guards against two leaders after a campaign without an answer: nobody acts
// on it, and when its lease is over the next campaign has a higher term.
func TestACampaignWithoutAnAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := standin.NewState(clock)
	defer s.Close()
	muted := 0
	s.Mute(func(txn wire.Txn) bool {
		muted++
		return muted == 1 && strings.HasPrefix(txn.Then[0].Put, "lead/")
	})
	a := start(t, "a", s, clock)
	var tenure Tenure
	until(t, s, clock, "a tenure", func() bool {
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
