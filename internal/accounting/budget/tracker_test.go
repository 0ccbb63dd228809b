package budget

import (
	"strings"
	"testing"
	"time"
)

// An account's budget and its team's both count; another account's does not. Money is
// reserved at the rate of the most expensive machine type until the class's rate is known.
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
			t.Errorf("account %q: %d may start, want %d", account, n, want)
		}
	}
	cheap := task("a")
	cheap.Rate = 125_000
	tr.StartTask("one", cheap)
	if n, _ := tr.Admit(task("a"), 100); n != 7 {
		t.Errorf("with the class's rate known %d may start, want 7", n)
	}
	tr.AddCharge(Scope{"t", "b"}, "2026-12-01", Usage{Core: 9 * 3600 * 1_000_000})
	tr.Recompute(now)
	if n, why := tr.Admit(task("b"), 100); n != 0 || !strings.Contains(why, "budget of t (") || !strings.Contains(why, "more than the whole budget") {
		t.Errorf("%d may start, since %q", n, why)
	}
	// A task's time before the period counts in the period before.
	daily := newSettings(t, map[string]string{"budget.t.day.core-hours": "10"})
	tr.MarkRunning("one", now.Add(-5*time.Hour))
	tr.Configure(daily, now.Add(time.Hour))
	if v := tr.Views("t")[0]; v.Used != 10 { // nine charged, and one hour of the running task
		t.Errorf("the day has used %v", v.Used)
	}
}

// Guards against an answer that changes while it is written: views are encoded outside
// the goroutine that recomputes, and once shared the periods' bounds with it.
func TestViewsAreNotChangedByALaterRecompute(t *testing.T) {
	s := newSettings(t, map[string]string{"budget.t.day.money": "1"})
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	tr := NewTracker()
	tr.Configure(s, now)
	v := tr.Views("t")[0]
	tr.Recompute(now.AddDate(0, 0, 1))
	if v.From.Day() != 1 || v.To.Day() != 2 {
		t.Errorf("the view became one from %v to %v", v.From, v.To)
	}
}
