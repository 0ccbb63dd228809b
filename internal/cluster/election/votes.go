package election

import (
	"context"
	"time"

	"poppypass/internal/platform/tuning"
)

// Votes is how a request for votes went.
type Votes struct {
	Refused       int      // members that answered otherwise
	WithoutMemory int      // members that voted, but cannot tell what they confirmed before a restart
	Silent        []string // members that gave no answer
}

// Vote is a member's answer to a leader that asks for its vote: its undertaking
// neither to campaign nor to confirm for tuning.VoteFor.
type Vote int

// The answers.
const (
	Refused Vote = iota
	Granted
	GrantedWithoutMemory // granted, but the member cannot tell what it confirmed before its restart
)

// A vote binds who gave it from the giving, with drift, and is relied on from the asking, less drift.
var (
	voteKeptFor   = stretch(tuning.VoteFor, tuning.ClockDrift)
	voteReliedFor = stretch(tuning.VoteFor, -tuning.ClockDrift)
)

// Vote answers the leader of a term that cannot reach the state service. A member grants its vote only if it
// follows, has no campaign on its way, and the state service does not answer it either: a
// leader that the state service refuses alone had better be replaced.
func (e *Elector) Vote(ctx context.Context, term uint64) Vote {
	if !e.isFollower() || e.stateServiceAnswers(ctx) {
		return Refused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.mayVote(term) {
		return Refused
	}
	e.bind()
	if e.leadingTerm < term {
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
	ctx, cancel := context.WithTimeout(ctx, tuning.ProbeTimeout)
	defer cancel()
	_, _, err := e.store.Get(ctx, keyHolder)
	return err == nil
}

// mayVote reports whether a vote for the leader of a term contradicts nothing: we neither lead nor campaign (also since the
// state service was asked), have not confirmed that its term is over, and know of no later one. The caller holds the lock.
func (e *Elector) mayVote(term uint64) bool {
	return e.ownTerm == 0 && !e.campaigning && e.confirmedOverTerm < term && !e.knowsLaterTerm(term)
}

// bind has a vote that is given now keep us from campaigning and confirming. The caller holds the lock.
func (e *Elector) bind() {
	if until := e.clock.Now().Add(voteKeptFor); until.After(e.boundUntil) {
		e.boundUntil = until
	}
}

// requestVotes keeps the term valid while renewals fail, as long as
// the other members vote, that is, neither campaign nor confirm: then nobody can
// have taken over, whatever became of the lease. One of them may be silent if it
// was fenced off before: it finds nobody to confirm that the term is over.
// Workers can be answered; what needs the state service waits. If a member is
// served by the state service, which refuses us alone, the leadership is handed over.
func (e *Elector) requestVotes(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		e.pause(ctx, tuning.VoteEvery)
		round, sent, needed := e.beginVoteRound(term)
		if !needed {
			continue
		}
		votes := e.peers.RequestVotes(ctx, term)
		if votes.Refused > 0 {
			e.handOver(ctx, term)
			continue
		}
		e.extendByVotes(term, round, sent, votes)
	}
}

// beginVoteRound voids an earlier round and reports whether votes are needed: the term goes on, and renewals fail.
func (e *Elector) beginVoteRound(term uint64) (round uint64, sent time.Time, needed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voteRound++
	return e.voteRound, e.clock.Now(), e.failedRenewals > 0 && e.ownTerm == term
}

// extendByVotes extends the validity of a term by a round of votes that was begun at a time, unless the round is void.
func (e *Elector) extendByVotes(term, round uint64, sent time.Time, votes Votes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.voteRound != round || e.ownTerm != term {
		return
	}
	if until, ok := e.votesSuffice(sent, votes); ok && until.After(e.validUntil) {
		e.validUntil = until
	}
}

// votesSuffice reports whether votes without a refusal prove that nobody takes over, and until when. The caller holds the lock.
func (e *Elector) votesSuffice(sent time.Time, votes Votes) (until time.Time, ok bool) {
	if e.othersMayHaveLed(votes) {
		return time.Time{}, false
	}
	until = sent.Add(voteReliedFor)
	if len(votes.Silent) == 0 {
		return until, true
	}
	if !e.silentMemberIsFencedOff(votes) {
		return time.Time{}, false
	}
	if fencedUntil := e.fencing.sent.Add(fencingReliedFor); until.After(fencedUntil) {
		until = fencedUntil
	}
	return until, true
}

// othersMayHaveLed reports whether another may have led, and be gone again, since the term's validity lapsed: a leader that
// was cut off from all made its term valid again with the votes of members that knew nothing of the leaders between, since
// they had been restarted. Those that have run since know whether they led, and refuse. The caller holds the lock.
func (e *Elector) othersMayHaveLed(votes Votes) bool {
	return votes.WithoutMemory > 0 && !e.clock.Now().Before(e.validUntil)
}

// silentMemberIsFencedOff reports whether the only silent member cannot lead: its campaign fails while the fencing lease
// stands, and it gets no confirmation. Every other member voted, so it confirms nothing meanwhile; that it confirmed
// nothing before it must remember. The caller holds the lock.
func (e *Elector) silentMemberIsFencedOff(votes Votes) bool {
	return len(votes.Silent) == 1 && votes.WithoutMemory == 0 && votes.Silent[0] == e.fencing.member
}
