package election

import (
	"context"
	"time"

	"poppypass/internal/platform/tuning"
)

// Peers asks the other members. One that cannot be reached may do anything.
type Peers interface {
	// RequestVotes asks them neither to campaign nor to vouch for PromiseFor, for
	// the leader of a term.
	RequestVotes(ctx context.Context, term uint64) Votes
	// NobodyLeads asks whether none of them leads; each must have said so.
	NobodyLeads(ctx context.Context) bool
	// ConfirmTermOver tells whether one of them vouches that no leader of this term or
	// an earlier one can count on its promise any more. There may be none to ask.
	ConfirmTermOver(ctx context.Context, term uint64) bool
	// EndLease has one of them end a lease.
	EndLease(ctx context.Context, lease uint64)
	// Silent names those that do not answer of late.
	Silent() []string
}

// Votes is how a round of asking for promises went.
type Votes struct {
	Refused       int      // members that answered otherwise
	WithoutMemory int      // members that promised, but cannot tell whom they vouched for before a restart
	Silent        []string // members that gave no answer
}

// Vote is a member's answer to the question for a promise.
type Vote int

// The answers.
const (
	Refused Vote = iota
	Granted
	GrantedWithoutMemory // promised, but it cannot tell whom it vouched for before its restart
)

var (
	voteKeptFor   = stretch(tuning.VoteFor, tuning.ClockDrift)  // by those who gave it
	voteReliedFor = stretch(tuning.VoteFor, -tuning.ClockDrift) // by the one who asked
)

// Vote answers a leader that cannot reach the state service and asks us
// neither to campaign nor to vouch for another for PromiseFor. We promise only if we
// cannot reach it either: a leader that it refuses alone had better be replaced.
func (e *Elector) Vote(ctx context.Context, term uint64) Vote {
	if !e.isFollower() {
		return Refused
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ProbeTimeout)
	defer cancel()
	if _, _, err := e.store.Get(ctx, keyHolder); err == nil {
		return Refused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != 0 || e.campaigning || e.confirmedOverTerm >= term || e.knowsLaterTerm(term) {
		return Refused
	}
	if until := e.clock.Now().Add(voteKeptFor); until.After(e.boundUntil) {
		e.boundUntil = until
	}
	if e.leadingTerm < term {
		return GrantedWithoutMemory
	}
	return Granted
}

// knowsLaterTerm tells whether this member knows of a leader after a term, itself for one: that term's leader must not act
// again, whatever is promised now. The caller holds the lock.
func (e *Elector) knowsLaterTerm(term uint64) bool { return max(e.leaderTerm, e.endedTerm) > term }

func (e *Elector) isFollower() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownTerm == 0 && !e.campaigning
}

// noteStillLeading takes in that a term was read as leading, by a request sent at
// a time. What an earlier process of ours vouched for before has failed by then.
func (e *Elector) noteStillLeading(term uint64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !sent.Before(e.earlierConfirmationsUntil) {
		e.leadingTerm = max(e.leadingTerm, term)
	}
}

// ConfirmTermOver answers a member that found the leader key vacant after a term and
// wants to lead. Once we vouched, we promise no leader of that term anything. A
// leader that is asked so learns that its lease is over.
func (e *Elector) ConfirmTermOver(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != 0 && e.ownTerm <= term {
		e.resignLocked()
	}
	if e.ownTerm != 0 || e.clock.Now().Before(e.boundUntil) {
		return false
	}
	e.confirmedOverTerm = max(e.confirmedOverTerm, term)
	return true
}

// NotLeading answers a member that was just started and asks whether anybody
// leads. An earlier process of it may have given a promise to us that the new
// one knows nothing of: a round that counts on it is void.
func (e *Elector) NotLeading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voteRound++
	return e.ownTerm == 0
}

// requestVotes keeps the right to act while renewals have no success, as long as
// the other members promise neither to campaign nor to vouch: then nobody can
// have taken over, whatever became of the lease. One of them may be silent if it
// was fenced off before: it finds nobody to vouch for it.
// Workers can be answered; what needs the state service waits. If a member is
// served by the state service, which refuses us alone, the right is given up and
// the lease ended through that one.
func (e *Elector) requestVotes(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		e.pause(ctx, tuning.VoteEvery)
		e.mu.Lock()
		needed := e.failedRenewals > 0 && e.ownTerm == term
		e.voteRound++
		round, sent := e.voteRound, e.clock.Now()
		e.mu.Unlock()
		if !needed {
			continue
		}
		p := e.peers.RequestVotes(ctx, term)
		if p.Refused > 0 {
			e.handOver(ctx, term)
			continue
		}
		e.extendByVotes(term, round, sent, p)
	}
}

// extendByVotes takes in a round of promises that was begun at a time.
func (e *Elector) extendByVotes(term, round uint64, sent time.Time, p Votes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := sent.Add(voteReliedFor)
	// Once the right has lapsed, another may have led and be gone again: a leader that was cut off from all took its right
	// up with the promises of members that knew nothing of the leaders between, since they had been restarted. Those that
	// have run since know whether they led, and refuse.
	if p.WithoutMemory > 0 && !e.clock.Now().Before(e.validUntil) {
		return
	}
	if len(p.Silent) > 0 {
		if len(p.Silent) > 1 || p.WithoutMemory > 0 || p.Silent[0] != e.fencing.member {
			return
		}
		if last := e.fencing.sent.Add(fencingReliedFor); until.After(last) {
			until = last
		}
	}
	if e.voteRound == round && e.ownTerm == term && until.After(e.validUntil) {
		e.validUntil = until
	}
}

// handOver hands the leadership over when renewals fail though another member is
// served: it gives up the right first, then has the lease ended, rather than
// have all wait until it runs out. Renewals must go on failing after the other was
// seen to be served: at the end of an outage it hears a moment before us.
func (e *Elector) handOver(ctx context.Context, term uint64) {
	e.mu.Lock()
	if e.failuresWhenOtherServed == 0 {
		e.failuresWhenOtherServed = e.failedRenewals
	}
	if e.ownTerm != term || e.failedRenewals < e.failuresWhenOtherServed+tuning.YieldAfter {
		e.mu.Unlock()
		return
	}
	lease := e.lease
	e.resignLocked()
	e.mu.Unlock()
	e.log.Info("handing over: the state service serves others", "term", term)
	e.peers.EndLease(context.WithoutCancel(ctx), lease)
}

func (e *Elector) noteFailedRenewal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedRenewals++
}
