package budget

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// Task is what budgets need to know of a task: of a live attempt, or of one that waits.
type Task struct {
	Scope        Scope
	Production   bool
	Class        string
	MilliCores   int64
	Rate         int64     // millionths of money an hour; 0: it is not placed yet
	MaxRate      int64     // the rate on the most expensive machine type
	EstimateS    float64   // the owner's, in seconds; 0: a service, which never ends by itself
	RunningSince time.Time // zero: it does not run yet
}

// TaskOf describes a task of a job that is not placed yet.
func TaskOf(j *wire.Job) *Task {
	return &Task{
		Scope: Scope{j.Team, j.Account}, Production: j.Priority == wire.PriorityProduction, Class: j.Class,
		MilliCores: charge.InMilli(j.CPUs), EstimateS: j.EstimateS,
	}
}

// Tracker keeps the balances of all budgets up to date from the charges and live tasks
// that it is told of. A live task is named by a reference of the caller's choice, which
// must be usable as a map key. It is not safe for concurrent use.
type Tracker struct {
	settings  *Settings
	usage     map[Scope]map[string]Usage // what was charged, by day or, for old days, by month
	live      map[any]*Task              // by the caller's reference
	estimates estimates
	balances  []*Balance
	byScope   map[Scope][]*Balance
}

// NewTracker makes a tracker without budgets, charges and tasks.
func NewTracker() *Tracker {
	return &Tracker{
		settings: &Settings{}, usage: map[Scope]map[string]Usage{}, live: map[any]*Task{},
		estimates: newEstimates(), byScope: map[Scope][]*Balance{},
	}
}

// Configure replaces the settings. Charges and live tasks stay known, and so does for which
// period a budget was warned of.
func (tr *Tracker) Configure(s *Settings, now time.Time) {
	warned := map[Budget]time.Time{}
	for _, bal := range tr.balances {
		warned[bal.Budget] = bal.warnedPeriod
	}
	tr.settings, tr.balances, tr.byScope = s, nil, map[Scope][]*Balance{}
	for _, b := range s.Budgets {
		bal := &Balance{Budget: b, warnedPeriod: warned[b]}
		tr.balances = append(tr.balances, bal)
		tr.byScope[b.Scope] = append(tr.byScope[b.Scope], bal)
	}
	tr.Recompute(now)
}

// HasBudgets reports whether there are budgets.
func (tr *Tracker) HasBudgets() bool { return len(tr.balances) > 0 }

// AddCharge counts a charge of a day (as in 2026-12-01) or a month (as in 2026-12).
// Balances include it from the next Recompute on.
func (tr *Tracker) AddCharge(s Scope, day string, u Usage) {
	for _, sc := range s.enclosing() {
		days := tr.usage[sc]
		if days == nil {
			days = map[string]Usage{}
			tr.usage[sc] = days
		}
		sum := days[day]
		sum.Add(u)
		days[day] = sum
	}
}

// TeamUsage returns what a team was charged, by day or month. The map is the tracker's
// own and must not be changed.
func (tr *Tracker) TeamUsage(team string) map[string]Usage { return tr.usage[Scope{Team: team}] }

// StartTask adds a live task. What it is expected to use is reserved from now on.
func (tr *Tracker) StartTask(ref any, t *Task) {
	tr.live[ref] = t
	tr.estimates.learnRate(t)
	for _, bal := range tr.balancesOf(t) {
		bal.reserve(1, tr.estimates.expected(t))
	}
}

// MarkRunning sets since when a live task runs. It does nothing for an unknown reference.
func (tr *Tracker) MarkRunning(ref any, since time.Time) {
	if t := tr.live[ref]; t != nil {
		t.RunningSince = since
	}
}

// EndTask removes a live task; done tells that it completed after a run of this length.
// What it used is charged separately, by AddCharge. Until the next Recompute it also
// still counts as reserved, so a budget is rather held too early than overspent.
func (tr *Tracker) EndTask(ref any, done bool, run time.Duration) {
	t := tr.live[ref]
	if t == nil {
		return
	}
	delete(tr.live, ref)
	if done {
		tr.estimates.learnRun(t, run)
	}
}

// balancesOf returns the balances in which a task counts: its account's and its team's.
func (tr *Tracker) balancesOf(t *Task) []*Balance {
	if len(tr.balances) == 0 {
		return nil
	}
	var out []*Balance
	for _, sc := range t.Scope.enclosing() {
		out = append(out, tr.byScope[sc]...)
	}
	return out
}
