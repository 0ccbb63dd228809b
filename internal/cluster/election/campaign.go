package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

var errConfirmationTooOld = errors.New("the confirmation is too old to act on")

// Run campaigns until ctx ends. It calls work in a goroutine of its own for each
// term of office; work's context ends when the term is over, and Run waits for it.
func (e *Elector) Run(ctx context.Context, work func(context.Context, Leadership)) {
	for ctx.Err() == nil {
		seen, err := e.readLeaderKey(ctx)
		switch {
		case err != nil:
			e.log.Debug("leader key unreadable", "err", err)
			e.pause(ctx, tuning.RetryLeader)
		case seen.held && seen.holder.Member == e.member:
			e.revokePreviousLease(ctx, seen.holder)
		case seen.held:
			e.follow(ctx, seen)
		default:
			e.noteNoHolder()
			e.tryToLead(ctx, seen, work)
		}
	}
}

// leaderKey is the leader key and the term, as they were read.
type leaderKey struct {
	sent        time.Time // when the first request was sent
	term        uint64    // the last term that was begun, 0 if none was
	termVersion uint64    // of the key that holds the term
	held        bool
	holder      holder // if held and readable
	revision    uint64 // of the leader key, if held
}

// readLeaderKey reads the term first: if the leader key is vacant after that, all terms up
// to this one are over.
func (e *Elector) readLeaderKey(ctx context.Context) (leaderKey, error) {
	k := leaderKey{sent: e.clock.Now()}
	var err error
	if k.term, k.termVersion, err = e.readTerm(ctx); err != nil {
		return k, err
	}
	k.holder, k.revision, k.held, err = e.readHolder(ctx)
	return k, err
}

// readTerm reads the last term that was begun, 0 if none was.
func (e *Elector) readTerm(ctx context.Context) (term, version uint64, err error) {
	var last termRecord
	item, known, err := e.store.Get(ctx, keyTerm)
	if err == nil && known {
		err = json.Unmarshal(item.Value, &last)
	}
	if err != nil {
		return 0, 0, fmt.Errorf("reading the term: %w", err)
	}
	return last.Term, item.Version, nil
}

func (e *Elector) readHolder(ctx context.Context) (h holder, revision uint64, held bool, err error) {
	item, held, err := e.store.Get(ctx, keyHolder)
	if err != nil {
		return holder{}, 0, false, fmt.Errorf("reading the leader key: %w", err)
	}
	if !held {
		return holder{}, 0, false, nil
	}
	if err := json.Unmarshal(item.Value, &h); err != nil {
		// Held by something that we cannot read: still held.
		return holder{}, item.Version, true, nil
	}
	return h, item.Version, true, nil
}

// follow notes who leads and waits until that may have changed.
func (e *Elector) follow(ctx context.Context, seen leaderKey) {
	if seen.holder.Member == "" {
		e.noteNoHolder()
	} else {
		e.noteHolder(seen.holder.Member, seen.holder.Term)
	}
	e.noteStillLeading(seen.holder.Term, seen.sent)
	e.waitForChange(ctx, seen.revision)
}

// waitForChange returns when the leader key may have changed, or when reading it again tells more: a term that leads
// after earlierConfirmationsUntil lets this member vote as one that remembers.
func (e *Elector) waitForChange(ctx context.Context, revision uint64) {
	wait := tuning.LeaderWatch
	if left := e.earlierConfirmationsUntil.Sub(e.clock.Now()); left >= 0 && left < wait {
		wait = left + time.Millisecond
	}
	r, err := e.store.Watch(ctx, keyHolder, revision, wait)
	if err != nil {
		e.pause(ctx, tuning.RetryLeader)
		return
	}
	e.log.Debug("leader key watched", "events", len(r.Events))
}

// revokePreviousLease ends a term that the leader key gives to this member, which does not lead: that of an earlier process of it,
// which is gone, since its addresses are ours; or of a campaign that had no answer, on which nobody acts. Both
// otherwise keep the key until the lease expires, 4 s more without a leader for a process that is back at once.
// Leases have numbers of their own, so one that is revoked late is revoked for nobody else.
func (e *Elector) revokePreviousLease(ctx context.Context, h holder) {
	e.log.Info("revoking the lease of an earlier process", "term", h.Term)
	if err := e.store.RevokeLease(ctx, h.Lease); err != nil {
		e.log.Debug("lease of an earlier process not revoked", "err", err)
	}
	e.pause(ctx, tuning.RetryCampaign)
}

