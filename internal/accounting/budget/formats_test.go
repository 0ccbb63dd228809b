package budget

import (
	"strings"
	"testing"

	"poppypass/internal/platform/golden"
)

func TestAnswerFormat(t *testing.T) {
	golden.JSONRoundTrip(t, "view", golden.Fill(new(View)))
	golden.Lines(t, "words", string(Day), string(Week), string(Month), string(Ever), string(CoreHours), string(Money))
}

// Each property that operators can set for budgets, and the settings that it results in.
func TestProperties(t *testing.T) {
	lines := []string{
		"budget.vision.day.core-hours = 1.5",
		"budget.vision.week.money = 2.5",
		"budget.vision/grant-7.month.core-hours = 3.5",
		"budget.vision/grant-7.ever.money = 4.5",
		"budget.vision.carry-over = 0.25",
		"budget.vision.warn-at = 0.5",
		"budget.vision.drain-at = 0.75",
		"budget.vision.when-spent = drain",
		"budget.vision.production = held",
	}
	var got Settings
	for _, line := range lines {
		key, value, _ := strings.Cut(line, " = ")
		if err := got.Set(key, value); err != nil {
			t.Error(err)
		}
	}
	golden.Equal(t, "properties", got, Settings{
		Budgets: []Budget{
			{Scope: Scope{Team: "vision"}, Period: Day, Unit: CoreHours, Amount: 1.5},
			{Scope: Scope{Team: "vision"}, Period: Week, Unit: Money, Amount: 2.5},
			{Scope: Scope{Team: "vision", Account: "grant-7"}, Period: Month, Unit: CoreHours, Amount: 3.5},
			{Scope: Scope{Team: "vision", Account: "grant-7"}, Period: Ever, Unit: Money, Amount: 4.5},
		},
		Policies: map[string]Policy{"vision": {CarryOver: 0.25, WarnAt: 0.5, DrainWhenSpent: true, DrainAt: 0.75, LimitProduction: true}},
	})
}
