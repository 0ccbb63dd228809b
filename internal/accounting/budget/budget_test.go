package budget

import (
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
)

func TestSetSaysWhatIsWrong(t *testing.T) {
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
		var s Settings
		err := s.Set(c.key, c.value)
		if (err == nil) != (c.want == "") || err != nil && (!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), c.key)) {
			t.Errorf("%s = %s: %v", c.key, c.value, err)
		}
	}
}

func TestPeriodsBeginWhereTheOperatorsLive(t *testing.T) {
	where := time.FixedZone("UTC-5", -5*3600)
	at := time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC) // Monday evening, the last of November, there
	for _, c := range []struct {
		period   Period
		from, to string
	}{
		{Day, "2026-11-30", "2026-12-01"}, {Week, "2026-11-30", "2026-12-07"}, {Month, "2026-11-01", "2026-12-01"},
	} {
		from, to := periodBounds(c.period, at, where)
		if from.Format(time.DateOnly) != c.from || to.Format(time.DateOnly) != c.to || from.Hour() != 0 {
			t.Errorf("%s: from %v to %v", c.period, from, to)
		}
	}
	if _, to := periodBounds(Ever, at, where); !to.IsZero() {
		t.Error("one without end ends")
	}
}

// An account's budget and its team's both count; another account's does not, and
// money is reserved at the dearest machine until something is known.
func TestAllBudgetsOfATaskCount(t *testing.T) {
	s := &Settings{}
	for key, value := range map[string]string{"budget.t.ever.core-hours": "10", "budget.t/a.ever.money": "1"} {
		if err := s.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
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
	daily := &Settings{}
	if err := daily.Set("budget.t.day.core-hours", "10"); err != nil {
		t.Fatal(err)
	}
	tr.MarkRunning("one", now.Add(-5*time.Hour))
	tr.Configure(daily, now.Add(time.Hour))
	if v := tr.Views("t")[0]; v.Used != 10 { // nine charged, and one hour of the running task
		t.Errorf("the day has used %v", v.Used)
	}
}

// Guards against an answer that changes while it is written: views are encoded outside
// the loop that sums up, and once shared the periods' bounds with it.
func TestAViewIsACopy(t *testing.T) {
	s := &Settings{}
	if err := s.Set("budget.t.day.money", "1"); err != nil {
		t.Fatal(err)
	}
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	tr := NewTracker()
	tr.Configure(s, now)
	v := tr.Views("t")[0]
	tr.Recompute(now.AddDate(0, 0, 1))
	if v.From.Day() != 1 || v.To.Day() != 2 {
		t.Errorf("the view became one from %v to %v", v.From, v.To)
	}
}

func TestSplitLosesNothing(t *testing.T) {
	where := time.FixedZone("UTC+3", 3*3600)
	c := charge.Charge{Start: time.Date(2026, 12, 1, 20, 0, 0, 0, where).UnixMilli(), Run: 50 * 3600_000, Money: 1_000_003, Outcome: charge.Done, Flags: charge.ProgressSaved}
	parts := charge.SplitByDay(c, where)
	var run, money int64
	for i, p := range parts {
		run, money = run+p.Run, money+p.Money
		if last := i == len(parts)-1; p.Part != i || (p.Outcome == charge.Done) != last || (p.Flags&charge.ProgressSaved != 0) != last {
			t.Errorf("part %d: %+v", i, p)
		}
	}
	if len(parts) != 3 || run != c.Run || money != c.Money || parts[0].Run != 4*3600_000 {
		t.Errorf("parts %+v", parts)
	}
}
