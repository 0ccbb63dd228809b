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

// FetchHeartbeat asks a worker, by its address, for its heartbeat; ok is false when it gives none.
type FetchHeartbeat func(ctx context.Context, addr string) (hb wire.Heartbeat, ok bool)

// renewals is what this member knows of the workers whose leases it renews on behalf of the leader. Two things are to be found
// out:
//
//   - Whether a heartbeat is the worker's own, now, or a copy that the network held back: a copy must not have a dead machine
//     count as alive. A heartbeat that is no newer than one before is a copy, unless the worker says otherwise; and each worker
//     whose lease is renewed is asked, beside its replies, whether it is there. Its first reply does not wait for that: in a
//     partition hundreds come together, and their leases are short.
//   - Whether a leader reaches the worker, though it does not reach this member. A controller that has lost the state service
//     and all others cannot tell that from a zone that is cut off. A worker whose lease was renewed with one fencing token and
//     that comes with a higher one was given it by a leader meanwhile: it is refused, so that it goes on to the next
//     controller. If it comes back it found nobody, and its lease is renewed.
type renewals struct {
	lease      time.Duration
	fetch      FetchHeartbeat // nil: nobody is asked
	maxQueries int            // how many queries the member's sockets allow at a time
	limit      *rate.Limiter

	mu       sync.Mutex
	inFlight int // queries that have no answer yet
	workers  map[string]*renewedWorker
	sweepAt  int // how many workers there must be before the old ones are dropped
}

// renewedWorker is a worker whose lease is renewed here.
type renewedWorker struct {
	incarnation, seq uint64    // of its newest heartbeat here
	token            uint64    // the fencing token of its last reply
	renewedAt        time.Time // when it got that
	reportedAt       time.Time // when its last heartbeat came
	confirmedAt      time.Time // when it was asked to which it last answered that it is there; zero: not yet
	queried          bool      // a query has no answer yet
	unconfirmed      bool      // it was asked since and gave no answer
}

// newRenewals makes the memory of a member that may have maxQueries queries in flight at a time.
func newRenewals(lease time.Duration, maxQueries int, fetch FetchHeartbeat) *renewals {
	return &renewals{
		lease: lease, fetch: fetch, maxQueries: max(tuning.RenewedQueriesLeast, maxQueries), workers: map[string]*renewedWorker{},
		limit: rate.NewLimiter(tuning.RenewedQueryRateLeast, tuning.RenewedQueriesLeast),
	}
}

// allow reports whether a worker's lease may be renewed on behalf of the leader now, as far as this member knows of the worker.
func (r *renewals) allow(ctx context.Context, hb *wire.Heartbeat, now time.Time) bool {
	r.mu.Lock()
	w := r.current(hb.Machine, now)
	allowed, doubtful := true, true
	if w == nil {
		w = r.add(hb, now)
	} else {
		allowed, doubtful = r.observe(w, hb, now)
	}
	r.mu.Unlock()
	if doubtful {
		r.query(ctx, hb, w, now)
	}
	return allowed
}

// current returns what is known of a worker; nil if that is nothing, or too old: the lease that it got here, if any, is over.
// The lock is held.
func (r *renewals) current(machine string, now time.Time) *renewedWorker {
	w := r.workers[machine]
	if w != nil && now.Sub(w.renewedAt) > r.lease && !w.unconfirmed {
		return nil
	}
	return w
}

// add begins to remember a worker. The lock is held.
func (r *renewals) add(hb *wire.Heartbeat, now time.Time) *renewedWorker {
	w := &renewedWorker{incarnation: hb.Incarnation, seq: hb.Seq, token: hb.FencingToken, renewedAt: now, reportedAt: now}
	sweep(r.workers, &r.sweepAt, func(w *renewedWorker) bool { return now.Sub(w.reportedAt) > 2*r.lease && !w.queried })
	r.workers[hb.Machine] = w
	return w
}

// observe notes a heartbeat of a worker that is known. It reports whether the worker's lease may be renewed, and whether the
// worker is to be asked if it is there. The lock is held.
func (r *renewals) observe(w *renewedWorker, hb *wire.Heartbeat, now time.Time) (allowed, doubtful bool) {
	isCopy := !hb.Newer(w.incarnation, w.seq)
	leaderReachesIt := hb.FencingToken > w.token
	allowed = !isCopy && !leaderReachesIt && !w.unconfirmed
	if !isCopy {
		w.incarnation, w.seq, w.token = hb.Incarnation, hb.Seq, hb.FencingToken
	}
	w.reportedAt = now
	if allowed {
		w.renewedAt = now
	}
	return allowed, isCopy || w.unconfirmed || now.Sub(w.confirmedAt) > r.lease
}

// query asks a worker, beside its reply, whether it is there, unless it is being asked or too many queries are in flight. The
// goroutine that waits for the answer ends within tuning.CommandTimeout.
func (r *renewals) query(ctx context.Context, hb *wire.Heartbeat, w *renewedWorker, now time.Time) {
	if r.fetch == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.queried || !r.takeQuery(now) {
		return
	}
	w.queried = true
	r.inFlight++
	machine, addr := hb.Machine, hb.Address
	ctx = context.WithoutCancel(ctx) // the reply does not wait for the query
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
		defer cancel()
		answer, ok := r.fetch(ctx, addr)
		r.queryDone(machine, w, answer, ok && answer.Machine == machine, now)
	}()
}

// queryDone takes the answer of a worker that was asked at a time; ok is false if it gave none. The answer is newer than all
// heartbeats that came before the query; if it looks older, the worker was started anew.
func (r *renewals) queryDone(machine string, w *renewedWorker, answer wire.Heartbeat, ok bool, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.queried = false
	r.inFlight--
	w.unconfirmed = !ok
	if !ok || r.workers[machine] != w {
		return
	}
	w.confirmedAt = asked
	if answer.Incarnation < w.incarnation || answer.Incarnation == w.incarnation && answer.Seq < w.seq {
		w.incarnation, w.seq, w.token = answer.Incarnation, answer.Seq, answer.FencingToken
	}
}

// queryRate returns how many queries a second, and how many at a time, are needed to ask every worker whose lease is renewed
// here within RenewedQueryShare of a lease. The lock is held.
func (r *renewals) queryRate() (perSecond float64, atOnce int) {
	within := max(1, tuning.RenewedQueryShare*r.lease.Seconds())
	perSecond = max(tuning.RenewedQueryRateLeast, float64(len(r.workers))/within)
	atOnce = int(math.Ceil(perSecond * tuning.RenewedQueryAnswer.Seconds()))
	return perSecond, min(max(tuning.RenewedQueriesLeast, atOnce), r.maxQueries)
}

// takeQuery reports whether one more query may be sent now, and counts it against the rate. The lock is held.
func (r *renewals) takeQuery(now time.Time) bool {
	perSecond, atOnce := r.queryRate()
	r.limit.SetLimitAt(now, rate.Limit(perSecond))
	r.limit.SetBurstAt(now, atOnce)
	return r.inFlight < atOnce && r.limit.AllowN(now, 1)
}
