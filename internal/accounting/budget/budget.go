package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Usage is what was or will be used, in the ledger's units.
type Usage struct{ Core, Money int64 }

// Add adds another use.
func (u *Usage) Add(v Usage) { u.Core += v.Core; u.Money += v.Money }

func (u Usage) in(unit Unit) float64 {
	if unit == CoreHours {
		return float64(u.Core)
	}
	return float64(u.Money)
}

// Task is a live attempt, as far as budgets care.
type Task struct {
	Scope        Scope
	Production   bool
	Class        string
	MilliCores   int64     // milli-cores
	Rate         int64     // millionths of money an hour; 0: it is not placed yet
	MaxRate      int64     // the rate on the dearest machine that it may have
	EstimateS    float64   // the owner's; 0: a service, which ends by itself never
	RunningSince time.Time // zero: it does not run yet
}

// Tracker holds what budgets are judged by. It is not safe for concurrent use.
type Tracker struct {
	settings *Settings
	usage    map[Scope]map[string]Usage // charged, by day or, for what is long ago, by month
	live     map[any]*Task
	runRatio map[string]float64 // by class: what its tasks took of their owners' estimates
	lastRate map[string]int64   // by class: the last rate of a task of it
	balances []*Balance
	byScope  map[Scope][]*Balance
}

// Balance is the state of one budget.
type Balance struct {
	Budget
	Limit        float64   // with what was carried over, in the ledger's units
	Used         float64   // charged in the present period
	Running      float64   // taken by tasks that still run
	Reserved     float64   // expected to be taken by them beyond that
	From, To     time.Time // the period; To is zero for one without end
	liveTasks    int       // live ones within it
	warnedPeriod time.Time // the beginning of the period in which it was warned of
}

// NewTracker makes a keeper that knows of no use.
func NewTracker() *Tracker {
	return &Tracker{
		settings: &Settings{}, usage: map[Scope]map[string]Usage{}, live: map[any]*Task{},
		runRatio: map[string]float64{}, lastRate: map[string]int64{}, byScope: map[Scope][]*Balance{},
	}
}

// Configure takes in settings; what was used stays known.
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

// HasBudgets tells whether there are budgets.
func (tr *Tracker) HasBudgets() bool { return len(tr.balances) > 0 }

// enclosingScopes are those in which something of a team and account counts.
func enclosingScopes(s Scope) []Scope {
	if s.Account == "" {
		return []Scope{s}
	}
	return []Scope{s, {Team: s.Team}}
}

// AddCharge takes in a charge, of a day or a month (as in 2026-12).
func (tr *Tracker) AddCharge(s Scope, day string, u Usage) {
	for _, sc := range enclosingScopes(s) {
		d := tr.usage[sc]
		if d == nil {
			d = map[string]Usage{}
			tr.usage[sc] = d
		}
		v := d[day]
		v.Add(u)
		d[day] = v
	}
}

// StartTask takes in a live task. What it is expected to take counts from now on.
func (tr *Tracker) StartTask(ref any, t *Task) {
	tr.live[ref] = t
	if t.Rate > 0 {
		tr.lastRate[t.Class] = t.Rate
	}
	for _, bal := range tr.balancesOf(t) {
		bal.liveTasks++
		bal.Reserved += tr.expected(t).in(bal.Unit)
	}
}

// MarkRunning takes in that a live task runs from a time on.
func (tr *Tracker) MarkRunning(ref any, at time.Time) {
	if t := tr.live[ref]; t != nil {
		t.RunningSince = at
	}
}

// EndTask takes in that a live task is over; done tells that it completed after a run.
// What it took is charged besides; until the next Sum it also still counts as
// reserved, which errs on the side of the budget.
func (tr *Tracker) EndTask(ref any, done bool, run time.Duration) {
	t := tr.live[ref]
	if t == nil {
		return
	}
	delete(tr.live, ref)
	if done && t.EstimateS > 0 {
		seen := min(max(run.Seconds()/t.EstimateS, 1/tuning.EstimateCorrectionMax), tuning.EstimateCorrectionMax)
		if old, ok := tr.runRatio[t.Class]; ok {
			seen = old + tuning.EstimateLearningRate*(seen-old)
		}
		tr.runRatio[t.Class] = seen
	}
}

func (tr *Tracker) balancesOf(t *Task) []*Balance {
	if len(tr.balances) == 0 {
		return nil
	}
	var out []*Balance
	for _, sc := range enclosingScopes(t.Scope) {
		out = append(out, tr.byScope[sc]...)
	}
	return out
}

// expected is what a task is expected to take in all: its owner's estimate,
// corrected by what the class was seen to take.
func (tr *Tracker) expected(t *Task) Usage {
	run := tuning.ServiceReserve
	if t.EstimateS > 0 {
		ratio, ok := tr.runRatio[t.Class]
		if !ok {
			ratio = 1
		}
		run = time.Duration(t.EstimateS * ratio * float64(time.Second))
	}
	rate := t.Rate
	if rate == 0 {
		rate = tr.lastRate[t.Class]
	}
	if rate == 0 {
		rate = t.MaxRate
	}
	return Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(rate, run)}
}

