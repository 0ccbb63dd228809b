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

// Guards against tasks that count as ended while they run, because several members answer their machine one after
// the other while the leader reads the records and asks the members. When each member was asked, it truthfully said
// that it had not answered the machine within the duration of a worker lease, but one member after the other had
// renewed the machine's lease. The leader's query takes time, with pauses between its steps. A conclusion counts only if
// the whole query took at most tuning.RenewedQueryTimeout.
func TestNoConclusionFromAnswersOfDifferentTimes(t *testing.T) {
	conclusions, lateQueries, answererChanges := 0, 0, 0
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
		var lastAnswered time.Time // when the machine was last answered in its current incarnation
		incarnation, answeredBy := 1, -1
		answer := func() {
			if !lastAnswered.IsZero() && h.clock.Since(lastAnswered) >= h.workerLease {
				incarnation, answeredBy = incarnation+1, -1 // the lease expired: a new incarnation begins
			}
			answerer := r.IntN(3)
			if answerer == 2 && h.tryAcquire("n-1") || answerer < 2 && members[answerer].TryRenew("n-1", "a") {
				if lastAnswered = h.clock.Now(); answeredBy != answerer {
					answererChanges++
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
			queryStart, queriedIncarnation := h.clock.Now(), incarnation
			betweenSteps()
			renewed, zones, err := ReadAll(t.Context(), h.store)
			if err != nil {
				t.Fatal(err)
			}
			unanswered := !renewed["n-1"]
			for range zones {
				betweenSteps()
			}
			for _, i := range r.Perm(len(members)) {
				betweenSteps()
				names, err := members[i].MayHaveRenewed([]string{"n-1"})
				unanswered = unanswered && err == nil && len(names) == 0
			}
			switch {
			case !unanswered:
			case h.clock.Since(queryStart) > tuning.RenewedQueryTimeout:
				lateQueries++
			default:
				if conclusions++; incarnation == queriedIncarnation && !lastAnswered.IsZero() && h.clock.Since(lastAnswered) < h.workerLease {
					t.Fatalf("seed %d: concluded %v after an answer", seed, h.clock.Since(lastAnswered))
				}
			}
		}
	}
	if conclusions < 100 || lateQueries < 50 || answererChanges < 100 {
		t.Errorf("%d conclusions, %d queries that took too long, %d changes of the answering member; want at least 100, 50 and 100", conclusions, lateQueries, answererChanges)
	}
}
