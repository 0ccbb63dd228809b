package leader

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// Loop is the leader's loop of one tenure. One goroutine owns all its state; I/O
// is done by others, which hand their results back as messages.
type Loop struct {
	env        *Env
	leadership election.Leadership
	log        *slog.Logger
	inbox      chan func()
	ended      context.Context
	end        context.CancelCauseFunc

	store        *statestore.Client // with the leader's share of the limits
	jobs         *jobs.Store
	machines     *machines.Registry
	fleet        fleetState
	reservations placement.BackfillReservations
	leaving      map[string]bool // machines that the cloud will soon take
	images       imageHints
	startedAt    time.Time
	arrived      int           // jobs that came in this tenure
	watched      uint64        // the revision up to which new jobs are in
	loaded       bool          // all stored records are in: before, nothing is placed or concluded
	writing      bool          // a transaction is on its way
	doubt        atomic.Bool   // that transaction may be carried out already
	overdue      *rate.Limiter // changes that nobody waits for, once they have waited long
	asking       bool          // the machines that followers answer are being read
	nextAsk      time.Time
	probing      probing
	levels       serviceLevels

	subsystems       []Subsystem
	turn             int                // counts whose turn it is to write
	broken           map[Subsystem]bool // those whose records could not be stored
	subsystemWriting bool               // a slice's transaction is on its way
	nextSubsystems   time.Time
	chain            transactionChain

	changed  bool          // a pass could find something new
	rested   time.Time     // no pass before, whatever changed
	passWait time.Duration // the pause until the next pass that nothing woke
	nextPass time.Time
}

var (
	// errChanged tells that a record is not as we know it.
	errChanged        = errors.New("records were changed by another")
	errLeadershipOver = errors.New("the tenure is over")
	// ErrUnreachable tells that this member's answers and commands reach no worker, though another member does.
	ErrUnreachable = errors.New("no worker hears this member, others they do")
	// errDeposed tells that the leader key is another's, as after standing still.
	errDeposed = errors.New("the leader key is another's")
)

// New makes the loop of a tenure.
func New(env *Env, t election.Leadership) *Loop {
	now := env.Clock.Now()
	state := env.Settings.Cluster.State
	l := &Loop{
		env: env, leadership: t, log: env.Log.With("term", t.Term), inbox: make(chan func(), tuning.Inbox),
		jobs: jobs.NewStore(state.TxnOps), machines: machines.New(t.Term, env.Settings.Cluster.Workers.LeaseS),
		store: env.Store.WithShare(tuning.LeaderShare), overdue: rate.NewLimiter(rate.Limit(tuning.LazyShare*state.WriteRPS), tuning.LazyMin),
		startedAt: now, passWait: tuning.CycleBackoffMin, fleet: newFleetState(), probing: newProbing(), levels: newServiceLevels(), broken: map[Subsystem]bool{}, leaving: map[string]bool{}, images: imageHints{next: now.Add(tuning.ImagesEvery)},
	}
	for _, join := range env.Subsystems {
		s, err := join(l.log)
		if err != nil {
			l.log.Error("a subsystem cannot join", "err", err)
			continue
		}
		l.subsystems = append(l.subsystems, s)
	}
	return l
}

// Leadership is the leadership that the loop serves.
func (l *Loop) Leadership() election.Leadership { return l.leadership }

// Start makes the loop ready to be asked, until ctx ends; Run does the work.
func (l *Loop) Start(ctx context.Context) { l.ended, l.end = context.WithCancelCause(ctx) }

// Run runs the loop until the tenure is lost. It ends by itself when records
// cannot be trusted any more; the next leader then begins from what is stored. The error says why; nil: the tenure is over.
func (l *Loop) Run() error {
	defer l.end(errLeadershipOver)
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

// handleQueued takes what else has come in, so that changes that come together share
// one pass.
func (l *Loop) handleQueued() {
	for range len(l.inbox) {
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}

// post hands a message to the loop; it is lost when the tenure is over.
func (l *Loop) post(fn func()) {
	select {
	case l.inbox <- fn:
	case <-l.ended.Done():
	}
}

// ask has the loop answer a question.
func ask[T any](ctx context.Context, l *Loop, fn func(answer func(T))) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case l.inbox <- func() {
		fn(func(v T) {
			select {
			case ch <- v:
			default: // it had its answer
			}
		})
	}:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, errLeadershipOver
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, errLeadershipOver
	}
}

