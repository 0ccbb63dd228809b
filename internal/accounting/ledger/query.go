package ledger

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// Paths of the ledger's queries.
const (
	PathTotals  = "/v2/ledger/totals"
	PathStats   = "/v2/ledger/stats"
	PathBudgets = "/v2/budgets"
)

// groupColumns are the columns by which totals can be grouped.
var groupColumns = []string{"day", "team", "account", "class", "type", "spot"}

// defaultGroupBy lists the columns by which totals are grouped if a query names none.
const defaultGroupBy = "team,account,class,type"

// Query is a query for totals.
type Query struct {
	Team, Account, Class string   // only rows with these values; empty: any value
	From, To             string   // first and last day, both included; empty: no bound
	By                   []string // columns by which the rows are grouped
	Skip                 int      // number of rows to leave out at the beginning of the answer
}

// ParseQuery parses the query parameters of a URL. An error states in one line what is wrong; it is shown to the user.
func ParseQuery(params url.Values) (q Query, err error) {
	q = Query{Team: params.Get("team"), Account: params.Get("account"), Class: params.Get("class"), From: params.Get("from"), To: params.Get("to")}
	for _, day := range []string{q.From, q.To} {
		if day == "" {
			continue
		}
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return q, fmt.Errorf("%q is not a day such as 2026-12-01", day)
		}
	}
	if skip := params.Get("skip"); skip != "" {
		if q.Skip, err = strconv.Atoi(skip); err != nil || q.Skip < 0 {
			return q, fmt.Errorf("skip is %q; it must be a count", skip)
		}
	}
	columns := params.Get("by")
	if columns == "" {
		columns = defaultGroupBy
	}
	for column := range strings.SplitSeq(columns, ",") {
		if !slices.Contains(groupColumns, column) {
			return q, fmt.Errorf("%q is not a column; there are %s", column, strings.Join(groupColumns, ", "))
		}
		q.By = append(q.By, column)
	}
	return q, nil
}

// matches reports whether the query includes a row. A row of a month that is only partly within the bounds is not
// included, because the month's total can no longer be split into days.
func (q *Query) matches(key RowKey) bool {
	first, last := key.Day, key.Day
	if key.isMonth() {
		first, last = key.Day+"-01", key.Day+"-31"
	}
	return (q.Team == "" || key.Team == q.Team) && (q.Account == "" || key.Account == q.Account) && (q.Class == "" || key.Class == q.Class) &&
		(q.From == "" || first >= q.From) && (q.To == "" || last <= q.To)
}

// groupKey returns a row's key, reduced to the columns by which the answer is grouped.
func (q *Query) groupKey(key RowKey) RowKey {
	var group RowKey
	for _, column := range q.By {
		switch column {
		case "day":
			group.Day = key.Day
		case "team":
			group.Team = key.Team
		case "account":
			group.Account = key.Account
		case "class":
			group.Class = key.Class
		case "type":
			group.Type = key.Type
		case "spot":
			group.Spot = key.Spot
		}
	}
	return group
}

// budgetsAnswer is the answer to a query for budgets.
type budgetsAnswer struct {
	Budgets []budget.View `json:"budgets"`
}

// Query answers the queries that can be answered from memory: for stats, budgets and totals. For any other path the
// error is leader.ErrUnknownPath; there are no other errors.
func (l *Ledger) Query(uri string, now time.Time) (leader.Answer, error) {
	u, err := url.Parse(uri)
	if err != nil {
		return leader.Answer{}, leader.ErrUnknownPath
	}
	switch u.Path {
	case PathStats:
		return leader.Answer{Status: http.StatusOK, Body: l.stats}, nil
	case PathBudgets:
		l.budgets.Recompute(now)
		return leader.Answer{Status: http.StatusOK, Body: budgetsAnswer{l.budgets.Views(u.Query().Get("team"))}}, nil
	case PathTotals:
		return l.answerTotals(u.Query(), now), nil
	}
	return leader.Answer{}, leader.ErrUnknownPath
}

// answerTotals answers a query for totals. The status is 503 until the stored totals are in memory.
func (l *Ledger) answerTotals(params url.Values, now time.Time) leader.Answer {
	q, err := ParseQuery(params)
	if err != nil {
		return leader.Answer{Status: http.StatusBadRequest, Body: wire.Error{Error: err.Error()}}
	}
	if !l.loaded {
		return leader.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "the ledger is being read"}}
	}
	return leader.Answer{Status: http.StatusOK, Body: l.totals(q, now)}
}

// totals answers a query from the pages of totals, the charges that are not rolled up yet, and the running tasks.
func (l *Ledger) totals(q Query, now time.Time) Totals {
	l.collectDetached(now) // include the charges that were detached since the last tick
	aggregation := NewAggregation(q)
	l.visitPages(aggregation.Add)
	addPack := func(p *charge.Pack) {
		for key, sum := range RowsOf(p, l.location) {
			aggregation.Add(key, sum)
		}
	}
	for _, d := range l.detached {
		addPack(d.Pack)
	}
	l.store.VisitCharges(addPack)
	answer := aggregation.Totals(l.location)
	answer.Running = TotalOf(l.runningAmounts(q, now))
	return answer
}
