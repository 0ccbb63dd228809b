package budget

import (
	"time"

	"poppypass/internal/accounting/charge"
)

// Balance is the state of one budget in its current period. The budget's Amount is in the budget's
// unit. All other amounts are in the ledger's units: millionths of core-seconds or of the currency.
type Balance struct {
	Budget
	Limit         float64   // Amount plus what was carried over from the previous period
	Charged       float64   // charged in the current period
	Uncharged     float64   // used by live tasks but not charged yet
	Reserved      float64   // what live tasks are expected to use in addition
	From, To      time.Time // beginning of the current period and of the next one; both are zero for a period without end
	liveTaskCount int       // number of live tasks that count in this budget
	warnedPeriod  time.Time // the beginning of the last period in which Warnings returned this balance
}

// spent returns what was used in the current period, charged or not.
func (bal *Balance) spent() float64 { return bal.Charged + bal.Uncharged }

// reserve counts n more live tasks and reserves their expected usage. perTask is the expected usage
// of one task.
func (bal *Balance) reserve(n int, perTask Usage) {
	bal.liveTaskCount += n
	bal.Reserved += float64(n) * perTask.amountFor(bal.Unit)
}

// Recompute computes all balances from scratch from the charges and the live tasks.
func (tr *Tracker) Recompute(now time.Time) {
	if len(tr.balances) == 0 {
		return
	}
	for _, bal := range tr.balances {
		tr.resetBalance(bal, now)
	}
	for _, t := range tr.liveTasks {
		expected := tr.estimates.expected(t)
		for _, bal := range tr.balancesOf(t) {
			bal.addLiveTask(t, expected, now)
		}
	}
}

// resetBalance sets a balance to the current period, its limit and its charged usage, without any
// live tasks.
func (tr *Tracker) resetBalance(bal *Balance, now time.Time) {
	bal.From, bal.To = bal.Period.bounds(now, tr.settings.Location())
	bal.Limit = bal.Amount * bal.Unit.scale()
	bal.Limit += tr.carriedOver(bal)
	bal.Charged = tr.usageBetween(bal.Scope, bal.From, bal.To).amountFor(bal.Unit)
	bal.Uncharged, bal.Reserved, bal.liveTaskCount = 0, 0, 0
}

// carriedOver returns the part of the previous period's unused amount that is added to the
// current period. The carry-over into the previous period is not part of that unused amount.
func (tr *Tracker) carriedOver(bal *Balance) float64 {
	share := tr.settings.policy(bal.Team).CarryOver
	if share <= 0 || bal.To.IsZero() {
		return 0
	}
	previousFrom, _ := bal.Period.bounds(bal.From.Add(-time.Second), tr.settings.Location())
	used := tr.usageBetween(bal.Scope, previousFrom, bal.From).amountFor(bal.Unit)
	return share * max(0, bal.Limit-used)
}

// addLiveTask counts what a live task has used so far in the current period, and reserves the
// rest of its expected usage.
func (bal *Balance) addLiveTask(t *Task, expected Usage, now time.Time) {
	used := bal.usedSoFar(t, now).amountFor(bal.Unit)
	bal.liveTaskCount++
	bal.Uncharged += used
	bal.Reserved += max(0, expected.amountFor(bal.Unit)-used)
}

func (bal *Balance) usedSoFar(t *Task, now time.Time) Usage {
	if t.RunningSince.IsZero() {
		return Usage{}
	}
	since := t.RunningSince
	if since.Before(bal.From) {
		since = bal.From // earlier usage counts in earlier periods
	}
	run := max(0, now.Sub(since))
	return Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(t.Rate, run)}
}

// admissionLimit returns the usage, in the ledger's units, at which a budget lets no more tasks
// start.
func (tr *Tracker) admissionLimit(bal *Balance) float64 {
	if p := tr.settings.policy(bal.Team); p.DrainWhenSpent {
		return p.DrainAt * bal.Limit
	}
	return bal.Limit
}

// nearlySpent reports whether the usage of a budget has reached its warning threshold.
func (tr *Tracker) nearlySpent(bal *Balance) bool {
	return bal.spent() >= tr.settings.policy(bal.Team).WarnAt*bal.Limit
}
