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

// prefixFencing holds a key for a member that the leader has fenced off: while the
// key stands, that member does not campaign unless another confirms that the last term is over.
const prefixFencing = "fence/"

var errNotConfirmed = errors.New("fenced off, and no member confirms that the last term is over")

// fencingLease is what a leader knows of the member that it has fenced off. It may
// count on that until fencingReliedFor after the key's lease got its time.
type fencingLease struct {
	member string // "": none
	lease  uint64
	sent   time.Time // when the request was sent that gave the lease its time
}

// fencingReliedFor is how long the leader may count on a fencing lease.
var fencingReliedFor = stretch(tuning.FencingLeaseTTL, -tuning.ClockDrift)

// maintainFencing keeps a fencing lease on a silent member until the term is over: apart from the
// renewals of the leader's lease, which must not wait for it.
func (e *Elector) maintainFencing(ctx context.Context, l Leadership) {
	for ctx.Err() == nil {
		if e.pause(ctx, tuning.RenewEvery); ctx.Err() == nil {
			e.updateFencing(ctx, l)
		}
	}
}

// updateFencing fences off the one member that does not answer, as long as the
// state service serves us: in an outage that member's vote cannot be had. A member that
// answers again is released.
func (e *Elector) updateFencing(ctx context.Context, l Leadership) {
	silent := e.peers.Silent()
	f, released, ok := e.reviewFencing(l.Term, silent)
	switch {
	case !ok:
	case released:
		e.revokeLease(ctx, f.lease)
	case len(silent) != 1:
	case f.member == "":
		if err := e.acquireFencing(ctx, l, silent[0]); err != nil {
			e.log.Debug("member not fenced off", "member", silent[0], "err", err)
		}
	case e.clock.Since(f.sent) >= tuning.FencingLeaseRenew:
		e.renewFencing(ctx, f)
	}
}

// reviewFencing returns the fencing lease and whether it is to be revoked, because its member is no longer the only silent one. Votes may not
// count on it from here on, before it is revoked. ok is false when the term is over or its validity may rest on votes: a fencing lease
// is only taken or given up while the leader's lease is renewed, and that is looked at in the same step.
func (e *Elector) reviewFencing(term uint64, silent []string) (f fencingLease, released, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failedRenewals > 0 || e.ownTerm != term {
		return fencingLease{}, false, false
	}
	f = e.fencing
	released = f.member != "" && (len(silent) != 1 || silent[0] != f.member)
	if released {
		e.fencing = fencingLease{}
	}
	return f, released, true
}

// acquireFencing fences a member off. The transaction is guarded on the key as it was read: an earlier one without an answer, if it
// is carried out after this one, would hang the key on a lease that ends before we stop counting on it.
func (e *Elector) acquireFencing(ctx context.Context, l Leadership, member string) error {
	key := prefixFencing + member
	old, _, err := e.store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("reading %s: %w", key, err)
	}
	sent := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, tuning.FencingLeaseTTL)
	if err != nil {
		return fmt.Errorf("a lease for %s: %w", key, err)
	}
	if _, err := e.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{l.Guard, {Key: key, Version: old.Version}},
		Then: []wire.Change{{Put: key, Value: json.RawMessage("true"), Lease: lease}},
	}); err != nil {
		e.revokeLease(ctx, lease)
		return fmt.Errorf("storing %s: %w", key, err)
	}
	e.log.Info("fencing off a silent member", "member", member)
	e.noteFencing(l.Term, fencingLease{member, lease, sent})
	return nil
}

func (e *Elector) noteFencing(term uint64, f fencingLease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm == term {
		e.fencing = f
	}
}

// renewFencing renews a fencing lease and counts it from before the request. One that the state service does not know is not counted on.
func (e *Elector) renewFencing(ctx context.Context, f fencingLease) {
	f.sent = e.clock.Now()
	err := e.store.RenewLease(ctx, f.lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil && e.fencing.lease == f.lease:
		e.fencing = f
	case errors.Is(err, statestore.ErrLeaseNotFound):
		e.fencing = fencingLease{}
	}
}

// eligibility is what a member needs to campaign: that no leader has fenced it off,
// or another member's confirmation that the last term is over.
type eligibility struct {
	guards []wire.Condition // of the campaign's transaction
	until  time.Time        // when it is too late to act on a confirmation; zero: never
}

// expired reports whether it is too late to act.
func (el eligibility) expired(now time.Time) bool {
	return !el.until.IsZero() && !now.Before(el.until)
}

// checkEligibility tells on what grounds this member may campaign, the leader key being vacant after a term. The time of a confirmation counts from
// before the asking. It is errNotConfirmed when this member is fenced off and no other confirms.
func (e *Elector) checkEligibility(ctx context.Context, term uint64) (eligibility, error) {
	key := prefixFencing + e.member
	_, fenced, err := e.store.Get(ctx, key)
	if err != nil {
		return eligibility{}, fmt.Errorf("reading %s: %w", key, err)
	}
	if !fenced {
		return eligibility{guards: []wire.Condition{{Key: key}}}, nil
	}
	el := eligibility{until: e.clock.Now().Add(tuning.ConfirmationFor)}
	if !e.peers.ConfirmTermOver(ctx, term) {
		return eligibility{}, errNotConfirmed
	}
	return el, nil
}
