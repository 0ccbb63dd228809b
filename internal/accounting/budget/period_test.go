package budget

import (
	"testing"
	"time"
)

func TestPeriodsBeginInTheOperatorsTimeZone(t *testing.T) {
	zone := time.FixedZone("UTC-5", -5*3600)
	at := time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC) // Monday evening, November 30, in that time zone
	for _, c := range []struct {
		period   Period
		from, to string
	}{
		{Day, "2026-11-30", "2026-12-01"}, {Week, "2026-11-30", "2026-12-07"}, {Month, "2026-11-01", "2026-12-01"},
	} {
		from, to := c.period.bounds(at, zone)
		if from.Format(time.DateOnly) != c.from || to.Format(time.DateOnly) != c.to || from.Hour() != 0 {
			t.Errorf("%s period is from %v to %v", c.period, from, to)
		}
	}
	if _, to := Ever.bounds(at, zone); !to.IsZero() {
		t.Error("the period without end has an end")
	}
}
