package budget

import (
	"fmt"
	"math"
)

// exempt reports whether a task is exempt from budgets. Production tasks are exempt unless the
// team's policy sets LimitProduction.
func (tr *Tracker) exempt(t *Task) bool {
	return t.Production && !tr.settings.policy(t.Scope.Team).LimitProduction
}

// Admit returns how many of the given number of identical waiting tasks may start now. If not all
// of them may start, reason says why.
func (tr *Tracker) Admit(t *Task, waiting int) (n int, reason string) {
	if tr.exempt(t) {
		return waiting, ""
	}
	n = waiting
	for _, bal := range tr.balancesOf(t) {
		perTask, limit := tr.estimates.expected(t).amountFor(bal.Unit), tr.admissionLimit(bal)
		if allowed := bal.startable(perTask, limit); allowed < n {
			n, reason = allowed, bal.explainBlocked(perTask, perTask*float64(waiting), limit)
		}
	}
	return n, reason
}

// startable returns how many tasks fit below the admission limit if each is expected to use the
// given amount. If no task of the budget is live and the budget is not spent, one task may always
// start: otherwise a task that is expected to use more than the whole budget would never run.
func (bal *Balance) startable(perTask, limit float64) int {
	remaining := limit - bal.Charged - bal.Uncharged - bal.Reserved
	n := 0
	switch {
	case remaining <= 0:
	case perTask <= 0:
		n = math.MaxInt32
	default:
		n = int(min(math.Floor(remaining/perTask), math.MaxInt32))
	}
	if n == 0 && bal.liveTaskCount == 0 && bal.Charged < limit {
		n = 1
	}
	return n
}

// explainBlocked returns the reason why a budget prevents waiting tasks of a job from starting.
// perTask and total are the expected usage of one and of all of these tasks; limit is the admission
// limit. These three are in the ledger's units.
func (bal *Balance) explainBlocked(perTask, total, limit float64) string {
	scale := bal.Unit.scale()
	text := fmt.Sprintf("the budget of %s (%s, %s) is spent or reserved: %.6g used and %.6g reserved of %.6g",
		bal.Scope, bal.Unit, bal.Period, bal.spent()/scale, bal.Reserved/scale, bal.Limit/scale)
	if bal.Period == Ever {
		text += "; it goes on when the budget is raised"
	} else {
		text += "; it goes on from " + bal.To.Format("2006-01-02 15:04 MST") + " or when the budget is raised"
	}
	switch {
	case perTask > limit:
		text += "; one task alone is expected to take more than the whole budget, and runs when nothing else of it does"
	case total > limit:
		text += "; what waits of this job is expected to take more than the whole budget"
	}
	return text
}

// Reserve counts n waiting tasks as if they had started. The effect lasts until the next Recompute,
// or until the function that SaveReservations returned is called.
func (tr *Tracker) Reserve(t *Task, n int) {
	if n <= 0 {
		return
	}
	expected := tr.estimates.expected(t)
	for _, bal := range tr.balancesOf(t) {
		bal.reserve(n, expected)
	}
}

// SaveReservations saves the current reservations; restore undoes all later Reserve calls.
func (tr *Tracker) SaveReservations() (restore func()) {
	type reservation struct {
		reserved      float64
		liveTaskCount int
	}
	saved := make([]reservation, len(tr.balances))
	for i, bal := range tr.balances {
		saved[i] = reservation{bal.Reserved, bal.liveTaskCount}
	}
	return func() {
		for i, bal := range tr.balances {
			bal.Reserved, bal.liveTaskCount = saved[i].reserved, saved[i].liveTaskCount
		}
	}
}
