// Package budget decides what a team may still start. A team or one of its accounts
// has budgets of core-hours or money for a day, a week, a month or without end. They
// are compared with what was charged, what running tasks have used so far, and what
// those tasks are expected to use beyond that. The package does no I/O: charges and
// tasks are reported to a Tracker, which is not safe for concurrent use.
package budget

// Period is the time over which a budget counts.
type Period string

// The periods.
const (
	Day   Period = "day"
	Week  Period = "week" // from Monday on
	Month Period = "month"
	Ever  Period = "ever"
)

// Unit is what a budget counts.
type Unit string

// The units.
const (
	CoreHours Unit = "core-hours"
	Money     Unit = "money"
)

// scale is how many of the ledger's units one unit of a budget is.
func (u Unit) scale() float64 {
	if u == CoreHours {
		return 3600 * 1e6 // millionths of core-seconds
	}
	return 1e6
}

// Scope is whose budget it is: a team's, or within it an account's.
type Scope struct{ Team, Account string }

// String names the scope for people.
func (s Scope) String() string {
	if s.Account == "" {
		return s.Team
	}
	return s.Team + "/" + s.Account
}

// enclosing returns the scopes in which usage of this one counts: itself, and the team
// of an account.
func (s Scope) enclosing() []Scope {
	if s.Account == "" {
		return []Scope{s}
	}
	return []Scope{s, {Team: s.Team}}
}

// Budget is an amount that a scope may use in each period.
type Budget struct {
	Scope
	Period Period
	Unit   Unit
	Amount float64
}

// Usage is what was or will be used, in the ledger's units.
type Usage struct{ Core, Money int64 }

// Add adds v to the usage.
func (u *Usage) Add(v Usage) { u.Core += v.Core; u.Money += v.Money }

// in returns the usage that a budget in this unit counts, in the ledger's units.
func (u Usage) in(unit Unit) float64 {
	if unit == CoreHours {
		return float64(u.Core)
	}
	return float64(u.Money)
}
