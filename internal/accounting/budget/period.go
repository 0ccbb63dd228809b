package budget

import "time"

// bounds returns the beginning of the period that contains t and the beginning of the next one.
// Both are zero for a period without end. Days begin at midnight in the given time zone.
func (p Period) bounds(t time.Time, zone *time.Location) (from, to time.Time) {
	t = t.In(zone)
	y, m, d := t.Date()
	date := func(y int, m time.Month, d int) time.Time { return time.Date(y, m, d, 0, 0, 0, 0, zone) }
	switch p {
	case Day:
		return date(y, m, d), date(y, m, d+1)
	case Week:
		monday := d - (int(t.Weekday())+6)%7
		return date(y, m, monday), date(y, m, monday+7)
	case Month:
		return date(y, m, 1), date(y, m+1, 1)
	}
	return time.Time{}, time.Time{}
}

// usageBetween returns what a scope was charged for the days from "from" (inclusive) to "to"
// (exclusive). If to is zero, it returns all charges, including those that are stored by month.
func (tr *Tracker) usageBetween(scope Scope, from, to time.Time) (sum Usage) {
	days := tr.usage[scope]
	if to.IsZero() {
		for _, v := range days {
			sum.Add(v)
		}
		return sum
	}
	for day := from; day.Before(to); day = day.AddDate(0, 0, 1) {
		sum.Add(days[day.Format(time.DateOnly)])
	}
	return sum
}
