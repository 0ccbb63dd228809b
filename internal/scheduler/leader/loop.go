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
	// startedAt is the time from which the silence of machines and the leases of restored allocations are counted: the
	// start of the term or, if later, when the last heartbeat was answered while the records were being loaded.
	startedAt time.Time

	inbox   chan func()             // messages to run on the loop's goroutine
	termCtx context.Context         // is done when the term ends
	endTerm context.CancelCauseFunc // ends the term; the cause says why

	store    *statestore.Client // limited to the leader's share of the state service's rate limits
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
	// ErrUnreachable means that no worker answers this member, although workers answer another member.
	ErrUnreachable = errors.New("no worker answers this member, but workers answer another member")
	// errChanged means that a stored record is not what this leader expects it to be.
	errChanged = errors.New("records were changed by another writer")
	// ErrLeadershipOver means that the loop's term is over, or that this member may no longer act in it.
	ErrLeadershipOver = errors.New("the term is over")
	// errDeposed means that another member holds the leader key, for example after this process was suspended.
	errDeposed = errors.New("another member holds the leader key")
)

// New returns the loop of a term. Start and Run start it.
func New(env *Env, leadership election.Leadership) *Loop {
	now := env.Clock.Now()
	l := &Loop{
		env:           env,
		leadership:    leadership,
		log:           env.Log.With("term", leadership.Term),
		startedAt:     now,
		inbox:         make(chan func(), tuning.InboxCapacity),
		store:         env.Store.WithShare(tuning.LeaderRateShare),
		jobs:          jobs.NewStore(env.Settings.Cluster.State.MaxTxnOps),
		machines:      machines.New(leadership.Term, env.Settings.Cluster.Workers.LeaseS),
		writer:        recordWriter{overdueLimit: newOverdueLimiter(env.Settings.Cluster.State.WriteRPS)},
		cycle:         newSchedulingCycle(),
		probing:       newProbing(),
		interruptions: interruptionNotices{pending: map[string]bool{}},
		fleet:         newFleetPlanning(),
		rentals:       newRentals(),
		moves:         replicaMoves{budgetS: tuning.MoveDowntimeBudgetMax.Seconds()},
		levels:        newServiceLevels(),
		images:        imageHints{nextWrite: now.Add(tuning.ImagesStoreEvery)},
	}
	l.subsystems = newSubsystemSet(env.Subsystems, l.log)
	return l
}

// Leadership returns the leadership that the loop serves.
func (l *Loop) Leadership() election.Leadership { return l.leadership }

// Start lets the loop accept messages until ctx ends. Run handles them.
func (l *Loop) Start(ctx context.Context) { l.termCtx, l.endTerm = context.WithCancelCause(ctx) }

// Run runs the loop until the leadership is lost. Run ends by itself if the records in memory can no longer be
// trusted; the next leader then starts from the stored records. The error is the reason why this member gave up the
// leadership; it is nil if the term ended otherwise.
func (l *Loop) Run() error {
	defer l.endTerm(ErrLeadershipOver)
	go l.load(l.termCtx)
	l.run(l.termCtx)
	switch cause := context.Cause(l.termCtx); {
	case errors.Is(cause, errDeposed):
		l.log.Info("leadership lost to another member; ending the term", "err", cause)
	case errors.Is(cause, ErrUnreachable):
		l.log.Info("workers answer another member but not this one; stepping down")
		return cause
	case cause != nil && !errors.Is(cause, context.Canceled):
		l.log.Error("leader loop failed; giving up the leadership", "err", cause)
		return cause
	}
	return nil
}

// run handles messages until ctx ends, with a step after each batch of messages and after each tick.
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

// step runs each part that is due, to bring the actual state in line with the desired one. While this member may not act
// as the leader, step decides nothing about tasks or the fleet, but it still writes earlier decisions. That is safe: every
// transaction is guarded on the leader key, so the state service refuses it once another member leads.
func (l *Loop) step(now time.Time) {
	if !l.loading.done || l.termCtx.Err() != nil {
		return
	}
	l.expireLeases(now)
	l.stepProbing(now)
	l.stepInterruptions(now)
	if l.env.MayAct(l.leadership.Term) {
		l.stepScheduling(now)
		l.stepFleet(now)
	}
	l.stepSubsystems(now)
	l.writeBatch(now)
	l.stepImages(now)
}

// earliestNextRun returns the earliest time at which a piece of work may run again. The work began at started and ends
// now. The pause is tuning.CyclePauseFactor times as long as the work took, and at least minPause. There is no pause if
// the work took no measurable time. In a large cluster a scheduling cycle takes milliseconds on a share of a processor,
// and without the pause it would run for each heartbeat, hundreds of times per second. Changes that arrive during the
// pause share the next cycle.
func (l *Loop) earliestNextRun(started time.Time, minPause time.Duration) time.Time {
	now := l.env.Clock.Now()
	took := now.Sub(started)
	if took <= 0 {
		return now
	}
	return now.Add(max(minPause, tuning.CyclePauseFactor*took))
}
