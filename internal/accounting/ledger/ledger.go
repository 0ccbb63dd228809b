// Package ledger records what each attempt of each task used, as a charge to exactly one team. If an attempt runs on
// several days, its charge has one part for each day.
//
// The ledger is a subsystem of the leader's loop. The job store writes new charges in the transaction that stores the
// attempt's end (jobs.Store.AddCharges). Later the ledger rolls them up: it moves them to compressed segments and adds
// them to totals. Only the leader writes these records; any member may read them (Reader).
//
// The ledger also enforces the budgets of teams (package budget): tasks that a budget does not allow are not started, and
// running tasks of a spent budget are stopped if its policy says so.
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

// Config configures a ledger.
type Config struct {
	Clock         clockwork.Clock
	MaxTxnChanges int     // maximum number of changes in one transaction
	MaxValueKiB   float64 // maximum size of a value in the state service, in KiB
	// MachineTypes returns the cloud's machine types; nil while they are unknown.
	MachineTypes func() []wire.MachineType
	// Budgets returns the operators' current budget settings.
	Budgets func() *budget.Settings
	// OnCharge, if not nil, is called with the amounts of each charge, for metrics.
	OnCharge func(team, outcome string, sum charge.Amounts)
}

// Ledger records charges, rolls them up and enforces budgets during one leader's term. It implements leader.Subsystem:
// the loop's goroutine makes all calls except Read.
type Ledger struct {
	cfg           Config
	log           *slog.Logger
	maxTxnChanges int
	maxValueBytes int
	codec         *charge.Codec
	location      *time.Location // time zone in which days begin
	store         *jobs.Store

	loaded           bool                   // the last segment and the totals are in memory, so roll-ups may start
	openSegment      segment                // the segment that roll-ups write to
	openPage         *page                  // the page that roll-ups write to
	closedPages      map[int]*page          // the pages to which roll-ups no longer write, by number
	detached         []jobs.DetachedCharges // charges in records of their own that are not rolled up yet, in the order in which they were added
	detachedSince    time.Time              // start of the wait for the next roll-up; see rollUpDue
	nextCompactCheck time.Time              // time of the next check whether totals can be folded or compacted
	nextTotalsLog    time.Time

	liveAllocations map[*jobs.Allocation]bool // allocations whose attempts have not ended
	dayEnd          time.Time                 // end of the current day
	budgets         *budget.Tracker
	budgetSettings  *budget.Settings // settings that the tracker applies
	stats           Stats
}

// Stats counts what the ledger did in the current term.
type Stats struct {
	Charges     int `json:"charges"`
	RollUps     int `json:"roll_ups"`
	Compactions int `json:"compactions"`
	Changes     int `json:"changes"` // changes of the ledger's own records in the state service
}

// New returns the ledger of a leader's term. The time zone of the settings is read only here, so it does not change during
// the term.
func New(cfg Config, log *slog.Logger) (*Ledger, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Ledger{
		cfg: cfg, log: log, maxTxnChanges: cfg.MaxTxnChanges, maxValueBytes: int(cfg.MaxValueKiB * 1024), codec: codec,
		location: cfg.Budgets().Location(), openPage: newPage(0), closedPages: map[int]*page{},
		liveAllocations: map[*jobs.Allocation]bool{}, budgets: budget.NewTracker(),
	}, nil
}

// Loaded prepares the ledger once all jobs are in memory. It adds the charges that are not rolled up yet to the
// budgets' usage, and reserves the expected usage of the live tasks that earlier leaders placed.
func (l *Ledger) Loaded(store *jobs.Store, now time.Time) {
	l.store = store
	store.Metered = true
	l.dayEnd = l.endOfDay(now)
	store.VisitCharges(l.addPackUsage)
	for _, d := range l.collectDetached(now) {
		l.addPackUsage(d.Pack)
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

// endOfDay returns the end of the day that contains t, in the ledger's time zone.
func (l *Ledger) endOfDay(t time.Time) time.Time {
	return time.UnixMilli(charge.NextDay(t.UnixMilli(), l.location))
}

// collectDetached fetches the records of detached charges that the job store has added since the last call, and returns
// them.
func (l *Ledger) collectDetached(now time.Time) []jobs.DetachedCharges {
	added := l.store.TakeDetached()
	if len(l.detached) == 0 {
		l.detachedSince = now
	}
	l.detached = append(l.detached, added...)
	return added
}
