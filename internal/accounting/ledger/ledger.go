// Package ledger keeps what every attempt of every task took: one charge for each,
// borne by exactly one team. It joins the leader's loop as a slice; charges ride in the
// book's own transactions (see jobs.Store.AddCharges) and are rolled up into totals and
// compressed segments later. It also holds work back that its team's budget no longer
// allows (package budget).
package ledger

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/scheduler/machines"
)

// Config is what a ledger finds in its process.
type Config struct {
	Clock      clockwork.Clock
	MaxTxnOps  int     // changes in one transaction
	MaxValueKB float64 // the longest value of the state service, in KiB
	// MachineTypes gives the machine types; nil while none are known.
	MachineTypes func() []wire.MachineType
	// Budgets gives the operators' budgets as they are now.
	Budgets func() *budget.Settings
	// OnCharge hears of what is charged, for metrics; nil: nobody does.
	OnCharge func(team, how string, sum charge.Amounts)
}

// Ledger is the ledger of one tenure. It implements leader.Subsystem.
type Ledger struct {
	cfg           Config
	log           *slog.Logger
	maxTxnOps     int
	maxValueBytes int
	codec         *charge.Codec
	location      *time.Location // in which days begin
	store         *jobs.Store

	loaded           bool // the segments and totals are in: roll-ups may begin
	openSegment      segment
	openPage         *page
	closedPages      map[int]*page
	detached         []jobs.DetachedCharges
	nextTotalsLog    time.Time
	nextCompactCheck time.Time // the totals are not looked at for compaction before
	detachedSince    time.Time // when the oldest of them came

	live           map[*jobs.Allocation]bool
	dayEnd         time.Time // when the present day ends
	budgets        *budget.Tracker
	budgetSettings *budget.Settings // those that are in force
	stats          Stats
}

// Stats counts what a ledger did in its tenure.
type Stats struct {
	Charges     int `json:"charges"`
	RollUps     int `json:"roll_ups"`
	Compactions int `json:"compactions"`
	Changes     int `json:"changes"` // of its own in the state service
}

// New makes the ledger of a tenure.
func New(cfg Config, log *slog.Logger) (*Ledger, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Ledger{
		cfg: cfg, log: log, maxTxnOps: cfg.MaxTxnOps, maxValueBytes: int(cfg.MaxValueKB * 1024), codec: codec,
		location: cfg.Budgets().Location(), openPage: newPage(0), closedPages: map[int]*page{},
		live: map[*jobs.Allocation]bool{}, budgets: budget.NewTracker(),
	}, nil
}

// Read reads the totals and the segment that may still grow.
func (l *Ledger) Read(ctx context.Context, store *statestore.Client, _ func(func()) error) (func(), error) {
	var pages []wire.Item
	if _, err := store.ListAll(ctx, PrefixPage, func(items []wire.Item) error {
		pages = append(pages, items...)
		return nil
	}); err != nil {
		return nil, err
	}
	last, err := lastSegment(ctx, store)
	if err != nil {
		return nil, err
	}
	return func() {
		if err := l.load(pages, last); err != nil {
			// Without them nothing can be added; the charges stay where they are.
			l.log.Error("the ledger's records are unreadable; charges are kept but not rolled up", "err", err)
		}
	}, nil
}

// lastSegment finds the newest segment. Their numbers have no gaps, so the first that does not
// exist is found by doubling and halving, in few reads whatever their number.
func lastSegment(ctx context.Context, store *statestore.Client) (*wire.Item, error) {
	var found *wire.Item
	there := func(n int) (bool, error) {
		item, ok, err := store.Get(ctx, keySegment(n))
		if ok && err == nil {
			found = &item
		}
		return ok, err
	}
	ok, err := there(0)
	if err != nil || !ok {
		return nil, err
	}
	low, high := 0, 1 // the one at low exists
	for {
		if ok, err = there(high); err != nil {
			return nil, err
		}
		if !ok {
			break
		}
		low, high = high, 2*high
	}
	for low+1 < high {
		mid := (low + high) / 2
		if ok, err = there(mid); err != nil {
			return nil, err
		}
		if ok {
			low = mid
		} else {
			high = mid
		}
	}
	if found.Key != keySegment(low) {
		if _, err = there(low); err != nil {
			return nil, err
		}
	}
	return found, nil
}

