package workerlease

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// Guards against a machine that several members answer one after the other while the leader reads and asks: each said,
// when it was asked, that it had not answered it for a lease, and so it had not; but the machine's lease had gone over from one
// to the next. The reading takes its time, with pauses between its steps; it counts only if all of it took RenewedQueryTime at the most.
func TestNoConclusionFromAnswersOfDifferentTimes(t *testing.T) {
	concluded, late, handed := 0, 0, 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 34))
		h := newFollowerHarness(t)
		var members []*ZoneLease
		for _, name := range []string{"m2", "m3"} {
			z := NewZoneLease(&config.Settings{
				Member: name, Zone: "a", Cluster: config.Cluster{Workers: config.Workers{LeaseS: h.workerLease.Seconds()}},
			}, statestore.New(h.state.Addr(), 1e6, 1e6), h.clock, slog.New(slog.DiscardHandler))
			z.Renew(t.Context())
			members = append(members, z)
		}
		advance := func(most time.Duration) {
			h.clock.Advance(time.Duration(r.Int64N(int64(most))))
			h.state.Expire()
			if r.IntN(3) == 0 {
				h.renewRecord(t.Context())
			}
		}
		h.clock.Advance(time.Minute) // all are sure of what they answered
		for _, z := range members {
			z.Renew(t.Context())
		}
		var last time.Time // when the machine was last answered, in its present session
		session, by := 1, -1
		answer := func() {
			if !last.IsZero() && h.clock.Since(last) >= h.workerLease {
				session, by = session+1, -1 // the next one began
			}
			who := r.IntN(3)
			if who == 2 && h.tryAcquire("n-1") || who < 2 && members[who].MayRenew("n-1", "a") {
				if last = h.clock.Now(); by != who {
					handed++
				}
				by = who
			}
		}
		// trouble is what may happen between two steps of the leader.
		trouble := func() {
			if advance(600 * time.Millisecond); r.IntN(8) == 0 {
				answer()
			}
			advance(600 * time.Millisecond)
		}
		answer()
		for range 30 {
			advance(h.workerLease)
			if r.IntN(2) == 0 {
				answer()
			}
			begun, of := h.clock.Now(), session
			trouble()
			renewed, zones, err := ReadAll(t.Context(), h.store)
			if err != nil {
				t.Fatal(err)
			}
			gone := !renewed["n-1"]
			for range zones {
				trouble()
			}
			for _, i := range r.Perm(len(members)) {
				trouble()
				names, err := members[i].MayHaveRenewed([]string{"n-1"})
				gone = gone && err == nil && len(names) == 0
			}
			switch {
			case !gone:
			case h.clock.Since(begun) > tuning.RenewedQueryTime:
				late++
			default:
				if concluded++; session == of && !last.IsZero() && h.clock.Since(last) < h.workerLease {
					t.Fatalf("seed %d: concluded %v after an answer", seed, h.clock.Since(last))
				}
			}
		}
	}
	if concluded < 100 || late < 50 || handed < 100 {
		t.Errorf("%d conclusions, %d that took too long, %d hand-overs", concluded, late, handed)
	}
}
