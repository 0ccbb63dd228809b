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
		Member: "m1", Cluster: config.Cluster{Workers: config.Workers{LeaseS: 10}, State: config.StateLimits{MaxValueKiB: 16}},
	}, statestore.New(state.Addr(), 1e6, 1e6), clock, slog.New(slog.DiscardHandler))
	return &followerHarness{t, clock, state, f}
}

// tryAcquire reports whether a request for one machine is granted.
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

// recorded reports whether a machine is named in the records that a leader would read.
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
		t.Error("the member answers a machine that it could not record")
	}
	if !h.tryAcquire("n-1") {
		t.Error("the member does not answer the machine that is recorded")
	}
}

// Guards against a record that expires before a worker's lease that was renewed under it: the leader would place
// the tasks again while they still run.
func TestRecordOutlivesEveryAnswer(t *testing.T) {
	h := newFollowerHarness(t)
	h.tryAcquire("n-1")
	var lastAnswered time.Time
	for h.clock.Since(h.leaseRequestedAt) < h.recordTTL() { // never renewed
		if h.tryAcquire("n-1") {
			lastAnswered = h.clock.Now()
		}
		h.clock.Advance(100 * time.Millisecond)
		h.state.Expire()
		if !lastAnswered.IsZero() && !h.recorded("n-1") && h.clock.Since(lastAnswered) < h.workerLease {
			t.Fatalf("the record ended %v after an answer", h.clock.Since(lastAnswered))
		}
	}
	if h.tryAcquire("n-1") {
		t.Error("the member answers a machine after the end of its record")
	}
}

func TestMachineIsRemovedFromTheRecordALeaseAfterItsLastAnswer(t *testing.T) {
	h := newFollowerHarness(t)
	h.tryAcquire("n-1")
	h.clock.Advance(h.workerLease)
	h.renewRecord(t.Context())
	h.clock.Advance(tuning.RenewedQueryTimeout)
	h.tryAcquire("n-2")
	if h.renewRecord(t.Context()); !h.recorded("n-1") {
		t.Error("the machine was removed while a leader that began its query within the machine's lease may still read the record")
	}
	h.clock.Advance(time.Second)
	if h.renewRecord(t.Context()); h.recorded("n-1") || !h.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", h.recorded("n-1"), h.recorded("n-2"))
	}
}

// Guards against a write that gets no answer and is executed late, after a newer write: it would remove the name that
// the newer write added. So after a write without an answer, nothing more is written under its key.
func TestWriteOfUnknownOutcomeEndsTheRecord(t *testing.T) {
	h := newFollowerHarness(t)
	h.tryAcquire("n-1")
	firstLease := h.leaseID
	h.state.LoseAnswers(func(wire.Txn) bool { return true })
	if h.tryAcquire("n-2") {
		t.Error("the member answers a machine although the write of its name was not confirmed")
	}
	h.state.LoseAnswers(nil)
	if !h.tryAcquire("n-3") || h.leaseID == firstLease {
		t.Error("not granted, or still uses the key of the unconfirmed write")
	}
	if !h.recorded("n-1") {
		t.Error("the old record is no longer stored")
	}
}

// Guards against a record that has room for only a few hundred machines. When a leader dies, the workers of a large
// fleet report at the same time, and the leases of those for which the record has no room would expire.
func TestManyMachinesNeedSeveralPages(t *testing.T) {
	h := newFollowerHarness(t)
	const machines = 5000
	name := func(i int) string { return fmt.Sprintf("n-%06d", i) }
	for batchStart := 0; batchStart < machines; batchStart += 500 {
		var batch []acquireRequest
		for i := batchStart; i < batchStart+500; i++ {
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
	if got := recorded(); got != machines {
		t.Errorf("%d machines recorded", got)
	}
	for _, txn := range h.state.Applied() {
		if size := len(txn.Then[0].Value); size > 16<<10 {
			t.Fatalf("a page of %d bytes", size)
		}
	}
	h.clock.Advance(h.workerLease)
	h.renewRecord(t.Context())
	h.clock.Advance(tuning.RenewedQueryTimeout)
	for i := 0; i < machines; i += 2 {
		h.tryAcquire(name(i))
	}
	h.clock.Advance(time.Second)
	if h.renewRecord(t.Context()); recorded() != machines/2 || h.recorded(name(1)) || !h.recorded(name(4998)) {
		t.Errorf("%d machines recorded after the leases of half of them expired", recorded())
	}
	if pages := len(h.pages); !h.tryAcquire("n-new") || len(h.pages) != pages {
		t.Error("free room on the pages is not reused")
	}
}

// Guards against writing every page of a record of thousands of machines at each renewal while workers return to the
// leader one after the other. That exceeded the member's share of the state service's writes, and new machines had to
// wait.
func TestExpiredMachinesAreRemovedWithinTheShareOfWrites(t *testing.T) {
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
	h.clock.Advance(tuning.RenewedQueryTimeout + time.Second)
	for renewals := 1; len(h.lastRenewed) > 0; renewals++ {
		allowedWrites, writesBefore := max(1, h.store.SpareWrites()), len(h.state.Applied())
		h.renewRecord(t.Context())
		if writes := len(h.state.Applied()) - writesBefore; writes < 1 || writes > allowedWrites {
			t.Fatalf("renewal %d wrote %d of %d pages, want between 1 and %d", renewals, writes, pages, allowedWrites)
		}
		if renewals > pages {
			t.Fatalf("%d machines are left after %d renewals", len(h.lastRenewed), renewals)
		}
	}
	if h.recorded("n-000000") || h.recorded("n-005999") {
		t.Error("a machine whose lease expired is still recorded")
	}
}

// Guards against a machine that is answered although its name was not recorded in time.
func TestAcquireEndsWithItsContextAndGrantsNothing(t *testing.T) {
	h := newFollowerHarness(t) // Run is not called
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := h.Acquire(ctx, "n-1"); !errors.Is(err, ErrNotRecorded) || !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v and %v", err, ErrNotRecorded, context.Canceled)
	}
}
