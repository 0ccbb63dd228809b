package charge

import (
	"math"
	"time"
)

// DayOf returns the date, such as 2026-12-02, of a Unix time in milliseconds, in the time zone loc.
func DayOf(ms int64, loc *time.Location) string {
	return time.UnixMilli(ms).In(loc).Format(time.DateOnly)
}

// NextDay returns the beginning of the day after the one that contains the time ms, in the time zone loc.
// Both times are Unix times in milliseconds.
func NextDay(ms int64, loc *time.Location) int64 {
	t := time.UnixMilli(ms).In(loc)
	return time.Date(t.Year(), t.Month(), t.Day()+1, 0, 0, 0, 0, loc).UnixMilli()
}

// SplitByDay splits a charge at each midnight in loc, so that each part falls on one day.
// The run times and costs of the parts add up exactly to those of the charge.
func SplitByDay(c Charge, loc *time.Location) []Charge {
	var parts []Charge
	for {
		midnight := NextDay(c.StartMS, loc)
		if c.EndMS() <= midnight {
			return append(parts, c)
		}
		part := c
		part.RunMS = midnight - c.StartMS
		part.Money = int64(math.Round(float64(c.Money) * float64(part.RunMS) / float64(c.RunMS)))
		part.Outcome, part.Flags = Continues, c.Flags&^ProgressSaved
		parts = append(parts, part)
		c.StartMS, c.RunMS, c.Money, c.Part = midnight, c.RunMS-part.RunMS, c.Money-part.Money, c.Part+1
	}
}
