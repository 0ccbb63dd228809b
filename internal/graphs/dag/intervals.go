package dag

import "time"

// Interval is the time that a scheduled run represents. The run is due at its end.
type Interval struct{ Begin, End time.Time }

// MaxBackfill bounds how many runs of the past are begun at one request.
const MaxBackfill = 1000

// Due returns the intervals that end within (last, now]. last is the end of the last
// interval that has a run; zero: none has. Without catch-up only the newest is returned, as
// in Airflow; with it the oldest ones are, limit at the most: the others follow when asked
// again.
func (p *Plan) Due(s *Schedule, last, now time.Time, limit int) []Interval {
	if s == nil || p.Start == nil {
		return nil
	}
	if s.once {
		if last.IsZero() && !now.Before(*p.Start) {
			return []Interval{p.onlyInterval()}
		}
		return nil
	}
	var out []Interval
	for next, ok := p.intervalFrom(s, p.firstBegin(s, last, now)); ok && !next.End.After(now); next, ok = p.intervalFrom(s, next.End) {
		out = append(out, next)
		if !p.Catchup {
			out = out[len(out)-1:]
		} else if len(out) >= limit {
			break
		}
	}
	return out
}

// NextDue returns the interval that the next run represents: the one that Due returns
// first, or the next that will be due. ok is false if none comes.
func (p *Plan) NextDue(s *Schedule, last, now time.Time) (next Interval, ok bool) {
	if s == nil || p.Start == nil {
		return next, false
	}
	if due := p.Due(s, last, now, 1); len(due) > 0 {
		return due[0], true
	}
	if s.once {
		return p.onlyInterval(), last.IsZero()
	}
	for next, ok = p.intervalFrom(s, p.firstBegin(s, last, now)); ok; next, ok = p.intervalFrom(s, next.End) {
		if next.End.After(now) {
			return next, true
		}
	}
	return Interval{}, false
}

// onlyInterval is the interval of a graph that runs once, at its start.
func (p *Plan) onlyInterval() Interval { return Interval{*p.Start, *p.Start} }

// intervalFrom returns the interval that begins at a time, unless that is zero, behind the
// graph's end, or the schedule's last.
func (p *Plan) intervalFrom(s *Schedule, begin time.Time) (i Interval, ok bool) {
	if begin.IsZero() || p.End != nil && begin.After(*p.End) {
		return Interval{}, false
	}
	end := s.Next(begin)
	return Interval{begin, end}, !end.IsZero()
}

// firstBegin returns the begin of the first interval to look at; zero: the schedule never
// fires.
func (p *Plan) firstBegin(s *Schedule, last, now time.Time) time.Time {
	begin := last
	if begin.IsZero() {
		// The first interval begins with the first firing from the start on.
		begin = s.Next(p.Start.Add(-time.Second))
	}
	if !p.Catchup && !begin.IsZero() {
		// Skip to the recent past: a graph that was paused for a year may have half a million
		// intervals behind it, of which only the newest counts.
		if recent := s.Next(now.Add(-s.searchBack(now))); recent.After(begin) {
			begin = recent
		}
	}
	return begin
}

// searchBack returns how far back from now the newest whole interval is sure to begin.
func (s *Schedule) searchBack(now time.Time) time.Duration {
	first := s.Next(now)
	second := s.Next(first)
	if first.IsZero() || second.IsZero() {
		return 366 * 24 * time.Hour
	}
	// Intervals differ in length: months do, or working days and weekends.
	return 40*second.Sub(first) + 8*24*time.Hour
}

// Backfill returns the intervals that begin from one time up to another, both included. It
// fails with ErrNoSchedule for a graph without a recurring schedule, and with
// ErrTooManyRuns for more than MaxBackfill intervals.
func (p *Plan) Backfill(s *Schedule, from, to time.Time) ([]Interval, error) {
	if s == nil || s.once {
		return nil, ErrNoSchedule
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
