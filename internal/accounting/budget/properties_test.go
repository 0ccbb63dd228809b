package budget

import (
	"errors"
	"strings"
	"testing"
)

func TestSetErrorContainsKeyAndProblem(t *testing.T) {
	for _, c := range []struct{ key, value, want string }{
		{"budget.t.month.core-hours", "500", ""},
		{"budget.a.team.with.dots/an owner.ever.money", "0", ""},
		{"budget.t.carry-over", "0.5", ""},
		{"budget.t.when-spent", "drain", ""},
		{"budget.t.production", "held", ""},
		{"budget.t.year.money", "5", "period"},
		{"budget.month.money", "5", "no team"},
		{"budget.t.month.euros", "5", "unknown key"},
		{"budget.t.month.money", "-1", "amount"},
		{"budget.t.month.money", "NaN", "amount"},
		{"budget.t.month.money", "much", "amount"},
		{"budget.t.warn-at", "0", "share"},
		{"budget.t.drain-at", "1.5", "share"},
		{"budget.t.when-spent", "stop", "neither"},
		{"budget.x", "1", "no team"},
	} {
		t.Run(c.key+"="+c.value, func(t *testing.T) {
			var s Settings
			err := s.Set(c.key, c.value)
			if (err == nil) != (c.want == "") || err != nil && (!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), c.key)) {
				t.Errorf("got error %v", err)
			}
			var propertyErr *PropertyError
			if err != nil && (!errors.As(err, &propertyErr) || propertyErr.Key != c.key || !strings.Contains(propertyErr.Problem, c.want)) {
				t.Errorf("got error %#v", err)
			}
		})
	}
}