// load takes in the records that were read.
func (l *Ledger) load(pages []wire.Item, last *wire.Item) error {
	closed, open := map[int]*page{}, newPage(0)
	for _, item := range pages {
		n, err := recordNumber(PrefixPage, item.Key)
		if err != nil {
			return err
		}
		rows, err := ReadPage(l.codec, item)
		if err != nil {
			return err
		}
		p := newPage(n)
		p.version = item.Version
		for _, r := range rows {
			p.add(r.Key, r.Sum)
		}
		closed[n] = p
		if n >= open.n {
			open = p
		}
	}
	if last != nil {
		n, err := recordNumber(PrefixSegment, last.Key)
		if err != nil {
			return err
		}
		packs, err := ReadSegment(l.codec, *last)
		if err != nil {
			return err
		}
		l.openSegment = segment{n: n, version: last.Version, packs: packs, bytes: len(last.Value)}
	}
	delete(closed, open.n)
	l.openPage, l.closedPages, l.loaded = open, closed, true
	for _, p := range append(slices.Collect(maps.Values(closed)), open) {
		for name, sum := range p.rows {
			l.budgets.AddCharge(budget.Scope{Team: name.Team, Account: name.Account}, name.Day, budget.Usage{Core: sum.Core, Money: sum.Money})
		}
	}
	l.budgets.Recompute(l.cfg.Clock.Now())
	return nil
}

// Loaded takes in the book, with the charges and the live tasks of former leaders.
func (l *Ledger) Loaded(book *jobs.Store, now time.Time) {
	l.store = book
	book.Metered = true
	l.dayEnd = time.UnixMilli(charge.NextDay(now.UnixMilli(), l.location))
	book.VisitCharges(l.countPack)
	for _, left := range l.collectDetached(now) {
		l.countPack(left.Pack)
	}
	for _, j := range book.Jobs {
		for i := range j.Tasks {
			if p := j.Tasks[i].Allocation; p != nil {
				l.live[p] = true
				l.budgets.StartTask(p, l.budgetTask(p))
			}
		}
	}
	l.configure(now)
}

// configure takes in the operators' budgets if they have changed.
func (l *Ledger) configure(now time.Time) {
	if s := l.cfg.Budgets(); s != l.budgetSettings {
		l.budgetSettings = s
		l.budgets.Configure(s, now)
		if s != nil && len(s.Budgets) > 0 {
			l.log.Info("budgets in force", "budgets", len(s.Budgets))
		}
	}
}

// collectDetached takes the records of charges that lie apart by now.
func (l *Ledger) collectDetached(now time.Time) []jobs.DetachedCharges {
	lefts := l.store.TakeDetached()
	if len(l.detached) == 0 {
		l.detachedSince = now
	}
	l.detached = append(l.detached, lefts...)
	return lefts
}

// countPack has the budgets count the charges of a pack.
func (l *Ledger) countPack(p *charge.Pack) {
	for i := range p.Charges {
		l.countCharge(&p.Traits, &p.Charges[i])
	}
}

func (l *Ledger) countCharge(b *charge.JobTraits, c *charge.Charge) {
	a := b.AmountsOf(c)
	l.budgets.AddCharge(budget.Scope{Team: b.Team, Account: b.Account}, charge.DayOf(c.Start, l.location), budget.Usage{Core: a.Core, Money: a.Money})
}

func (l *Ledger) briefOf(p *jobs.Allocation) charge.JobTraits { return jobs.TraitsOf(&p.Job.Job) }

// budgetTask is a place as budgets see it.
func (l *Ledger) budgetTask(p *jobs.Allocation) *budget.Task {
	t := budget.TaskOf(&p.Job.Job)
	t.Rate, t.RunningSince = p.Kind.Rate, p.ChargedFrom
	return t
}

