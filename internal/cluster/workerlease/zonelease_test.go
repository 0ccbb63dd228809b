package workerlease

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

const zoneWorkerLease = 10 * time.Second

type zoneHarness struct {
	t     *testing.T
	clock *clockwork.FakeClock
	state *fakes.Store
	*ZoneLease
}

func newZoneHarness(t *testing.T) *zoneHarness {
	t.Helper()
	clock := clockwork.NewFakeClock()
	h := &zoneHarness{t: t, clock: clock, state: fakes.NewStore(clock)}
	t.Cleanup(h.state.Close)
	h.restart()
	return h
}

// restart starts a new process of the member.
func (h *zoneHarness) restart() {
	h.ZoneLease = NewZoneLease(&config.Settings{
		Member: "m1", Zone: "a", Cluster: config.Cluster{Workers: config.Workers{LeaseS: zoneWorkerLease.Seconds()}},
	}, statestore.New(h.state.Addr(), 1e6, 1e6), h.clock, slog.New(slog.DiscardHandler))
}

// advance advances the clock and expires leases at the state service.
func (h *zoneHarness) advance(d time.Duration) {
	h.clock.Advance(d)
	h.state.Expire()
}

// concludes reports whether a leader that reads the records now, after the machine's lease has expired by the
// leader's own count, concludes that the machine's tasks have ended. If memberReachable is false, the leader cannot
// ask the member.
func (h *zoneHarness) concludes(machine string, memberReachable bool) bool {
	h.t.Helper()
	_, zones, err := ReadAll(h.t.Context(), h.store)
	if err != nil {
		h.t.Fatal(err)
	}
	if len(zones) == 0 {
		return true
	}
	if !memberReachable {
		return false
	}
	renewed, err := h.MayHaveRenewed([]string{machine})
	if err != nil && !errors.Is(err, ErrUnsure) {
		h.t.Errorf("error %v, want %v", err, ErrUnsure)
	}
	return err == nil && len(renewed) == 0
}

func TestZoneLeaseOutlastsAPartition(t *testing.T) {
	h := newZoneHarness(t)
	if h.TryRenew("n-1", "a") {
		t.Error("the member answers a machine before its zone lease is recorded")
	}
	h.Renew(t.Context())
	if !h.TryRenew("n-1", "a") || h.TryRenew("n-2", "b") {
		t.Error("the member answers another zone's machine, or does not answer its own zone's machine")
	}
	h.state.Refuse(true) // the zone is cut off
	partitionedAt := h.clock.Now()
	for h.TryRenew("n-1", "a") {
		h.advance(time.Second)
		h.Renew(t.Context())
		if wantIsolated := h.clock.Since(partitionedAt) > 2*tuning.ZoneLeaseRenewEvery; h.Isolated() != wantIsolated {
			t.Fatalf("Isolated() is %v when the partition has lasted %v", h.Isolated(), h.clock.Since(partitionedAt))
		}
	}
	if d := h.clock.Since(partitionedAt); d != tuning.ZoneLeaseTTL {
		t.Errorf("the member answers a machine for %v after it was cut off, want tuning.ZoneLeaseTTL", d)
	}
	h.state.Refuse(false)
	if h.Renew(t.Context()); !h.TryRenew("n-1", "a") || h.Isolated() {
		t.Error("after the partition the member does not answer, or counts as isolated")
	}
}

// Guards against a restarted member that says that it answered no machine, although its earlier process may have
// answered one a moment before.
func TestRestartedMemberIsUnsureForALease(t *testing.T) {
	h := newZoneHarness(t)
	h.Renew(t.Context())
	h.advance(time.Minute)
	h.TryRenew("n-1", "a")
	h.restart()
	if h.concludes("n-1", true) {
		t.Error("concluded although the restarted member cannot know what its earlier process answered")
	}
	h.advance(zoneWorkerLease + time.Second)
	if h.concludes("n-1", true) {
		t.Error("concluded although the query may have begun up to RenewedQueryTimeout before the member was asked")
	}
	h.advance(tuning.RenewedQueryTimeout)
	if !h.concludes("n-1", true) {
		t.Error("not concluded though all leases that the earlier process renewed have expired")
	}
}

// If workers' leases are too long compared with the state service's longest lease, no time is left for a zone
// lease.
func TestNoZoneLeaseWithVeryLongWorkerLeases(t *testing.T) {
	h := newZoneHarness(t)
	h.ZoneLease = NewZoneLease(&config.Settings{
		Member: "m1", Zone: "a", Cluster: config.Cluster{Workers: config.Workers{LeaseS: tuning.StateLeaseMaxTTL.Seconds()}},
	}, h.store, h.clock, h.log)
	h.Run(t.Context()) // returns at once
	if h.TryRenew("n-1", "a") {
		t.Error("the member answers a machine without a zone lease")
	}
}