// periodBounds is the period in which a time lies. to is zero for one without end.
func periodBounds(p Period, t time.Time, where *time.Location) (from, to time.Time) {
	t = t.In(where)
	y, m, d := t.Date()
	date := func(y int, m time.Month, d int) time.Time { return time.Date(y, m, d, 0, 0, 0, 0, where) }
	switch p {
	case Day:
		return date(y, m, d), date(y, m, d+1)
	case Week:
		monday := d - (int(t.Weekday())+6)%7
		return date(y, m, monday), date(y, m, monday+7)
	case Month:
		return date(y, m, 1), date(y, m+1, 1)
	}
	return time.Time{}, time.Time{}
}

// usageBetween is what a scope was charged in a period.
func (tr *Tracker) usageBetween(s Scope, from, to time.Time) (u Usage) {
	if to.IsZero() {
		for _, v := range tr.usage[s] {
			u.Add(v)
		}
		return u
	}
	days := tr.usage[s]
	for day := from; day.Before(to); day = day.AddDate(0, 0, 1) {
		u.Add(days[day.Format(time.DateOnly)])
	}
	return u
}

// Recompute works out the state of all budgets anew.
func (tr *Tracker) Recompute(now time.Time) {
	where := tr.settings.Location()
	for _, bal := range tr.balances {
		bal.From, bal.To = periodBounds(bal.Period, now, where)
		bal.Limit = bal.Amount * bal.Unit.scale()
		if carry := tr.settings.policy(bal.Team).CarryOver; carry > 0 && !bal.To.IsZero() {
			before, _ := periodBounds(bal.Period, bal.From.Add(-time.Second), where)
			bal.Limit += carry * max(0, bal.Limit-tr.usageBetween(bal.Scope, before, bal.From).in(bal.Unit))
		}
		bal.Used = tr.usageBetween(bal.Scope, bal.From, bal.To).in(bal.Unit)
		bal.Running, bal.Reserved, bal.liveTasks = 0, 0, 0
	}
	if len(tr.balances) == 0 {
		return
	}
	for _, t := range tr.live {
		expected := tr.expected(t)
		for _, bal := range tr.balancesOf(t) {
			bal.liveTasks++
			var ran Usage
			if !t.RunningSince.IsZero() {
				begun := t.RunningSince
				if begun.Before(bal.From) {
					begun = bal.From // what it took before counts in the period before
				}
				run := max(0, now.Sub(begun))
				ran = Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(t.Rate, run)}
			}
			bal.Running += ran.in(bal.Unit)
			bal.Reserved += max(0, expected.in(bal.Unit)-ran.in(bal.Unit))
		}
	}
}

// admissionLimit is the part of its limit from which on a budget lets nothing start.
func (tr *Tracker) admissionLimit(bal *Balance) float64 {
	if p := tr.settings.policy(bal.Team); p.DrainWhenSpent {
		return p.DrainAt * bal.Limit
	}
	return bal.Limit
}

func (tr *Tracker) exempt(t *Task) bool {
	return t.Production && !tr.settings.policy(t.Scope.Team).HoldProduction
}

// Admit says how many of n waiting tasks alike may start now, and why no more. As
// long as nothing within a budget runs and it is not used up, one may: otherwise a
// task that is expected to take more than the whole budget would never run.
func (tr *Tracker) Admit(t *Task, n int) (int, string) {
	if tr.exempt(t) {
		return n, ""
	}
	why, all := "", float64(n)
	for _, bal := range tr.balancesOf(t) {
		left := tr.admissionLimit(bal) - bal.Used - bal.Running - bal.Reserved
		each := tr.expected(t).in(bal.Unit)
		may := 0
		switch {
		case left <= 0:
		case each <= 0:
			may = n
		default:
			may = int(min(math.Floor(left/each), math.MaxInt32))
		}
		if may == 0 && bal.liveTasks == 0 && bal.Used < tr.admissionLimit(bal) {
			may = 1
		}
		if may < n {
			n, why = may, bal.explainHold(each, all, tr.admissionLimit(bal))
		}
	}
	return n, why
}

