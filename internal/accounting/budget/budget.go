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

func (u Usage) of(unit Unit) float64 {
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
	days     map[Scope]map[string]Usage // charged, by day or, for what is long ago, by month
	live     map[any]*Task
	ratio    map[string]float64 // by class: what its tasks took of their owners' estimates
	rates    map[string]int64   // by class: the last rate of a task of it
	lines    []*Balance
	byScope  map[Scope][]*Balance
}

// Balance is the state of one budget.
type Balance struct {
	Budget
	Limit    float64   // with what was carried over, in the ledger's units
	Used     float64   // charged in the present period
	Running  float64   // taken by tasks that still run
	Reserved float64   // expected to be taken by them beyond that
	From, To time.Time // the period; To is zero for one without end
	tasks    int       // live ones within it
	warned   time.Time // the beginning of the period in which it was warned of
}

// NewTracker makes a keeper that knows of no use.
func NewTracker() *Tracker {
	return &Tracker{
		settings: &Settings{}, days: map[Scope]map[string]Usage{}, live: map[any]*Task{},
		ratio: map[string]float64{}, rates: map[string]int64{}, byScope: map[Scope][]*Balance{},
	}
}

// Configure takes in settings; what was used stays known.
func (k *Tracker) Configure(s *Settings, now time.Time) {
	warned := map[Budget]time.Time{}
	for _, l := range k.lines {
		warned[l.Budget] = l.warned
	}
	k.settings, k.lines, k.byScope = s, nil, map[Scope][]*Balance{}
	for _, b := range s.Budgets {
		l := &Balance{Budget: b, warned: warned[b]}
		k.lines = append(k.lines, l)
		k.byScope[b.Scope] = append(k.byScope[b.Scope], l)
	}
	k.Recompute(now)
}

// HasBudgets tells whether there are budgets.
func (k *Tracker) HasBudgets() bool { return len(k.lines) > 0 }

// scopes are those in which something of a team and account counts.
func scopes(s Scope) []Scope {
	if s.Account == "" {
		return []Scope{s}
	}
	return []Scope{s, {Team: s.Team}}
}

// AddCharge takes in a charge, of a day or a month (as in 2026-12).
func (k *Tracker) AddCharge(s Scope, day string, u Usage) {
	for _, sc := range scopes(s) {
		d := k.days[sc]
		if d == nil {
			d = map[string]Usage{}
			k.days[sc] = d
		}
		v := d[day]
		v.Add(u)
		d[day] = v
	}
}

// StartTask takes in a live task. What it is expected to take counts from now on.
func (k *Tracker) StartTask(ref any, t *Task) {
	k.live[ref] = t
	if t.Rate > 0 {
		k.rates[t.Class] = t.Rate
	}
	for _, l := range k.linesOf(t) {
		l.tasks++
		l.Reserved += k.expected(t).of(l.Unit)
	}
}

// MarkRunning takes in that a live task runs from a time on.
func (k *Tracker) MarkRunning(ref any, at time.Time) {
	if t := k.live[ref]; t != nil {
		t.RunningSince = at
	}
}

// EndTask takes in that a live task is over; done tells that it completed after a run.
// What it took is charged besides; until the next Sum it also still counts as
// reserved, which errs on the side of the budget.
func (k *Tracker) EndTask(ref any, done bool, run time.Duration) {
	t := k.live[ref]
	if t == nil {
		return
	}
	delete(k.live, ref)
	if done && t.EstimateS > 0 {
		seen := min(max(run.Seconds()/t.EstimateS, 1/tuning.EstimateCorrectionMax), tuning.EstimateCorrectionMax)
		if old, ok := k.ratio[t.Class]; ok {
			seen = old + tuning.EstimateLearningRate*(seen-old)
		}
		k.ratio[t.Class] = seen
	}
}

func (k *Tracker) linesOf(t *Task) []*Balance {
	if len(k.lines) == 0 {
		return nil
	}
	var out []*Balance
	for _, sc := range scopes(t.Scope) {
		out = append(out, k.byScope[sc]...)
	}
	return out
}

// expected is what a task is expected to take in all: its owner's estimate,
// corrected by what the class was seen to take.
func (k *Tracker) expected(t *Task) Usage {
	run := tuning.ServiceReserve
	if t.EstimateS > 0 {
		ratio, ok := k.ratio[t.Class]
		if !ok {
			ratio = 1
		}
		run = time.Duration(t.EstimateS * ratio * float64(time.Second))
	}
	rate := t.Rate
	if rate == 0 {
		rate = k.rates[t.Class]
	}
	if rate == 0 {
		rate = t.MaxRate
	}
	return Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(rate, run)}
}

// window is the period in which a time lies. to is zero for one without end.
func window(p Period, t time.Time, where *time.Location) (from, to time.Time) {
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

// usedIn is what a scope was charged in a period.
func (k *Tracker) usedIn(s Scope, from, to time.Time) (u Usage) {
	if to.IsZero() {
		for _, v := range k.days[s] {
			u.Add(v)
		}
		return u
	}
	days := k.days[s]
	for day := from; day.Before(to); day = day.AddDate(0, 0, 1) {
		u.Add(days[day.Format(time.DateOnly)])
	}
	return u
}

// Recompute works out the state of all budgets anew.
func (k *Tracker) Recompute(now time.Time) {
	where := k.settings.Location()
	for _, l := range k.lines {
		l.From, l.To = window(l.Period, now, where)
		l.Limit = l.Amount * l.Unit.scale()
		if carry := k.settings.policy(l.Team).CarryOver; carry > 0 && !l.To.IsZero() {
			before, _ := window(l.Period, l.From.Add(-time.Second), where)
			l.Limit += carry * max(0, l.Limit-k.usedIn(l.Scope, before, l.From).of(l.Unit))
		}
		l.Used = k.usedIn(l.Scope, l.From, l.To).of(l.Unit)
		l.Running, l.Reserved, l.tasks = 0, 0, 0
	}
	if len(k.lines) == 0 {
		return
	}
	for _, t := range k.live {
		expected := k.expected(t)
		for _, l := range k.linesOf(t) {
			l.tasks++
			var ran Usage
			if !t.RunningSince.IsZero() {
				begun := t.RunningSince
				if begun.Before(l.From) {
					begun = l.From // what it took before counts in the period before
				}
				run := max(0, now.Sub(begun))
				ran = Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(t.Rate, run)}
			}
			l.Running += ran.of(l.Unit)
			l.Reserved += max(0, expected.of(l.Unit)-ran.of(l.Unit))
		}
	}
}

