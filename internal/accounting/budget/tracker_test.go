package budget

import (
	"strings"
	"testing"
	"time"
)

// The budgets of a task's account and of its team both apply; that of another account does not.
// Until the rate of the task's class is known, money is reserved at the rate of the most
// expensive machine type.
func TestTaskCountsInTheBudgetsOfItsAccountAndItsTeam(t *testing.T) {
	s := newSettings(t, map[string]string{"budget.t.ever.core-hours": "10", "budget.t/a.ever.money": "1"})
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	tr := NewTracker()
	tr.Configure(s, now)
	task := func(account string) *Task {
		return &Task{Scope: Scope{"t", account}, Class: "c", MilliCores: 1000, EstimateS: 3600, MaxRate: 250_000}
	}
	for account, want := range map[string]int{"a": 4, "b": 10, "": 10} {
		if n, _ := tr.Admit(task(account), 100); n != want {
			t.Errorf("account %q: admitted %d tasks, want %d", account, n, want)
		}
	}
	cheap := task("a")
	cheap.Rate = 125_000
	tr.AddTask("one", cheap)
	if n, _ := tr.Admit(task("a"), 100); n != 7 {
		t.Errorf("admitted %d tasks with the class's rate known, want 7", n)
	}
	tr.AddCharge(Scope{"t", "b"}, "2026-12-01", Usage{Core: 9 * 3600 * 1_000_000})
	tr.Recompute(now)
	if n, reason := tr.Admit(task("b"), 100); n != 0 || !strings.Contains(reason, "budget of t (") || !strings.Contains(reason, "more than the whole budget") {
		t.Errorf("admitted %d tasks, reason %q", n, reason)
	}
	// The run time of a task before the beginning of the period counts in the previous period.
	daily := newSettings(t, map[string]string{"budget.t.day.core-hours": "10"})
	tr.MarkRunning("one", now.Add(-5*time.Hour))
	tr.Configure(daily, now.Add(time.Hour))
	if v := tr.Views("t")[0]; v.Used != 10 { // nine charged core-hours, and one of the running task
		t.Errorf("%v core-hours used in the day, want 10", v.Used)
	}
}

// Guards against an HTTP response that changes while it is encoded. Views are encoded outside the
// goroutine that calls Recompute; an earlier version shared the bounds of the period with it.
func TestViewsAreNotChangedByALaterRecompute(t *testing.T) {
	s := newSettings(t, map[string]string{"budget.t.day.money": "1"})
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	tr := NewTracker()
	tr.Configure(s, now)
	v := tr.Views("t")[0]
	tr.Recompute(now.AddDate(0, 0, 1))
	if v.From.Day() != 1 || v.To.Day() != 2 {
		t.Errorf("Recompute changed the view: it is now from %v to %v", v.From, v.To)
	}
}
