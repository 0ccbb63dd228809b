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

// crashingStore is a store that crashes the member's process at one of the store's calls. That call is either not
// executed, or executed without an answer.
type crashingStore struct {
	Store
	mu                  sync.Mutex
	callsUntilCrash     int    // calls that are left, including the one at which the process crashes; 0 or less: it has crashed
	executeCrashingCall bool   // whether the call at which the process crashes is executed
	crash               func() // ends the process
}

var errCrashed = errors.New("the process has crashed")

// nextCall reports whether this call gets no answer because of the crash, and whether it is executed.
func (c *crashingStore) nextCall() (unanswered, executed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callsUntilCrash--
	if c.callsUntilCrash > 0 {
		return false, true
	}
	if c.callsUntilCrash < 0 {
		return true, false
	}
	return true, c.executeCrashingCall
}

func call[T any](c *crashingStore, fn func() (T, error)) (T, error) {
	var v T
	unanswered, executed := c.nextCall()
	var err error
	if executed {
		v, err = fn()
	}
	if unanswered {
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
	result, err := call(c, func() (got, error) { item, ok, err := c.Store.Get(ctx, key); return got{item, ok}, err })
	return result.item, result.ok, err
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

// startProcess starts a process of member a that crashes at the call of the store with the number crashAtCall, either
// after the call is executed or before. With crashAtCall = 0 it does not crash.
func startProcess(t *testing.T, state *fakes.Store, clock clockwork.Clock, crashAtCall int, executeCrashingCall bool) (m *member, ended <-chan struct{}) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var store Store = statestore.New(state.Addr(), 1e6, 1e6)
	if crashAtCall > 0 {
		store = &crashingStore{Store: store, callsUntilCrash: crashAtCall, executeCrashingCall: executeCrashingCall, crash: stop}
	}
	return runElector(ctx, t, newElector(store, unreachablePeers, "a", clock), stop)
}

// advanceUntilReceived advances the clock in small steps until ch can be received from, and returns the received value
// and how long that took. A follower is one goroutine, so none of its calls is in progress while it waits for the
// clock. Once m leads, the clock is not advanced: some goroutine of a leader always waits for the clock, so the clock
// could advance by seconds before the test's goroutine runs again.
func advanceUntilReceived[T any](t *testing.T, state *fakes.Store, clock *clockwork.FakeClock, m *member, ch <-chan T) (received T, elapsed time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // a hang is a failure
	defer cancel()
	started := clock.Now()
	for {
		blocked := make(chan error, 1)
		waitCtx, stopWaiting := context.WithCancel(ctx)
		go func() { blocked <- clock.BlockUntilContext(waitCtx, 1) }()
		select {
		case received = <-ch:
			stopWaiting()
			<-blocked
			return received, clock.Since(started)
		case err := <-blocked:
			stopWaiting()
			if err != nil {
				t.Fatal("timed out waiting for the channel")
			}
			if m != nil && m.leads() {
				received = <-ch
				return received, clock.Since(started)
			}
			clock.Advance(20 * time.Millisecond)
			state.Expire()
		}
	}
}

// Guards against a long time without a leader, and against a reused term, after a restart. A process of a member
// crashes at each call of a campaign and of its term, with the call executed or not, and is restarted at once. The
// next process leads within 1.5 s, not only when the lease of the earlier one has expired, and in a higher term.
func TestRestartedProcessLeadsSoonInAHigherTerm(t *testing.T) {
	const leadsWithin = 1500 * time.Millisecond // covers the wait of a restarted process before it campaigns, and a few pauses
	for crashAtCall := 1; crashAtCall <= 10; crashAtCall++ {
		for _, executed := range []bool{false, true} {
			clock := clockwork.NewFakeClock()
			state := fakes.NewStore(clock)
			first, processEnded := startProcess(t, state, clock, crashAtCall, executed)
			advanceUntilReceived(t, state, clock, nil, processEnded)
			term := uint64(0)
			if len(first.terms) > 0 {
				term = (<-first.terms).Term
			}
			second, _ := startProcess(t, state, clock, 0, false)
			leadership, elapsed := advanceUntilReceived(t, state, clock, second, second.terms)
			if elapsed > leadsWithin || leadership.Term <= term || !second.MayAct(leadership.Term) || first.MayAct(leadership.Term) {
				t.Errorf("crashed at call %d (executed: %v): the next process leads after %v in term %d; the earlier term was %d", crashAtCall, executed, elapsed, leadership.Term, term)
			}
			second.stop()
			state.Close()
		}
	}
}
