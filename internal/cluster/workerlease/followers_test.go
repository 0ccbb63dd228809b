package workerlease

import (
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

func (w *followerHarness) tryAcquire(machine string) bool {
	r := acquireRequest{machine, make(chan bool, 1)}
	w.grantBatch(w.t.Context(), []acquireRequest{r})
	return <-r.granted
}

// recorded is what a leader would read.
func (w *followerHarness) recorded(machine string) bool {
	w.t.Helper()
	renewed, _, err := ReadAll(w.t.Context(), w.store)
	if err != nil {
		w.t.Fatal(err)
	}
	return renewed[machine]
}

func TestMachineIsRecordedBeforeItIsAnswered(t *testing.T) {
	w := newFollowerHarness(t)
	if !w.tryAcquire("n-1") || !w.recorded("n-1") || w.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", w.recorded("n-1"), w.recorded("n-2"))
	}
	w.state.Refuse(true)
	if w.tryAcquire("n-2") {
		t.Error("answers a machine that it could not record")
	}
	if !w.tryAcquire("n-1") {
		t.Error("does not answer the one that is recorded")
	}
}

// Guards against a record that ends before a lease that was given under it:
// the leader would place the tasks anew while they still run.
func TestRecordOutlivesEveryAnswer(t *testing.T) {
	w := newFollowerHarness(t)
	w.tryAcquire("n-1")
	var last time.Time
	for w.clock.Since(w.leaseSent) < w.recordTTL() { // never renewed
		if w.tryAcquire("n-1") {
			last = w.clock.Now()
		}
		w.clock.Advance(100 * time.Millisecond)
		w.state.Expire()
		if !last.IsZero() && !w.recorded("n-1") && w.clock.Since(last) < w.workerLease {
			t.Fatalf("the record ended %v after an answer", w.clock.Since(last))
		}
	}
	if w.tryAcquire("n-1") {
		t.Error("answers after its record's end")
	}
}

func TestMachineLeavesTheRecordALeaseAfterItsLastAnswer(t *testing.T) {
	w := newFollowerHarness(t)
	w.tryAcquire("n-1")
	w.clock.Advance(w.workerLease)
	w.renewRecord(t.Context())
	w.clock.Advance(tuning.RenewedQueryTime)
	w.tryAcquire("n-2")
	if w.renewRecord(t.Context()); !w.recorded("n-1") {
		t.Error("taken out while a leader that began to read within its lease may read")
	}
	w.clock.Advance(time.Second)
	if w.renewRecord(t.Context()); w.recorded("n-1") || !w.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", w.recorded("n-1"), w.recorded("n-2"))
	}
}

// Guards against a write without an answer that is applied later and takes a
// name out again: nothing more is written under its key.
func TestWriteOfUnknownOutcomeEndsTheRecord(t *testing.T) {
	w := newFollowerHarness(t)
	w.tryAcquire("n-1")
	first := w.leaseID
	w.state.LoseAnswers(func(wire.Txn) bool { return true })
	if w.tryAcquire("n-2") {
		t.Error("answers a machine whose record has no answer")
	}
	w.state.LoseAnswers(nil)
	if !w.tryAcquire("n-3") || w.leaseID == first {
		t.Error("goes on under the same key")
	}
	if !w.recorded("n-1") {
		t.Error("the old record does not stand any more")
	}
}

// Guards against a record that holds a few hundred machines: the workers of a large fleet
// come together when a leader dies, and the leases of those that it did not hold expired.
func TestManyMachinesTakeSeveralPages(t *testing.T) {
	w := newFollowerHarness(t)
	const n = 5000
	name := func(i int) string { return fmt.Sprintf("n-%06d", i) }
	for begin := 0; begin < n; begin += 500 {
		var batch []acquireRequest
		for i := begin; i < begin+500; i++ {
			batch = append(batch, acquireRequest{name(i), make(chan bool, 1)})
		}
		w.grantBatch(t.Context(), batch)
		for _, r := range batch {
			if !<-r.granted {
				t.Fatalf("%s is not granted", r.machine)
			}
		}
	}
	recorded := func() int {
		renewed, _, err := ReadAll(t.Context(), w.store)
		if err != nil {
			t.Fatal(err)
		}
		return len(renewed)
	}
	if got := recorded(); got != n {
		t.Errorf("%d recorded", got)
	}
	for _, txn := range w.state.Applied() {
		if size := len(txn.Then[0].Value); size > 16<<10 {
			t.Fatalf("a page of %d bytes", size)
		}
	}
	w.clock.Advance(w.workerLease)
	w.renewRecord(t.Context())
	w.clock.Advance(tuning.RenewedQueryTime)
	for i := 0; i < n; i += 2 {
		w.tryAcquire(name(i))
	}
	w.clock.Advance(time.Second)
	if w.renewRecord(t.Context()); recorded() != n/2 || w.recorded(name(1)) || !w.recorded(name(4998)) {
		t.Errorf("%d recorded after the leases of half of them", recorded())
	}
	if pages := len(w.pages); !w.tryAcquire("n-new") || len(w.pages) != pages {
		t.Error("room on the pages is not used again")
	}
}

// Guards against a record of thousands of machines each of whose pages is written at each renewal, when workers return to
// the leader one after the other: that was more than the member's share of the changes, and new machines waited behind.
func TestExpiredMachinesLeaveTheRecordWithinTheShareOfChanges(t *testing.T) {
	const machines, writeRPS, share = 6000, 50, 0.08
	w := newFollowerHarness(t)
	w.store = statestore.New(w.state.Addr(), 1e6, writeRPS).WithShare(share)
	var batch []acquireRequest
	for i := range machines {
		batch = append(batch, acquireRequest{fmt.Sprintf("n-%06d", i), make(chan bool, 1)})
	}
	w.grantBatch(t.Context(), batch)
	pages := len(w.pages)
	w.clock.Advance(w.workerLease)
	w.renewRecord(t.Context())
	w.clock.Advance(tuning.RenewedQueryTime + time.Second)
	for renewals := 1; len(w.lastRenewed) > 0; renewals++ {
		room, before := max(1, w.store.SpareWrites()), len(w.state.Applied())
		w.renewRecord(t.Context())
		if changes := len(w.state.Applied()) - before; changes < 1 || changes > room {
			t.Fatalf("renewal %d wrote %d of %d pages, where there was room for %d", renewals, changes, pages, room)
		}
		if renewals > pages {
			t.Fatalf("%d machines are left after %d renewals", len(w.lastRenewed), renewals)
		}
	}
	if w.recorded("n-000000") || w.recorded("n-005999") {
		t.Error("a machine whose lease expired is recorded")
	}
}
