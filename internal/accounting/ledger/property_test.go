package ledger

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// The property: whatever happens, in whatever order, each attempt is charged once, and the
// totals are the sum of the charges.
func TestChargesAndTotalsMatchWhatRanInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tl := newTestLeader(t)
		next := 0
		pick := func() *jobs.Allocation {
			var live []*jobs.Allocation
			for _, k := range tl.sortedAttempts() {
				a := tl.allocations[k]
				if truth := tl.attempts[attemptIDOf(a)]; truth != nil && truth.ended.IsZero() && !a.Removed {
					live = append(live, a)
				}
			}
			if len(live) == 0 {
				return nil
			}
			return live[rapid.IntRange(0, len(live)-1).Draw(rt, "allocation")]
		}
		actions := map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				next++
				j := jobArray(fmt.Sprintf("job-%d", next), rapid.SampledFrom([]int{1, 3, 70, 200}).Draw(rt, "tasks"))
				j.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "account")
				tl.submit(j)
			},
			"place": func(rt *rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(tl.store.Jobs)) {
					for range rapid.IntRange(1, 40).Draw(rt, "count") {
						tl.allocate(id)
					}
				}
			},
			"run": func(*rapid.T) {
				if a := pick(); a != nil {
					tl.run(a)
				}
			},
			"finish many": func(rt *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(rt, "count") {
					if a := pick(); a != nil {
						tl.run(a)
						tl.end(a, rapid.SampledFrom([]wire.ExitReason{wire.ExitDone, wire.ExitError, wire.ExitStopped}).Draw(rt, "reason"), false)
					}
				}
			},
			"refuse": func(*rapid.T) {
				if a := pick(); a != nil && tl.attempts[attemptIDOf(a)].began.IsZero() {
					tl.end(a, wire.ExitNoRoom, false)
				}
			},
			"lose": func(*rapid.T) {
				if a := pick(); a != nil {
					tl.end(a, wire.ExitStopped, true)
				}
			},
			"cancel": func(*rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(tl.store.Jobs)) {
					tl.store.Cancel(tl.store.Jobs[id], func(wire.JobState) {})
					return
				}
			},
			"commit":        func(*rapid.T) { tl.commitBatch(true) },
			"commit unsure": func(*rapid.T) { tl.commitBatch(false); tl.newTerm() },
			"new leader":    func(*rapid.T) { tl.newTerm() },
			"roll up": func(*rapid.T) {
				tl.ledger.detachedSince = time.Time{}
				tl.ledger.nextCompactCheck = time.Time{}
				tl.commitLedgerWrite(true)
			},
			"roll up unsure": func(*rapid.T) {
				if tl.ledger.detachedSince = (time.Time{}); tl.commitLedgerWrite(false) {
					tl.newTerm()
				}
			},
			"seconds": func(rt *rapid.T) {
				tl.clock.Advance(time.Duration(rapid.IntRange(1, 90_000).Draw(rt, "ms")) * time.Millisecond)
			},
			"hours": func(rt *rapid.T) {
				tl.clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(rt, "hours")) * time.Hour)
				tl.ledger.Tick(tl.now())
				tl.commitAll() // the job store writes what is due within seconds
			},
			"": func(*rapid.T) {},
		}
		rt.Repeat(actions)
		tl.checkAgainstTruth()
		tl.rollUpAll()
		tl.checkAgainstTruth()
		tl.newTerm()
		tl.checkAgainstTruth()
	})
}
