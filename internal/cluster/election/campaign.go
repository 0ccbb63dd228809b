package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"poppypass/internal/platform/fencingtoken"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

var errConfirmationTooOld = errors.New("the confirmation that the last term is over has expired")

// Run campaigns and leads until ctx ends. For each term of this member it calls work in a separate
// goroutine. The context of work ends when the term is over, and Run waits until work returns.
func (e *Elector) Run(ctx context.Context, work func(context.Context, Leadership)) {
	for ctx.Err() == nil {
		seen, err := e.readLeaderKey(ctx)
		switch {
		case err != nil:
			e.log.Debug("leader key could not be read; retrying", "err", err)
			e.pause(ctx, tuning.ElectionRetryPause)
		case seen.held && seen.holder.Member == e.member:
			e.revokePreviousLease(ctx, seen.holder)
		case seen.held:
			e.follow(ctx, seen)
		default:
			e.noteNoLeader()
			e.tryToLead(ctx, seen, work)
		}
	}
}

// leaderKey is the leader key and the term, as they were read.
type leaderKey struct {
	sentAt      time.Time // when the first read was sent
	term        uint64    // the last fencing token of the last term that began; 0 if none did
	termVersion uint64    // the version of the key that holds the term
	held        bool      // the leader key exists
	holder      holder    // its value; empty if the key does not exist or its value cannot be decoded
	version     uint64    // the version of the leader key, if held
}

// readLeaderKey reads the term before the leader key. If the leader key is then found vacant, this term and
// all earlier ones are over.
func (e *Elector) readLeaderKey(ctx context.Context) (leaderKey, error) {
	k := leaderKey{sentAt: e.clock.Now()}
	var err error
	if k.term, k.termVersion, err = e.readTerm(ctx); err != nil {
		return k, err
	}
	k.holder, k.version, k.held, err = e.readHolder(ctx)
	return k, err
}

// readTerm reads the last fencing token of the last term that began, 0 if none did, and the version of its key. All
// terms whose numbers are not above it have begun.
func (e *Elector) readTerm(ctx context.Context) (term, version uint64, err error) {
	var last termRecord
	item, found, err := e.store.Get(ctx, keyTerm)
	if err == nil && found {
		err = json.Unmarshal(item.Value, &last)
	}
	if err != nil {
		return 0, 0, fmt.Errorf("reading the term: %w", err)
	}
	return last.Term, item.Version, nil
}

func (e *Elector) readHolder(ctx context.Context) (h holder, version uint64, held bool, err error) {
	item, held, err := e.store.Get(ctx, keyHolder)
	if err != nil {
		return holder{}, 0, false, fmt.Errorf("reading the leader key: %w", err)
	}
	if !held {
		return holder{}, 0, false, nil
	}
	if err := json.Unmarshal(item.Value, &h); err != nil {
		// The value cannot be decoded, but the key exists: it counts as held.
		return holder{}, item.Version, true, nil
	}
	return h, item.Version, true, nil
}

// follow records who leads and waits until that may have changed.
func (e *Elector) follow(ctx context.Context, seen leaderKey) {
	if seen.holder.Member == "" {
		e.noteNoLeader()
	} else {
		e.noteHolder(seen.holder.Member, seen.holder.Term)
	}
	e.noteStillLeading(seen.holder.Term, seen.sentAt)
	e.waitForChange(ctx, seen.version)
}

// waitForChange returns when the leader key may have changed. If earlierProcessConfirmationsUntil is near, it returns
// just after that time at the latest, so that the leader key is read again. No confirmation of an earlier process of
// this member can end a term that this read or a later one finds in force. So this member can answer a vote request for
// that term with Granted instead of GrantedWithoutMemory.
func (e *Elector) waitForChange(ctx context.Context, version uint64) {
	wait := tuning.LeaderWatchWait
	if left := e.earlierProcessConfirmationsUntil.Sub(e.clock.Now()); left >= 0 && left < wait {
		wait = left + time.Millisecond
	}
	result, err := e.store.Watch(ctx, keyHolder, version, wait)
	if err != nil {
		e.pause(ctx, tuning.ElectionRetryPause)
		return
	}
	e.log.Debug("watch of the leader key returned; reading the key again", "events", len(result.Events))
}

// revokePreviousLease revokes the lease of the leader key when the key names this member although this member does
// not lead. There are two possible cases, and the revocation is safe in both. Either an earlier process of this
// member wrote the key; that process has ended, since this process uses its addresses. Or a campaign of this process
// wrote the key but got no answer, and nobody acts on such a campaign. Without the revocation the key would be held
// until the lease expires: a process that restarts at once would cause 4 s more without a leader.
// Every lease has its own number, so a revocation that is executed late affects no other lease.
func (e *Elector) revokePreviousLease(ctx context.Context, h holder) {
	e.log.Info("leader key names this member although this member does not lead; revoking the key's lease", "term", h.Term)
	if err := e.store.RevokeLease(ctx, h.Lease); err != nil {
		e.log.Debug("lease of the leader key could not be revoked; retrying", "err", err)
	}
	e.pause(ctx, tuning.CampaignRetryPause)
}

