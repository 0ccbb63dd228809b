package airflow

import (
	"cmp"
	"time"
)

// timestamp returns a time as the API has it; nil for the zero time.
func timestamp(t time.Time) *string {
	if t.IsZero() {
		return nil
	}
	s := t.UTC().Format("2006-01-02T15:04:05.999999-07:00")
	return &s
}

// optionalTimestamp is like timestamp for a time that may be missing.
func optionalTimestamp(t *time.Time) *string {
	if t == nil {
		return nil
	}
	return timestamp(*t)
}

// compareTimestamps orders timestamps; nil comes first. They are compared as times, since a timestamp leaves out the zeros at the end
// of its fraction.
func compareTimestamps(a, b *string) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return -1
	case b == nil:
		return 1
	}
	x, errX := time.Parse(time.RFC3339, *a)
	y, errY := time.Parse(time.RFC3339, *b)
	if errX != nil || errY != nil {
		return cmp.Compare(*a, *b)
	}
	return x.Compare(y)
}

// typedValue is a value with the name of its type, as the API has schedules and durations.
type typedValue map[string]any

// timeDelta returns a duration as the API has it; nil if there is none.
func timeDelta(d time.Duration) typedValue {
	if d <= 0 {
		return nil
	}
	const day = 24 * time.Hour
	return typedValue{
		"__type":       "TimeDelta",
		"days":         int(d / day),
		"seconds":      int(d % day / time.Second),
		"microseconds": int(d % time.Second / time.Microsecond),
	}
}

// cronExpression returns a schedule as the API has it.
func cronExpression(schedule string) typedValue {
	return typedValue{"__type": "CronExpression", "value": schedule}
}
