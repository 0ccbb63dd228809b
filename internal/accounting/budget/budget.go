// Package budget decides which tasks a team may still start. A team or one of its accounts
// has budgets of core-hours or money for a day, a week, a month or a period without end.
// Each budget is compared with the sum of three amounts: what was charged, what running
// tasks have used so far, and what placed tasks are expected to use in addition. The package
// does no I/O: the caller reports charges and tasks to a Tracker, which is not safe for
// concurrent use.
package budget

// Period is the span of time after which the usage of a budget starts again from zero.
type Period string

// The periods.
const (
	Day   Period = "day"
	Week  Period = "week" // from Monday to Sunday
	Month Period = "month"
	Ever  Period = "ever" // a single period without end
)

// Unit is the unit in which a budget is given.
type Unit string

// The units.
const (
	CoreHours Unit = "core-hours"
	Money     Unit = "money"
)

// scale returns the number of the ledger's units in one unit of a budget.
func (u Unit) scale() float64 {
	if u == CoreHours {
		return 3600 * 1e6 // millionths of core-seconds
	}
	return 1e6 // millionths of the currency
}

// Scope identifies the owner of a budget: a team, or an account of a team. Account is empty for
// the team itself.
type Scope struct{ Team, Account string }

// String returns TEAM or TEAM/ACCOUNT.
func (s Scope) String() string {
	if s.Account == "" {
		return s.Team
	}
	return s.Team + "/" + s.Account
}

// enclosing returns the scopes in which usage of this scope counts: the scope itself and, for an
// account, its team.
func (s Scope) enclosing() []Scope {
	if s.Account == "" {
		return []Scope{s}
	}
	return []Scope{s, {Team: s.Team}}
}

// Budget is an amount, in the given unit, that a scope may use in each period.
type Budget struct {
	Scope
	Period Period
	Unit   Unit
	Amount float64
}

// Usage is an amount of past or expected usage. Core is in millionths of core-seconds, Money in
// millionths of the currency; these are the ledger's units.
type Usage struct{ Core, Money int64 }

// Add adds v to u.
func (u *Usage) Add(v Usage) { u.Core += v.Core; u.Money += v.Money }

// amountFor returns the amount that counts in a budget of the given unit, in the ledger's units.
func (u Usage) amountFor(unit Unit) float64 {
	if unit == CoreHours {
		return float64(u.Core)
	}
	return float64(u.Money)
}
