package election

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// prefixFencing holds a key for a member that the leader has fenced off: while it
// stands, that member does not campaign unless another vouches for it.
const prefixFencing = "fence/"

// fencingLease is what a leader knows of the member that it has fenced off. It may
// count on that until fencingReliedFor after the key's lease got its time.
type fencingLease struct {
	member string
	lease  uint64
	sent   time.Time // when the request was sent that gave the lease its time
}

// fencingReliedFor is how long the leader may count on a fence.
var fencingReliedFor = stretch(tuning.FencingLeaseTTL, -tuning.ClockDrift)

// maintainFencing looks after the fence until the tenure is over: apart from the
// renewals, which must not wait for it.
func (e *Elector) maintainFencing(ctx context.Context, t Leadership) {
	for ctx.Err() == nil {
		if e.pause(ctx, tuning.RenewEvery); ctx.Err() == nil {
			e.updateFencing(ctx, t)
		}
	}
}

// updateFencing fences off the one member that does not answer, as long as the
// state service serves us: in an outage its promise cannot be had. A member that
// answers again is let free, but only while our right rests on the lease alone.
func (e *Elector) updateFencing(ctx context.Context, t Leadership) {
	silent := e.peers.Silent()
	e.mu.Lock()
	if e.failedRenewals > 0 || e.ownTerm != t.Term {
		e.mu.Unlock()
		return
	}
	f := e.fencing
	stale := f.member != "" && (len(silent) != 1 || silent[0] != f.member)
	if stale {
		e.fencing = fencingLease{} // not counted on from here, before it ends
	}
	e.mu.Unlock()
	switch {
	case stale:
		e.revokeLease(ctx, f.lease)
	case len(silent) != 1:
	case f.member == "":
		e.acquireFencing(ctx, t, silent[0])
	case e.clock.Since(f.sent) >= tuning.FencingLeaseRenew:
		e.renewFencing(ctx, f)
	}
}

// acquireFencing fences a member off. The transaction is guarded on the key as it was read: an earlier one without an answer, if it
// is carried out after this one, would hang the key on a lease that ends before we stop counting on it.
func (e *Elector) acquireFencing(ctx context.Context, t Leadership, member string) {
	key := prefixFencing + member
	old, _, err := e.store.Get(ctx, key)
	if err != nil {
		return
	}
	sent := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, tuning.FencingLeaseTTL)
	if err != nil {
		return
	}
	if _, err := e.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{t.Guard, {Key: key, Version: old.Version}},
		Then: []wire.Change{{Put: key, Value: json.RawMessage("true"), Lease: lease}},
	}); err != nil {
		e.log.Debug("not fenced off", "member", member, "err", err)
		e.revokeLease(ctx, lease)
		return
	}
	e.log.Info("fencing off a silent member", "member", member)
	e.noteFencing(t.Term, fencingLease{member, lease, sent})
}

func (e *Elector) renewFencing(ctx context.Context, f fencingLease) {
	f.sent = e.clock.Now()
	switch err := e.store.RenewLease(ctx, f.lease); {
	case err == nil:
		e.mu.Lock()
		if e.fencing.lease == f.lease {
			e.fencing = f
		}
		e.mu.Unlock()
	case errors.Is(err, statestore.ErrLeaseNotFound):
		e.mu.Lock()
		e.fencing = fencingLease{}
		e.mu.Unlock()
	}
}

func (e *Elector) noteFencing(term uint64, f fencingLease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm == term {
		e.fencing = f
	}
}

// eligibility is what a member needs to campaign: that no leader has fenced it off,
// or another's voucher.
type eligibility struct {
	guards []wire.Condition // of the campaign's transaction
	until  time.Time        // when it is too late to act on a voucher; zero: never
}

// checkEligibility gives leave to campaign, the leader key being vacant after a term.
func (e *Elector) checkEligibility(ctx context.Context, term uint64) (eligibility, bool) {
	key := prefixFencing + e.member
	_, fenced, err := e.store.Get(ctx, key)
	if err != nil {
		return eligibility{}, false
	}
	if !fenced {
		return eligibility{guards: []wire.Condition{{Key: key}}}, true
	}
	return eligibility{until: e.clock.Now().Add(tuning.ConfirmationFor)}, e.peers.ConfirmTermOver(ctx, term)
}
