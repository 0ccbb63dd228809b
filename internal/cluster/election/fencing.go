package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// prefixFencing is the prefix of the keys of members that the leader has fenced off. While a member's
// key exists, that member does not campaign unless another member confirms that the last term is over.
const prefixFencing = "fence/"

var errNotConfirmed = errors.New("member is fenced off, and no other member confirms that the last term is over")

// fencingLease is the leader's lease on the key of the member that it has fenced off. The leader may rely on
// it until fencingReliedOnFor after sentAt.
type fencingLease struct {
	member string    // the member that is fenced off; "": none
	lease  uint64    // the lease that the member's key is attached to
	sentAt time.Time // when the request that granted or last renewed the lease was sent
}

// fencingReliedOnFor is how long the leader may rely on a fencing lease after it sent the request that granted or
// renewed it.
var fencingReliedOnFor = withMargin(tuning.FencingLeaseTTL, -tuning.ClockDriftShare)

// maintainFencing maintains a fencing lease on a silent member until the term is over. It runs in a separate goroutine
// because the renewals of the leader's lease must not wait for it.
func (e *Elector) maintainFencing(ctx context.Context, leadership Leadership) {
	for ctx.Err() == nil {
		if e.pause(ctx, tuning.LeaderLeaseRenewEvery); ctx.Err() == nil {
			e.updateFencing(ctx, leadership)
		}
	}
}

// updateFencing fences off the silent member if exactly one member is silent, and releases a member that answers
// again. It does so only while the state service still serves this leader. It prepares for an outage, in which the
// silent member could not vote.
func (e *Elector) updateFencing(ctx context.Context, leadership Leadership) {
	silent := e.peers.Silent()
	fencing, released, ok := e.reviewFencing(leadership.Term, silent)
	switch {
	case !ok:
	case released:
		e.revokeLease(ctx, fencing.lease)
	case len(silent) != 1:
	case fencing.member == "":
		if err := e.acquireFencing(ctx, leadership, silent[0]); err != nil {
			e.log.Debug("silent member could not be fenced off; retrying", "member", silent[0], "err", err)
		}
	case e.clock.Since(fencing.sentAt) >= tuning.FencingLeaseRenewEvery:
		e.renewFencing(ctx, fencing)
	}
}

// reviewFencing returns the fencing lease and whether the caller is to revoke it because its member is no longer
// the only silent one. It clears e.fencing in that case, so that no vote round relies on the lease from here on,
// before it is revoked. ok is false when the term is over or its validity may depend on votes: a fencing lease is
// acquired or released only while renewals of the leader's lease succeed, and that is checked under the same lock
// as the clearing.
func (e *Elector) reviewFencing(term uint64, silent []string) (fencing fencingLease, released, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failedRenewals > 0 || e.ownTerm != term {
		return fencingLease{}, false, false
	}
	fencing = e.fencing
	released = fencing.member != "" && (len(silent) != 1 || silent[0] != fencing.member)
	if released {
		e.fencing = fencingLease{}
	}
	return fencing, released, true
}

// acquireFencing fences a member off. The transaction requires that the key is unchanged since it was read.
// Otherwise an earlier transaction that got no answer could be executed after this one and attach the key to a
// lease that expires while the leader still relies on it.
func (e *Elector) acquireFencing(ctx context.Context, leadership Leadership, member string) error {
	key := prefixFencing + member
	previous, _, err := e.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("reading %s: %w", key, err)
	}
	sentAt := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, tuning.FencingLeaseTTL)
	if err != nil {
		return fmt.Errorf("granting a lease for %s: %w", key, err)
	}
	if _, err := e.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{leadership.Guard, {Key: key, Version: previous.Version}},
		Then: []wire.Change{{Put: key, Value: json.RawMessage("true"), Lease: lease}},
	}); err != nil {
		e.revokeLease(ctx, lease)
		return fmt.Errorf("storing %s: %w", key, err)
	}
	e.log.Info("silent member fenced off; it cannot lead without another member's confirmation", "member", member)
	e.noteFencing(leadership.Term, fencingLease{member, lease, sentAt})
	return nil
}

func (e *Elector) noteFencing(term uint64, fencing fencingLease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm == term {
		e.fencing = fencing
	}
}

// renewFencing renews a fencing lease and counts its duration from when the request was sent. The leader stops relying
// on a lease that the state service does not know.
func (e *Elector) renewFencing(ctx context.Context, fencing fencingLease) {
	fencing.sentAt = e.clock.Now()
	err := e.store.RenewLease(ctx, fencing.lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil && e.fencing.lease == fencing.lease:
		e.fencing = fencing
	case errors.Is(err, statestore.ErrLeaseNotFound):
		e.fencing = fencingLease{}
	}
}

// campaignEligibility is the reason why a member may campaign: no leader has fenced it off, or another member has
// confirmed that the last term is over.
type campaignEligibility struct {
	guards    []wire.Condition // conditions of the campaign's transaction, besides those on the leader key and the term
	expiresAt time.Time        // when the confirmation expires; zero: never, since there is none
}

// expired reports whether it is too late to act on the eligibility.
func (el campaignEligibility) expired(now time.Time) bool {
	return !el.expiresAt.IsZero() && !now.Before(el.expiresAt)
}

// checkEligibility returns the reason why this member may campaign. term is the last term that began; the leader key
// was read after that term and found vacant. The validity of a confirmation counts from before the other members are
// asked. The error is errNotConfirmed if this member is fenced off and no other member confirms that the term is over.
func (e *Elector) checkEligibility(ctx context.Context, term uint64) (campaignEligibility, error) {
	key := prefixFencing + e.member
	_, fenced, err := e.store.Get(ctx, key)
	if err != nil {
		return campaignEligibility{}, fmt.Errorf("reading %s: %w", key, err)
	}
	if !fenced {
		return campaignEligibility{guards: []wire.Condition{{Key: key}}}, nil
	}
	eligibility := campaignEligibility{expiresAt: e.clock.Now().Add(tuning.ConfirmationValidity)}
	if !e.peers.ConfirmTermOver(ctx, term) {
		return campaignEligibility{}, errNotConfirmed
	}
	return eligibility, nil
}