// explainHold says what a budget holds a job for of whose waiting tasks each is expected to take
// so much; stop is from where on the budget lets nothing start.
func (bal *Balance) explainHold(each, tasks, stop float64) string {
	s := bal.Unit.scale()
	text := fmt.Sprintf("the budget of %s (%s, %s) is spent or reserved: %.6g used and %.6g reserved of %.6g",
		bal.Scope, bal.Unit, bal.Period, (bal.Used+bal.Running)/s, bal.Reserved/s, bal.Limit/s)
	if bal.Period == Ever {
		text += "; it goes on when the budget is raised"
	} else {
		text += "; it goes on from " + bal.To.Format("2006-01-02 15:04 MST") + " or when the budget is raised"
	}
	switch {
	case each > stop:
		text += "; one task alone is expected to take more than the whole budget, and runs when nothing else of it does"
	case each*tasks > stop:
		text += "; what waits of this job is expected to take more than the whole budget"
	}
	return text
}

// SaveReservations begins to consider what could start; release takes it all back.
func (tr *Tracker) SaveReservations() (release func()) {
	type state struct {
		reserved float64
		tasks    int
	}
	before := make([]state, len(tr.balances))
	for i, bal := range tr.balances {
		before[i] = state{bal.Reserved, bal.liveTasks}
	}
	return func() {
		for i, bal := range tr.balances {
			bal.Reserved, bal.liveTasks = before[i].reserved, before[i].tasks
		}
	}
}

// Reserve counts n waiting tasks as if they had started.
func (tr *Tracker) Reserve(t *Task, n int) {
	if n <= 0 {
		return
	}
	expected := tr.expected(t)
	for _, bal := range tr.balancesOf(t) {
		bal.liveTasks += n
		bal.Reserved += float64(n) * expected.in(bal.Unit)
	}
}

// TasksToDrain gives the live tasks that are to be stopped now.
func (tr *Tracker) TasksToDrain() []any {
	var out []any
	var over []*Balance
	for _, bal := range tr.balances {
		if tr.settings.policy(bal.Team).DrainWhenSpent && bal.Used+bal.Running >= tr.admissionLimit(bal) {
			over = append(over, bal)
		}
	}
	if len(over) == 0 {
		return nil
	}
	for ref, t := range tr.live {
		if !tr.exempt(t) && slices.ContainsFunc(tr.balancesOf(t), func(bal *Balance) bool { return slices.Contains(over, bal) }) {
			out = append(out, ref)
		}
	}
	return out
}

// Warnings gives the budgets that have come to their mark since it was last asked in
// their present period.
func (tr *Tracker) Warnings() []*Balance {
	var out []*Balance
	for _, bal := range tr.balances {
		began := bal.From
		if bal.Period == Ever {
			began = time.Unix(1, 0)
		}
		if bal.NearlySpent(tr.settings) && !bal.warnedPeriod.Equal(began) {
			bal.warnedPeriod = began
			out = append(out, bal)
		}
	}
	return out
}

// NearlySpent tells whether a budget has come to its warning mark.
func (bal *Balance) NearlySpent(s *Settings) bool {
	return bal.Used+bal.Running >= s.policy(bal.Team).WarnAt*bal.Limit
}

// View is a budget's state for people and programs, in the budget's own unit.
type View struct {
	Team     string     `json:"team"`
	Account  string     `json:"account,omitempty"`
	Period   Period     `json:"period"`
	Unit     Unit       `json:"unit"`
	Amount   float64    `json:"amount"`
	Limit    float64    `json:"limit"` // with what was carried over
	Used     float64    `json:"used"`  // with what running tasks have taken
	Reserved float64    `json:"reserved"`
	From     *time.Time `json:"from,omitempty"`
	To       *time.Time `json:"to,omitempty"`
	State    string     `json:"state"` // open, nearly-spent or spent
}

// Views gives the state of a team's budgets; an empty name: of all.
func (tr *Tracker) Views(team string) []View {
	out := []View{}
	for _, bal := range tr.balances {
		if team != "" && bal.Team != team {
			continue
		}
		s := bal.Unit.scale()
		v := View{
			Team: bal.Team, Account: bal.Account, Period: bal.Period, Unit: bal.Unit, Amount: bal.Amount,
			Limit: bal.Limit / s, Used: (bal.Used + bal.Running) / s, Reserved: bal.Reserved / s, State: "open",
		}
		if !bal.To.IsZero() {
			from, to := bal.From, bal.To // a view outlives the next Sum
			v.From, v.To = &from, &to
		}
		switch {
		case bal.Used+bal.Running >= tr.admissionLimit(bal):
			v.State = "spent"
		case bal.NearlySpent(tr.settings):
			v.State = "nearly-spent"
		}
		out = append(out, v)
	}
	slices.SortStableFunc(out, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// TaskOf is a task of a job, as far as budgets care.
func TaskOf(j *wire.Job) *Task {
	return &Task{
		Scope: Scope{j.Team, j.Account}, Production: j.Priority == wire.PriorityProduction, Class: j.Class,
		MilliCores: charge.InMilli(j.CPUs), EstimateS: j.EstimateS,
	}
}

// TeamUsage gives what a team was charged, by day or month.
func (tr *Tracker) TeamUsage(team string) map[string]Usage { return tr.usage[Scope{Team: team}] }
