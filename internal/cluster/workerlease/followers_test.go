package workerlease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

type followerHarness struct {
	t     *testing.T
	clock *clockwork.FakeClock
	state *fakes.Store
	*FollowerLeases
}

func newFollowerHarness(t *testing.T) *followerHarness {
	t.Helper()
	clock := clockwork.NewFakeClock()
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	f := NewFollowerLeases(&config.Settings{
		Member: "m1", Cluster: config.Cluster{Workers: config.Workers{LeaseS: 10}, State: config.State{ValueKB: 16}},
	}, statestore.New(state.Addr(), 1e6, 1e6), clock, slog.New(slog.DiscardHandler))
	return &followerHarness{t, clock, state, f}
}

func (h *followerHarness) tryAcquire(machine string) bool {
	h.t.Helper()
	r := acquireRequest{machine, make(chan error, 1)}
	h.grantBatch(h.t.Context(), []acquireRequest{r})
	err := <-r.result
	if err != nil && !errors.Is(err, ErrNotRecorded) {
		h.t.Errorf("error %v, want %v", err, ErrNotRecorded)
	}
	return err == nil
}

// recorded is what a leader would read.
func (h *followerHarness) recorded(machine string) bool {
	h.t.Helper()
	renewed, _, err := ReadAll(h.t.Context(), h.store)
	if err != nil {
		h.t.Fatal(err)
	}
	return renewed[machine]
}

func TestMachineIsRecordedBeforeItIsAnswered(t *testing.T) {
	h := newFollowerHarness(t)
	if !h.tryAcquire("n-1") || !h.recorded("n-1") || h.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", h.recorded("n-1"), h.recorded("n-2"))
	}
	h.state.Refuse(true)
	if h.tryAcquire("n-2") {
		t.Error("answers a machine that it could not record")
	}
	if !h.tryAcquire("n-1") {
		t.Error("does not answer the one that is recorded")
	}
}

// Guards against a record that ends before a lease that was given under it:
// the leader would place the tasks anew while they still run.
func TestRecordOutlivesEveryAnswer(t *testing.T) {
	h := newFollowerHarness(t)
	h.tryAcquire("n-1")
	var last time.Time
	for h.clock.Since(h.leaseSent) < h.recordTTL() { // never renewed
		if h.tryAcquire("n-1") {
			last = h.clock.Now()
		}
		h.clock.Advance(100 * time.Millisecond)
		h.state.Expire()
		if !last.IsZero() && !h.recorded("n-1") && h.clock.Since(last) < h.workerLease {
			t.Fatalf("the record ended %v after an answer", h.clock.Since(last))
		}
	}
	if h.tryAcquire("n-1") {
		t.Error("answers after its record's end")
	}
}

func TestMachineLeavesTheRecordALeaseAfterItsLastAnswer(t *testing.T) {
	h := newFollowerHarness(t)
	h.tryAcquire("n-1")
	h.clock.Advance(h.workerLease)
	h.renewRecord(t.Context())
	h.clock.Advance(tuning.RenewedQueryTime)
	h.tryAcquire("n-2")
	if h.renewRecord(t.Context()); !h.recorded("n-1") {
		t.Error("taken out while a leader that began to read within its lease may read")
	}
	h.clock.Advance(time.Second)
	if h.renewRecord(t.Context()); h.recorded("n-1") || !h.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", h.recorded("n-1"), h.recorded("n-2"))
	}
}

// Guards against a write without an answer that is applied later and takes a
// name out again: nothing more is written under its key.
func TestWriteOfUnknownOutcomeEndsTheRecord(t *testing.T) {
	h := newFollowerHarness(t)
	h.tryAcquire("n-1")
	first := h.leaseID
	h.state.LoseAnswers(func(wire.Txn) bool { return true })
	if h.tryAcquire("n-2") {
		t.Error("answers a machine whose record has no answer")
	}
	h.state.LoseAnswers(nil)
	if !h.tryAcquire("n-3") || h.leaseID == first {
		t.Error("goes on under the same key")
	}
	if !h.recorded("n-1") {
		t.Error("the old record does not stand any more")
	}
}