// tryToLead campaigns once, if that is allowed, and leads if the campaign succeeds. The caller has read the leader key
// as vacant.
func (e *Elector) tryToLead(ctx context.Context, seen leaderKey, work func(context.Context, Leadership)) {
	if !e.mayCampaign(ctx) {
		e.pause(ctx, tuning.CampaignRetryPause)
		return
	}
	eligibility, err := e.checkEligibility(ctx, seen.term)
	if err != nil {
		e.log.Debug("this member may not campaign yet; checking again after a pause", "err", err)
		e.endCampaign()
		e.pause(ctx, tuning.CampaignRetryPause)
		return
	}
	leadership, ok := e.campaign(ctx, seen.term, seen.termVersion, eligibility)
	if !ok {
		e.endCampaign()
		e.pause(ctx, time.Duration(rand.Int64N(int64(tuning.ElectionRetryPause))))
		return
	}
	e.lead(ctx, leadership, work)
}

// mayCampaign reports whether a campaign may begin. If so, it records that the campaign begins. No campaign may begin
// while a vote forbids it or while this member leaves the leadership to others (see DeferCampaign).
func (e *Elector) mayCampaign(ctx context.Context) bool {
	// Only a leader relies on votes. If nobody leads, the votes that an earlier
	// process of this member may have given no longer bind it.
	if e.boundByEarlierProcessOnly() && e.peers.NobodyLeads(ctx) {
		e.dropEarlierVotes()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if now.Before(e.boundByVoteUntil) || e.defersCampaign(now) {
		return false
	}
	e.campaigning = true
	return true
}

// boundByEarlierProcessOnly reports whether a vote forbids this member to campaign now, and the only such vote is one
// that an earlier process of this member may have given.
func (e *Elector) boundByEarlierProcessOnly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Before(e.boundByVoteUntil) && e.boundByVoteUntil.Equal(e.earlierProcessVotesUntil)
}

// dropEarlierVotes lifts the restriction that the votes of an earlier process impose, unless this process has voted
// meanwhile.
func (e *Elector) dropEarlierVotes() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boundByVoteUntil.Equal(e.earlierProcessVotesUntil) {
		e.boundByVoteUntil = time.Time{}
	}
}

func (e *Elector) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaigning = false
}

// DeferCampaign leaves the leadership to other members for a duration. The caller uses it when this member cannot do the
// leader's work although it can renew its lease. This member campaigns nevertheless once the leader key has been
// vacant for tuning.CampaignAfterVacancy, because another member would have acquired it by then.
func (e *Elector) DeferCampaign(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deferCampaignUntil = e.clock.Now().Add(d)
}

// defersCampaign reports whether this member now leaves the leadership to others. The caller holds the lock.
func (e *Elector) defersCampaign(now time.Time) bool {
	return now.Before(e.deferCampaignUntil) && now.Sub(e.vacantSince) < tuning.CampaignAfterVacancy
}

// campaign tries once to become the leader of the term after lastTerm. If the outcome of its transaction is
// unknown, it revokes the lease and reports failure: a transaction that is executed later then attaches the leader
// key to a revoked lease, and nobody acts on it. The campaign also fails if the eligibility has expired when the
// transaction succeeds, because the member that confirmed may no longer remember its confirmation by then.
func (e *Elector) campaign(ctx context.Context, lastTerm, termVersion uint64, eligibility campaignEligibility) (Leadership, bool) {
	sentAt := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, tuning.LeaderLeaseTTL)
	if err != nil {
		e.log.Debug("lease for a campaign not granted; campaign abandoned", "err", err)
		return Leadership{}, false
	}
	next := holder{Member: e.member, Term: lastTerm + 1, Lease: lease}
	version, err := e.takeLeaderKey(ctx, next, termVersion, eligibility.guards)
	if err == nil && eligibility.expired(e.clock.Now()) {
		err = errConfirmationTooOld
	}
	if err != nil {
		e.log.Debug("campaign failed; revoking its lease", "err", err)
		e.revokeLease(ctx, lease)
		return Leadership{}, false
	}
	e.beginTerm(next.Term, lease, sentAt)
	e.noteHolder(e.member, next.Term)
	return Leadership{Term: next.Term, Guard: wire.Condition{Key: keyHolder, Version: version}}, true
}

// takeLeaderKey writes the leader key and the last fencing token of the next term in one transaction. The transaction fails if the leader key is
// held, the term has changed since it was read, or a guard does not hold. takeLeaderKey returns the version of the
// leader key.
func (e *Elector) takeLeaderKey(ctx context.Context, next holder, termVersion uint64, guards []wire.Condition) (uint64, error) {
	termValue, err := json.Marshal(termRecord{Term: fencingtoken.Last(next.Term)})
	if err != nil {
		return 0, err
	}
	holderValue, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	return e.store.Commit(ctx, wire.Txn{
		If: append([]wire.Condition{{Key: keyHolder}, {Key: keyTerm, Version: termVersion}}, guards...),
		Then: []wire.Change{
			{Put: keyHolder, Value: holderValue, Lease: next.Lease},
			{Put: keyTerm, Value: termValue},
		},
	})
}

func (e *Elector) revokeLease(ctx context.Context, lease uint64) {
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.Debug("campaign, term or fencing lease could not be revoked; it stays in force until it expires", "err", err)
	}
}