// Admit says how many of a job's waiting tasks its team's budgets allow to start now.
func (l *Ledger) Admit(j *jobs.Job, _ time.Time) (int, string) {
	n := j.Waiting()
	if !l.budgets.HasBudgets() {
		return n, ""
	}
	return l.admit(l.waitingTask(j), n)
}

func (l *Ledger) admit(t *budget.Task, n int) (int, string) {
	if !l.loaded && !t.Production {
		return 0, "what its team has used is being read"
	}
	return l.budgets.Admit(t, n)
}

// waitingTask is a waiting task of a job as budgets see it.
func (l *Ledger) waitingTask(j *jobs.Job) *budget.Task {
	t := budget.TaskOf(&j.Job)
	types := l.cfg.MachineTypes()
	for i := range types {
		t.MaxRate = max(t.MaxRate, Rate(&j.Job, &types[i], false))
	}
	return t
}

// LimitTogether lowers the counts of waiting tasks to what the budgets allow together. Otherwise
// machines were rented for every job of a team whose budget allows one of them. The rest
// of a budget goes to the jobs in the order in which they are placed.
func (l *Ledger) LimitTogether(waiting []*jobs.Job, counts []int, _ time.Time) {
	if !l.budgets.HasBudgets() {
		return
	}
	order := make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := waiting[a], waiting[b]
		return cmp.Or(cmp.Compare(y.Priority.Level(), x.Priority.Level()), x.WaitingSince.Compare(y.WaitingSince), cmp.Compare(x.ID, y.ID))
	})
	release := l.budgets.SaveReservations()
	defer release()
	for _, i := range order {
		t := l.waitingTask(waiting[i])
		n, _ := l.admit(t, waiting[i].Waiting())
		counts[i] = min(counts[i], n)
		l.budgets.Reserve(t, counts[i])
	}
}

// Placed notes on what kind of machine an attempt will run, and reserves what it is
// expected to take.
func (l *Ledger) Placed(p *jobs.Allocation, spot bool, typ *wire.MachineType, _ time.Time) {
	p.Kind = charge.Kind{Zone: p.Zone, Spot: spot, Rate: Rate(&p.Job.Job, typ, spot)}
	if typ != nil {
		p.Kind.Type = typ.Name
	}
	l.live[p] = true
	l.budgets.StartTask(p, l.budgetTask(p))
}

// Ended charges an attempt that came to its end.
func (l *Ledger) Ended(o machines.Outcome, now time.Time) {
	p := o.Allocation
	delete(l.live, p)
	c, ok := chargeFor(&o, now, l.currentRate(p))
	l.budgets.EndTask(p, c.Outcome == charge.Done && c.Flags&charge.UpperBound == 0, time.Duration(c.Run)*time.Millisecond)
	if ok {
		l.recordCharges(p, charge.SplitByDay(c, l.location), now)
	}
}

// Finished does nothing in the ledger: charges are of attempts.
func (l *Ledger) Finished(jobs.FinishedJob, time.Time) {}

// recordCharges has charges written, and counts them.
func (l *Ledger) recordCharges(p *jobs.Allocation, parts []charge.Charge, now time.Time) {
	brief := l.briefOf(p)
	for i := range parts {
		l.countCharge(&brief, &parts[i])
		if l.cfg.OnCharge != nil {
			l.cfg.OnCharge(brief.Team, parts[i].Outcome.String(), brief.AmountsOf(&parts[i]))
		}
	}
	l.stats.Charges += len(parts)
	l.store.AddCharges(p, parts, now)
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		for i := range parts {
			c, a := &parts[i], brief.AmountsOf(&parts[i])
			l.log.Debug("charged", "task", p.Task().String(), "attempt", c.Attempt, "part", c.Part, "team", brief.Team, "class", brief.Class,
				"type", p.Kind.Type, "spot", p.Kind.Spot, "how", c.Outcome.String(), "bound", c.Flags&charge.UpperBound != 0, "saved", c.Flags&charge.ProgressSaved != 0,
				"run_ms", c.Run, "core_us", a.Core, "money_u", a.Money)
		}
	}
}

