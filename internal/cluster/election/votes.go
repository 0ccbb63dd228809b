package election

import (
	"context"
	"time"

	"poppypass/internal/platform/tuning"
)

// Votes is the result of one request for votes to all other members.
type Votes struct {
	Refused       int      // how many members answered that they do not vote
	WithoutMemory int      // how many members voted with GrantedWithoutMemory
	Silent        []string // the members that did not answer
}

// Vote is a member's answer to a leader that asks for its vote. A granted vote is a promise neither
// to campaign nor to confirm that the term is over, for tuning.VoteValidity.
type Vote int

// The answers to a vote request.
const (
	Refused Vote = iota
	Granted
	// GrantedWithoutMemory grants the vote too, but the member does not know what it confirmed before its restart.
	GrantedWithoutMemory
)

// A vote binds the voter for VoteValidity plus the clock drift, from when it votes. The leader relies on the vote for
// VoteValidity less the clock drift, from before it asked. So the leader stops relying on a vote before the voter is
// free again.
var (
	voteBindsFor    = withMargin(tuning.VoteValidity, tuning.ClockDriftShare)
	voteReliedOnFor = withMargin(tuning.VoteValidity, -tuning.ClockDriftShare)
)

// Vote answers the vote request of a leader that gets no answer from the state service; term is the leader's term. A
// member grants its vote only if it is a follower, has no campaign in progress, and gets no answer from the state
// service either. If the state service refuses only the leader, another member should replace that leader.
func (e *Elector) Vote(ctx context.Context, term uint64) Vote {
	if !e.isFollower() || e.stateServiceAnswers(ctx) {
		return Refused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.mayVote(term) {
		return Refused
	}
	e.bindByVote()
	if e.leadingTermSinceRestart < term {
		return GrantedWithoutMemory
	}
	return Granted
}

func (e *Elector) isFollower() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownTerm == 0 && !e.campaigning
}

func (e *Elector) stateServiceAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tuning.VoteProbeTimeout)
	defer cancel()
	_, _, err := e.store.Get(ctx, keyHolder)
	return err == nil
}

// mayVote reports whether this member may vote for the leader of a term: it neither leads nor campaigns (which
// may have changed while it queried the state service), has not confirmed that the term is over, and knows of no
// later term. The caller holds the lock.
func (e *Elector) mayVote(term uint64) bool {
	return e.ownTerm == 0 && !e.campaigning && e.confirmedEndOfTerm < term && !e.knowsLaterTerm(term)
}

// bindByVote forbids this member to campaign or confirm while the vote that it grants now is in force. The caller
// holds the lock.
func (e *Elector) bindByVote() {
	if until := e.clock.Now().Add(voteBindsFor); until.After(e.boundByVoteUntil) {
		e.boundByVoteUntil = until
	}
}

// requestVotes extends the term's validity while renewals of the lease fail, as long as the other members vote for this
// leader. A member that voted neither campaigns nor confirms, so nobody can have taken over, even if the lease has
// expired. One member may be silent if it was fenced off before: every member that could confirm to it that the
// term is over has voted, so none of them confirms.
//
// A leader whose term is valid by votes can answer workers; whatever needs the state service has to wait. A refusal
// counts as a sign that the state service serves another member and refuses only this one. The leadership is
// then handed over if renewals continue to fail (see handOver).
func (e *Elector) requestVotes(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		e.pause(ctx, tuning.VoteEvery)
		round, sentAt, needed := e.beginVoteRound(term)
		if !needed {
			continue
		}
		votes := e.peers.RequestVotes(ctx, term)
		if votes.Refused > 0 {
			e.handOver(ctx, term)
			continue
		}
		e.extendByVotes(term, round, sentAt, votes)
	}
}

// beginVoteRound begins a vote round, which makes earlier rounds void. It reports whether votes are needed: this
// member still leads in the term, and renewals fail.
func (e *Elector) beginVoteRound(term uint64) (round uint64, sentAt time.Time, needed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voteRound++
	return e.voteRound, e.clock.Now(), e.failedRenewals > 0 && e.ownTerm == term
}

// extendByVotes extends the validity of a term by the votes of a round that began at the given time, unless the round
// is void.
func (e *Elector) extendByVotes(term, round uint64, sentAt time.Time, votes Votes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.voteRound != round || e.ownTerm != term {
		return
	}
	if until, ok := e.votesSuffice(sentAt, votes); ok && until.After(e.validUntil) {
		e.validUntil = until
	}
}

// votesSuffice reports whether votes, none of them a refusal, prove that nobody takes over, and until when. The caller
// holds the lock.
func (e *Elector) votesSuffice(sentAt time.Time, votes Votes) (until time.Time, ok bool) {
	if e.othersMayHaveLed(votes) {
		return time.Time{}, false
	}
	until = sentAt.Add(voteReliedOnFor)
	if len(votes.Silent) == 0 {
		return until, true
	}
	if !e.silentMemberIsFencedOff(votes) {
		return time.Time{}, false
	}
	if fencedUntil := e.fencing.sentAt.Add(fencingReliedOnFor); until.After(fencedUntil) {
		until = fencedUntil
	}
	return until, true
}

// othersMayHaveLed reports whether another member may have led, and stopped leading again, since the term's validity
// lapsed. It guards against this fault: a leader that had been cut off from everyone made its term valid again by the
// votes of members that did not know of the leaders in between, because they had been restarted. A member that
// has not been restarted since then knows whether it led, and refuses if it did. The caller holds the lock.
func (e *Elector) othersMayHaveLed(votes Votes) bool {
	return votes.WithoutMemory > 0 && !e.clock.Now().Before(e.validUntil)
}

// silentMemberIsFencedOff reports whether exactly one member is silent and cannot lead. As long as the fencing lease
// exists, that member's campaign fails without a confirmation, and nobody confirms: every other member voted, and a
// member does not confirm while its vote is in force. The vote of a member that does not know whether it confirmed
// before does not suffice, so there must be no vote without memory. The caller holds the lock.
func (e *Elector) silentMemberIsFencedOff(votes Votes) bool {
	return len(votes.Silent) == 1 && votes.WithoutMemory == 0 && votes.Silent[0] == e.fencing.member
}
