package dag

import (
	"errors"
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // zones are known on machines without a zone database too

	"github.com/robfig/cron/v3"
)

// Schedule says when the intervals of a graph end: a run is due at the end of each, and
// bears the begin as its logical date, as in Airflow.
//
// Daylight changes: a schedule that names hours fires once a day for each, at the first
// moment after the gap if the clock jumps over its time, and at the first of the two
// if the time comes twice. One for every hour, or every few, goes by elapsed time.
type Schedule struct {
	spec       cron.Schedule
	location   *time.Location
	namesHours bool // it names hours
	once       bool
}

var parser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow)

var presets = map[string]string{
	"@hourly": "0 * * * *", "@daily": "0 0 * * *", "@weekly": "0 0 * * 0", "@monthly": "0 0 1 * *", "@quarterly": "0 0 1 */3 *", "@yearly": "0 0 1 1 *",
}

// ParseSchedule reads a schedule: five cron fields, or one of Airflow's presets. A nil
// schedule without an error is one that never comes.
func ParseSchedule(text, zone string) (*Schedule, error) {
	where := time.UTC
	if zone != "" {
		var err error
		if where, err = time.LoadLocation(zone); err != nil {
			return nil, fmt.Errorf("timezone %q is not known", zone)
		}
	}
	switch text = strings.TrimSpace(text); text {
	case "", "None":
		return nil, nil
	case "@once":
		return &Schedule{location: where, once: true}, nil
	}
	if preset, ok := presets[text]; ok {
		text = preset
	}
	fields := strings.Fields(text)
	if len(fields) != 5 || len(text) > MaxNameBytes {
		return nil, fmt.Errorf("schedule %q has %d fields; it takes five, or one of @once, @hourly, @daily, @weekly, @monthly, @quarterly, @yearly", text, len(fields))
	}
	spec, err := parser.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("schedule %q: %s", text, strings.Join(strings.Fields(err.Error()), " "))
	}
	s := &Schedule{spec: spec, location: where, namesHours: !strings.HasPrefix(fields[1], "*")}
	if s.Next(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)).IsZero() {
		return nil, fmt.Errorf("schedule %q never comes", text)
	}
	return s, nil
}

// Next returns the first time after another at which the schedule fires; zero: none
// comes within five years.
func (s *Schedule) Next(after time.Time) time.Time {
	if s.once {
		return time.Time{}
	}
	after = after.In(s.location)
	if !s.namesHours {
		return s.spec.Next(after)
	}
	// The clock on the wall, as if it never jumped.
	wall := time.Date(after.Year(), after.Month(), after.Day(), after.Hour(), after.Minute(), after.Second(), 0, time.UTC)
	for {
		if wall = s.spec.Next(wall); wall.IsZero() {
			return time.Time{}
		}
		// A time that comes twice was there already when the clock shows it again.
		if at := s.firstShown(wall); at.After(after) {
			return at
		}
	}
}

// firstShown is when the clock on the wall first shows a time, or first shows a later one
// if it jumps over it.
func (s *Schedule) firstShown(wall time.Time) time.Time {
	shows := func(t time.Time) time.Time {
		t = t.In(s.location)
		return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), 0, time.UTC)
	}
	// Offsets are within a day, and a change of one moves the clock by hours at the most:
	// the moment is found by halving between a day before and a day after.
	low, high := wall.Add(-26*time.Hour), wall.Add(26*time.Hour)
	at := time.Date(wall.Year(), wall.Month(), wall.Day(), wall.Hour(), wall.Minute(), wall.Second(), 0, s.location)
	if shows(at).Equal(wall) {
		// It exists; the clock may have shown it before, if it was set back since.
		for _, back := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
			if earlier := at.Add(-back); shows(earlier).Equal(wall) {
				return earlier
			}
		}
		return at
	}
	for high.Sub(low) > time.Second {
		mid := low.Add(high.Sub(low) / 2).Truncate(time.Second)
		if !mid.After(low) {
			break
		}
		if shows(mid).Before(wall) {
			low = mid
		} else {
			high = mid
		}
	}
	return high.In(s.location)
}

