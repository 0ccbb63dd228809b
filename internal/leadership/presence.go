package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// prefixMember holds a key for each member that the state service serves,
// attached to a lease of its own.
const prefixMember = "member/"

// presence keeps this member's key in the state service. A member that was
// present for long may campaign without being vouched for. One that is back
// after it was gone may not: a leader that saw its key missing counts on that.
type presence struct {
	mu    sync.Mutex
	guard wire.Condition
	since time.Time // when the key was known to be stored; zero: it is not
}

// settled gives the condition under which this member may campaign by itself.
func (p *presence) settled(now time.Time) (guard wire.Condition, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard, !p.since.IsZero() && now.Sub(p.since) >= tuning.SettledAfter
}

func (p *presence) set(guard wire.Condition, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard, p.since = guard, since
}

func (p *presence) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.since.IsZero()
}

// check takes in why a campaign failed: if our key is not what we know, it is
// stored anew, and until it has been there for long a voucher is needed.
func (p *presence) check(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, p.guard.Key) {
		p.guard, p.since = wire.Condition{}, time.Time{}
	}
}

// stayPresent stores the key and renews its lease until ctx ends.
func (e *Elector) stayPresent(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		if lease == 0 || !e.presence.known() {
			lease = e.register(ctx)
		} else if err := e.store.Renew(ctx, lease); errors.Is(err, statestore.ErrNoLease) {
			e.presence.set(wire.Condition{}, time.Time{})
			lease = 0
			continue
		}
		e.pause(ctx, tuning.PresenceRenew)
	}
}

// register stores the key anew and gives its lease, 0 if it is not stored.
// Whatever becomes of a try without an answer, a later campaign is guarded on
// the version that has one.
func (e *Elector) register(ctx context.Context) uint64 {
	lease, err := e.store.Grant(ctx, tuning.PresenceTTL)
	if err != nil {
		return 0
	}
	key := prefixMember + e.member
	version, err := e.store.Commit(ctx, wire.Txn{Then: []wire.Change{{Put: key, Value: json.RawMessage("true"), Lease: lease}}})
	if err != nil {
		e.log.Debug("presence not stored", "err", err)
		return 0
	}
	e.presence.set(wire.Condition{Key: key, Version: version}, e.clock.Now())
	return lease
}

// noteAbsent reads which of the members that do not answer are absent from the
// state service too, as long as that serves us.
func (e *Elector) noteAbsent(ctx context.Context) {
	for _, name := range e.peers.Silent() {
		sent := e.clock.Now()
		_, there, err := e.store.Get(ctx, prefixMember+name)
		if err != nil {
			continue
		}
		e.mu.Lock()
		if there {
			delete(e.absent, name)
		} else {
			e.absent[name] = sent
		}
		e.mu.Unlock()
	}
}
