package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Paths beside the protocol's.
const (
	PathTotals  = "/v2/ledger/totals"
	PathStats   = "/v2/ledger/stats"
	PathBudgets = "/v2/budgets"
)

// Total is one line of an answer: what some charges took together. The integers
// are exact (see package charge), the hours are for people.
type Total struct {
	Day        string           `json:"day,omitempty"`
	Team       string           `json:"team,omitempty"`
	Account    string           `json:"account,omitempty"`
	Class      string           `json:"class,omitempty"`
	Type       string           `json:"type,omitempty"`
	Spot       *bool            `json:"spot,omitempty"`
	Attempts   int64            `json:"attempts"`
	Ends       map[string]int64 `json:"ends,omitempty"`
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

// TotalOf gives amounts for people and programs.
func TotalOf(a charge.Amounts) Total {
	t := Total{
		Attempts: a.Attempts(), CoreHours: a.CoreHours(), GPUHours: float64(a.GPU) / 1e6 / 3600, MemoryGBH: float64(a.Memory) / 1e6 / 3600,
		Money: float64(a.Money) / 1e6, CoreMicroS: a.Core, MoneyMicro: a.Money, RunMS: a.Run, Ends: map[string]int64{},
	}
	for h, n := range a.ByOutcome {
		if n > 0 && charge.Outcome(h) != charge.Continues {
			t.Ends[charge.Outcome(h).String()] = n
		}
	}
	return t
}

// Query is a question for totals.
type Query struct {
	Team, Account, Class string // empty: any
	From, To             string // days, both included; empty: no bound
	By                   []string
	Skip                 int // rows of the answer that are left out, from its beginning
}

var groupColumns = []string{"day", "team", "account", "class", "type", "spot"}

// ParseQuery reads a question from a URL's values.
func ParseQuery(v url.Values) (q Query, err error) {
	q = Query{Team: v.Get("team"), Account: v.Get("account"), Class: v.Get("class"), From: v.Get("from"), To: v.Get("to")}
	for _, day := range []string{q.From, q.To} {
		if day == "" {
			continue
		}
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return q, fmt.Errorf("%q is not a day such as 2026-12-01", day)
		}
	}
	if skip := v.Get("skip"); skip != "" {
		if q.Skip, err = strconv.Atoi(skip); err != nil || q.Skip < 0 {
			return q, fmt.Errorf("skip is %q; it must be a count", skip)
		}
	}
	by := v.Get("by")
	if by == "" {
		by = "team,account,class,type"
	}
	for c := range strings.SplitSeq(by, ",") {
		if !slices.Contains(groupColumns, c) {
			return q, fmt.Errorf("%q is not a column; there are %s", c, strings.Join(groupColumns, ", "))
		}
		q.By = append(q.By, c)
	}
	return q, nil
}

// matches tells whether a row is asked about. A month that is only partly within
// the bounds is not, since its days can no longer be told apart.
func (q *Query) matches(n RowKey) bool {
	first, last := n.Day, n.Day
	if len(n.Day) < len(time.DateOnly) {
		first, last = n.Day+"-01", n.Day+"-31"
	}
	return (q.Team == "" || n.Team == q.Team) && (q.Account == "" || n.Account == q.Account) && (q.Class == "" || n.Class == q.Class) &&
		(q.From == "" || first >= q.From) && (q.To == "" || last <= q.To)
}

// groupKey keeps of a row's name what the answer is by.
func (q *Query) groupKey(n RowKey) RowKey {
	var out RowKey
	for _, c := range q.By {
		switch c {
		case "day":
			out.Day = n.Day
		case "team":
			out.Team = n.Team
		case "account":
			out.Account = n.Account
		case "class":
			out.Class = n.Class
		case "type":
			out.Type = n.Type
		case "spot":
			out.Spot = n.Spot
		}
	}
	return out
}

// Aggregation sums up rows for a question.
type Aggregation struct {
	query  Query
	groups map[RowKey]charge.Amounts
	sum    charge.Amounts
}

// NewAggregation begins to sum up.
func NewAggregation(q Query) *Aggregation {
	return &Aggregation{query: q, groups: map[RowKey]charge.Amounts{}}
}

// Add adds a row, if it is asked about.
func (ag *Aggregation) Add(n RowKey, a charge.Amounts) {
	if !ag.query.matches(n) {
		return
	}
	name := ag.query.groupKey(n)
	sum := ag.groups[name]
	sum.Add(a)
	ag.groups[name] = sum
	ag.sum.Add(a)
}

// Totals gives what was summed up.
func (ag *Aggregation) Totals(where *time.Location) Totals {
	out := Totals{From: ag.query.From, To: ag.query.To, Zone: where.String(), By: strings.Join(ag.query.By, ","), Rows: []Total{}, Sum: TotalOf(ag.sum)}
	rows := make([]Row, 0, len(ag.groups))
	for n, a := range ag.groups {
		rows = append(rows, Row{Key: n, Sum: a})
	}
	sortRows(rows)
	rows = rows[min(ag.query.Skip, len(rows)):]
	if len(rows) > tuning.TotalRows {
		rows, out.Next = rows[:tuning.TotalRows], ag.query.Skip+tuning.TotalRows
	}
	for _, r := range rows {
		v := TotalOf(r.Sum)
		v.Day, v.Team, v.Account, v.Class, v.Type = r.Key.Day, r.Key.Team, r.Key.Account, r.Key.Class, r.Key.Type
		if slices.Contains(ag.query.By, "spot") {
			v.Spot = &r.Key.Spot
		}
		out.Rows = append(out.Rows, v)
	}
	return out
}

