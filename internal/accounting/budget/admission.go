package budget

import (
	"fmt"
	"math"
)

// exempt reports whether budgets do not hold a task back.
func (tr *Tracker) exempt(t *Task) bool {
	return t.Production && !tr.settings.policy(t.Scope.Team).HoldProduction
}

// Admit says how many of a number of equal waiting tasks may start now, and why no more.
func (tr *Tracker) Admit(t *Task, waiting int) (n int, reason string) {
	if tr.exempt(t) {
		return waiting, ""
	}
	n = waiting
	for _, bal := range tr.balancesOf(t) {
		each, limit := tr.estimates.expected(t).in(bal.Unit), tr.admissionLimit(bal)
		if may := bal.startable(each, limit); may < n {
			n, reason = may, bal.explainHold(each, each*float64(waiting), limit)
		}
	}
	return n, reason
}

// startable is how many tasks that are expected to use this much each fit below the
// admission limit. As long as no task of the budget is live and it is not spent, one may
// start: otherwise a task that is expected to use more than the whole budget would never
// run.
func (bal *Balance) startable(each, limit float64) int {
	left := limit - bal.Used - bal.Running - bal.Reserved
	n := 0
	switch {
	case left <= 0:
	case each <= 0:
		n = math.MaxInt32
	default:
		n = int(min(math.Floor(left/each), math.MaxInt32))
	}
	if n == 0 && bal.liveTasks == 0 && bal.Used < limit {
		n = 1
	}
	return n
}

// explainHold says why a budget holds back waiting tasks of a job: each and all is what
// one and all of them are expected to use, and limit is the admission limit.
func (bal *Balance) explainHold(each, all, limit float64) string {
	scale := bal.Unit.scale()
	text := fmt.Sprintf("the budget of %s (%s, %s) is spent or reserved: %.6g used and %.6g reserved of %.6g",
		bal.Scope, bal.Unit, bal.Period, bal.spent()/scale, bal.Reserved/scale, bal.Limit/scale)
	if bal.Period == Ever {
		text += "; it goes on when the budget is raised"
	} else {
		text += "; it goes on from " + bal.To.Format("2006-01-02 15:04 MST") + " or when the budget is raised"
	}
	switch {
	case each > limit:
		text += "; one task alone is expected to take more than the whole budget, and runs when nothing else of it does"
	case all > limit:
		text += "; what waits of this job is expected to take more than the whole budget"
	}
	return text
}

// Reserve counts n waiting tasks as if they had started, until the next Recompute or the
// call of the function that SaveReservations returned.
func (tr *Tracker) Reserve(t *Task, n int) {
	if n <= 0 {
		return
	}
	expected := tr.estimates.expected(t)
	for _, bal := range tr.balancesOf(t) {
		bal.reserve(n, expected)
	}
}

// SaveReservations notes what is reserved now; restore undoes all Reserve calls since.
func (tr *Tracker) SaveReservations() (restore func()) {
	type reservation struct {
		reserved  float64
		liveTasks int
	}
	saved := make([]reservation, len(tr.balances))
	for i, bal := range tr.balances {
		saved[i] = reservation{bal.Reserved, bal.liveTasks}
	}
	return func() {
		for i, bal := range tr.balances {
			bal.Reserved, bal.liveTasks = saved[i].reserved, saved[i].liveTasks
		}
	}
}
