package budget

import (
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
)

func TestSplitByDayPreservesRunTimeMoneyAndOutcome(t *testing.T) {
	zone := time.FixedZone("UTC+3", 3*3600)
	c := charge.Charge{StartMS: time.Date(2026, 12, 1, 20, 0, 0, 0, zone).UnixMilli(), RunMS: 50 * 3600_000, Money: 1_000_003, Outcome: charge.Done, Flags: charge.ProgressSaved}
	parts := charge.SplitByDay(c, zone)
	var run, money int64
	for i, p := range parts {
		run, money = run+p.RunMS, money+p.Money
		if last := i == len(parts)-1; p.Part != i || (p.Outcome == charge.Done) != last || (p.Flags&charge.ProgressSaved != 0) != last {
			t.Errorf("unexpected part %d: %+v", i, p)
		}
	}
	if len(parts) != 3 || run != c.RunMS || money != c.Money || parts[0].RunMS != 4*3600_000 {
		t.Errorf("unexpected parts: %+v", parts)
	}
}
