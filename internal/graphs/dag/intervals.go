package dag

import "time"

// Interval is the data interval of a scheduled run. The run is due at its end.
type Interval struct{ Begin, End time.Time }

// MaxBackfillRuns is the largest number of runs that one backfill request may create.
const MaxBackfillRuns = 1000

// Due returns the intervals that end within (last, now]. last is the end of the last interval that has a run;
// it is zero if there is none. Without catch-up Due returns only the newest interval, as in Airflow. With
// catch-up it returns the oldest ones, at most limit of them; later calls return the rest.
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

// NextDue returns the data interval of the next scheduled run: the first one that Due returns, or else the
// next that will be due. ok is false if there will be none.
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

// onlyInterval returns the interval of a graph with the schedule @once: its run is due at the graph's start date.
func (p *Plan) onlyInterval() Interval { return Interval{*p.Start, *p.Start} }

// intervalFrom returns the interval that begins at the given time. ok is false if begin is zero or after the
// graph's end date, or if the schedule does not fire again after it.
func (p *Plan) intervalFrom(s *Schedule, begin time.Time) (i Interval, ok bool) {
	if begin.IsZero() || p.End != nil && begin.After(*p.End) {
		return Interval{}, false
	}
	end := s.Next(begin)
	return Interval{begin, end}, !end.IsZero()
}

// firstBegin returns the start of the first interval that Due and NextDue consider. It is zero if the
// schedule never fires.
func (p *Plan) firstBegin(s *Schedule, last, now time.Time) time.Time {
	begin := last
	if begin.IsZero() {
		// The first interval begins when the schedule first fires at or after the start date.
		begin = s.Next(p.Start.Add(-time.Second))
	}
	if !p.Catchup && !begin.IsZero() {
		// Skip to the recent past: a graph that was paused for a year may have missed half a million
		// intervals, of which only the newest is needed.
		if recent := s.Next(now.Add(-s.lookback(now))); recent.After(begin) {
			begin = recent
		}
	}
	return begin
}

// lookback returns a duration before now within which the newest complete interval is certain to begin.
func (s *Schedule) lookback(now time.Time) time.Duration {
	first := s.Next(now)
	second := s.Next(first)
	if first.IsZero() || second.IsZero() {
		return 366 * 24 * time.Hour
	}
	// The margin is wide because intervals differ in length: months do, and so do those between working days,
	// some of which span a weekend.
	return 40*second.Sub(first) + 8*24*time.Hour
}

// Backfill returns the intervals that begin within [from, to]. It returns ErrNoSchedule for a graph without a
// recurring schedule, and ErrTooManyRuns for more than MaxBackfillRuns intervals.
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
		if len(out) == MaxBackfillRuns {
			return nil, ErrTooManyRuns
		}
		out = append(out, Interval{begin, end})
		begin = end
	}
	return out, nil
}
