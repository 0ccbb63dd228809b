package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
)

// MayAct reports whether this member may act as the leader of the term now.
func (e *Elector) MayAct(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return term != 0 && e.ownTerm == term && e.clock.Now().Before(e.validUntil)
}

// leadershipTerm is a term in which this member leads. It also holds the lease and the channels that the goroutine
// that renews the lease needs.
type leadershipTerm struct {
	Leadership
	lease    uint64
	resigned <-chan struct{} // closed when this member resigns
	workDone <-chan struct{} // closed when the leader's work has ended
}

// lead runs the leader's work and renews the lease until the lease is lost.
//
// While the state service does not answer, the term becomes invalid by the local clock, unless the other members'
// votes extend its validity. But the term itself is not over. After an outage the state service gives every
// lease its full duration again, and nobody else can have written anything meanwhile, so a successful renewal makes
// the term valid again.
func (e *Elector) lead(ctx context.Context, leadership Leadership, work func(context.Context, Leadership)) {
	e.log.Info("leadership won; starting the leader's work", "term", leadership.Term)
	workDone := make(chan struct{})
	ownTerm := e.newLeadershipTerm(leadership, workDone)
	workCtx, stopWork := context.WithCancel(ctx)
	go func() {
		defer close(workDone)
		work(workCtx, leadership)
	}()
	var background sync.WaitGroup
	background.Go(func() { e.requestVotes(workCtx, leadership.Term) })
	background.Go(func() { e.maintainFencing(workCtx, leadership) })

	e.renewUntilLost(ctx, ownTerm)

	e.resign()
	stopWork()
	<-workDone
	background.Wait()
	e.log.Info("leadership ended; the leader's work has stopped", "term", leadership.Term)
}

func (e *Elector) newLeadershipTerm(leadership Leadership, workDone <-chan struct{}) leadershipTerm {
	e.mu.Lock()
	defer e.mu.Unlock()
	return leadershipTerm{Leadership: leadership, lease: e.lease, resigned: e.resigned, workDone: workDone}
}

func (e *Elector) renewUntilLost(ctx context.Context, ownTerm leadershipTerm) {
	for e.waitInTerm(ctx, ownTerm, tuning.LeaderLeaseRenewEvery) {
		if !e.renewLease(ctx, ownTerm) {
			return
		}
	}
}

// renewLease retries until the lease is renewed. It returns false when the term is over.
func (e *Elector) renewLease(ctx context.Context, ownTerm leadershipTerm) bool {
	for ctx.Err() == nil {
		sentAt := e.clock.Now()
		err := e.store.RenewLease(ctx, ownTerm.lease)
		switch {
		case err == nil:
			return e.noteRenewal(ownTerm.Term, sentAt)
		case errors.Is(err, statestore.ErrLeaseNotFound):
			return false
		}
		e.noteFailedRenewal()
		e.log.Debug("renewal of the leader's lease failed; retrying", "err", err)
		if !e.waitInTerm(ctx, ownTerm, tuning.ElectionRetryPause) {
			return false
		}
	}
	return true // ctx has ended: the caller's next wait returns false
}

// waitInTerm waits for a duration. It returns false as soon as ctx ends, the leader's work ends or this member resigns.
func (e *Elector) waitInTerm(ctx context.Context, ownTerm leadershipTerm, d time.Duration) bool {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ownTerm.workDone:
		// The leader's work ended by itself: revoke the lease so that another member can lead.
		e.revokeLease(ctx, ownTerm.lease)
		return false
	case <-ownTerm.resigned:
		return false
	case <-timer.Chan():
		return true
	}
}

// beginTerm begins a term of this member and makes it valid. sentAt is when the request that granted
// the lease was sent: the lease cannot have begun earlier. The clock may run fast or slow, so the
// validity is shorter than the lease by the clock drift.
func (e *Elector) beginTerm(term, lease uint64, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownTerm, e.lease, e.resigned = term, lease, make(chan struct{})
	e.campaigning, e.fencing = false, fencingLease{}
	e.extendByRenewal(sentAt)
}

// noteRenewal records that the lease was renewed by a request sent at the given time. It returns false if this
// member resigned meanwhile. From now on the term's validity depends on the lease alone, so the fencing lease may
// be revoked. An open vote round may rely on the fencing lease, therefore it becomes void.
func (e *Elector) noteRenewal(term uint64, sentAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != term {
		return false
	}
	e.voteRound++
	e.extendByRenewal(sentAt)
	return true
}

// extendByRenewal makes the term valid for the lease's duration, less the clock drift, counted from when the request
// was sent. The caller holds the lock.
func (e *Elector) extendByRenewal(sentAt time.Time) {
	e.failedRenewals, e.failedRenewalsWhenOtherServed = 0, 0
	e.validUntil = sentAt.Add(withMargin(tuning.LeaderLeaseTTL, -tuning.ClockDriftShare))
}

func (e *Elector) noteFailedRenewal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedRenewals++
}

// resign ends this member's own term, if it has one.
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
		e.leader = "" // a leader of a later term stays known
	}
	e.ownTerm, e.failedRenewals, e.failedRenewalsWhenOtherServed = 0, 0, 0
	e.voteRound++
	close(e.resigned)
}

// handOver gives up the leadership when renewals fail although the state service serves another member. It resigns
// first and only then asks the other members to revoke the lease, so that nobody has to wait until the lease expires.
// Renewals must continue to fail after the other member was seen to be served: at the end of an outage the state
// service may serve the other member a moment before this one.
func (e *Elector) handOver(ctx context.Context, term uint64) {
	lease, ok := e.resignIfOtherServed(term)
	if !ok {
		return
	}
	e.log.Info("state service serves another member but not this one; handing over the leadership", "term", term)
	e.peers.EndLease(context.WithoutCancel(ctx), lease)
}

// resignIfOtherServed resigns if at least tuning.YieldAfterFailedRenewals renewals have failed since another member
// was first seen to be served. It returns the lease that is then to be revoked; ok is false if it did not resign.
func (e *Elector) resignIfOtherServed(term uint64) (lease uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failedRenewalsWhenOtherServed == 0 {
		e.failedRenewalsWhenOtherServed = e.failedRenewals
	}
	if e.ownTerm != term || e.failedRenewals < e.failedRenewalsWhenOtherServed+tuning.YieldAfterFailedRenewals {
		return 0, false
	}
	lease = e.lease
	e.resignLocked()
	return lease, true
}
