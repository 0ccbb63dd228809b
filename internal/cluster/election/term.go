package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
)

// Valid reports whether this controller may act as the leader of the term now.
func (e *Elector) Valid(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return term != 0 && e.ownTerm == term && e.clock.Now().Before(e.validUntil)
}

// termOfOffice is a term of this member, as the goroutine that renews its lease sees it.
type termOfOffice struct {
	Leadership
	lease    uint64
	resigned <-chan struct{} // closed when the term was given up
	workDone <-chan struct{} // closed when the leader's work has ended
}

// lead keeps the lease until it is lost. While the state service does not
// answer, the term's validity ends by the local clock (unless the peers'
// votes extend it), but the term goes on: after an outage the lease
// has its full time again, nobody else can have written anything, and a
// renewal makes the term valid again.
func (e *Elector) lead(ctx context.Context, l Leadership, work func(context.Context, Leadership)) {
	e.log.Info("leading", "term", l.Term)
	workDone := make(chan struct{})
	t := e.termOf(l, workDone)
	workCtx, stopWork := context.WithCancel(ctx)
	go func() {
		defer close(workDone)
		work(workCtx, l)
	}()
	var helpers sync.WaitGroup
	helpers.Go(func() { e.requestVotes(workCtx, l.Term) })
	helpers.Go(func() { e.maintainFencing(workCtx, l) })

	e.renewUntilLost(ctx, t)

	e.resign()
	stopWork()
	<-workDone
	helpers.Wait()
	e.log.Info("no longer leading", "term", l.Term)
}

func (e *Elector) termOf(l Leadership, workDone <-chan struct{}) termOfOffice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return termOfOffice{Leadership: l, lease: e.lease, resigned: e.resigned, workDone: workDone}
}

func (e *Elector) renewUntilLost(ctx context.Context, t termOfOffice) {
	for e.waitInTerm(ctx, t, tuning.RenewEvery) {
		if !e.renewLease(ctx, t) {
			return
		}
	}
}

// renewLease tries until the lease is renewed; false when the term is over.
func (e *Elector) renewLease(ctx context.Context, t termOfOffice) bool {
	for ctx.Err() == nil {
		sent := e.clock.Now()
		err := e.store.RenewLease(ctx, t.lease)
		switch {
		case err == nil:
			return e.noteRenewal(t.Term, sent)
		case errors.Is(err, statestore.ErrLeaseNotFound):
			return false
		}
		e.noteFailedRenewal()
		e.log.Debug("lease not renewed", "err", err)
		if !e.waitInTerm(ctx, t, tuning.RetryLeader) {
			return false
		}
	}
	return true // the next wait ends with ctx
}

// waitInTerm waits for a while; false when the term is over.
func (e *Elector) waitInTerm(ctx context.Context, t termOfOffice, d time.Duration) bool {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.workDone:
		// The leader's work ended by itself: let another lead.
		e.revokeLease(ctx, t.lease)
		return false
	case <-t.resigned:
		return false
	case <-timer.Chan():
		return true
	}
}

// beginTerm makes a new term of our own valid. sent is when the
// request that gained the lease was sent: the lease cannot have begun earlier,
// and our clock may run fast or slow.
func (e *Elector) beginTerm(term, lease uint64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownTerm, e.lease, e.resigned = term, lease, make(chan struct{})
	e.campaigning, e.fencing = false, fencingLease{}
	e.extendByRenewal(sent)
}

// noteRenewal notes that the lease was renewed; false when the term was given up meanwhile. From here on the term's validity
// rests on the lease alone, and the fencing lease can be revoked. So an open round of votes, which may count on that, is void.
func (e *Elector) noteRenewal(term uint64, sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != term {
		return false
	}
	e.voteRound++
	e.extendByRenewal(sent)
	return true
}

// extendByRenewal counts the lease's time from before the request was sent, less drift. The caller holds the lock.
func (e *Elector) extendByRenewal(sent time.Time) {
	e.failedRenewals, e.failuresWhenOtherServed = 0, 0
	e.validUntil = sent.Add(stretch(tuning.LeaseTTL, -tuning.ClockDrift))
}

func (e *Elector) noteFailedRenewal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedRenewals++
}

// resign ends our own term, if there is one.
func (e *Elector) resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignLocked()
}

// resignLocked is resign for callers that hold the lock.
func (e *Elector) resignLocked() {
	if e.ownTerm == 0 {
		return
	}
	e.endedTerm = max(e.endedTerm, e.ownTerm)
	if e.leaderTerm <= e.ownTerm {
		e.leader = "" // unless we heard of a later one
	}
	e.ownTerm, e.failedRenewals, e.failuresWhenOtherServed = 0, 0, 0
	e.voteRound++
	close(e.resigned)
}

// handOver gives the leadership up when renewals fail though another member is
// served by the state service: it resigns first and only then has the lease revoked by that member, rather than
// have all wait until it expires. Renewals must go on failing after the other was
// seen to be served: at the end of an outage it is served a moment before us.
func (e *Elector) handOver(ctx context.Context, term uint64) {
	lease, ok := e.resignIfOtherServed(term)
	if !ok {
		return
	}
	e.log.Info("handing over: the state service serves others", "term", term)
	e.peers.EndLease(context.WithoutCancel(ctx), lease)
}

// resignIfOtherServed counts the failed renewals since another member was first seen to be served and
// resigns after enough of them. It returns the lease that is to be revoked.
func (e *Elector) resignIfOtherServed(term uint64) (lease uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failuresWhenOtherServed == 0 {
		e.failuresWhenOtherServed = e.failedRenewals
	}
	if e.ownTerm != term || e.failedRenewals < e.failuresWhenOtherServed+tuning.YieldAfter {
		return 0, false
	}
	lease = e.lease
	e.resignLocked()
	return lease, true
}
