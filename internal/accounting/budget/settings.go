package budget

import (
	"errors"
	"fmt"
	"time"
)

// Policy is the set of rules for all budgets of one team.
type Policy struct {
	// CarryOver is the share, from 0 to 1, of a period's unused amount that is added to the next
	// period.
	CarryOver float64
	// WarnAt is the used share of a budget, above 0 and up to 1, at which the budget counts as nearly
	// spent.
	WarnAt float64
	// DrainWhenSpent means that running tasks are stopped, with time to save a checkpoint, once
	// the DrainAt share of a budget is used. Otherwise running tasks may finish.
	DrainWhenSpent bool
	// DrainAt is the used share of a budget, above 0 and up to 1, at which draining begins and from
	// which on no more tasks start. It applies only if DrainWhenSpent is set.
	DrainAt float64
	// LimitProduction means that budgets also apply to production tasks (property value "held").
	// Otherwise production tasks are exempt ("spared").
	LimitProduction bool
}

// DefaultPolicy returns the policy of a team without settings of its own.
func DefaultPolicy() Policy { return Policy{WarnAt: 0.8, DrainAt: 1} }

// Settings are the budgets and policies that the operators set.
type Settings struct {
	TimeZone *time.Location // the time zone whose midnight begins a day; nil: UTC
	Budgets  []Budget
	Policies map[string]Policy // by team
}

// Location returns the time zone whose midnight begins a day. s may be nil.
func (s *Settings) Location() *time.Location {
	if s == nil || s.TimeZone == nil {
		return time.UTC
	}
	return s.TimeZone
}

func (s *Settings) policy(team string) Policy {
	if p, ok := s.Policies[team]; ok {
		return p
	}
	return DefaultPolicy()
}

// ErrUnknownTeam means that a setting refers to a team that does not exist.
var ErrUnknownTeam = errors.New("the team is unknown")

// Check verifies that the teams of all budgets and policies exist. teamExists reports whether a
// team exists. The error wraps ErrUnknownTeam and identifies the invalid setting in one line.
func (s *Settings) Check(teamExists func(team string) bool) error {
	for _, b := range s.Budgets {
		if !teamExists(b.Team) {
			return fmt.Errorf("budget of %s: %w", b.Scope, ErrUnknownTeam)
		}
	}
	for team := range s.Policies {
		if !teamExists(team) {
			return fmt.Errorf("budget.%s: %w", team, ErrUnknownTeam)
		}
	}
	return nil
}