// stop is the part of its limit from which on a budget lets nothing start.
func (k *Tracker) stop(l *Balance) float64 {
	if p := k.settings.policy(l.Team); p.DrainWhenSpent {
		return p.DrainAt * l.Limit
	}
	return l.Limit
}

func (k *Tracker) spared(t *Task) bool {
	return t.Production && !k.settings.policy(t.Scope.Team).HoldProduction
}

// Admit says how many of n waiting tasks alike may start now, and why no more. As
// long as nothing within a budget runs and it is not used up, one may: otherwise a
// task that is expected to take more than the whole budget would never run.
func (k *Tracker) Admit(t *Task, n int) (int, string) {
	if k.spared(t) {
		return n, ""
	}
	why, all := "", float64(n)
	for _, l := range k.linesOf(t) {
		left := k.stop(l) - l.Used - l.Running - l.Reserved
		each := k.expected(t).of(l.Unit)
		may := 0
		switch {
		case left <= 0:
		case each <= 0:
			may = n
		default:
			may = int(min(math.Floor(left/each), math.MaxInt32))
		}
		if may == 0 && l.tasks == 0 && l.Used < k.stop(l) {
			may = 1
		}
		if may < n {
			n, why = may, l.why(each, all, k.stop(l))
		}
	}
	return n, why
}

// why says what a budget holds a job for of whose waiting tasks each is expected to take
// so much; stop is from where on the budget lets nothing start.
func (l *Balance) why(each, tasks, stop float64) string {
	s := l.Unit.scale()
	text := fmt.Sprintf("the budget of %s (%s, %s) is spent or reserved: %.6g used and %.6g reserved of %.6g",
		l.Scope, l.Unit, l.Period, (l.Used+l.Running)/s, l.Reserved/s, l.Limit/s)
	if l.Period == Ever {
		text += "; it goes on when the budget is raised"
	} else {
		text += "; it goes on from " + l.To.Format("2006-01-02 15:04 MST") + " or when the budget is raised"
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
func (k *Tracker) SaveReservations() (release func()) {
	type state struct {
		reserved float64
		tasks    int
	}
	before := make([]state, len(k.lines))
	for i, l := range k.lines {
		before[i] = state{l.Reserved, l.tasks}
	}
	return func() {
		for i, l := range k.lines {
			l.Reserved, l.tasks = before[i].reserved, before[i].tasks
		}
	}
}

// Reserve counts n waiting tasks as if they had started.
func (k *Tracker) Reserve(t *Task, n int) {
	if n <= 0 {
		return
	}
	expected := k.expected(t)
	for _, l := range k.linesOf(t) {
		l.tasks += n
		l.Reserved += float64(n) * expected.of(l.Unit)
	}
}

// TasksToDrain gives the live tasks that are to be stopped now.
func (k *Tracker) TasksToDrain() []any {
	var out []any
	var over []*Balance
	for _, l := range k.lines {
		if k.settings.policy(l.Team).DrainWhenSpent && l.Used+l.Running >= k.stop(l) {
			over = append(over, l)
		}
	}
	if len(over) == 0 {
		return nil
	}
	for ref, t := range k.live {
		if !k.spared(t) && slices.ContainsFunc(k.linesOf(t), func(l *Balance) bool { return slices.Contains(over, l) }) {
			out = append(out, ref)
		}
	}
	return out
}

// Warnings gives the budgets that have come to their mark since it was last asked in
// their present period.
func (k *Tracker) Warnings() []*Balance {
	var out []*Balance
	for _, l := range k.lines {
		began := l.From
		if l.Period == Ever {
			began = time.Unix(1, 0)
		}
		if l.NearlySpent(k.settings) && !l.warned.Equal(began) {
			l.warned = began
			out = append(out, l)
		}
	}
	return out
}

// NearlySpent tells whether a budget has come to its warning mark.
func (l *Balance) NearlySpent(s *Settings) bool {
	return l.Used+l.Running >= s.policy(l.Team).WarnAt*l.Limit
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
func (k *Tracker) Views(team string) []View {
	out := []View{}
	for _, l := range k.lines {
		if team != "" && l.Team != team {
			continue
		}
		s := l.Unit.scale()
		v := View{
			Team: l.Team, Account: l.Account, Period: l.Period, Unit: l.Unit, Amount: l.Amount,
			Limit: l.Limit / s, Used: (l.Used + l.Running) / s, Reserved: l.Reserved / s, State: "open",
		}
		if !l.To.IsZero() {
			from, to := l.From, l.To // a view outlives the next Sum
			v.From, v.To = &from, &to
		}
		switch {
		case l.Used+l.Running >= k.stop(l):
			v.State = "spent"
		case l.NearlySpent(k.settings):
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
func (k *Tracker) TeamUsage(team string) map[string]Usage { return k.days[Scope{Team: team}] }
