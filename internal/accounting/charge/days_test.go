package charge

import (
	"testing"
	"time"
)

func TestSplitByDayPreservesTimeAndMoneyExactly(t *testing.T) {
	berlin, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Fatal(err)
	}
	at := func(loc *time.Location, day, hour int) int64 {
		return time.Date(2026, 3, day, hour, 0, 0, 0, loc).UnixMilli()
	}
	const hour = int64(time.Hour / time.Millisecond)
	for _, c := range []struct {
		name       string
		loc        *time.Location
		startMS    int64
		runMS      int64
		partRunsMS []int64 // run times of the parts
	}{
		{"within a day", time.UTC, at(time.UTC, 10, 3), 5 * hour, []int64{5 * hour}},
		{"up to midnight", time.UTC, at(time.UTC, 10, 20), 4 * hour, []int64{4 * hour}},
		{"across a midnight", time.UTC, at(time.UTC, 10, 20), 5 * hour, []int64{4 * hour, hour}},
		{"across two midnights", time.UTC, at(time.UTC, 10, 23), 26 * hour, []int64{hour, 24 * hour, hour}},
		{"a day of 23 hours", berlin, at(berlin, 28, 23), 25 * hour, []int64{hour, 23 * hour, hour}},
		{"zero run time", time.UTC, at(time.UTC, 10, 0), 0, []int64{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			whole := Charge{Task: 1, Attempt: 2, Part: 3, StartMS: c.startMS, RunMS: c.runMS, Money: 1_000_003, Outcome: Done, Flags: ProgressSaved | UpperBound}
			parts := SplitByDay(whole, c.loc)
			if len(parts) != len(c.partRunsMS) {
				t.Fatalf("%d parts, want %d: %+v", len(parts), len(c.partRunsMS), parts)
			}
			next, money := c.startMS, int64(0)
			for i, p := range parts {
				last := i == len(parts)-1
				if p.StartMS != next || p.RunMS != c.partRunsMS[i] || p.Part != 3+i {
					t.Errorf("part %d begins at %d ms and runs for %d ms, want %d and %d: %+v", i, p.StartMS, p.RunMS, next, c.partRunsMS[i], p)
				}
				if (p.Outcome == Done) != last || (p.Flags&ProgressSaved != 0) != last || p.Flags&UpperBound == 0 {
					t.Errorf("part %d has outcome %v and flags %b", i, p.Outcome, p.Flags)
				}
				if !last && p.Outcome != Continues {
					t.Errorf("part %d has outcome %v, want Continues", i, p.Outcome)
				}
				next, money = p.EndMS(), money+p.Money
			}
			if next != whole.EndMS() || money != whole.Money {
				t.Errorf("the parts end at %d and cost %d, want %d and %d", next, money, whole.EndMS(), whole.Money)
			}
		})
	}
}
