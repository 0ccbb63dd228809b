package election

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// crashingStore is a store whose member ends at its n-th call: before the call is executed, or after, without its answer.
type crashingStore struct {
	Store
	mu          sync.Mutex
	callsLeft   int
	executeLast bool
	crash       func()
}

var errCrashed = errors.New("the process ended")

// nextCall reports whether this call is the last, and whether it is still executed.
func (c *crashingStore) nextCall() (last, executed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callsLeft--
	if c.callsLeft > 0 {
		return false, true
	}
	if c.callsLeft < 0 {
		return true, false
	}
	return true, c.executeLast
}

func call[T any](c *crashingStore, fn func() (T, error)) (T, error) {
	var v T
	last, executed := c.nextCall()
	var err error
	if executed {
		v, err = fn()
	}
	if last {
		c.crash()
		var none T
		return none, errCrashed
	}
	return v, err
}

func (c *crashingStore) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	type got struct {
		item wire.Item
		ok   bool
	}
	g, err := call(c, func() (got, error) { item, ok, err := c.Store.Get(ctx, key); return got{item, ok}, err })
	return g.item, g.ok, err
}

func (c *crashingStore) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	return call(c, func() (uint64, error) { return c.Store.Commit(ctx, t) })
}

func (c *crashingStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	return call(c, func() (uint64, error) { return c.Store.GrantLease(ctx, ttl) })
}

func (c *crashingStore) RenewLease(ctx context.Context, lease uint64) error {
	_, err := call(c, func() (bool, error) { return true, c.Store.RenewLease(ctx, lease) })
	return err
}

func (c *crashingStore) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := call(c, func() (bool, error) { return true, c.Store.RevokeLease(ctx, lease) })
	return err
}

// startProcess starts a process of a member, which crashes at its n-th call; 0: it does not.
func startProcess(t *testing.T, s *fakes.Store, clock clockwork.Clock, n int, after bool) (m *member, ended <-chan struct{}) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var store Store = statestore.New(s.Addr(), 1e6, 1e6)
	if n > 0 {
		store = &crashingStore{Store: store, callsLeft: n, executeLast: after, crash: stop}
	}
	return run(ctx, t, newElector(store, unreachablePeers, "a", clock), stop)
}

// passUntil lets time pass in small steps until a channel is ready, and returns how long that took. A follower is one goroutine,
// so no call of it is on its way while it waits for the clock. Once m leads the clock stands still: a leader's goroutines wait for
// it all the time, and it once went on for seconds until the test's goroutine was woken.
func passUntil[T any](t *testing.T, s *fakes.Store, clock *clockwork.FakeClock, m *member, ch <-chan T) (v T, took time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // a hang is a failure
	defer cancel()
	begun := clock.Now()
	for {
		waits := make(chan error, 1)
		step, enough := context.WithCancel(ctx)
		go func() { waits <- clock.BlockUntilContext(step, 1) }()
		select {
		case v = <-ch:
			enough()
			<-waits
			return v, clock.Since(begun)
		case err := <-waits:
			enough()
			if err != nil {
				t.Fatal("never happened")
			}
			if m != nil && m.leads() {
				v = <-ch
				return v, clock.Since(begun)
			}
			clock.Advance(20 * time.Millisecond)
			s.Expire()
		}
	}
}

// Guards against what an earlier process of a member leaves behind: it crashes at each call of an election and of its term, with or
// without the call being executed, and is restarted at once. The next process leads within a second or two, rather than when the
// lease of the earlier one has expired, and in a higher term.
func TestRestartedProcessLeadsSoonInAHigherTerm(t *testing.T) {
	const bound = 1500 * time.Millisecond // for as long a restarted process waits before it campaigns, and some pauses
	for n := 1; n <= 10; n++ {
		for _, after := range []bool{false, true} {
			clock := clockwork.NewFakeClock()
			s := fakes.NewStore(clock)
			first, ended := startProcess(t, s, clock, n, after)
			passUntil(t, s, clock, nil, ended)
			term := uint64(0)
			if len(first.terms) > 0 {
				term = (<-first.terms).Term
			}
			second, _ := startProcess(t, s, clock, 0, false)
			leadership, took := passUntil(t, s, clock, second, second.terms)
			if took > bound || leadership.Term <= term || !second.Valid(leadership.Term) || first.Valid(leadership.Term) {
				t.Errorf("crashed at call %d (executed: %v): leads after %v in term %d, the earlier one was %d", n, after, took, leadership.Term, term)
			}
			second.stop()
			s.Close()
		}
	}
}