// Guards against a record that holds a few hundred machines: the workers of a large fleet
// come together when a leader dies, and the leases of those that it did not hold expired.
func TestManyMachinesTakeSeveralPages(t *testing.T) {
	h := newFollowerHarness(t)
	const n = 5000
	name := func(i int) string { return fmt.Sprintf("n-%06d", i) }
	for begin := 0; begin < n; begin += 500 {
		var batch []acquireRequest
		for i := begin; i < begin+500; i++ {
			batch = append(batch, acquireRequest{name(i), make(chan error, 1)})
		}
		h.grantBatch(t.Context(), batch)
		for _, r := range batch {
			if err := <-r.result; err != nil {
				t.Fatalf("%s is not granted: %v", r.machine, err)
			}
		}
	}
	recorded := func() int {
		renewed, _, err := ReadAll(t.Context(), h.store)
		if err != nil {
			t.Fatal(err)
		}
		return len(renewed)
	}
	if got := recorded(); got != n {
		t.Errorf("%d recorded", got)
	}
	for _, txn := range h.state.Applied() {
		if size := len(txn.Then[0].Value); size > 16<<10 {
			t.Fatalf("a page of %d bytes", size)
		}
	}
	h.clock.Advance(h.workerLease)
	h.renewRecord(t.Context())
	h.clock.Advance(tuning.RenewedQueryTime)
	for i := 0; i < n; i += 2 {
		h.tryAcquire(name(i))
	}
	h.clock.Advance(time.Second)
	if h.renewRecord(t.Context()); recorded() != n/2 || h.recorded(name(1)) || !h.recorded(name(4998)) {
		t.Errorf("%d recorded after the leases of half of them", recorded())
	}
	if pages := len(h.pages); !h.tryAcquire("n-new") || len(h.pages) != pages {
		t.Error("room on the pages is not used again")
	}
}

// Guards against a record of thousands of machines each of whose pages is written at each renewal, when workers return to
// the leader one after the other: that was more than the member's share of the changes, and new machines waited behind.
func TestExpiredMachinesLeaveTheRecordWithinTheShareOfChanges(t *testing.T) {
	const machines, writeRPS, share = 6000, 50, 0.08
	h := newFollowerHarness(t)
	h.store = statestore.New(h.state.Addr(), 1e6, writeRPS).WithShare(share)
	var batch []acquireRequest
	for i := range machines {
		batch = append(batch, acquireRequest{fmt.Sprintf("n-%06d", i), make(chan error, 1)})
	}
	h.grantBatch(t.Context(), batch)
	pages := len(h.pages)
	h.clock.Advance(h.workerLease)
	h.renewRecord(t.Context())
	h.clock.Advance(tuning.RenewedQueryTime + time.Second)
	for renewals := 1; len(h.lastRenewed) > 0; renewals++ {
		room, before := max(1, h.store.SpareWrites()), len(h.state.Applied())
		h.renewRecord(t.Context())
		if changes := len(h.state.Applied()) - before; changes < 1 || changes > room {
			t.Fatalf("renewal %d wrote %d of %d pages, where there was room for %d", renewals, changes, pages, room)
		}
		if renewals > pages {
			t.Fatalf("%d machines are left after %d renewals", len(h.lastRenewed), renewals)
		}
	}
	if h.recorded("n-000000") || h.recorded("n-005999") {
		t.Error("a machine whose lease expired is recorded")
	}
}

// Guards against a machine that is answered though nobody recorded it in time.
func TestAcquireEndsWithItsContextAndGrantsNothing(t *testing.T) {
	h := newFollowerHarness(t) // nobody runs it
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := h.Acquire(ctx, "n-1"); !errors.Is(err, ErrNotRecorded) || !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v and %v", err, ErrNotRecorded, context.Canceled)
	}
}