// tryToLead campaigns once, if that is allowed, and leads if it succeeds. The leader key was read as vacant.
func (e *Elector) tryToLead(ctx context.Context, seen leaderKey, work func(context.Context, Leadership)) {
	if !e.mayCampaign(ctx) {
		e.pause(ctx, tuning.RetryCampaign)
		return
	}
	eligible, err := e.checkEligibility(ctx, seen.term)
	if err != nil {
		e.log.Debug("not eligible", "err", err)
		e.endCampaign()
		e.pause(ctx, tuning.RetryCampaign)
		return
	}
	leadership, ok := e.campaign(ctx, seen.term, seen.termVersion, eligible)
	if !ok {
		e.endCampaign()
		e.pause(ctx, time.Duration(rand.Int64N(int64(tuning.RetryLeader))))
		return
	}
	e.lead(ctx, leadership, work)
}

// mayCampaign reports whether a campaign may begin, and marks that it does. It
// may not while a vote binds us, or while we stand aside and another may still take the leadership.
func (e *Elector) mayCampaign(ctx context.Context) bool {
	// Only a leader relies on votes. If nobody leads, those that an
	// earlier process may have given bind no more.
	if e.boundByEarlierProcessOnly() && e.peers.NobodyLeads(ctx) {
		e.dropEarlierVotes()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if now.Before(e.boundUntil) || e.standsAside(now) {
		return false
	}
	e.campaigning = true
	return true
}

// boundByEarlierProcessOnly reports whether votes that an earlier process of this member may have given are all
// that keeps it from campaigning.
func (e *Elector) boundByEarlierProcessOnly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Before(e.boundUntil) && e.boundUntil.Equal(e.earlierVotesUntil)
}

// dropEarlierVotes has those votes bind no more, unless we have voted meanwhile.
func (e *Elector) dropEarlierVotes() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boundUntil.Equal(e.earlierVotesUntil) {
		e.boundUntil = time.Time{}
	}
}

func (e *Elector) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaigning = false
}

// StandAside leaves the leadership to others for a while: this member cannot do its work, though its lease holds. It
// campaigns all the same once the leader key was vacant for long enough that no other takes it.
func (e *Elector) StandAside(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standAsideUntil = e.clock.Now().Add(d)
}

// standsAside reports whether the leadership is left to others now. The caller holds the lock.
func (e *Elector) standsAside(now time.Time) bool {
	return now.Before(e.standAsideUntil) && now.Sub(e.vacantSince) < tuning.YieldVacantAfter
}

// campaign tries once to become the leader of the term after the last. When the outcome of its
// transaction is unknown it revokes the lease and reports failure: a late
// success then leaves the key on a revoked lease, and nobody acts on it. Nor does anybody
// once the eligibility is over: who confirmed may not remember it after that.
func (e *Elector) campaign(ctx context.Context, lastTerm, termVersion uint64, eligible eligibility) (Leadership, bool) {
	sent := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, tuning.LeaseTTL)
	if err != nil {
		e.log.Debug("no lease granted", "err", err)
		return Leadership{}, false
	}
	next := holder{Member: e.member, Term: lastTerm + 1, Lease: lease}
	revision, err := e.takeLeaderKey(ctx, next, termVersion, eligible.guards)
	if err == nil && eligible.expired(e.clock.Now()) {
		err = errConfirmationTooOld
	}
	if err != nil {
		e.log.Debug("campaign failed", "err", err)
		e.revokeLease(ctx, lease)
		return Leadership{}, false
	}
	e.beginTerm(next.Term, lease, sent)
	e.noteHolder(e.member, next.Term)
	return Leadership{Term: next.Term, Guard: wire.Condition{Key: keyHolder, Version: revision}}, true
}

// takeLeaderKey takes the leader key and raises the term in one transaction, which fails if the key is held, the term has
// moved on since it was read, or a guard does not hold. It returns the version of the leader key.
func (e *Elector) takeLeaderKey(ctx context.Context, next holder, termVersion uint64, guards []wire.Condition) (uint64, error) {
	termValue, err := json.Marshal(termRecord{Term: next.Term})
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
		e.log.Debug("lease not revoked", "err", err)
	}
}
