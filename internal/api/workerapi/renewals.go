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

// FetchHeartbeat asks a worker, by its address, for its heartbeat. ok is false if the worker gives none.
type FetchHeartbeat func(ctx context.Context, addr string) (hb wire.Heartbeat, ok bool)

// renewals is what this member knows of the workers whose leases it renews on behalf of the leader. It
// answers two questions:
//
//   - Does a heartbeat come from the worker itself, now, or is it a copy that the network delayed? A dead machine must
//     not count as alive because of a copy. A heartbeat that is no newer than an earlier one is a copy, unless the
//     worker's answer to a query shows that its machine was restarted. In addition, this member asks each worker whose
//     lease it renews whether the worker is alive, in parallel with its replies to the worker. The first reply to a
//     worker does not wait for the answer: in a partition, hundreds of workers report at the same time, and their
//     leases are short.
//   - Does a leader reach the worker although that leader does not reach this member? A controller that has lost the
//     state service and all other members cannot tell whether only the controller or its whole zone is cut off. If a
//     worker's lease was renewed with one fencing token and the worker then reports a higher one, a leader has given
//     the worker that token meanwhile. Such a worker is refused, so that it tries the next controller. If it returns,
//     it found no leader, and its lease is renewed.
type renewals struct {
	lease      time.Duration  // how long a worker's lease lasts after a reply
	fetch      FetchHeartbeat // nil: workers are not queried
	maxQueries int            // how many queries may be in flight at a time; each uses one of the member's sockets
	limiter    *rate.Limiter

	mu        sync.Mutex
	inFlight  int // how many queries have no answer yet
	workers   map[string]*renewedWorker
	sweepSize int // number of workers at which the next add drops those whose leases expired
}

// renewedWorker is a worker whose lease is renewed here.
type renewedWorker struct {
	incarnation, seq uint64    // of its newest heartbeat that arrived here
	fencingToken     uint64    // the fencing token of its newest heartbeat, which a reply repeats
	renewedAt        time.Time // when its lease was last renewed here
	heartbeatAt      time.Time // when its last heartbeat arrived
	confirmedAt      time.Time // when the last query that it answered was sent; zero: it has answered none
	queryPending     bool      // a query to it has no answer yet
	lastQueryFailed  bool      // it gave no answer to the last query
}

// newRenewals makes the renewals of a member that may have maxQueries queries in flight at a time.
func newRenewals(lease time.Duration, maxQueries int, fetch FetchHeartbeat) *renewals {
	return &renewals{
		lease: lease, fetch: fetch, maxQueries: max(tuning.RenewedQueriesInFlightMin, maxQueries), workers: map[string]*renewedWorker{},
		limiter: rate.NewLimiter(tuning.RenewedQueriesPerSecondMin, tuning.RenewedQueriesInFlightMin),
	}
}

// allow reports whether a worker's lease may be renewed on behalf of the leader now, by what this member knows of
// the worker.
func (r *renewals) allow(ctx context.Context, hb *wire.Heartbeat, now time.Time) bool {
	r.mu.Lock()
	w := r.lookup(hb.Machine, now)
	allowed, needsQuery := true, true
	if w == nil {
		w = r.add(hb, now)
	} else {
		allowed, needsQuery = r.observe(w, hb, now)
	}
	r.mu.Unlock()
	if needsQuery {
		r.query(ctx, hb, w, now)
	}
	return allowed
}

// lookup returns what is known of a worker, nil if nothing is known. After the lease that was renewed here has expired,
// it returns only a worker that did not answer the last query. The caller holds the lock.
func (r *renewals) lookup(machine string, now time.Time) *renewedWorker {
	w := r.workers[machine]
	if w != nil && now.Sub(w.renewedAt) > r.lease && !w.lastQueryFailed {
		return nil
	}
	return w
}

// add begins to remember a worker. The caller holds the lock.
func (r *renewals) add(hb *wire.Heartbeat, now time.Time) *renewedWorker {
	w := &renewedWorker{incarnation: hb.Incarnation, seq: hb.Seq, fencingToken: hb.FencingToken, renewedAt: now, heartbeatAt: now}
	sweep(r.workers, &r.sweepSize, func(w *renewedWorker) bool { return now.Sub(w.heartbeatAt) > 2*r.lease && !w.queryPending })
	r.workers[hb.Machine] = w
	return w
}

// observe notes a heartbeat of a known worker. It reports whether the worker's lease may be renewed, and whether
// the worker is to be asked if it is alive. The caller holds the lock.
func (r *renewals) observe(w *renewedWorker, hb *wire.Heartbeat, now time.Time) (allowed, needsQuery bool) {
	isCopy := !hb.Newer(w.incarnation, w.seq)
	leaderReachesWorker := hb.FencingToken > w.fencingToken
	allowed = !isCopy && !leaderReachesWorker && !w.lastQueryFailed
	if !isCopy {
		w.incarnation, w.seq, w.fencingToken = hb.Incarnation, hb.Seq, hb.FencingToken
	}
	w.heartbeatAt = now
	if allowed {
		w.renewedAt = now
	}
	return allowed, isCopy || w.lastQueryFailed || now.Sub(w.confirmedAt) > r.lease
}

// query asks a worker, in parallel with the reply to it, whether it is alive. It does nothing if a query to the
// worker is pending or too many queries are in flight. The goroutine that waits for the answer ends within
// tuning.CommandTimeout.
func (r *renewals) query(ctx context.Context, hb *wire.Heartbeat, w *renewedWorker, now time.Time) {
	if r.fetch == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.queryPending || !r.reserveQuery(now) {
		return
	}
	w.queryPending = true
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

// queryDone handles the end of a query that was sent to a worker at queriedAt. ok is false if the worker gave no
// answer. The answer is newer than every heartbeat that the worker sent before the query; if it looks older, the
// worker has restarted.
func (r *renewals) queryDone(machine string, w *renewedWorker, answer wire.Heartbeat, ok bool, queriedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.queryPending = false
	r.inFlight--
	w.lastQueryFailed = !ok
	if !ok || r.workers[machine] != w {
		return
	}
	w.confirmedAt = queriedAt
	if answer.Incarnation < w.incarnation || answer.Incarnation == w.incarnation && answer.Seq < w.seq {
		w.incarnation, w.seq, w.fencingToken = answer.Incarnation, answer.Seq, answer.FencingToken
	}
}

// queryRate returns how many queries per second, and how many at a time, are needed to query every worker whose
// lease is renewed here within the share tuning.RenewedQueryLeaseShare of a lease's duration. The caller holds the lock.
func (r *renewals) queryRate() (perSecond float64, maxInFlight int) {
	windowSeconds := max(1, tuning.RenewedQueryLeaseShare*r.lease.Seconds())
	perSecond = max(tuning.RenewedQueriesPerSecondMin, float64(len(r.workers))/windowSeconds)
	maxInFlight = int(math.Ceil(perSecond * tuning.RenewedQueryAnswerTime.Seconds()))
	return perSecond, min(max(tuning.RenewedQueriesInFlightMin, maxInFlight), r.maxQueries)
}

// reserveQuery reports whether one more query may be sent now, and counts it against the rate. The caller holds the
// lock.
func (r *renewals) reserveQuery(now time.Time) bool {
	perSecond, maxInFlight := r.queryRate()
	r.limiter.SetLimitAt(now, rate.Limit(perSecond))
	r.limiter.SetBurstAt(now, maxInFlight)
	return r.inFlight < maxInFlight && r.limiter.AllowN(now, 1)
}