// step brings what is in line with what is wanted.
func (l *Loop) step(now time.Time) {
	if !l.loaded || l.ended.Err() != nil {
		return
	}
	l.expireLeases(now)
	l.stepProbing(now)
	l.stepInterruptions(now)
	if l.env.Valid(l.leadership.Term) {
		if l.changed && !now.Before(l.rested) || !now.Before(l.nextPass) {
			l.schedule(now)
			l.env.observe(func(o Observer) { o.CycleDone(l.env.Clock.Since(now)) })
			l.rested = l.rest(now, tuning.CycleRestMin)
		}
		if !now.Before(l.fleet.next) && !now.Before(l.fleet.rested) {
			begun := l.env.Clock.Now()
			l.stepFleet(begun)
			l.fleet.rested = l.rest(begun, tuning.ScaleOutRestMin)
		}
	}
	l.stepSubsystems(now)
	l.writeBatch(now)
	l.stepImages(now)
}

// rest is when work that began at a time and ends now may be done again: a pass
// over a large cluster takes milliseconds of a share of a processor, and
// hundreds of reports a second would each have one. Changes that come
// meanwhile share the next. Work that took any time rests for least at the least.
func (l *Loop) rest(begun time.Time, least time.Duration) time.Time {
	now := l.env.Clock.Now()
	took := now.Sub(begun)
	if took <= 0 {
		return now
	}
	return now.Add(max(least, tuning.CycleRestFactor*took))
}

// Status answers a user from memory; ok is false when the job is not known
// here, its end is on its way to the state service, or the right to act ended meanwhile.
func (l *Loop) Status(ctx context.Context, id string) (wire.JobStatus, bool) {
	type result struct {
		s  wire.JobStatus
		ok bool
	}
	r, err := ask(ctx, l, func(answer func(result)) {
		// While the job's end may be stored without our knowing, what is stored has to be read: another member may have read it and
		// told its user, and what we remember would be older.
		if j := l.jobs.Jobs[id]; j != nil && l.loaded && !(j.EndSent() && l.doubt.Load()) {
			answer(result{j.Status(), true})
			return
		}
		answer(result{})
	})
	return r.s, err == nil && r.ok && l.env.Valid(l.leadership.Term)
}

// errTaskUnreachable tells that a task of a cancelled job is where nobody reaches it now.
var errTaskUnreachable = errors.New("a task runs out of reach")

// Cancel cancels a job and gives its final state once that is stored; known
// is false when the job is not known here. Nothing more of it is started, its tasks are
// stopped, and the cancellation is stored once all are proven gone: a task in a zone that is
// cut off may live on for longer than a user who was told may wait for its end. While one
// is out of reach the answer is errTaskUnreachable; its end is then asked for again.
func (l *Loop) Cancel(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	type result struct {
		state wire.JobState
		known bool
		err   error
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CancelWait)
	defer stop()
	r, err := ask(ctx, l, func(answer func(result)) {
		j := l.jobs.Jobs[id]
		if j == nil || !l.loaded {
			answer(result{})
			return
		}
		l.jobs.Cancel(j, func(s wire.JobState) { answer(result{state: s, known: true}) })
		places := j.StopAll(charge.Cancelled)
		l.sendCommands(places)
		if now := l.env.Clock.Now(); slices.ContainsFunc(places, func(p *jobs.Allocation) bool { return l.unreachable(l.machines.Machines[p.Machine], now) }) {
			answer(result{known: true, err: errTaskUnreachable})
		}
	})
	if err == nil {
		err = r.err
	}
	return r.state, r.known, err
}
