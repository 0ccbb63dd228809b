package budget

import (
	"time"

	"poppypass/internal/accounting/charge"
)

// Balance is the state of one budget in its present period. Its amounts are in the
// ledger's units.
type Balance struct {
	Budget
	Limit        float64   // with what was carried over
	Used         float64   // charged in the present period
	Running      float64   // used by live tasks and not charged yet
	Reserved     float64   // expected to be used by live tasks beyond that
	From, To     time.Time // the period; To is zero for one without end
	liveTasks    int       // that count in this budget
	warnedPeriod time.Time // the beginning of the last period in which Warnings named it
}

// spent is what was used in the present period, charged or not.
func (bal *Balance) spent() float64 { return bal.Used + bal.Running }

// reserve counts n more live tasks, which are expected to use this much each.
func (bal *Balance) reserve(n int, each Usage) {
	bal.liveTasks += n
	bal.Reserved += float64(n) * each.in(bal.Unit)
}

// Recompute works out all balances anew from the charges and the live tasks.
func (tr *Tracker) Recompute(now time.Time) {
	if len(tr.balances) == 0 {
		return
	}
	for _, bal := range tr.balances {
		tr.resetBalance(bal, now)
	}
	for _, t := range tr.live {
		expected := tr.estimates.expected(t)
		for _, bal := range tr.balancesOf(t) {
			bal.addLiveTask(t, expected, now)
		}
	}
}

// resetBalance sets the period, the limit and what was charged, without live tasks.
func (tr *Tracker) resetBalance(bal *Balance, now time.Time) {
	bal.From, bal.To = bal.Period.bounds(now, tr.settings.Location())
	bal.Limit = bal.Amount * bal.Unit.scale()
	bal.Limit += tr.carriedOver(bal)
	bal.Used = tr.usageBetween(bal.Scope, bal.From, bal.To).in(bal.Unit)
	bal.Running, bal.Reserved, bal.liveTasks = 0, 0, 0
}

// carriedOver is the share of what the period before left unused that the present one has
// in addition. The limit of the period before is taken without its own carry-over.
func (tr *Tracker) carriedOver(bal *Balance) float64 {
	share := tr.settings.policy(bal.Team).CarryOver
	if share <= 0 || bal.To.IsZero() {
		return 0
	}
	before, _ := bal.Period.bounds(bal.From.Add(-time.Second), tr.settings.Location())
	used := tr.usageBetween(bal.Scope, before, bal.From).in(bal.Unit)
	return share * max(0, bal.Limit-used)
}

// addLiveTask counts what a live task used so far in the present period, and reserves the
// rest of what it is expected to use.
func (bal *Balance) addLiveTask(t *Task, expected Usage, now time.Time) {
	used := bal.usedSoFar(t, now).in(bal.Unit)
	bal.liveTasks++
	bal.Running += used
	bal.Reserved += max(0, expected.in(bal.Unit)-used)
}

func (bal *Balance) usedSoFar(t *Task, now time.Time) Usage {
	if t.RunningSince.IsZero() {
		return Usage{}
	}
	since := t.RunningSince
	if since.Before(bal.From) {
		since = bal.From // what it used earlier counts in the period before
	}
	run := max(0, now.Sub(since))
	return Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(t.Rate, run)}
}

// admissionLimit is the amount, in the ledger's units, from which on a budget lets nothing
// start.
func (tr *Tracker) admissionLimit(bal *Balance) float64 {
	if p := tr.settings.policy(bal.Team); p.DrainWhenSpent {
		return p.DrainAt * bal.Limit
	}
	return bal.Limit
}

// nearlySpent reports whether a budget has reached its warning mark.
func (tr *Tracker) nearlySpent(bal *Balance) bool {
	return bal.spent() >= tr.settings.policy(bal.Team).WarnAt*bal.Limit
}
