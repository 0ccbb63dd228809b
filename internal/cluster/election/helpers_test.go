package election

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// fakePeers implements Peers with the answers that a test sets.
type fakePeers struct {
	votes       func() Votes
	nobodyLeads func() bool
	confirm     func() bool // nil: ConfirmTermOver is always true
	endLease    func(lease uint64)
	silent      []string
}

func (p *fakePeers) RequestVotes(context.Context, uint64) Votes { return p.votes() }

func (p *fakePeers) NobodyLeads(context.Context) bool { return p.nobodyLeads() }

func (p *fakePeers) ConfirmTermOver(context.Context, uint64) bool {
	return p.confirm == nil || p.confirm()
}

func (p *fakePeers) EndLease(_ context.Context, lease uint64) { p.endLease(lease) }

func (p *fakePeers) Silent() []string { return p.silent }

func always(b bool) func() bool { return func() bool { return b } }

// votesExcept returns a fakePeers.votes function with the votes of all members except the named ones, which are silent.
func votesExcept(names ...string) func() Votes {
	return func() Votes { return Votes{Silent: names} }
}

// unreachablePeers are two members, b and c, that do not answer vote requests. Neither of them leads.
var unreachablePeers = &fakePeers{votes: votesExcept("b", "c"), nobodyLeads: always(true)}

// member is a running elector.
type member struct {
	*Elector
	stop  context.CancelFunc
	terms chan Leadership // each term of this member, when it begins
	ended chan Leadership // each term of this member, when it is over
}

// startMember runs the elector of a member until its stop is called or the test ends.
func startMember(t *testing.T, name string, state *fakes.Store, p Peers, clock clockwork.Clock) *member {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	m, _ := runElector(ctx, t, newElector(statestore.New(state.Addr(), 1e6, 1e6), p, name, clock), stop)
	return m
}

// runElector runs an elector until ctx ends; stop ends ctx. The channel is closed when the elector has stopped.
func runElector(ctx context.Context, t *testing.T, e *Elector, stop context.CancelFunc) (*member, <-chan struct{}) {
	t.Helper()
	m := &member{Elector: e, stop: stop, terms: make(chan Leadership, 64), ended: make(chan Leadership, 64)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx, func(ctx context.Context, l Leadership) {
			m.terms <- l
			<-ctx.Done()
			m.ended <- l
		})
	}()
	t.Cleanup(func() { stop(); <-done })
	return m, done
}

func (m *member) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownTerm != 0
}

// The number of an elector's goroutines that wait for the clock: one if it follows, three if it leads. The three
// goroutines of a leader renew the lease, request votes and maintain the fencing lease.
const (
	followerGoroutines = 1
	leaderGoroutines   = 3
)

// advanceUntil advances the clock in small steps until a condition holds. It advances the clock only
// while the given number of goroutines of the only running elector wait for it, never during a call.
func advanceUntil(t *testing.T, state *fakes.Store, clock *clockwork.FakeClock, goroutines int, awaited string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // a hang is a failure
	defer cancel()
	for !condition() {
		if err := clock.BlockUntilContext(ctx, goroutines); err != nil {
			t.Fatalf("timed out waiting for %s", awaited)
		}
		clock.Advance(10 * time.Millisecond)
		state.Expire()
	}
}

// unrevokableStore is a store whose RevokeLease always fails.
type unrevokableStore struct{ Store }

func (unrevokableStore) RevokeLease(context.Context, uint64) error { return statestore.ErrNotExecuted }

// interruptedStore is a store whose Get calls fn and then fails.
type interruptedStore struct {
	Store
	fn func()
}

func (s interruptedStore) Get(context.Context, string) (wire.Item, bool, error) {
	s.fn()
	return wire.Item{}, false, statestore.ErrNotExecuted
}

// newStateService returns a fake clock and a fake state service that uses it.
func newStateService(t *testing.T) (*clockwork.FakeClock, *fakes.Store) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	return clock, state
}

// newElector returns an elector that does not log.
func newElector(store Store, p Peers, member string, clock clockwork.Clock) *Elector {
	return New(store, p, member, clock, slog.New(slog.DiscardHandler))
}