// currentRate is what an attempt's task would take of its machine's price by now.
func (l *Ledger) currentRate(p *jobs.Allocation) int64 {
	return Rate(&p.Job.Job, wire.TypeNamed(l.cfg.MachineTypes(), p.Kind.Type), p.Kind.Spot)
}

// Tick closes days, looks at the budgets and takes what lies apart.
func (l *Ledger) Tick(now time.Time) []*jobs.Allocation {
	l.collectDetached(now)
	l.configure(now)
	l.logTotals(now)
	if !now.Before(l.dayEnd) {
		l.chargeDayEnd(now)
	}
	if !l.budgets.HasBudgets() {
		return nil
	}
	for p := range l.live {
		if !p.ChargedFrom.IsZero() {
			l.budgets.MarkRunning(p, p.ChargedFrom)
		}
	}
	l.budgets.Recompute(now)
	for _, line := range l.budgets.Warnings() {
		l.log.Warn("a budget is nearly spent", "budget", line.Scope.String(), "period", line.Period, "unit", line.Unit)
	}
	if !l.loaded {
		return nil
	}
	var stop []*jobs.Allocation
	for _, ref := range l.budgets.TasksToDrain() {
		p := ref.(*jobs.Allocation)
		if p.Stop == nil {
			p.Stop = &jobs.StopRequest{Reason: charge.OverBudget}
			if p.Job.CheckpointS > 0 {
				p.Stop.GraceS = p.Job.SaveS + tuning.GraceExtra.Seconds()
			}
			l.log.Info("stopped for its budget", "task", p.Task().String(), "team", p.Job.Team)
			stop = append(stop, p)
		}
	}
	return stop
}

// logTotals logs the totals now and then, for those who look closely.
func (l *Ledger) logTotals(now time.Time) {
	if !l.loaded || now.Before(l.nextTotalsLog) || !l.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	l.nextTotalsLog = now.Add(tuning.TotalsLogEvery)
	t := l.totals(Query{By: []string{"team"}}, now)
	running := 0
	for p := range l.live {
		if !p.ChargedFrom.IsZero() {
			running++
		}
	}
	l.log.Debug("ledger totals", "attempts", t.Sum.Attempts, "core_us", t.Sum.CoreMicroS, "money_u", t.Sum.MoneyMicro, "done", t.Sum.Ends["done"],
		"lost", t.Sum.Ends["lost"], "running", running, "running_core_us", t.Running.CoreMicroS, "running_money_u", t.Running.MoneyMicro,
		"lefts", len(l.detached), "roll_ups", l.stats.RollUps, "changes", l.stats.Changes)
}

// chargeDayEnd charges what running tasks took up to the end of the day: a bill for a day
// is whole soon after it, however long a task runs on.
func (l *Ledger) chargeDayEnd(now time.Time) {
	turn := l.dayEnd
	l.dayEnd = time.UnixMilli(charge.NextDay(now.UnixMilli(), l.location))
	for p := range l.live {
		if p.ChargedFrom.IsZero() || !p.ChargedFrom.Before(turn) {
			continue
		}
		c := charge.Charge{Task: p.Index, Attempt: p.Attempt, Part: p.ChargedParts, Outcome: charge.Continues, Flags: unseenStart(p)}
		setTimeAndCost(&c, p, p.ChargedFrom, turn, l.currentRate(p))
		parts := charge.SplitByDay(c, l.location)
		p.ChargedFrom, p.ChargedParts = turn, p.ChargedParts+len(parts)
		l.recordCharges(p, parts, now)
	}
}

// NextWrite returns the ledger's own next transaction.
func (l *Ledger) NextWrite(now time.Time, room int) *leader.SubsystemWrite {
	if !l.loaded {
		return nil
	}
	if w := l.rollUp(now, room); w != nil {
		return w
	}
	if now.Before(l.nextCompactCheck) {
		return nil
	}
	if w := l.foldIntoMonths(now, room); w != nil {
		return w
	}
	w := l.compact(room)
	if w == nil {
		l.nextCompactCheck = now.Add(tuning.CompactCheckEvery)
	}
	return w
}