// Query answers the questions that the ledger has the answers to in memory.
func (l *Ledger) Query(uri string, now time.Time) (status int, body any, ok bool) {
	u, err := url.Parse(uri)
	if err != nil {
		return 0, nil, false
	}
	switch u.Path {
	case PathStats:
		return http.StatusOK, l.stats, true
	case PathBudgets:
		l.budgets.Recompute(now)
		return http.StatusOK, map[string]any{"budgets": l.budgets.Views(u.Query().Get("team"))}, true
	case PathTotals:
	default:
		return 0, nil, false
	}
	q, err := ParseQuery(u.Query())
	if err != nil {
		return http.StatusBadRequest, wire.Error{Error: err.Error()}, true
	}
	if !l.loaded {
		return http.StatusServiceUnavailable, wire.Error{Error: "the ledger is being read"}, true
	}
	return http.StatusOK, l.totals(q, now), true
}

func (l *Ledger) totals(q Query, now time.Time) Totals {
	l.collectDetached(now) // what lies apart since the last tick counts too
	ag := NewAggregation(q)
	for _, p := range append(slices.Collect(maps.Values(l.closedPages)), l.openPage) {
		for n, a := range p.rows {
			ag.Add(n, a)
		}
	}
	pack := func(p *charge.Pack) {
		for n, a := range RowsOf(p, l.location) {
			ag.Add(n, a)
		}
	}
	for _, left := range l.detached {
		pack(left.Pack)
	}
	l.store.VisitCharges(pack)
	out := ag.Totals(l.location)
	running := NewAggregation(q)
	for p := range l.live {
		if p.ChargedFrom.IsZero() {
			continue
		}
		var c charge.Charge
		setTimeAndCost(&c, p, p.ChargedFrom, now, l.currentRate(p))
		brief := l.briefOf(p)
		a := brief.AmountsOf(&c)
		a.ByOutcome = [len(a.ByOutcome)]int64{}
		running.Add(RowKey{Day: charge.DayOf(now.UnixMilli(), l.location), Team: brief.Team, Account: brief.Account, Class: brief.Class}, a)
	}
	out.Running = TotalOf(running.sum)
	return out
}

// ChargeView is a charge for people and programs.
type ChargeView struct {
	Task          string         `json:"task"`
	Attempt       uint64         `json:"attempt"`
	Part          int            `json:"part"`
	Team          string         `json:"team"`
	Account       string         `json:"account,omitempty"`
	Class         string         `json:"class"`
	Type          string         `json:"type"`
	Zone          string         `json:"zone"`
	Spot          bool           `json:"spot"`
	Start         time.Time      `json:"start"`
	End           time.Time      `json:"end"`
	CoreS         float64        `json:"core_s"`
	GPUS          float64        `json:"gpu_s"`
	MemoryGBS     float64        `json:"memory_gb_s"`
	Money         float64        `json:"money"`
	Outcome       charge.Outcome `json:"how"`
	UpperBound    bool           `json:"upper_bound,omitempty"`
	ProgressSaved bool           `json:"saved,omitempty"`
	PriceUnknown  bool           `json:"price_unknown,omitempty"`
}

// ChargeViews gives the charges of a pack.
func ChargeViews(p *charge.Pack) []ChargeView {
	out := make([]ChargeView, 0, len(p.Charges))
	for i := range p.Charges {
		c := &p.Charges[i]
		kind, a := p.Kinds[c.Kind], p.Traits.AmountsOf(c)
		out = append(out, ChargeView{
			Task: wire.TaskID{Job: p.Job, Index: c.Task}.String(), Attempt: c.Attempt, Part: c.Part,
			Team: p.Traits.Team, Account: p.Traits.Account, Class: p.Traits.Class, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot,
			Start: time.UnixMilli(c.Start).UTC(), End: time.UnixMilli(c.End()).UTC(),
			CoreS: float64(a.Core) / 1e6, GPUS: float64(a.GPU) / 1e6, MemoryGBS: float64(a.Memory) / 1e6, Money: float64(c.Money) / 1e6,
			Outcome: c.Outcome, UpperBound: c.Flags&charge.UpperBound != 0, ProgressSaved: c.Flags&charge.ProgressSaved != 0, PriceUnknown: c.Flags&charge.PriceUnknown != 0,
		})
	}
	return out
}

func sortChargeViews(v []ChargeView) {
	slices.SortFunc(v, func(a, b ChargeView) int {
		x, _ := wire.ParseTaskID(a.Task)
		y, _ := wire.ParseTaskID(b.Task)
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Part, b.Part))
	})
}
