package ledger

import (
	"slices"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// Total is one line of an answer: what some charges took together. The integers are exact
// (see package charge), the hours are for people. Operators use its field names in their
// templates of bills.
type Total struct {
	Day        string           `json:"day,omitempty"`
	Team       string           `json:"team,omitempty"`
	Account    string           `json:"account,omitempty"`
	Class      string           `json:"class,omitempty"`
	Type       string           `json:"type,omitempty"`
	Spot       *bool            `json:"spot,omitempty"`
	Attempts   int64            `json:"attempts"`
	Ends       map[string]int64 `json:"ends,omitempty"` // of attempts, by outcome
	CoreHours  float64          `json:"core_hours"`
	GPUHours   float64          `json:"gpu_hours"`
	MemoryGBH  float64          `json:"memory_gb_hours"`
	Money      float64          `json:"money"`
	CoreMicroS int64            `json:"core_us"`
	MoneyMicro int64            `json:"money_u"`
	RunMS      int64            `json:"run_ms"`
}

// Totals answers a question for totals.
type Totals struct {
	From string  `json:"from,omitempty"` // the first day
	To   string  `json:"to,omitempty"`   // the last day
	Zone string  `json:"zone"`           // in which days begin
	By   string  `json:"by"`
	Rows []Total `json:"rows"`
	Next int     `json:"next,omitempty"` // the skip with which the answer goes on; 0: there is no more
	Sum  Total   `json:"sum"`
	// Running is what tasks that run now have taken and are not charged for yet.
	Running Total `json:"running"`
}

// TotalOf returns amounts for people and programs.
func TotalOf(a charge.Amounts) Total {
	t := Total{
		Attempts: a.Attempts(), CoreHours: a.CoreHours(), GPUHours: float64(a.GPU) / 1e6 / 3600, MemoryGBH: float64(a.Memory) / 1e6 / 3600,
		Money: float64(a.Money) / 1e6, CoreMicroS: a.Core, MoneyMicro: a.Money, RunMS: a.Run, Ends: map[string]int64{},
	}
	for o, n := range a.ByOutcome {
		if n > 0 && charge.Outcome(o) != charge.Continues {
			t.Ends[charge.Outcome(o).String()] = n
		}
	}
	return t
}

// Aggregation sums up rows for a query.
type Aggregation struct {
	query  Query
	groups rowSums
	sum    charge.Amounts
}

// NewAggregation returns an aggregation without rows.
func NewAggregation(q Query) *Aggregation { return &Aggregation{query: q, groups: rowSums{}} }

// Add adds a row, if the query asks about it.
func (ag *Aggregation) Add(key RowKey, a charge.Amounts) {
	if !ag.query.matches(key) {
		return
	}
	ag.groups.add(ag.query.groupKey(key), a)
	ag.sum.Add(a)
}

// Totals returns the answer: at most tuning.TotalRowsPerAnswer rows after those that the query skips.
func (ag *Aggregation) Totals(zone *time.Location) Totals {
	q := &ag.query
	out := Totals{From: q.From, To: q.To, Zone: zone.String(), By: strings.Join(q.By, ","), Rows: []Total{}, Sum: TotalOf(ag.sum)}
	rows := ag.groups.sorted()
	rows = rows[min(q.Skip, len(rows)):]
	if len(rows) > tuning.TotalRowsPerAnswer {
		rows, out.Next = rows[:tuning.TotalRowsPerAnswer], q.Skip+tuning.TotalRowsPerAnswer
	}
	for _, r := range rows {
		out.Rows = append(out.Rows, q.totalOfRow(r))
	}
	return out
}

func (q *Query) totalOfRow(r Row) Total {
	t := TotalOf(r.Sum)
	t.Day, t.Team, t.Account, t.Class, t.Type = r.Key.Day, r.Key.Team, r.Key.Account, r.Key.Class, r.Key.Type
	if slices.Contains(q.By, "spot") {
		t.Spot = &r.Key.Spot
	}
	return t
}

// runningAmounts is what the running tasks that a query asks about have taken and are not
// charged for yet.
func (l *Ledger) runningAmounts(q Query, now time.Time) charge.Amounts {
	today := charge.DayOf(now.UnixMilli(), l.location)
	running := NewAggregation(q)
	for a := range l.live {
		if a.ChargedFrom.IsZero() {
			continue
		}
		var c charge.Charge
		setTimeAndCost(&c, a, a.ChargedFrom, now, l.currentRate(a))
		traits := jobs.TraitsOf(&a.Job.Job)
		sum := traits.AmountsOf(&c)
		sum.ByOutcome = [len(sum.ByOutcome)]int64{} // they have no outcome yet
		running.Add(RowKey{Day: today, Team: traits.Team, Account: traits.Account, Class: traits.Class}, sum)
	}
	return running.sum
}
