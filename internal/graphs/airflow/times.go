package airflow

import (
	"cmp"
	"time"
)

// timestamp returns a time in the API's format; nil for the zero time.
func timestamp(t time.Time) *string {
	if t.IsZero() {
		return nil
	}
	s := t.UTC().Format("2006-01-02T15:04:05.999999-07:00")
	return &s
}

// optionalTimestamp is like timestamp, and returns nil for a nil time.
func optionalTimestamp(t *time.Time) *string {
	if t == nil {
		return nil
	}
	return timestamp(*t)
}

// compareTimestamps orders timestamps; nil sorts first. It compares them as times rather than as texts, since a
// timestamp omits trailing zeros of its fraction.
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

// typedValue is a JSON object that names its type in __type, as schedules and durations do in the API.
type typedValue map[string]any

// timeDelta returns a duration in the API's form; nil if it is not positive.
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

// cronExpression returns a cron schedule in the API's form.
func cronExpression(schedule string) typedValue {
	return typedValue{"__type": "CronExpression", "value": schedule}
}
