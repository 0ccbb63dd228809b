package dag

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // provides time zones on machines without a zone database

	"github.com/robfig/cron/v3"
)

// Schedule says when a graph's data intervals begin and end. A run is due at the end of its interval, and its
// logical date is the interval's start, as in Airflow. A Schedule is immutable.
//
// Daylight saving time: a schedule that names hours fires once a day for each of them. If the clock jumps
// over such a time, the schedule fires at the first moment after the gap. If the time occurs twice, it fires
// at the first occurrence. A schedule for every hour, or every few hours, follows elapsed time.
type Schedule struct {
	spec       cron.Schedule
	location   *time.Location
	namesHours bool // the hour field does not begin with *
	once       bool // the preset @once; spec is nil
}

// cronParser parses the five standard cron fields.
var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow)

// presets maps Airflow's recurring presets to cron expressions.
var presets = map[string]string{
	"@hourly": "0 * * * *", "@daily": "0 0 * * *", "@weekly": "0 0 * * 0", "@monthly": "0 0 1 * *", "@quarterly": "0 0 1 */3 *", "@yearly": "0 0 1 1 *",
}

// ParseSchedule parses a schedule: five cron fields, or one of Airflow's presets. zone is the name of an IANA
// time zone; if it is empty, the zone is UTC. For an empty text or "None" ParseSchedule returns nil without
// an error: the graph runs only when triggered. A schedule that never fires is an error.
func ParseSchedule(text, zone string) (*Schedule, error) {
	location, err := loadZone(zone)
	if err != nil {
		return nil, err
	}
	switch text = strings.TrimSpace(text); text {
	case "", "None":
		return nil, nil
	case "@once":
		return &Schedule{location: location, once: true}, nil
	}
	return parseCron(text, location)
}

// loadZone returns the time zone with the given IANA name; UTC if the name is empty.
func loadZone(name string) (*time.Location, error) {
	if name == "" {
		return time.UTC, nil
	}
	location, err := time.LoadLocation(name)
	if err != nil {
		return nil, fmt.Errorf("timezone %q is not known", name)
	}
	return location, nil
}

// parseCron parses a recurring preset or five cron fields.
func parseCron(text string, location *time.Location) (*Schedule, error) {
	if preset, ok := presets[text]; ok {
		text = preset
	}
	fields := strings.Fields(text)
	if len(fields) != 5 || len(text) > MaxNameBytes {
		return nil, fmt.Errorf("schedule %q has %d fields; it takes five, or one of @once, @hourly, @daily, @weekly, @monthly, @quarterly, @yearly", text, len(fields))
	}
	spec, err := cronParser.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("schedule %q: %s", text, strings.Join(strings.Fields(err.Error()), " "))
	}
	s := &Schedule{spec: spec, location: location, namesHours: !strings.HasPrefix(fields[1], "*")}
	if s.Next(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)).IsZero() {
		return nil, fmt.Errorf("schedule %q never comes", text)
	}
	return s, nil
}

// Next returns the first time strictly after the given one at which the schedule fires. It is zero if the
// schedule does not fire within five years, or if it is @once.
func (s *Schedule) Next(after time.Time) time.Time {
	if s.once {
		return time.Time{}
	}
	after = after.In(s.location)
	if !s.namesHours {
		return s.spec.Next(after)
	}
	// The cron library gets wall clock times labelled as UTC, so it sees no daylight saving changes.
	wallTime := wallClock(after)
	for {
		if wallTime = s.spec.Next(wallTime); wallTime.IsZero() {
			return time.Time{}
		}
		// A wall clock time that occurs twice is skipped here if only its second occurrence is after the given time.
		if at := s.firstOccurrence(wallTime); at.After(after) {
			return at
		}
	}
}

// wallClock returns the wall clock time of t in t's own location, to the second and labelled as UTC.
func wallClock(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), 0, time.UTC)
}

// firstOccurrence returns the first moment at which the wall clock of the schedule's zone shows the given
// time. If the clock jumps over that time, it returns the first moment after the gap.
func (s *Schedule) firstOccurrence(wallTime time.Time) time.Time {
	at := time.Date(wallTime.Year(), wallTime.Month(), wallTime.Day(), wallTime.Hour(), wallTime.Minute(), wallTime.Second(), 0, s.location)
	if !s.wallClockAt(at).Equal(wallTime) {
		return s.endOfGap(wallTime)
	}
	// The same wall clock time may have occurred earlier, if the clock was set back in between.
	for _, shift := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
		if earlier := at.Add(-shift); s.wallClockAt(earlier).Equal(wallTime) {
			return earlier
		}
	}
	return at
}

// wallClockAt returns the wall clock time of the schedule's zone at t, labelled as UTC.
func (s *Schedule) wallClockAt(t time.Time) time.Time { return wallClock(t.In(s.location)) }

// endOfGap returns the first moment after the gap in which the wall clock jumps over the given time. Offsets
// from UTC are below a day, and a change moves the clock by a few hours at most, so the moment is within 26
// hours of the time read as UTC. A binary search finds it.
func (s *Schedule) endOfGap(wallTime time.Time) time.Time {
	low, high := wallTime.Add(-26*time.Hour), wallTime.Add(26*time.Hour)
	for high.Sub(low) > time.Second {
		mid := low.Add(high.Sub(low) / 2).Truncate(time.Second)
		if !mid.After(low) {
			break
		}
		if s.wallClockAt(mid).Before(wallTime) {
			low = mid
		} else {
			high = mid
		}
	}
	return high.In(s.location)
}
