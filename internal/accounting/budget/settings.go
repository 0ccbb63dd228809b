package budget

import (
	"errors"
	"fmt"
	"time"
)

// Policy is how a team's budgets work.
type Policy struct {
	// CarryOver is the share, from 0 to 1, of what a period left unused that the next
	// period has in addition.
	CarryOver float64
	// WarnAt is the share of a budget from which on it counts as nearly spent.
	WarnAt float64
	// DrainWhenSpent says that running tasks are stopped, with time to save a checkpoint,
	// once DrainAt of a budget is used. Otherwise running tasks may finish.
	DrainWhenSpent bool
	// DrainAt is the share of a budget at which draining begins. It is used only with
	// DrainWhenSpent; nothing starts beyond it either.
	DrainAt float64
	// HoldProduction says that budgets hold back production work too.
	HoldProduction bool
}

// DefaultPolicy is that of a team without settings of its own.
func DefaultPolicy() Policy { return Policy{WarnAt: 0.8, DrainAt: 1} }

// Settings are the operators' budgets.
type Settings struct {
	Zone     *time.Location // in which days begin; nil: UTC
	Budgets  []Budget
	Policies map[string]Policy // by team
}

// Location is the time zone in which days begin. The settings may be nil.
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

// ErrUnknownTeam is wrapped by Check's error: a setting names a team that does not exist.
var ErrUnknownTeam = errors.New("the team is unknown")

// Check verifies the budgets as a whole: known reports whether a team exists. The error
// wraps ErrUnknownTeam and says in one line which setting is wrong.
func (s *Settings) Check(known func(team string) bool) error {
	for _, b := range s.Budgets {
		if !known(b.Team) {
			return fmt.Errorf("budget of %s: %w", b.Scope, ErrUnknownTeam)
		}
	}
	for team := range s.Policies {
		if !known(team) {
			return fmt.Errorf("budget.%s: %w", team, ErrUnknownTeam)
		}
	}
	return nil
}