// Interval is a time that a scheduled run represents. The run is due at its end.
type Interval struct{ Begin, End time.Time }

// MaxBackfill bounds how many runs of the past are begun at one request.
const MaxBackfill = 1000

// ErrTooManyRuns says that more runs than that were asked for.
var ErrTooManyRuns = errors.New("more than 1000 runs")

// Due returns the intervals that end within (after, now]. last is the end of the last interval
// that has a run; zero: none has. Without catch-up only the newest is given, as in
// Airflow; with it all are, up to most of them: the rest follow when asked again.
func (p *Plan) Due(s *Schedule, last, now time.Time, most int) []Interval {
	if s == nil || p.Start == nil {
		return nil
	}
	if s.once {
		if last.IsZero() && !now.Before(*p.Start) {
			return []Interval{{*p.Start, *p.Start}}
		}
		return nil
	}
	begin := p.firstBegin(s, last, now)
	var out []Interval
	for !begin.IsZero() {
		end := s.Next(begin)
		if end.IsZero() || end.After(now) || p.End != nil && begin.After(*p.End) {
			break
		}
		out = append(out, Interval{begin, end})
		if !p.Catchup {
			out = out[len(out)-1:]
		} else if len(out) >= most {
			break
		}
		begin = end
	}
	return out
}

// firstBegin is from where on intervals are looked at; zero: the schedule never fires.
func (p *Plan) firstBegin(s *Schedule, last, now time.Time) time.Time {
	begin := last
	if begin.IsZero() {
		// The first interval begins with the first firing from the start on.
		begin = s.Next(p.Start.Add(-time.Second))
	}
	if !p.Catchup && !begin.IsZero() {
		// Go near the present at once: a graph that was paused for a year has half a million minutes behind it.
		if near := s.Next(now.Add(-s.searchBack(now))); near.After(begin) {
			begin = near
		}
	}
	return begin
}

// NextDue returns the interval that the next run represents, as Due has it; ok is false if none
// comes.
func (p *Plan) NextDue(s *Schedule, last, now time.Time) (next Interval, ok bool) {
	if s == nil || p.Start == nil {
		return next, false
	}
	if due := p.Due(s, last, now, 1); len(due) > 0 {
		return due[0], true
	}
	if s.once {
		return Interval{*p.Start, *p.Start}, last.IsZero()
	}
	begin := p.firstBegin(s, last, now)
	for end := s.Next(begin); !begin.IsZero() && !end.IsZero(); begin, end = end, s.Next(end) {
		if p.End != nil && begin.After(*p.End) {
			break
		}
		if end.After(now) {
			return Interval{begin, end}, true
		}
	}
	return next, false
}

// searchBack is a time back from which the newest whole interval can be found.
func (s *Schedule) searchBack(now time.Time) time.Duration {
	first := s.Next(now)
	second := s.Next(first)
	if first.IsZero() || second.IsZero() {
		return 366 * 24 * time.Hour
	}
	// Intervals differ, as months do, or working days and week-ends.
	return 40*second.Sub(first) + 8*24*time.Hour
}

// Backfill returns the intervals that begin from one time up to another. It is bounded by
// MaxBackfill: more are an error, and nothing is begun.
func (p *Plan) Backfill(s *Schedule, from, to time.Time) ([]Interval, error) {
	if s == nil || s.once {
		return nil, errors.New("the graph has no schedule")
	}
	var out []Interval
	for begin := s.Next(from.Add(-time.Second)); !begin.IsZero() && !begin.After(to); {
		end := s.Next(begin)
		if end.IsZero() {
			break
		}
		if len(out) == MaxBackfill {
			return nil, ErrTooManyRuns
		}
		out = append(out, Interval{begin, end})
		begin = end
	}
	return out, nil
}
