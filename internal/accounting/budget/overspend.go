package budget

import (
	"slices"
	"time"
)

// TasksToDrain returns the references of the live tasks that are to be stopped now: those
// of budgets whose policy says so and whose mark is reached.
func (tr *Tracker) TasksToDrain() []any {
	drained := tr.balancesToDrain()
	if len(drained) == 0 {
		return nil
	}
	var refs []any
	for ref, t := range tr.live {
		if !tr.exempt(t) && slices.ContainsFunc(tr.balancesOf(t), func(bal *Balance) bool { return slices.Contains(drained, bal) }) {
			refs = append(refs, ref)
		}
	}
	return refs
}

func (tr *Tracker) balancesToDrain() []*Balance {
	var out []*Balance
	for _, bal := range tr.balances {
		if tr.settings.policy(bal.Team).DrainWhenSpent && bal.spent() >= tr.admissionLimit(bal) {
			out = append(out, bal)
		}
	}
	return out
}

// Warnings returns the balances that reached their warning mark, each once a period.
func (tr *Tracker) Warnings() []*Balance {
	var out []*Balance
	for _, bal := range tr.balances {
		period := bal.From
		if bal.Period == Ever {
			period = time.Unix(1, 0) // it has no beginning; the zero time means no warning yet
		}
		if tr.nearlySpent(bal) && !bal.warnedPeriod.Equal(period) {
			bal.warnedPeriod = period
			out = append(out, bal)
		}
	}
	return out
}
