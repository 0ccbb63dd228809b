package budget

import (
	"testing"
	"time"
)

const coreHour = 3600 * 1_000_000 // in the ledger's units (millionths of core-seconds)

func TestWarningsReturnANearlySpentBudgetOnceAPeriod(t *testing.T) {
	for _, c := range []struct {
		period            string
		nextDayWarnings   int // expected number of warnings on the next day, after as much usage on that day as on the first
		nextMonthWarnings int // expected number of warnings in the next month, after the same usage
	}{
		{"day", 1, 1}, {"month", 0, 1}, {"ever", 0, 0},
	} {
		t.Run(c.period, func(t *testing.T) {
			now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
			s := newSettings(t, map[string]string{"budget.t." + c.period + ".core-hours": "10", "budget.t.warn-at": "0.5"})
			tr := NewTracker()
			tr.Configure(s, now)
			warnings := func(at time.Time, coreHours int64) int {
				tr.AddCharge(Scope{Team: "t"}, at.Format(time.DateOnly), Usage{Core: coreHours * coreHour})
				tr.Recompute(at)
				return len(tr.Warnings())
			}
			if n := warnings(now, 4); n != 0 {
				t.Errorf("%d warnings below the threshold", n)
			}
			if n := warnings(now, 1); n != 1 {
				t.Errorf("%d warnings at the threshold, want 1", n)
			}
			tr.Configure(newSettings(t, map[string]string{"budget.t." + c.period + ".core-hours": "10", "budget.t.warn-at": "0.5"}), now)
			if n := warnings(now, 1); n != 0 {
				t.Errorf("%d more warnings in the same period", n)
			}
			if n := warnings(now.AddDate(0, 0, 1), 6); n != c.nextDayWarnings {
				t.Errorf("%d warnings on the next day, want %d", n, c.nextDayWarnings)
			}
			if n := warnings(now.AddDate(0, 1, 0), 6); n != c.nextMonthWarnings {
				t.Errorf("%d warnings in the next month, want %d", n, c.nextMonthWarnings)
			}
		})
	}
}

func TestStateFollowsUsage(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	tr := NewTracker()
	tr.Configure(newSettings(t, map[string]string{"budget.t.month.core-hours": "10"}), now)
	for _, want := range []string{"open", "nearly-spent", "spent"} {
		if got := tr.Views("t")[0].State; got != want {
			t.Errorf("state with %v used is %s, want %s", tr.Views("t")[0].Used, got, want)
		}
		tr.AddCharge(Scope{Team: "t"}, "2026-12-01", Usage{Core: 8 * coreHour})
		tr.Recompute(now)
	}
}

func TestProductionIsLimitedAndDrainedOnlyIfThePolicySaysSo(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		policy        string
		admitted      int
		tasksToDrain  int
		reasonIsGiven bool
	}{
		{"spared", 5, 0, false}, {"held", 0, 1, true},
	} {
		t.Run(c.policy, func(t *testing.T) {
			tr := NewTracker()
			tr.Configure(newSettings(t, map[string]string{
				"budget.t.month.core-hours": "10", "budget.t.when-spent": "drain", "budget.t.production": c.policy,
			}), now)
			production := &Task{Scope: Scope{Team: "t"}, Production: true, Class: "c", MilliCores: 1000, EstimateS: 3600}
			tr.AddTask("one", production)
			tr.AddCharge(Scope{Team: "t"}, "2026-12-01", Usage{Core: 10 * coreHour})
			tr.Recompute(now)
			if n, reason := tr.Admit(production, 5); n != c.admitted || (reason != "") != c.reasonIsGiven {
				t.Errorf("admitted %d tasks, reason %q", n, reason)
			}
			if refs := tr.TasksToDrain(); len(refs) != c.tasksToDrain {
				t.Errorf("tasks to drain: %v", refs)
			}
		})
	}
}
