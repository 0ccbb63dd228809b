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

// The property: for any sequence of events, each attempt is charged once, and the totals are the sum of the charges.
func TestChargesAndTotalsMatchWhatRanInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &randomRun{testLeader: newTestLeader(t)}
		rt.Repeat(map[string]func(*rapid.T){
			"submit":             r.submitJob,
			"place":              r.allocateSome,
			"run":                r.runOne,
			"finish many":        r.finishMany,
			"refuse":             r.refuseOne,
			"lose":               r.loseOne,
			"cancel":             r.cancelFirst,
			"commit":             func(*rapid.T) { r.commitBatch(true) },
			"commit unanswered":  func(*rapid.T) { r.commitBatch(false); r.newTerm() },
			"new leader":         func(*rapid.T) { r.newTerm() },
			"roll up":            r.rollUpOnce,
			"roll up unanswered": r.rollUpUnanswered,
			"seconds":            r.letSecondsPass,
			"hours":              r.letHoursPass,
			"":                   func(*rapid.T) {}, // no invariant is checked after each action
		})
		r.checkAgainstTruth()
		r.rollUpAll()
		r.checkAgainstTruth()
		r.newTerm()
		r.checkAgainstTruth()
	})
}

// randomRun is a test leader with actions that rapid calls in random order.
type randomRun struct {
	*testLeader
	submitted int
}

// pick returns a random allocation whose attempt was started and has not ended; nil if there is none.
func (r *randomRun) pick(rt *rapid.T) *jobs.Allocation {
	var live []*jobs.Allocation
	for _, id := range r.sortedAttempts() {
		a := r.allocations[id]
		if truth := r.attempts[attemptIDOf(a)]; truth != nil && truth.endedAt.IsZero() && !a.Removed {
			live = append(live, a)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(rt, "allocation")]
}

func (r *randomRun) submitJob(rt *rapid.T) {
	r.submitted++
	j := arrayJob(fmt.Sprintf("job-%d", r.submitted), rapid.SampledFrom([]int{1, 3, 70, 200}).Draw(rt, "tasks"))
	j.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "account")
	r.submit(j)
}

func (r *randomRun) allocateSome(rt *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(r.store.Jobs)) {
		for range rapid.IntRange(1, 40).Draw(rt, "count") {
			r.allocate(id)
		}
	}
}

func (r *randomRun) runOne(rt *rapid.T) {
	if a := r.pick(rt); a != nil {
		r.run(a)
	}
}

func (r *randomRun) finishMany(rt *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(rt, "count") {
		if a := r.pick(rt); a != nil {
			r.run(a)
			r.end(a, rapid.SampledFrom([]wire.ExitReason{wire.ExitDone, wire.ExitError, wire.ExitStopped}).Draw(rt, "reason"), false)
		}
	}
}

func (r *randomRun) refuseOne(rt *rapid.T) {
	if a := r.pick(rt); a != nil && r.attempts[attemptIDOf(a)].beganAt.IsZero() {
		r.end(a, wire.ExitNoRoom, false)
	}
}

func (r *randomRun) loseOne(rt *rapid.T) {
	if a := r.pick(rt); a != nil {
		r.end(a, wire.ExitStopped, true)
	}
}

func (r *randomRun) cancelFirst(*rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(r.store.Jobs)) {
		r.store.Cancel(r.store.Jobs[id], func(wire.JobState) {})
		return
	}
}

func (r *randomRun) rollUpOnce(*rapid.T) {
	r.ledger.detachedSince, r.ledger.nextCompactCheck = time.Time{}, time.Time{}
	r.commitLedgerWrite(true)
}

// rollUpUnanswered commits a roll-up whose answer is lost because the leader fails.
func (r *randomRun) rollUpUnanswered(*rapid.T) {
	r.ledger.detachedSince = time.Time{}
	if r.commitLedgerWrite(false) {
		r.newTerm()
	}
}

func (r *randomRun) letSecondsPass(rt *rapid.T) {
	r.clock.Advance(time.Duration(rapid.IntRange(1, 90_000).Draw(rt, "ms")) * time.Millisecond)
}

func (r *randomRun) letHoursPass(rt *rapid.T) {
	r.clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(rt, "hours")) * time.Hour)
	r.ledger.Tick(r.now())
	r.commitAll() // the job store commits what is due within seconds, so nothing stays uncommitted for hours
}
