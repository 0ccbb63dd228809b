package dag

import (
	"errors"
	"testing"
	"time"
)

// day returns the start of a day of December 2026, in UTC.
func day(d int) time.Time { return time.Date(2026, 12, d, 0, 0, 0, 0, time.UTC) }

// dailyPlan returns the plan of a graph that starts on 1 December 2026, and a daily schedule.
func dailyPlan(t *testing.T) (*Plan, *Schedule) {
	t.Helper()
	p := newTestPlan(t, step("a"))
	start := day(1)
	p.Start = &start
	return p, schedule(t, "@daily")
}

// schedule parses a schedule in UTC.
func schedule(t *testing.T, text string) *Schedule {
	t.Helper()
	s, err := ParseSchedule(text, "")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestOnlyTheNewestIntervalIsDueWithoutCatchUp(t *testing.T) {
	p, s := dailyPlan(t)
	now := day(10).Add(time.Hour)
	if got := p.Due(s, time.Time{}, now, 100); len(got) != 1 || !got[0].Begin.Equal(day(9)) || !got[0].End.Equal(day(10)) {
		t.Errorf("intervals due without catch-up: %v, want only 9 December", got)
	}
	if got := p.Due(s, day(10), now, 100); len(got) != 0 {
		t.Errorf("the newest interval has a run already, but intervals are due: %v", got)
	}
}

func TestAllIntervalsAreDueWithCatchUp(t *testing.T) {
	p, s := dailyPlan(t)
	p.Catchup = true
	now := day(10).Add(time.Hour)
	if got := p.Due(s, time.Time{}, now, 100); len(got) != 9 || !got[0].Begin.Equal(day(1)) {
		t.Errorf("intervals due with catch-up: %v, want 1 to 9 December", got)
	}
	if got := p.Due(s, day(3), now, 2); len(got) != 2 || !got[0].Begin.Equal(day(3)) || !got[1].End.Equal(day(5)) {
		t.Errorf("intervals due with a limit of two: %v, want 3 and 4 December", got)
	}
	end := day(5)
	p.End = &end
	if got := p.Due(s, time.Time{}, now, 100); len(got) != 5 {
		t.Errorf("intervals due up to the graph's end date: %v, want 1 to 5 December", got)
	}
	if got := p.Due(s, day(5), day(4), 100); len(got) != 0 {
		t.Errorf("intervals due after the clock was set back: %v, want none", got)
	}
}

func TestBackfillsAreBounded(t *testing.T) {
	p, s := dailyPlan(t)
	p.Catchup = true
	end := day(5)
	p.End = &end // backfills may include intervals after it
	if got, err := p.Backfill(s, day(1), day(7)); err != nil || len(got) != 7 {
		t.Errorf("backfill of a week: %v, %v, want seven intervals", got, err)
	}
	if _, err := p.Backfill(schedule(t, "* * * * *"), day(1), day(7)); !errors.Is(err, ErrTooManyRuns) {
		t.Errorf("backfill of six days of runs every minute: error %v, want ErrTooManyRuns", err)
	}
	if _, err := p.Backfill(nil, day(1), day(7)); !errors.Is(err, ErrNoSchedule) {
		t.Errorf("backfill without a schedule: error %v, want ErrNoSchedule", err)
	}
}
