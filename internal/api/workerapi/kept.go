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

// kept is what this member knows of the workers that it answers in the leader's stead. Two things are to be found out:
//
//   - Whether a report is the worker's own, now, or a copy that the network kept: a copy must not have a dead machine
//     count as kept. A report that is no newer than one before is a copy, unless the worker says otherwise; and each
//     worker that is kept is asked, beside its answers, whether it is there. Its first answer does not wait for
//     that: in a cut hundreds come together, and their leases are short.
//   - Whether a leader reaches the worker, though it does not reach us. A controller that has lost the state service and
//     all others cannot tell that from a zone that is cut off. A worker that was kept with one token and comes with a
//     higher one was given it by a leader meanwhile: it is sent on. If it comes back it found nobody, and is kept.
type kept struct {
	lease    time.Duration
	show     FetchHeartbeat // nil: nobody is asked
	mostAsks int            // how many questions the member's sockets allow at a time
	limit    *rate.Limiter

	mu    sync.Mutex
	onWay int // questions that have no answer yet
	by    map[string]*keptWorker
	next  int // how many there must be before the old ones are looked for
}

// keptWorker is one of them.
type keptWorker struct {
	session, seq uint64    // of its newest report here
	token        uint64    // with which it was answered last
	at           time.Time // when that was
	seen         time.Time // when a report of it came last
	proven       time.Time // when it last said that it is there; zero: not yet
	asking       bool
	failed       bool // it was asked since and did not say so
}

// newKept makes the memory of a member that may have mostAsks questions on their way at a time.
func newKept(lease time.Duration, mostAsks int, show FetchHeartbeat) *kept {
	return &kept{
		lease: lease, show: show, mostAsks: max(tuning.RenewedQueriesLeast, mostAsks), by: map[string]*keptWorker{},
		limit: rate.NewLimiter(tuning.RenewedQueryRateLeast, tuning.RenewedQueriesLeast),
	}
}

// askPace gives how many questions a second, and how many at a time, are needed to ask every worker that is kept within
// RenewedQueryShare of a lease. The lock is held.
func (k *kept) askPace() (perSecond float64, atOnce int) {
	within := max(1, tuning.RenewedQueryShare*k.lease.Seconds())
	perSecond = max(tuning.RenewedQueryRateLeast, float64(len(k.by))/within)
	atOnce = int(math.Ceil(perSecond * tuning.RenewedQueryAnswer.Seconds()))
	return perSecond, min(max(tuning.RenewedQueriesLeast, atOnce), k.mostAsks)
}

// mayAsk tells whether one more question may be sent now. The lock is held.
func (k *kept) mayAsk(now time.Time) bool {
	perSecond, atOnce := k.askPace()
	k.limit.SetLimitAt(now, rate.Limit(perSecond))
	k.limit.SetBurstAt(now, atOnce)
	return k.onWay < atOnce && k.limit.AllowN(now, 1)
}

// may tells whether a worker may be answered in the leader's stead now, as far as this member knows of it.
func (k *kept) may(ctx context.Context, rep *wire.Heartbeat, now time.Time) bool {
	k.mu.Lock()
	w := k.by[rep.Machine]
	if w != nil && now.Sub(w.at) > k.lease && !w.failed {
		w = nil // its lease, if we gave it one, is over
	}
	if w == nil {
		w = &keptWorker{session: rep.Incarnation, seq: rep.Seq, token: rep.FencingToken, at: now, seen: now}
		thin(k.by, &k.next, func(w *keptWorker) bool { return now.Sub(w.seen) > 2*k.lease && !w.asking })
		k.by[rep.Machine] = w
		k.mu.Unlock()
		k.ask(ctx, rep, w, now)
		return true
	}
	older := !rep.Newer(w.session, w.seq)
	reached := rep.FencingToken > w.token
	refused := older || reached || w.failed
	if !older {
		w.session, w.seq, w.token = rep.Incarnation, rep.Seq, rep.FencingToken
	}
	w.seen = now
	if !refused {
		w.at = now
	}
	doubt := older || w.failed || now.Sub(w.proven) > k.lease
	k.mu.Unlock()
	if doubt {
		k.ask(ctx, rep, w, now)
	}
	return !refused
}

// ask asks a worker beside its answer whether it is there, if it is not being asked and there is room for it.
func (k *kept) ask(ctx context.Context, rep *wire.Heartbeat, w *keptWorker, now time.Time) {
	if k.show == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if w.asking || !k.mayAsk(now) {
		return
	}
	w.asking = true
	k.onWay++
	machine, addr := rep.Machine, rep.Address
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
		defer cancel()
		said, ok := k.show(ctx, addr)
		k.told(machine, w, said, ok && said.Machine == machine, now)
	}()
}

// told takes in what a worker that was asked at a time said, if anything. What it says is newer than all reports that came
// before it was asked; if it looks older, it was started anew.
func (k *kept) told(machine string, w *keptWorker, said wire.Heartbeat, ok bool, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w.asking = false
	k.onWay--
	if w.failed = !ok; !ok || k.by[machine] != w {
		return
	}
	w.proven = asked
	if said.Incarnation < w.session || said.Incarnation == w.session && said.Seq < w.seq {
		w.session, w.seq, w.token = said.Incarnation, said.Seq, said.FencingToken
	}
}
