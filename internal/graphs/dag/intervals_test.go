package dag

import (
	"errors"
	"testing"
	"time"
)

// day returns the begin of a day of December 2026.
func day(d int) time.Time { return time.Date(2026, 12, d, 0, 0, 0, 0, time.UTC) }

// dailyPlan returns the plan of a graph that runs daily from the first of December on.
func dailyPlan(t *testing.T) (*Plan, *Schedule) {
	t.Helper()
	p := newTestPlan(t, step("a"))
	start := day(1)
	p.Start = &start
	return p, schedule(t, "@daily")
}

// schedule returns a schedule in UTC.
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
		t.Errorf("without catch-up: %v", got)
	}
	if got := p.Due(s, day(10), now, 100); len(got) != 0 {
		t.Errorf("the newest has a run already: %v", got)
	}
}

func TestAllIntervalsAreDueWithCatchUp(t *testing.T) {
	p, s := dailyPlan(t)
	p.Catchup = true
	now := day(10).Add(time.Hour)
	if got := p.Due(s, time.Time{}, now, 100); len(got) != 9 || !got[0].Begin.Equal(day(1)) {
		t.Errorf("with catch-up: %v", got)
	}
	if got := p.Due(s, day(3), now, 2); len(got) != 2 || !got[0].Begin.Equal(day(3)) || !got[1].End.Equal(day(5)) {
		t.Errorf("two at a time: %v", got)
	}
	end := day(5)
	p.End = &end
	if got := p.Due(s, time.Time{}, now, 100); len(got) != 5 {
		t.Errorf("up to its end: %v", got)
	}
	if got := p.Due(s, day(5), day(4), 100); len(got) != 0 {
		t.Errorf("after the clock was set back: %v", got)
	}
}

func TestBackfillsAreBounded(t *testing.T) {
	p, s := dailyPlan(t)
	p.Catchup = true
	end := day(5)
	p.End = &end // backfills may go beyond it
	if got, err := p.Backfill(s, day(1), day(7)); err != nil || len(got) != 7 {
		t.Errorf("a week: %v, %v", got, err)
	}
	if _, err := p.Backfill(schedule(t, "* * * * *"), day(1), day(7)); !errors.Is(err, ErrTooManyRuns) {
		t.Errorf("ten thousand runs at once: %v", err)
	}
	if _, err := p.Backfill(nil, day(1), day(7)); !errors.Is(err, ErrNoSchedule) {
		t.Errorf("without a schedule: %v", err)
	}
}
