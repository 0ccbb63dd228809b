// Package ledger keeps what every attempt of every task took: its charge, borne by
// exactly one team. A charge of an attempt that lies in several days has a part for each.
//
// It joins the leader's loop as a subsystem. New charges are stored by the job store, in
// the transaction that stores the attempt's end (jobs.Store.AddCharges). Later the ledger
// rolls them up: it moves them to compressed segments and adds them to totals. Only the
// leader writes these records; any member may read them (Reader).
//
// The ledger also holds back work that its team's budget does not allow (package budget).
package ledger

import (
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Config is what a ledger gets from its process.
type Config struct {
	Clock      clockwork.Clock
	MaxTxnOps  int     // changes in one transaction
	MaxValueKB float64 // the longest value of the state service, in KiB
	// MachineTypes returns the machine types; nil while none are known.
	MachineTypes func() []wire.MachineType
	// Budgets returns the operators' budgets as they are now.
	Budgets func() *budget.Settings
	// OnCharge, if not nil, is called with each charge, for metrics.
	OnCharge func(team, outcome string, sum charge.Amounts)
}

// Ledger is the ledger of one leader's term. It implements leader.Subsystem: the loop's
// goroutine makes all calls but Read.
type Ledger struct {
	cfg           Config
	log           *slog.Logger
	maxTxnOps     int
	maxValueBytes int
	codec         *charge.Codec
	location      *time.Location // in which days begin
	store         *jobs.Store

	loaded           bool // the last segment and the totals are in memory: roll-ups may begin
	openSegment      segment
	openPage         *page
	closedPages      map[int]*page          // by number
	detached         []jobs.DetachedCharges // that are not rolled up yet
	detachedSince    time.Time              // when the oldest of them came
	nextCompactCheck time.Time              // before it no compaction is looked for
	nextTotalsLog    time.Time

	live           map[*jobs.Allocation]bool
	dayEnd         time.Time // when the present day ends
	budgets        *budget.Tracker
	budgetSettings *budget.Settings // that are in force
	stats          Stats
}

// Stats counts what a ledger did in its term.
type Stats struct {
	Charges     int `json:"charges"`
	RollUps     int `json:"roll_ups"`
	Compactions int `json:"compactions"`
	Changes     int `json:"changes"` // of its own in the state service
}

// New returns the ledger of a leader's term. The settings' time zone is read once, here.
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

// Loaded starts with the jobs in memory: it counts the charges that are not rolled up yet
// and the live tasks of former leaders.
func (l *Ledger) Loaded(store *jobs.Store, now time.Time) {
	l.store = store
	store.Metered = true
	l.dayEnd = l.endOfDay(now)
	store.VisitCharges(l.countPack)
	for _, d := range l.collectDetached(now) {
		l.countPack(d.Pack)
	}
	for _, j := range store.Jobs {
		for i := range j.Tasks {
			if a := j.Tasks[i].Allocation; a != nil {
				l.addLive(a)
			}
		}
	}
	l.applyBudgetSettings(now)
}

// endOfDay is when the day of a time ends, in the ledger's time zone.
func (l *Ledger) endOfDay(t time.Time) time.Time {
	return time.UnixMilli(charge.NextDay(t.UnixMilli(), l.location))
}

// collectDetached takes the records of detached charges that came since it was last
// called, and returns them.
func (l *Ledger) collectDetached(now time.Time) []jobs.DetachedCharges {
	added := l.store.TakeDetached()
	if len(l.detached) == 0 {
		l.detachedSince = now
	}
	l.detached = append(l.detached, added...)
	return added
}
