package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"poppypass/internal/jobs"
	"poppypass/internal/leadership"
	"poppypass/internal/roster"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// leader is the loop of one tenure. One goroutine owns all its state; I/O is
// done by others, which hand their results back as messages.
type leader struct {
	c      *Controller
	tenure leadership.Tenure
	log    *slog.Logger
	inbox  chan func()
	ended  context.Context
	end    context.CancelCauseFunc

	store   *statestore.Client // with the leader's share of the limits
	book    *jobs.Book
	roster  *roster.Roster
	fleet   fleetState
	begun   time.Time
	arrived int  // jobs that came in this tenure
	loaded  bool // all stored records are in: before, nothing is placed or concluded
	writing bool // a transaction is on its way
	asking  bool // the machines that followers answer are being read
	nextAsk time.Time

	changed  bool          // a pass could find something new
	rested   time.Time     // no pass before, whatever changed
	passWait time.Duration // the pause until the next pass that nothing woke
	nextPass time.Time
}

var (
	errTenureOver = errors.New("the tenure is over")
	// errDeposed tells that the leader key is another's, as after standing still.
	errDeposed = errors.New("the leader key is another's")
)

// lead runs the leader's loop until the tenure is lost.
func (c *Controller) lead(ctx context.Context, t leadership.Tenure) {
	l := newLeader(c, t)
	ctx, l.end = context.WithCancelCause(ctx)
	l.ended = ctx
	c.setCloudShare(true)
	c.leading.Store(l)
	defer func() {
		c.leading.Store(nil)
		c.setCloudShare(false)
		l.end(errTenureOver)
	}()
	go l.load(ctx)
	if types := c.machineTypes(); types != nil {
		go c.storeTypes(ctx, types)
	}
	l.run(ctx)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeposed):
		l.log.Info("another leads", "err", cause)
	case cause != nil && !errors.Is(cause, context.Canceled):
		l.log.Error("leadership given up", "err", cause)
	}
}

func newLeader(c *Controller, t leadership.Tenure) *leader {
	now := c.clock.Now()
	return &leader{
		c: c, tenure: t, log: c.log.With("term", t.Term), inbox: make(chan func(), tuning.Inbox),
		book: jobs.NewBook(c.settings.Cluster.State.TxnOps), roster: roster.New(t.Term, c.settings.Cluster.Workers.LeaseS),
		store: c.store.Share(tuning.LeaderShare),
		begun: now, passWait: tuning.PassWaitMin, fleet: newFleetState(),
	}
}

func (l *leader) run(ctx context.Context) {
	tick := l.c.clock.NewTicker(tuning.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inbox:
			fn()
			l.drain()
		case <-tick.Chan():
		}
		l.step(l.c.clock.Now())
	}
}

// drain takes what else has come in, so that changes that come together share
// one pass.
func (l *leader) drain() {
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
func (l *leader) post(fn func()) {
	select {
	case l.inbox <- fn:
	case <-l.ended.Done():
	}
}

// ask has the loop answer a question.
func ask[T any](ctx context.Context, l *leader, fn func(answer func(T))) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case l.inbox <- func() { fn(func(v T) { ch <- v }) }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, errTenureOver
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, errTenureOver
	}
}

// step brings what is in line with what is wanted.
func (l *leader) step(now time.Time) {
	if !l.loaded || l.ended.Err() != nil {
		return
	}
	l.expire(now)
	if l.c.elector.Valid(l.tenure.Term) {
		if l.changed && !now.Before(l.rested) || !now.Before(l.nextPass) {
			l.pass(now)
			l.rested = l.rest(now)
		}
		if !now.Before(l.fleet.next) {
			begun := l.c.clock.Now()
			l.stepFleet(begun)
			l.fleet.rested = l.rest(begun)
		}
	}
	l.flush(now)
}

// rest is when work that began at a time and ends now may be done again: a pass
// over a large cluster takes milliseconds of a share of a processor, and
// hundreds of reports a second would each have one. Changes that come
// meanwhile share the next.
func (l *leader) rest(begun time.Time) time.Time {
	now := l.c.clock.Now()
	return now.Add(tuning.RestFactor * now.Sub(begun))
}

// expire ends the sessions of machines that nobody has answered for a lease:
// not this leader, nor a follower in its stead, which the state service tells.
func (l *leader) expire(now time.Time) {
	if l.asking || now.Before(l.nextAsk) {
		return
	}
	l.nextAsk = now.Add(tuning.Tick)
	if len(l.roster.Due(now)) == 0 {
		return
	}
	l.asking = true
	go func() {
		kept, err := readKept(l.ended, l.store)
		l.post(func() {
			done := l.c.clock.Now()
			l.asking, l.nextAsk = false, done.Add(tuning.KeptEvery)
			if err != nil {
				l.log.Debug("kept machines unreadable", "err", err)
				return
			}
			l.settle(l.roster.Expire(now, kept), done)
		})
	}()
}

// status answers a user from memory; ok is false when the job is not known
// here or the right to act ended meanwhile.
func (l *leader) status(ctx context.Context, id string) (wire.JobStatus, bool) {
	type result struct {
		s  wire.JobStatus
		ok bool
	}
	r, err := ask(ctx, l, func(answer func(result)) {
		if j := l.book.Jobs[id]; j != nil && l.loaded {
			answer(result{j.Status(), true})
			return
		}
		answer(result{})
	})
	return r.s, err == nil && r.ok && l.c.elector.Valid(l.tenure.Term)
}

// cancel cancels a job and gives its final state once that is stored; known
// is false when the job is not known here.
func (l *leader) cancel(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	type result struct {
		state wire.JobState
		known bool
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CancelWait)
	defer stop()
	r, err := ask(ctx, l, func(answer func(result)) {
		j := l.book.Jobs[id]
		if j == nil || !l.loaded {
			answer(result{})
			return
		}
		l.book.Cancel(j, func(s wire.JobState) { answer(result{s, true}) })
	})
	return r.state, r.known, err
}
