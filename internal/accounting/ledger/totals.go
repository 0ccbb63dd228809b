package ledger

import (
	"slices"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// Total is one row of an answer: the sum of some charges. The integers are exact, in the units of package charge; the
// floating-point numbers are for display. Operators use the names of its fields in their templates of bills, so the names
// must not change.
type Total struct {
	Day        string           `json:"day,omitempty"`
	Team       string           `json:"team,omitempty"`
	Account    string           `json:"account,omitempty"`
	Class      string           `json:"class,omitempty"`
	Type       string           `json:"type,omitempty"`
	Spot       *bool            `json:"spot,omitempty"`
	Attempts   int64            `json:"attempts"`
	Ends       map[string]int64 `json:"ends,omitempty"` // number of attempts by outcome
	CoreHours  float64          `json:"core_hours"`
	GPUHours   float64          `json:"gpu_hours"`
	MemoryGBH  float64          `json:"memory_gb_hours"`
	Money      float64          `json:"money"`
	CoreMicroS int64            `json:"core_us"`
	MoneyMicro int64            `json:"money_u"`
	RunMS      int64            `json:"run_ms"`
}

// Totals is the answer to a query for totals.
type Totals struct {
	From string  `json:"from,omitempty"` // first day; empty: no bound
	To   string  `json:"to,omitempty"`   // last day; empty: no bound
	Zone string  `json:"zone"`           // time zone in which days begin
	By   string  `json:"by"`             // columns by which the rows are grouped, separated by commas
	Rows []Total `json:"rows"`
	Next int     `json:"next,omitempty"` // the Skip of the query for the next rows; 0: there are no more
	Sum  Total   `json:"sum"`            // of all rows, also those that are not in this answer
	// Running is the usage of running tasks that is not charged yet. It is not included in Sum.
	Running Total `json:"running"`
}

// TotalOf returns amounts as a row of an answer.
func TotalOf(a charge.Amounts) Total {
	total := Total{
		Attempts: a.Attempts(), CoreHours: a.CoreHours(), GPUHours: float64(a.GPU) / 1e6 / 3600, MemoryGBH: float64(a.Memory) / 1e6 / 3600,
		Money: float64(a.Money) / 1e6, CoreMicroS: a.Core, MoneyMicro: a.Money, RunMS: a.RunMS, Ends: map[string]int64{},
	}
	for o, n := range a.ByOutcome {
		if n > 0 && charge.Outcome(o) != charge.Continues {
			total.Ends[charge.Outcome(o).String()] = n
		}
	}
	return total
}

// Aggregation sums rows of totals for a query.
type Aggregation struct {
	query  Query
	groups rowSums
	sum    charge.Amounts
}

// NewAggregation returns an aggregation without rows.
func NewAggregation(q Query) *Aggregation { return &Aggregation{query: q, groups: rowSums{}} }

// Add adds a row, if the query includes it.
func (ag *Aggregation) Add(key RowKey, a charge.Amounts) {
	if !ag.query.matches(key) {
		return
	}
	ag.groups.add(ag.query.groupKey(key), a)
	ag.sum.Add(a)
}

// Totals returns the answer. It contains at most tuning.TotalRowsPerAnswer rows, after those that the query skips.
func (ag *Aggregation) Totals(zone *time.Location) Totals {
	q := &ag.query
	answer := Totals{From: q.From, To: q.To, Zone: zone.String(), By: strings.Join(q.By, ","), Rows: []Total{}, Sum: TotalOf(ag.sum)}
	rows := ag.groups.sorted()
	rows = rows[min(q.Skip, len(rows)):]
	if len(rows) > tuning.TotalRowsPerAnswer {
		rows, answer.Next = rows[:tuning.TotalRowsPerAnswer], q.Skip+tuning.TotalRowsPerAnswer
	}
	for _, r := range rows {
		answer.Rows = append(answer.Rows, q.totalOfRow(r))
	}
	return answer
}

func (q *Query) totalOfRow(r Row) Total {
	total := TotalOf(r.Sum)
	total.Day, total.Team, total.Account, total.Class, total.Type = r.Key.Day, r.Key.Team, r.Key.Account, r.Key.Class, r.Key.Type
	if slices.Contains(q.By, "spot") {
		total.Spot = &r.Key.Spot
	}
	return total
}

// runningAmounts returns the usage that is not charged yet, of those running tasks that a query includes.
func (l *Ledger) runningAmounts(q Query, now time.Time) charge.Amounts {
	today := charge.DayOf(now.UnixMilli(), l.location)
	running := NewAggregation(q)
	for a := range l.liveAllocations {
		if a.ChargedFrom.IsZero() {
			continue
		}
		var c charge.Charge
		setTimeAndCost(&c, a, a.ChargedFrom, now, l.currentRate(a))
		traits := jobs.TraitsOf(&a.Job.Job)
		sum := traits.AmountsOf(&c)
		sum.ByOutcome = [len(sum.ByOutcome)]int64{} // running tasks have no outcome yet
		running.Add(RowKey{Day: today, Team: traits.Team, Account: traits.Account, Class: traits.Class}, sum)
	}
	return running.sum
}
