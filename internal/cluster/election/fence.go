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

// prefixFence holds a key for a member that the leader has fenced off: while it
// stands, that member does not campaign unless another vouches for it.
const prefixFence = "fence/"

// fence is what a leader knows of the member that it has fenced off. It may
// count on that until fenceRelied after the key's lease got its time.
type fence struct {
	member string
	lease  uint64
	sent   time.Time // when the request was sent that gave the lease its time
}

// fenceRelied is how long the leader may count on a fence.
var fenceRelied = stretch(tuning.FenceFor, -tuning.ClockDrift)

// keepFences looks after the fence until the tenure is over: apart from the
// renewals, which must not wait for it.
func (e *Elector) keepFences(ctx context.Context, t Tenure) {
	for ctx.Err() == nil {
		if e.pause(ctx, tuning.RenewEvery); ctx.Err() == nil {
			e.keepFence(ctx, t)
		}
	}
}

// keepFence fences off the one member that does not answer, as long as the
// state service serves us: in an outage its promise cannot be had. A member that
// answers again is let free, but only while our right rests on the lease alone.
func (e *Elector) keepFence(ctx context.Context, t Tenure) {
	silent := e.peers.Silent()
	e.mu.Lock()
	if e.failures > 0 || e.term != t.Term {
		e.mu.Unlock()
		return
	}
	f := e.fence
	stale := f.member != "" && (len(silent) != 1 || silent[0] != f.member)
	if stale {
		e.fence = fence{} // not counted on from here, before it ends
	}
	e.mu.Unlock()
	switch {
	case stale:
		e.giveBack(ctx, f.lease)
	case len(silent) != 1:
	case f.member == "":
		e.setFence(ctx, t, silent[0])
	case e.clock.Since(f.sent) >= tuning.FenceRenew:
		e.renewFence(ctx, f)
	}
}

// setFence fences a member off. The transaction is guarded on the key as it was read: an earlier one without an answer, if it
// is carried out after this one, would hang the key on a lease that ends before we stop counting on it.
func (e *Elector) setFence(ctx context.Context, t Tenure, member string) {
	key := prefixFence + member
	old, _, err := e.store.Get(ctx, key)
	if err != nil {
		return
	}
	sent := e.clock.Now()
	lease, err := e.store.Grant(ctx, tuning.FenceFor)
	if err != nil {
		return
	}
	if _, err := e.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{t.Guard, {Key: key, Version: old.Version}},
		Then: []wire.Change{{Put: key, Value: json.RawMessage("true"), Lease: lease}},
	}); err != nil {
		e.log.Debug("not fenced off", "member", member, "err", err)
		e.giveBack(ctx, lease)
		return
	}
	e.log.Info("fencing off a silent member", "member", member)
	e.noteFence(t.Term, fence{member, lease, sent})
}

func (e *Elector) renewFence(ctx context.Context, f fence) {
	f.sent = e.clock.Now()
	switch err := e.store.Renew(ctx, f.lease); {
	case err == nil:
		e.mu.Lock()
		if e.fence.lease == f.lease {
			e.fence = f
		}
		e.mu.Unlock()
	case errors.Is(err, statestore.ErrNoLease):
		e.mu.Lock()
		e.fence = fence{}
		e.mu.Unlock()
	}
}

func (e *Elector) noteFence(term uint64, f fence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == term {
		e.fence = f
	}
}

// leave is what a member needs to campaign: that no leader has fenced it off,
// or another's voucher.
type leave struct {
	guards []wire.Condition // of the campaign's transaction
	until  time.Time        // when it is too late to act on a voucher; zero: never
}

// mayLead gives leave to campaign, the leader key being vacant after a term.
func (e *Elector) mayLead(ctx context.Context, term uint64) (leave, bool) {
	key := prefixFence + e.member
	_, fenced, err := e.store.Get(ctx, key)
	if err != nil {
		return leave{}, false
	}
	if !fenced {
		return leave{guards: []wire.Condition{{Key: key}}}, true
	}
	return leave{until: e.clock.Now().Add(tuning.VoucherFor)}, e.peers.Vouch(ctx, term)
}
