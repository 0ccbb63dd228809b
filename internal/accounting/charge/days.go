package charge

import (
	"math"
	"time"
)

// DayOf is the date, such as 2026-12-02, of a time in milliseconds.
func DayOf(ms int64, loc *time.Location) string {
	return time.UnixMilli(ms).In(loc).Format(time.DateOnly)
}

// NextDay is when the day after that of a time begins; both are in milliseconds.
func NextDay(ms int64, loc *time.Location) int64 {
	t := time.UnixMilli(ms).In(loc)
	return time.Date(t.Year(), t.Month(), t.Day()+1, 0, 0, 0, 0, loc).UnixMilli()
}

// SplitByDay cuts a charge at midnights, so that each part lies in one day.
// The parts add up to the charge's run time and money exactly.
func SplitByDay(c Charge, loc *time.Location) []Charge {
	var out []Charge
	for {
		midnight := NextDay(c.Start, loc)
		if c.End() <= midnight {
			return append(out, c)
		}
		part := c
		part.Run = midnight - c.Start
		part.Money = int64(math.Round(float64(c.Money) * float64(part.Run) / float64(c.Run)))
		part.Outcome, part.Flags = Continues, c.Flags&^ProgressSaved
		out = append(out, part)
		c.Start, c.Run, c.Money, c.Part = midnight, c.Run-part.Run, c.Money-part.Money, c.Part+1
	}
}
