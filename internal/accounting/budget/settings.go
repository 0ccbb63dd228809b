// Package budget decides what a team may still start: its budgets of core-hours
// and money for a day, a week, a month or without end, against what was used, what
// runs, and what the running tasks are expected to take. It does no I/O; what it knows
// of the past it is told.
package budget

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

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

// Budget is an amount that a scope may use in each period.
type Budget struct {
	Scope
	Period Period
	Unit   Unit
	Amount float64
}

// Policy is how a team's budgets work.
type Policy struct {
	// CarryOver is the share of what one period left that the next has besides.
	CarryOver float64
	// WarnAt is the share of a budget from which on it counts as nearly spent.
	WarnAt float64
	// DrainWhenSpent tells that running tasks are stopped, with time to save, once DrainAt of
	// a budget is used; otherwise what runs is let finish.
	DrainWhenSpent bool
	DrainAt        float64
	// HoldProduction tells that budgets hold production work too.
	HoldProduction bool
}

// DefaultPolicy is that of a team without settings of its own.
func DefaultPolicy() Policy { return Policy{WarnAt: 0.8, DrainAt: 1} }

// Settings are the operators' budgets.
type Settings struct {
	Zone     *time.Location // in which days begin; nil: UTC
	Budgets  []Budget
	Policies map[string]Policy
}

// Location is the place in which days begin.
func (s *Settings) Location() *time.Location {
	if s == nil || s.Zone == nil {
		return time.UTC
	}
	return s.Zone
}

func (s *Settings) policy(team string) Policy {
	if p, ok := s.Policies[team]; ok {
		return p
	}
	return DefaultPolicy()
}

// Prefix begins the keys of budgets in the operators' properties.
const Prefix = "budget."

// Set takes in one property, whose key begins with Prefix:
//
//	budget.TEAM[/ACCOUNT].PERIOD.UNIT = AMOUNT      budget.fraud-desk.month.core-hours = 500
//	budget.TEAM.carry-over = SHARE                  0 to 1
//	budget.TEAM.warn-at = SHARE                     above 0, to 1
//	budget.TEAM.when-spent = finish | drain
//	budget.TEAM.drain-at = SHARE                    above 0, to 1
//	budget.TEAM.production = spared | held
//
// An error says in one line what is wrong.
func (s *Settings) Set(key, value string) error {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return fmt.Errorf("%s: not a budget", key)
	}
	dot := strings.LastIndexByte(rest, '.')
	if dot <= 0 {
		return fmt.Errorf("%s: it names no team and setting", key)
	}
	name, last := rest[:dot], rest[dot+1:]
	switch Unit(last) {
	case CoreHours, Money:
		return s.setAmount(key, name, Unit(last), value)
	}
	if s.Policies == nil {
		s.Policies = map[string]Policy{}
	}
	p := s.policy(name)
	var err error
	switch last {
	case "carry-over":
		p.CarryOver, err = parseShare(key, value, 0)
	case "warn-at":
		p.WarnAt, err = parseShare(key, value, math.SmallestNonzeroFloat64)
	case "drain-at":
		p.DrainAt, err = parseShare(key, value, math.SmallestNonzeroFloat64)
	case "when-spent":
		p.DrainWhenSpent, err = parseChoice(key, value, "finish", "drain")
	case "production":
		p.HoldProduction, err = parseChoice(key, value, "spared", "held")
	default:
		return fmt.Errorf("%s: unknown key", key)
	}
	s.Policies[name] = p
	return err
}

func (s *Settings) setAmount(key, name string, unit Unit, value string) error {
	dot := strings.LastIndexByte(name, '.')
	if dot <= 0 {
		return fmt.Errorf("%s: it names no team and period", key)
	}
	period := Period(name[dot+1:])
	switch period {
	case Day, Week, Month, Ever:
	default:
		return fmt.Errorf("%s: %q is not a period; it can be day, week, month or ever", key, period)
	}
	amount, err := strconv.ParseFloat(value, 64)
	if err != nil || !(amount >= 0) || amount > 1e9 {
		return fmt.Errorf("%s: %q is not an amount from 0 to 1e9", key, value)
	}
	team, account, _ := strings.Cut(name[:dot], "/")
	s.Budgets = append(s.Budgets, Budget{Scope: Scope{team, account}, Period: period, Unit: unit, Amount: amount})
	return nil
}

func parseShare(key, value string, least float64) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v >= least) || v > 1 {
		return 0, fmt.Errorf("%s: %q is not a share up to 1", key, value)
	}
	return v, nil
}

func parseChoice(key, value, no, yes string) (bool, error) {
	switch value {
	case no:
		return false, nil
	case yes:
		return true, nil
	}
	return false, fmt.Errorf("%s: %q is neither %s nor %s", key, value, no, yes)
}

// Check says what is wrong with the budgets as a whole, in one line.
func (s *Settings) Check(known func(team string) bool) error {
	for _, b := range s.Budgets {
		if !known(b.Team) {
			return fmt.Errorf("budget of %s: the team is unknown", b.Scope)
		}
	}
	for team := range s.Policies {
		if !known(team) {
			return fmt.Errorf("budget.%s: the team is unknown", team)
		}
	}
	return nil
}
