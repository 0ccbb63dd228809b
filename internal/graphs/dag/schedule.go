package dag

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // zones are known on machines without a zone database too

	"github.com/robfig/cron/v3"
)

// Schedule says when the intervals of a graph end: a run is due at the end of each, and
// has the begin as its logical date, as in Airflow. It is immutable.
//
// Daylight saving: a schedule that names hours fires once a day for each. If the clock
// jumps over its time, it fires at the first moment after the gap; if the time comes twice,
// at the first of the two. A schedule for every hour, or every few, goes by elapsed time.
type Schedule struct {
	spec       cron.Schedule
	location   *time.Location
	namesHours bool
	once       bool // @once: spec is nil
}

// cronParser reads the five classic fields.
var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow)

// presets are Airflow's names for schedules.
var presets = map[string]string{
	"@hourly": "0 * * * *", "@daily": "0 0 * * *", "@weekly": "0 0 * * 0", "@monthly": "0 0 1 * *", "@quarterly": "0 0 1 */3 *", "@yearly": "0 0 1 1 *",
}

// ParseSchedule reads a schedule: five cron fields, or one of Airflow's presets, in a time
// zone of the IANA database; an empty one is UTC. A graph that is only triggered has a nil
// schedule, without an error. A schedule that never fires is an error.
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

// loadZone returns a time zone by its name; an empty one is UTC.
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

// parseCron reads a preset or five cron fields.
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

// Next returns the first time after another at which the schedule fires; zero: none comes
// within five years.
func (s *Schedule) Next(after time.Time) time.Time {
	if s.once {
		return time.Time{}
	}
	after = after.In(s.location)
	if !s.namesHours {
		return s.spec.Next(after)
	}
	// Cron is asked in wall clock times, which never jump.
	wall := wallClock(after)
	for {
		if wall = s.spec.Next(wall); wall.IsZero() {
			return time.Time{}
		}
		// A time that comes twice has been, if the clock shows it for the second time.
		if at := s.firstShown(wall); at.After(after) {
			return at
		}
	}
}

// wallClock returns what a clock shows at a time, as if it were in UTC.
func wallClock(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), 0, time.UTC)
}

// firstShown returns when the wall clock first shows a time, or first shows a later one if
// it jumps over it.
func (s *Schedule) firstShown(wall time.Time) time.Time {
	at := time.Date(wall.Year(), wall.Month(), wall.Day(), wall.Hour(), wall.Minute(), wall.Second(), 0, s.location)
	if !s.shows(at).Equal(wall) {
		return s.endOfGap(wall)
	}
	// The clock may have shown it before, if it was set back since.
	for _, back := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
		if earlier := at.Add(-back); s.shows(earlier).Equal(wall) {
			return earlier
		}
	}
	return at
}

// shows returns what the wall clock of the schedule's zone shows at a time.
func (s *Schedule) shows(t time.Time) time.Time { return wallClock(t.In(s.location)) }

// endOfGap returns when the wall clock first shows a later time than one that it jumps
// over. Offsets from UTC are within a day, and a change moves the clock by hours at the
// most: a binary search between a day before and a day after finds the moment.
func (s *Schedule) endOfGap(wall time.Time) time.Time {
	low, high := wall.Add(-26*time.Hour), wall.Add(26*time.Hour)
	for high.Sub(low) > time.Second {
		mid := low.Add(high.Sub(low) / 2).Truncate(time.Second)
		if !mid.After(low) {
			break
		}
		if s.shows(mid).Before(wall) {
			low = mid
		} else {
			high = mid
		}
	}
	return high.In(s.location)
}
