package budget

import (
	"slices"
	"time"
)

// TasksToDrain returns the references of the live tasks that must stop now: those that count in a
// budget whose policy sets DrainWhenSpent and whose usage has reached the DrainAt share.
func (tr *Tracker) TasksToDrain() []any {
	toDrain := tr.balancesToDrain()
	if len(toDrain) == 0 {
		return nil
	}
	var refs []any
	for ref, t := range tr.liveTasks {
		if !tr.exempt(t) && slices.ContainsFunc(tr.balancesOf(t), func(bal *Balance) bool { return slices.Contains(toDrain, bal) }) {
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

// Warnings returns the balances whose usage has reached the warning threshold. It returns each
// balance at most once per period.
func (tr *Tracker) Warnings() []*Balance {
	var out []*Balance
	for _, bal := range tr.balances {
		period := bal.From
		if bal.Period == Ever {
			period = time.Unix(1, 0) // this period has no beginning, and the zero time already means that no warning was given
		}
		if tr.nearlySpent(bal) && !bal.warnedPeriod.Equal(period) {
			bal.warnedPeriod = period
			out = append(out, bal)
		}
	}
	return out
}
