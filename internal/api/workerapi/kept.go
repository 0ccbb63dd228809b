package workerapi

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// FetchHeartbeat asks a worker for its report; ok is false when it gives none.
type FetchHeartbeat func(ctx context.Context, addr string) (rep wire.Heartbeat, ok bool)

// renewals is what this member knows of the workers that it answers in the leader's stead. Two things are to be found out:
//
//   - Whether a report is the worker's own, now, or a copy that the network kept: a copy must not have a dead machine
//     count as kept. A report that is no newer than one before is a copy, unless the worker says otherwise; and each
//     worker that is kept is asked, beside its answers, whether it is there. Its first answer does not wait for
//     that: in a cut hundreds come together, and their leases are short.
//   - Whether a leader reaches the worker, though it does not reach us. A controller that has lost the state service and
//     all others cannot tell that from a zone that is cut off. A worker that was kept with one token and comes with a
//     higher one was given it by a leader meanwhile: it is sent on. If it comes back it found nobody, and is kept.
type renewals struct {
	lease      time.Duration
	fetch      FetchHeartbeat // nil: nobody is asked
	maxQueries int            // how many questions the member's sockets allow at a time
	limit      *rate.Limiter

	mu       sync.Mutex
	inFlight int // questions that have no answer yet
	workers  map[string]*renewedWorker
	sweepAt  int // how many there must be before the old ones are looked for
}

// renewedWorker is one of them.
type renewedWorker struct {
	incarnation, seq uint64    // of its newest report here
	token            uint64    // with which it was answered last
	renewedAt        time.Time // when that was
	reportedAt       time.Time // when a report of it came last
	confirmedAt      time.Time // when it last said that it is there; zero: not yet
	queried          bool
	unconfirmed      bool // it was asked since and did not say so
}

// newRenewals makes the memory of a member that may have maxQueries questions on their way at a time.
func newRenewals(lease time.Duration, mostAsks int, show FetchHeartbeat) *renewals {
	return &renewals{
		lease: lease, fetch: show, maxQueries: max(tuning.RenewedQueriesLeast, mostAsks), workers: map[string]*renewedWorker{},
		limit: rate.NewLimiter(tuning.RenewedQueryRateLeast, tuning.RenewedQueriesLeast),
	}
}

// queryRate gives how many questions a second, and how many at a time, are needed to ask every worker that is kept within
// RenewedQueryShare of a lease. The lock is held.
func (k *renewals) queryRate() (perSecond float64, atOnce int) {
	within := max(1, tuning.RenewedQueryShare*k.lease.Seconds())
	perSecond = max(tuning.RenewedQueryRateLeast, float64(len(k.workers))/within)
	atOnce = int(math.Ceil(perSecond * tuning.RenewedQueryAnswer.Seconds()))
	return perSecond, min(max(tuning.RenewedQueriesLeast, atOnce), k.maxQueries)
}

// takeQuery tells whether one more question may be sent now. The lock is held.
func (k *renewals) takeQuery(now time.Time) bool {
	perSecond, atOnce := k.queryRate()
	k.limit.SetLimitAt(now, rate.Limit(perSecond))
	k.limit.SetBurstAt(now, atOnce)
	return k.inFlight < atOnce && k.limit.AllowN(now, 1)
}

// allow tells whether a worker may be answered in the leader's stead now, as far as this member knows of it.
func (k *renewals) allow(ctx context.Context, rep *wire.Heartbeat, now time.Time) bool {
	k.mu.Lock()
	w := k.workers[rep.Machine]
	if w != nil && now.Sub(w.renewedAt) > k.lease && !w.unconfirmed {
		w = nil // its lease, if we gave it one, is over
	}
	if w == nil {
		w = &renewedWorker{incarnation: rep.Incarnation, seq: rep.Seq, token: rep.FencingToken, renewedAt: now, reportedAt: now}
		sweep(k.workers, &k.sweepAt, func(w *renewedWorker) bool { return now.Sub(w.reportedAt) > 2*k.lease && !w.queried })
		k.workers[rep.Machine] = w
		k.mu.Unlock()
		k.query(ctx, rep, w, now)
		return true
	}
	older := !rep.Newer(w.incarnation, w.seq)
	reached := rep.FencingToken > w.token
	refused := older || reached || w.unconfirmed
	if !older {
		w.incarnation, w.seq, w.token = rep.Incarnation, rep.Seq, rep.FencingToken
	}
	w.reportedAt = now
	if !refused {
		w.renewedAt = now
	}
	doubt := older || w.unconfirmed || now.Sub(w.confirmedAt) > k.lease
	k.mu.Unlock()
	if doubt {
		k.query(ctx, rep, w, now)
	}
	return !refused
}

// query asks a worker beside its answer whether it is there, if it is not being asked and there is room for it.
func (k *renewals) query(ctx context.Context, rep *wire.Heartbeat, w *renewedWorker, now time.Time) {
	if k.fetch == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if w.queried || !k.takeQuery(now) {
		return
	}
	w.queried = true
	k.inFlight++
	machine, addr := rep.Machine, rep.Address
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
		defer cancel()
		said, ok := k.fetch(ctx, addr)
		k.queryDone(machine, w, said, ok && said.Machine == machine, now)
	}()
}

// queryDone takes in what a worker that was asked at a time said, if anything. What it says is newer than all reports that came
// before it was asked; if it looks older, it was started anew.
func (k *renewals) queryDone(machine string, w *renewedWorker, said wire.Heartbeat, ok bool, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w.queried = false
	k.inFlight--
	if w.unconfirmed = !ok; !ok || k.workers[machine] != w {
		return
	}
	w.confirmedAt = asked
	if said.Incarnation < w.incarnation || said.Incarnation == w.incarnation && said.Seq < w.seq {
		w.incarnation, w.seq, w.token = said.Incarnation, said.Seq, said.FencingToken
	}
}
