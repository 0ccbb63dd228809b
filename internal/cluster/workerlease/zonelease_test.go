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

// advance lets time pass at the state service, too.
func (h *zoneHarness) advance(d time.Duration) {
	h.clock.Advance(d)
	h.state.Expire()
}

// concludes reports whether a leader that reads now, after the end of the machine's
// lease by its own count, concludes that its tasks are gone.
func (h *zoneHarness) concludes(machine string, reached bool) bool {
	h.t.Helper()
	_, zones, err := ReadAll(h.t.Context(), h.store)
	if err != nil {
		h.t.Fatal(err)
	}
	if len(zones) == 0 {
		return true
	}
	if !reached {
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
	if h.MayRenew("n-1", "a") {
		t.Error("answers before the zone lease is recorded")
	}
	h.Renew(t.Context())
	if !h.MayRenew("n-1", "a") || h.MayRenew("n-2", "b") {
		t.Error("answers another zone's machines, or not its own")
	}
	h.state.Refuse(true) // a cut
	begun := h.clock.Now()
	for h.MayRenew("n-1", "a") {
		h.advance(time.Second)
		h.Renew(t.Context())
		if isolated := h.clock.Since(begun) > 2*tuning.ZoneLeaseRenew; h.Isolated() != isolated {
			t.Fatalf("isolated %v after %v", h.Isolated(), h.clock.Since(begun))
		}
	}
	if d := h.clock.Since(begun); d != tuning.ZoneLeaseTTL {
		t.Errorf("answers for %v", d)
	}
	h.state.Refuse(false)
	if h.Renew(t.Context()); !h.MayRenew("n-1", "a") || h.Isolated() {
		t.Error("does not answer after the cut")
	}
}

// Guards against a member that was restarted and says that it answered nobody: its
// earlier process may have, a moment before.
func TestRestartedMemberIsUnsureForALease(t *testing.T) {
	h := newZoneHarness(t)
	h.Renew(t.Context())
	h.advance(time.Minute)
	h.MayRenew("n-1", "a")
	h.restart()
	if h.concludes("n-1", true) {
		t.Error("concluded on the answer of one that cannot know")
	}
	h.advance(zoneWorkerLease + time.Second)
	if h.concludes("n-1", true) {
		t.Error("concluded on an answer that may be asked for later than it counts from")
	}
	h.advance(tuning.RenewedQueryTime)
	if !h.concludes("n-1", true) {
		t.Error("not concluded though the earlier process's answers are over")
	}
}

// Workers' leases that are too long beside the state service's longest leave no time for a zone lease.
func TestNoZoneLeaseBesideVeryLongWorkerLeases(t *testing.T) {
	h := newZoneHarness(t)
	h.ZoneLease = NewZoneLease(&config.Settings{
		Member: "m1", Zone: "a", Cluster: config.Cluster{Workers: config.Workers{LeaseS: tuning.MaxTTL.Seconds()}},
	}, h.store, h.clock, h.log)
	h.Run(t.Context()) // which ends at once
	if h.MayRenew("n-1", "a") {
		t.Error("answers without a zone lease")
	}
}

// Whatever comes together (cuts and outages of any length, restarts, members that the leader
// cannot ask), no leader concludes that a machine's tasks are gone within a lease
// after an answer to it.
func TestNoConclusionWithinALeaseOfAnAnswer(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 21))
		h := newZoneHarness(t)
		var last time.Time                                      // when the machine was last answered
		refused, cut, concluded, answered := false, false, 0, 0 // cut: from the member alone
		for range 800 {
			switch n := r.IntN(100); {
			case n < 1:
				refused = !refused
				h.state.Refuse(refused)
			case n < 2:
				cut = !cut
			case n < 3:
				h.restart()
			case n < 23:
				if !cut {
					h.Renew(t.Context())
				}
			case n < 80:
				if last.IsZero() || h.clock.Since(last) < zoneWorkerLease {
					if h.MayRenew("n-1", "a") {
						last = h.clock.Now()
						answered++
					}
				}
			case !refused:
				// The leader has not answered it for a lease.
				if h.concludes("n-1", !cut && r.IntN(3) > 0) {
					concluded++
					if !last.IsZero() && h.clock.Since(last) < zoneWorkerLease {
						t.Fatalf("seed %d: concluded %v after an answer", seed, h.clock.Since(last))
					}
					last = time.Time{} // its next session
				}
			}
			h.advance(time.Duration(r.IntN(4000)) * time.Millisecond)
		}
		if concluded == 0 || answered == 0 {
			t.Errorf("seed %d: %d conclusions, %d answers", seed, concluded, answered)
		}
	}
}

// Guards against the loss of a zone's tasks as its only member is restarted while the state service is out: another member remembers its zone lease, whose
// record stands as long, and a leader that reads it later asks the new process.
func TestRestartedMemberInheritsItsZoneLease(t *testing.T) {
	h := newZoneHarness(t)
	h.clockError = 250 * time.Millisecond
	h.Renew(t.Context())
	h.advance(20 * time.Second)
	h.state.Refuse(true)
	claim, ends := h.Claim(), h.clock.Now().Add(tuning.ZoneLeaseTTL-20*time.Second)
	off := h.clockError
	h.restart()
	h.clockError = off
	h.Renew(t.Context())
	if h.MayRenew("n-1", "a") || h.Claim() != nil {
		t.Error("answers without any zone lease")
	}
	for _, other := range []string{"", "{", "{}", `{"zone":"b","until_ms":9999999999999}`} {
		if h.Inherit([]byte(other)); h.MayRenew("n-1", "a") {
			t.Errorf("answers by %q", other)
		}
	}
	h.Inherit(claim)
	if h.MayRenew("n-2", "b") {
		t.Error("answers another zone's machine")
	}
	for h.MayRenew("n-1", "a") {
		if h.advance(time.Second); h.clock.Now().After(ends) {
			t.Fatal("answers beyond the end of its earlier process's zone lease")
		}
		h.Inherit(claim) // a copy that comes late changes nothing
	}
	if left := ends.Sub(h.clock.Now()); left < 0 || left > 2*time.Second {
		t.Errorf("stops %v before the end", left)
	}
	h.state.Refuse(false)
	if h.concludes("n-1", true) || h.concludes("n-1", false) {
		t.Error("concluded, though it was answered a moment ago")
	}
	h.advance(zoneWorkerLease + tuning.RenewedQueryTime + time.Second)
	if !h.concludes("n-1", true) || h.concludes("n-1", false) {
		t.Error("not concluded a lease after the last answer, or without the member's answer while the record stands")
	}
	if h.Renew(t.Context()); !h.MayRenew("n-1", "a") || h.Claim() == nil {
		t.Error("has no zone lease of its own once it is served")
	}
}

// Guards against an answer by an inherited zone lease after its end, where the clock that told the end and the one that reads it
// are both as wrong as they may be, in opposite directions.
func TestInheritedZoneLeaseEndsEarlyByBothClocksErrors(t *testing.T) {
	h := newZoneHarness(t)
	h.clockError = 250 * time.Millisecond
	const lasts = time.Minute
	h.Inherit(wire.EncodeRecord(claim{Zone: "a", UntilMS: h.clock.Now().Add(lasts).UnixMilli()}))
	h.advance(lasts - 2*h.clockError - 10*time.Millisecond)
	if !h.MayRenew("n-1", "a") {
		t.Error("ends too early")
	}
	if h.advance(10 * time.Millisecond); h.MayRenew("n-1", "a") {
		t.Error("answers though its time may be over by the clock that told it")
	}
}
