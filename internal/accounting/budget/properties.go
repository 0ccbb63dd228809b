package budget

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Prefix is the prefix of the keys of budgets in the operators' properties.
const Prefix = "budget."

// maxAmount bounds a budget's amount, in the budget's unit, so that sums in the ledger's units stay
// finite.
const maxAmount = 1e9

// PropertyError means that a property set by an operator is invalid.
type PropertyError struct {
	Key     string
	Problem string // what is wrong, in one line
}

// Error returns the key and the problem in one line.
func (e *PropertyError) Error() string { return e.Key + ": " + e.Problem }

func newPropertyError(key, format string, args ...any) *PropertyError {
	return &PropertyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Set adds one property, whose key begins with Prefix, to the settings:
//
//	budget.TEAM[/ACCOUNT].PERIOD.UNIT = AMOUNT      budget.fraud-desk.month.core-hours = 500
//	budget.TEAM.carry-over = SHARE                  from 0 to 1
//	budget.TEAM.warn-at = SHARE                     above 0, up to 1
//	budget.TEAM.when-spent = finish | drain         let running tasks finish, or stop them with time to save a checkpoint
//	budget.TEAM.drain-at = SHARE                    above 0, up to 1
//	budget.TEAM.production = spared | held          production tasks are exempt from budgets, or budgets apply to them too
//
// The error is a *PropertyError. After an error the settings must not be used.
func (s *Settings) Set(key, value string) error {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return newPropertyError(key, "the key does not begin with \"budget.\"")
	}
	name, setting, ok := cutLastDot(rest)
	if !ok {
		return newPropertyError(key, "no team and setting in the key; expected budget.TEAM.SETTING")
	}
	switch unit := Unit(setting); unit {
	case CoreHours, Money:
		return s.setAmount(key, name, unit, value)
	}
	return s.setPolicy(key, name, setting, value)
}

// cutLastDot splits s at its last dot. name may contain dots itself.
func cutLastDot(s string) (name, last string, ok bool) {
	dot := strings.LastIndexByte(s, '.')
	if dot <= 0 {
		return "", "", false
	}
	return s[:dot], s[dot+1:], true
}

func (s *Settings) setAmount(key, name string, unit Unit, value string) error {
	scope, last, ok := cutLastDot(name)
	if !ok {
		return newPropertyError(key, "no team and period in the key; expected budget.TEAM.PERIOD.UNIT")
	}
	period := Period(last)
	switch period {
	case Day, Week, Month, Ever:
	default:
		return newPropertyError(key, "%q is not a period; it can be day, week, month or ever", period)
	}
	amount, err := strconv.ParseFloat(value, 64)
	if err != nil || !(amount >= 0) || amount > maxAmount {
		return newPropertyError(key, "%q is not an amount from 0 to 1e9", value)
	}
	team, account, _ := strings.Cut(scope, "/")
	s.Budgets = append(s.Budgets, Budget{Scope: Scope{team, account}, Period: period, Unit: unit, Amount: amount})
	return nil
}

func (s *Settings) setPolicy(key, team, setting, value string) error {
	p := s.policy(team)
	var err error
	switch setting {
	case "carry-over":
		p.CarryOver, err = parseShare(key, value, 0)
	case "warn-at":
		p.WarnAt, err = parseShare(key, value, math.SmallestNonzeroFloat64)
	case "drain-at":
		p.DrainAt, err = parseShare(key, value, math.SmallestNonzeroFloat64)
	case "when-spent":
		p.DrainWhenSpent, err = parseChoice(key, value, "finish", "drain")
	case "production":
		p.LimitProduction, err = parseChoice(key, value, "spared", "held")
	default:
		err = newPropertyError(key, "unknown key")
	}
	if err != nil {
		return err
	}
	if s.Policies == nil {
		s.Policies = map[string]Policy{}
	}
	s.Policies[team] = p
	return nil
}

// parseShare parses a number from minimum to 1. NaN is an error.
func parseShare(key, value string, minimum float64) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v >= minimum) || v > 1 {
		return 0, newPropertyError(key, "%q is not a valid share; carry-over is from 0 to 1, all others are above 0 and up to 1", value)
	}
	return v, nil
}

// parseChoice parses one of two words and reports whether it is trueWord.
func parseChoice(key, value, falseWord, trueWord string) (bool, error) {
	switch value {
	case falseWord:
		return false, nil
	case trueWord:
		return true, nil
	}
	return false, newPropertyError(key, "%q is neither %s nor %s", value, falseWord, trueWord)
}
