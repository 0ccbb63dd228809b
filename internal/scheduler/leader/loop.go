package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Loop is the leader's control loop for one term.
type Loop struct {
	env        *Env
	leadership election.Leadership
	log        *slog.Logger
	startedAt  time.Time // as long as records are being read: when the last heartbeat was answered

	inbox chan func()             // messages for the loop's goroutine
	ended context.Context         // is over with the term
	end   context.CancelCauseFunc // ends the term; the cause says why

	store    *statestore.Client // with the leader's share of the state service's limits
	jobs     *jobs.Store
	machines *machines.Registry

	loading       loadState
	writer        recordWriter
	cycle         schedulingCycle
	leases        leaseQuery
	probing       probing
	interruptions interruptionNotices
	fleet         fleetPlanning
	arrivals      arrivalLog
	rentals       rentals
	deletions     deletions
	listing       cloudListing
	moves         replicaMoves
	subsystems    subsystemSet
	levels        serviceLevels
	images        imageHints
}

var (
	// ErrUnreachable tells that this member's answers and commands reach no worker, though another member's do.
	ErrUnreachable = errors.New("no worker hears this member, others they do")
	// errChanged tells that a record is not as we know it.
	errChanged = errors.New("records were changed by another")
	// ErrLeadershipOver tells that the loop's term, or its right to act, is over.
	ErrLeadershipOver = errors.New("the tenure is over")
	// errDeposed tells that the leader key is another's, as after the process stood still.
	errDeposed = errors.New("the leader key is another's")
)

// New makes the loop of a term.
func New(env *Env, leadership election.Leadership) *Loop {
	now := env.Clock.Now()
	l := &Loop{
		env:           env,
		leadership:    leadership,
		log:           env.Log.With("term", leadership.Term),
		startedAt:     now,
		inbox:         make(chan func(), tuning.Inbox),
		store:         env.Store.WithShare(tuning.LeaderShare),
		jobs:          jobs.NewStore(env.Settings.Cluster.State.TxnOps),
		machines:      machines.New(leadership.Term, env.Settings.Cluster.Workers.LeaseS),
		writer:        recordWriter{overdue: newOverdueLimiter(env.Settings.Cluster.State.WriteRPS)},
		cycle:         newSchedulingCycle(),
		probing:       newProbing(),
		interruptions: interruptionNotices{pending: map[string]bool{}},
		fleet:         newFleetPlanning(),
		rentals:       newRentals(),
		moves:         replicaMoves{budgetS: tuning.MoveDowntimeBudgetMax.Seconds()},
		levels:        newServiceLevels(),
		images:        imageHints{nextWrite: now.Add(tuning.ImagesEvery)},
	}
	l.subsystems = joinSubsystems(env.Subsystems, l.log)
	return l
}

// Leadership is the leadership that the loop serves.
func (l *Loop) Leadership() election.Leadership { return l.leadership }

// Start makes the loop ready to be asked, until ctx ends; Run does the work.
func (l *Loop) Start(ctx context.Context) { l.ended, l.end = context.WithCancelCause(ctx) }

// Run runs the loop until the leadership is lost. It ends by itself when records
// cannot be trusted any more; the next leader then begins from what is stored. The error says why; nil: the term is over.
func (l *Loop) Run() error {
	defer l.end(ErrLeadershipOver)
	go l.load(l.ended)
	l.run(l.ended)
	switch cause := context.Cause(l.ended); {
	case errors.Is(cause, errDeposed):
		l.log.Info("another leads", "err", cause)
	case errors.Is(cause, ErrUnreachable):
		l.log.Info("handing over: workers hear others, not this member")
		return cause
	case cause != nil && !errors.Is(cause, context.Canceled):
		l.log.Error("leadership given up", "err", cause)
		return cause
	}
	return nil
}

// run runs messages, and a step after each batch of them and each tick, until ctx ends.
func (l *Loop) run(ctx context.Context) {
	tick := l.env.Clock.NewTicker(tuning.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inbox:
			fn()
			l.handleQueued()
		case <-tick.Chan():
		}
		l.step(l.env.Clock.Now())
	}
}

// step brings the actual state in line with the desired one, as far as each part is due. Without the right to act nothing is
// decided, but what was decided is still written: a transaction's guard refuses it once another leads.
func (l *Loop) step(now time.Time) {
	if !l.loading.done || l.ended.Err() != nil {
		return
	}
	l.expireLeases(now)
	l.stepProbing(now)
	l.stepInterruptions(now)
	if l.env.Valid(l.leadership.Term) {
		l.stepScheduling(now)
		l.stepFleet(now)
	}
	l.stepSubsystems(now)
	l.writeBatch(now)
	l.stepImages(now)
}

// restAfter gives when work that began at a time and ends now may be done again: a scheduling cycle
// over a large cluster takes milliseconds of a share of a processor, and
// hundreds of heartbeats a second would each have one. Changes that come
// meanwhile share the next. Work that took any time rests for atLeast.
func (l *Loop) restAfter(begun time.Time, atLeast time.Duration) time.Time {
	now := l.env.Clock.Now()
	took := now.Sub(begun)
	if took <= 0 {
		return now
	}
	return now.Add(max(atLeast, tuning.CycleRestFactor*took))
}