// Under any combination of faults (partitions and outages of any length, restarts, members that the leader cannot
// ask), no leader concludes that a machine's tasks have ended within the duration of a lease after the machine was
// answered.
func TestNoConclusionWithinALeaseOfAnAnswer(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 21))
		h := newZoneHarness(t)
		var lastAnswered time.Time                                          // when the machine was last answered
		storeDown, memberCutOff, conclusions, answers := false, false, 0, 0 // memberCutOff: the member reaches neither the state service nor the leader
		for range 800 {
			switch n := r.IntN(100); {
			case n < 1:
				storeDown = !storeDown
				h.state.Refuse(storeDown)
			case n < 2:
				memberCutOff = !memberCutOff
			case n < 3:
				h.restart()
			case n < 23:
				if !memberCutOff {
					h.Renew(t.Context())
				}
			case n < 80:
				if lastAnswered.IsZero() || h.clock.Since(lastAnswered) < zoneWorkerLease {
					if h.TryRenew("n-1", "a") {
						lastAnswered = h.clock.Now()
						answers++
					}
				}
			case !storeDown:
				// The leader itself has not answered the machine for the duration of a lease.
				if h.concludes("n-1", !memberCutOff && r.IntN(3) > 0) {
					conclusions++
					if !lastAnswered.IsZero() && h.clock.Since(lastAnswered) < zoneWorkerLease {
						t.Fatalf("seed %d: concluded %v after an answer", seed, h.clock.Since(lastAnswered))
					}
					lastAnswered = time.Time{} // the machine's worker begins a new incarnation, which may be answered again
				}
			}
			h.advance(time.Duration(r.IntN(4000)) * time.Millisecond)
		}
		if conclusions == 0 || answers == 0 {
			t.Errorf("seed %d: %d conclusions, %d answers", seed, conclusions, answers)
		}
	}
}

// Guards against the loss of a zone's tasks when the zone's only member is restarted during an outage of the state
// service. Another member remembers the zone lease, whose record stays stored as long as the lease lasts. A leader
// that reads the record later asks the new process.
func TestRestartedMemberInheritsItsZoneLease(t *testing.T) {
	h := newZoneHarness(t)
	h.clockError = 250 * time.Millisecond
	h.Renew(t.Context())
	h.advance(20 * time.Second)
	h.state.Refuse(true)
	claim, leaseEnd := h.Claim(), h.clock.Now().Add(tuning.ZoneLeaseTTL-20*time.Second)
	clockError := h.clockError
	h.restart()
	h.clockError = clockError
	h.Renew(t.Context())
	if h.TryRenew("n-1", "a") || h.Claim() != nil {
		t.Error("the member answers a machine, or claims a zone lease, although it holds none")
	}
	for _, unusable := range []string{"", "{", "{}", `{"zone":"b","until_ms":9999999999999}`} {
		if h.Inherit([]byte(unusable)); h.TryRenew("n-1", "a") {
			t.Errorf("the member answers a machine after it inherited %q", unusable)
		}
	}
	h.Inherit(claim)
	if h.TryRenew("n-2", "b") {
		t.Error("the member answers another zone's machine")
	}
	for h.TryRenew("n-1", "a") {
		if h.advance(time.Second); h.clock.Now().After(leaseEnd) {
			t.Fatal("the member answers a machine after the end of its earlier process's zone lease")
		}
		h.Inherit(claim) // a copy that arrives late changes nothing
	}
	if left := leaseEnd.Sub(h.clock.Now()); left < 0 || left > 2*time.Second {
		t.Errorf("the member stops answering %v before the end of its earlier process's zone lease", left)
	}
	h.state.Refuse(false)
	if h.concludes("n-1", true) || h.concludes("n-1", false) {
		t.Error("concluded, though the machine was answered a moment ago")
	}
	h.advance(zoneWorkerLease + tuning.RenewedQueryTimeout + time.Second)
	if !h.concludes("n-1", true) || h.concludes("n-1", false) {
		t.Error("not concluded once the lease of the last answer has expired, or concluded without the member's answer while the record is stored")
	}
	if h.Renew(t.Context()); !h.TryRenew("n-1", "a") || h.Claim() == nil {
		t.Error("the member has no zone lease of its own once the state service answers again")
	}
}

// Guards against a reply under an inherited zone lease after its end, when the clock that gave the end and the
// clock that reads it are both wrong by the largest clock error, in opposite directions.
func TestInheritedZoneLeaseEndsEarlyByBothClocksErrors(t *testing.T) {
	h := newZoneHarness(t)
	h.clockError = 250 * time.Millisecond
	const remaining = time.Minute
	h.Inherit(wire.EncodeRecord(claim{Zone: "a", UntilMS: h.clock.Now().Add(remaining).UnixMilli()}))
	h.advance(remaining - 2*h.clockError - 10*time.Millisecond)
	if !h.TryRenew("n-1", "a") {
		t.Error("the inherited zone lease ends too early")
	}
	if h.advance(10 * time.Millisecond); h.TryRenew("n-1", "a") {
		t.Error("the member answers a machine although the lease may have ended by the clock that gave its end")
	}
}
