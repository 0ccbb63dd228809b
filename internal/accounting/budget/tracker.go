package budget

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// Task contains the properties of a live attempt, or of a waiting task, that budgets depend on.
type Task struct {
	Scope        Scope
	Production   bool
	Class        string
	MilliCores   int64
	Rate         int64     // millionths of the currency per hour; 0: the task is not placed yet
	MaxRate      int64     // the rate on the most expensive machine type, in the same unit
	EstimateS    float64   // the owner's estimate of the run time, in seconds; 0: a service, which never ends by itself
	RunningSince time.Time // zero: the task is not running yet
}

// TaskOf returns the description of a task of the job before the task is placed: Rate, MaxRate and
// RunningSince are not set.
func TaskOf(j *wire.Job) *Task {
	return &Task{
		Scope: Scope{j.Team, j.Account}, Production: j.Priority == wire.PriorityProduction, Class: j.Class,
		MilliCores: charge.InMilli(j.CPUs), EstimateS: j.EstimateS,
	}
}

// Tracker maintains the balances of all budgets from the charges and live tasks that the caller
// reports. A live task is one that has been placed and has not ended; it may not run yet. The caller
// identifies a live task by a reference of any type that can be a map key. A Tracker is not safe for
// concurrent use.
type Tracker struct {
	settings  *Settings
	usage     map[Scope]map[string]Usage // charged usage by day or, for old days, by month
	liveTasks map[any]*Task              // by the caller's reference
	estimates estimates
	balances  []*Balance
	byScope   map[Scope][]*Balance
}

// NewTracker returns a tracker without budgets, charges and tasks.
func NewTracker() *Tracker {
	return &Tracker{
		settings: &Settings{}, usage: map[Scope]map[string]Usage{}, liveTasks: map[any]*Task{},
		estimates: newEstimates(), byScope: map[Scope][]*Balance{},
	}
}

// Configure replaces the settings. It preserves the charges, the live tasks and, for each budget
// that is unchanged, the period of its last warning.
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

// HasBudgets reports whether any budgets are configured.
func (tr *Tracker) HasBudgets() bool { return len(tr.balances) > 0 }

// AddCharge adds a charge for a day (as in 2026-12-01) or a month (as in 2026-12). Balances include
// it after the next Recompute.
func (tr *Tracker) AddCharge(scope Scope, dayOrMonth string, usage Usage) {
	for _, enclosing := range scope.enclosing() {
		charged := tr.usage[enclosing]
		if charged == nil {
			charged = map[string]Usage{}
			tr.usage[enclosing] = charged
		}
		sum := charged[dayOrMonth]
		sum.Add(usage)
		charged[dayOrMonth] = sum
	}
}

// TeamUsage returns what a team was charged, by day or month. The map belongs to the tracker and
// must not be modified.
func (tr *Tracker) TeamUsage(team string) map[string]Usage { return tr.usage[Scope{Team: team}] }

// AddTask adds a live task and reserves its expected usage.
func (tr *Tracker) AddTask(ref any, t *Task) {
	tr.liveTasks[ref] = t
	tr.estimates.learnRate(t)
	for _, bal := range tr.balancesOf(t) {
		bal.reserve(1, tr.estimates.expected(t))
	}
}

// MarkRunning records that a live task has been running since the given time. It does nothing for
// an unknown reference.
func (tr *Tracker) MarkRunning(ref any, since time.Time) {
	if t := tr.liveTasks[ref]; t != nil {
		t.RunningSince = since
	}
}

// EndTask removes a live task. completed reports whether the task completed, after the given run
// time. The caller reports the task's usage separately with AddCharge. The reservation of the task
// remains until the next Recompute: a budget that delays other tasks too long is preferable to one
// that is overspent.
func (tr *Tracker) EndTask(ref any, completed bool, run time.Duration) {
	t := tr.liveTasks[ref]
	if t == nil {
		return
	}
	delete(tr.liveTasks, ref)
	if completed {
		tr.estimates.learnRun(t, run)
	}
}

// balancesOf returns the balances in which a task counts: those of its account and of its team.
func (tr *Tracker) balancesOf(t *Task) []*Balance {
	if len(tr.balances) == 0 {
		return nil
	}
	var balances []*Balance
	for _, scope := range t.Scope.enclosing() {
		balances = append(balances, tr.byScope[scope]...)
	}
	return balances
}
