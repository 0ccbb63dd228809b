package workerlease

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
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
	w := &zoneHarness{t: t, clock: clock, state: fakes.NewStore(clock)}
	t.Cleanup(w.state.Close)
	w.restart()
	return w
}

// restart starts a new process of the member.
func (w *zoneHarness) restart() {
	w.ZoneLease = NewZoneLease(&config.Settings{
		Member: "m1", Zone: "a", Cluster: config.Cluster{Workers: config.Workers{LeaseS: zoneWorkerLease.Seconds()}},
	}, statestore.New(w.state.Addr(), 1e6, 1e6), w.clock, slog.New(slog.DiscardHandler))
}

// advance lets time pass at the state service, too.
func (w *zoneHarness) advance(d time.Duration) {
	w.clock.Advance(d)
	w.state.Expire()
}

// concludes tells whether a leader that reads now, after the end of the machine's
// lease by its own count, concludes that its tasks are gone.
func (w *zoneHarness) concludes(machine string, reached bool) bool {
	w.t.Helper()
	_, zones, err := ReadAll(w.t.Context(), w.store)
	if err != nil {
		w.t.Fatal(err)
	}
	if len(zones) == 0 {
		return true
	}
	if !reached {
		return false
	}
	renewed, sure := w.MayHaveRenewed([]string{machine})
	return sure && len(renewed) == 0
}

func TestZoneLeaseOutlastsAPartition(t *testing.T) {
	w := newZoneHarness(t)
	if w.MayRenew("n-1", "a") {
		t.Error("answers before the zone lease is recorded")
	}
	w.Renew(t.Context())
	if !w.MayRenew("n-1", "a") || w.MayRenew("n-2", "b") {
		t.Error("answers another zone's machines, or not its own")
	}
	w.state.Refuse(true) // a cut
	begun := w.clock.Now()
	for w.MayRenew("n-1", "a") {
		w.advance(time.Second)
		w.Renew(t.Context())
		if isolated := w.clock.Since(begun) > 2*tuning.ZoneLeaseRenew; w.Isolated() != isolated {
			t.Fatalf("isolated %v after %v", w.Isolated(), w.clock.Since(begun))
		}
	}
	if d := w.clock.Since(begun); d != tuning.ZoneLeaseTTL {
		t.Errorf("answers for %v", d)
	}
	w.state.Refuse(false)
	if w.Renew(t.Context()); !w.MayRenew("n-1", "a") || w.Isolated() {
		t.Error("does not answer after the cut")
	}
}

// Guards against a member that was restarted and says that it answered nobody: its
// earlier process may have, a moment before.
func TestRestartedMemberIsUnsureForALease(t *testing.T) {
	w := newZoneHarness(t)
	w.Renew(t.Context())
	w.advance(time.Minute)
	w.MayRenew("n-1", "a")
	w.restart()
	if w.concludes("n-1", true) {
		t.Error("concluded on the answer of one that cannot know")
	}
	w.advance(zoneWorkerLease + time.Second)
	if w.concludes("n-1", true) {
		t.Error("concluded on an answer that may be asked for later than it counts from")
	}
	w.advance(tuning.RenewedQueryTime)
	if !w.concludes("n-1", true) {
		t.Error("not concluded though the earlier process's answers are over")
	}
}

// Workers' leases that are too long beside the state service's longest leave no time for a zone lease.
func TestNoZoneLeaseBesideVeryLongWorkerLeases(t *testing.T) {
	w := newZoneHarness(t)
	w.ZoneLease = NewZoneLease(&config.Settings{
		Member: "m1", Zone: "a", Cluster: config.Cluster{Workers: config.Workers{LeaseS: tuning.MaxTTL.Seconds()}},
	}, w.store, w.clock, w.log)
	w.Run(t.Context()) // which ends at once
	if w.MayRenew("n-1", "a") {
		t.Error("answers without a zone lease")
	}
}

// Whatever comes together (cuts and outages of any length, restarts, members that the leader
// cannot ask), no leader concludes that a machine's tasks are gone within a lease
// after an answer to it.
func TestNoConclusionWithinALeaseOfAnAnswer(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 21))
		w := newZoneHarness(t)
		var last time.Time                                      // when the machine was last answered
		refused, cut, concluded, answered := false, false, 0, 0 // cut: from the member alone
		for range 800 {
			switch n := r.IntN(100); {
			case n < 1:
				refused = !refused
				w.state.Refuse(refused)
			case n < 2:
				cut = !cut
			case n < 3:
				w.restart()
			case n < 23:
				if !cut {
					w.Renew(t.Context())
				}
			case n < 80:
				if last.IsZero() || w.clock.Since(last) < zoneWorkerLease {
					if w.MayRenew("n-1", "a") {
						last = w.clock.Now()
						answered++
					}
				}
			case !refused:
				// The leader has not answered it for a lease.
				if w.concludes("n-1", !cut && r.IntN(3) > 0) {
					concluded++
					if !last.IsZero() && w.clock.Since(last) < zoneWorkerLease {
						t.Fatalf("seed %d: concluded %v after an answer", seed, w.clock.Since(last))
					}
					last = time.Time{} // its next session
				}
			}
			w.advance(time.Duration(r.IntN(4000)) * time.Millisecond)
		}
		if concluded == 0 || answered == 0 {
			t.Errorf("seed %d: %d conclusions, %d answers", seed, concluded, answered)
		}
	}
}

// Guards against the loss of a zone's tasks as its only member is restarted while the state service is out: another member remembers its zone lease, whose
// record stands as long, and a leader that reads it later asks the new process.
func TestRestartedMemberInheritsItsZoneLease(t *testing.T) {
	w := newZoneHarness(t)
	w.clockError = 250 * time.Millisecond
	w.Renew(t.Context())
	w.advance(20 * time.Second)
	w.state.Refuse(true)
	claim, ends := w.Claim(), w.clock.Now().Add(tuning.ZoneLeaseTTL-20*time.Second)
	off := w.clockError
	w.restart()
	w.clockError = off
	w.Renew(t.Context())
	if w.MayRenew("n-1", "a") || w.Claim() != nil {
		t.Error("answers without any zone lease")
	}
	for _, other := range []string{"", "{", "{}", `{"zone":"b","until_ms":9999999999999}`} {
		if w.Inherit([]byte(other)); w.MayRenew("n-1", "a") {
			t.Errorf("answers by %q", other)
		}
	}
	w.Inherit(claim)
	if w.MayRenew("n-2", "b") {
		t.Error("answers another zone's machine")
	}
	for w.MayRenew("n-1", "a") {
		if w.advance(time.Second); w.clock.Now().After(ends) {
			t.Fatal("answers beyond the end of its earlier process's zone lease")
		}
		w.Inherit(claim) // a copy that comes late changes nothing
	}
	if left := ends.Sub(w.clock.Now()); left < 0 || left > 2*time.Second {
		t.Errorf("stops %v before the end", left)
	}
	w.state.Refuse(false)
	if w.concludes("n-1", true) || w.concludes("n-1", false) {
		t.Error("concluded, though it was answered a moment ago")
	}
	w.advance(zoneWorkerLease + tuning.RenewedQueryTime + time.Second)
	if !w.concludes("n-1", true) || w.concludes("n-1", false) {
		t.Error("not concluded a lease after the last answer, or without the member's answer while the record stands")
	}
	if w.Renew(t.Context()); !w.MayRenew("n-1", "a") || w.Claim() == nil {
		t.Error("has no zone lease of its own once it is served")
	}
}
