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

// Paths beside the protocol's.
const (
	PathTotals  = "/v2/ledger/totals"
	PathStats   = "/v2/ledger/stats"
	PathBudgets = "/v2/budgets"
)

// groupColumns are the columns by which totals can be grouped.
var groupColumns = []string{"day", "team", "account", "class", "type", "spot"}

// defaultGroupBy is by what totals are grouped if a query does not say.
const defaultGroupBy = "team,account,class,type"

// Query is a question for totals.
type Query struct {
	Team, Account, Class string // empty: any
	From, To             string // days, both included; empty: no bound
	By                   []string
	Skip                 int // rows of the answer that are left out, from its beginning
}

// ParseQuery reads a question from a URL's values. An error says in one line what is wrong.
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
		by = defaultGroupBy
	}
	for c := range strings.SplitSeq(by, ",") {
		if !slices.Contains(groupColumns, c) {
			return q, fmt.Errorf("%q is not a column; there are %s", c, strings.Join(groupColumns, ", "))
		}
		q.By = append(q.By, c)
	}
	return q, nil
}

// matches reports whether a row is asked about. A month that is only partly within the bounds
// is not, since its days can no longer be told apart.
func (q *Query) matches(key RowKey) bool {
	first, last := key.Day, key.Day
	if key.isMonth() {
		first, last = key.Day+"-01", key.Day+"-31"
	}
	return (q.Team == "" || key.Team == q.Team) && (q.Account == "" || key.Account == q.Account) && (q.Class == "" || key.Class == q.Class) &&
		(q.From == "" || first >= q.From) && (q.To == "" || last <= q.To)
}

// groupKey returns a row's key with only the columns by which the answer is grouped.
func (q *Query) groupKey(key RowKey) RowKey {
	var group RowKey
	for _, c := range q.By {
		switch c {
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

// budgetsAnswer answers a question for budgets.
type budgetsAnswer struct {
	Budgets []budget.View `json:"budgets"`
}

// Query answers the questions that the ledger has the answers to in memory. The error is leader.ErrUnknownPath.
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

func (l *Ledger) answerTotals(v url.Values, now time.Time) leader.Answer {
	q, err := ParseQuery(v)
	if err != nil {
		return leader.Answer{Status: http.StatusBadRequest, Body: wire.Error{Error: err.Error()}}
	}
	if !l.loaded {
		return leader.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "the ledger is being read"}}
	}
	return leader.Answer{Status: http.StatusOK, Body: l.totals(q, now)}
}

// totals answers a query from the pages of totals, the charges that are not rolled up yet,
// and the tasks that run now.
func (l *Ledger) totals(q Query, now time.Time) Totals {
	l.collectDetached(now) // what was detached since the last tick counts too
	sums := NewAggregation(q)
	l.visitPages(sums.Add)
	addPack := func(p *charge.Pack) {
		for key, sum := range RowsOf(p, l.location) {
			sums.Add(key, sum)
		}
	}
	for _, d := range l.detached {
		addPack(d.Pack)
	}
	l.store.VisitCharges(addPack)
	out := sums.Totals(l.location)
	out.Running = TotalOf(l.runningAmounts(q, now))
	return out
}
