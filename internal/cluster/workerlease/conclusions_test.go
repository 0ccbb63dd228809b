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

// Guards against tasks that count as ended while they run because several members answer their machine one after
// the other while the leader reads and asks. Each member truthfully said, when it was asked, that it had not
// answered the machine for a lease, but the machine's lease had been renewed by one member and then by the next.
// The query takes time, with pauses between its steps; it counts only if all of it took at most RenewedQueryTime.
func TestNoConclusionFromAnswersOfDifferentTimes(t *testing.T) {
	concluded, tooLate, handOvers := 0, 0, 0
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
		advance := func(limit time.Duration) {
			h.clock.Advance(time.Duration(r.Int64N(int64(limit))))
			h.state.Expire()
			if r.IntN(3) == 0 {
				h.renewRecord(t.Context())
			}
		}
		h.clock.Advance(time.Minute) // all members are now sure which machines they answered
		for _, z := range members {
			z.Renew(t.Context())
		}
		var lastAnswered time.Time // when the machine was last answered in its current session
		session, answeredBy := 1, -1
		answer := func() {
			if !lastAnswered.IsZero() && h.clock.Since(lastAnswered) >= h.workerLease {
				session, answeredBy = session+1, -1 // the lease expired: a new session begins
			}
			answerer := r.IntN(3)
			if answerer == 2 && h.tryAcquire("n-1") || answerer < 2 && members[answerer].MayRenew("n-1", "a") {
				if lastAnswered = h.clock.Now(); answeredBy != answerer {
					handOvers++
				}
				answeredBy = answerer
			}
		}
		// betweenSteps advances the clock, and may have a member answer the machine, between two steps of the
		// leader.
		betweenSteps := func() {
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
			queryStart, queriedSession := h.clock.Now(), session
			betweenSteps()
			renewed, zones, err := ReadAll(t.Context(), h.store)
			if err != nil {
				t.Fatal(err)
			}
			gone := !renewed["n-1"]
			for range zones {
				betweenSteps()
			}
			for _, i := range r.Perm(len(members)) {
				betweenSteps()
				names, err := members[i].MayHaveRenewed([]string{"n-1"})
				gone = gone && err == nil && len(names) == 0
			}
			switch {
			case !gone:
			case h.clock.Since(queryStart) > tuning.RenewedQueryTimeout:
				tooLate++
			default:
				if concluded++; session == queriedSession && !lastAnswered.IsZero() && h.clock.Since(lastAnswered) < h.workerLease {
					t.Fatalf("seed %d: concluded %v after an answer", seed, h.clock.Since(lastAnswered))
				}
			}
		}
	}
	if concluded < 100 || tooLate < 50 || handOvers < 100 {
		t.Errorf("%d conclusions, %d queries that took too long, %d hand-overs between members", concluded, tooLate, handOvers)
	}
}
