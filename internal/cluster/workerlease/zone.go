package workerlease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ZoneLease is a member's right to answer the workers of its own zone in the leader's
// stead while it reaches neither the leader nor the state service: a zone that is
// cut off from all else. The answers hold no commands and bear the worker's own
// token. What makes that safe:
//
//   - The right is a record in the state service, on a lease that the member renews
//     while it is served. It answers for ZoneLeaseRecord after it sent the last renewal that
//     succeeded, and the record outlives the workers' leases that begin by then.
//   - A leader concludes nothing from the end of a lease on a machine of that zone
//     before it has read these records after that end and, of each that stands, has heard
//     from its member that it did not answer that machine for a whole lease before the leader
//     began to read (KeptAsking). A member that gives no such word may have, until its record is gone.
//   - A process that was started anew gives no word for its former life: it has none to give
//     until a lease after its own start, by when all answers of that life are over.
//   - It takes up the right of its former life, if another member remembers when that ends: that life's record stands until a worker's lease
//     after that, whichever process answers. The end is told by the time of day, so a message that was held up on its way
//     tells nothing wrong; it counts as reached as early as two clocks that differ as far as they may can have it.
//
// Terms and fences play no part in that: the right allows no command, no record and
// no campaign. It is safe for concurrent use.
type ZoneLease struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	zone        string
	workerLease time.Duration // a worker's
	ttl         time.Duration // how long the right lasts; 0: workers' leases are too long for one
	startedAt   time.Time
	clockError  time.Duration // how far a time of day may be from the true one

	mu             sync.Mutex
	leaseID        uint64               // the lease of our record; 0: none
	leaseSent      time.Time            // when the request was sent that gave it its time
	inheritedUntil time.Time            // by the time of day: when the right of a former life ends; zero: none is known
	lastRenewed    map[string]time.Time // machines that we answered by the right, and when
}

// ZoneLeaseRecord is a record of such a right.
type ZoneLeaseRecord struct {
	Zone   string `json:"zone,omitempty"`
	Member string `json:"member,omitempty"`
}

// NewZoneLease makes the right of a member; Run obtains it.
func NewZoneLease(s *config.Settings, store *statestore.Client, clock clockwork.Clock, log *slog.Logger) *ZoneLease {
	z := &ZoneLease{
		store: store, clock: clock, log: log, member: s.Member, zone: s.Zone,
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)),
		startedAt:   clock.Now(), lastRenewed: map[string]time.Time{},
		clockError: time.Duration(s.Cluster.ClockErrorMS * float64(time.Millisecond)),
	}
	z.ttl = max(0, min(tuning.ZoneLeaseTTL, tuning.MaxTTL-z.reportedFor()-tuning.FollowerLeaseExtra))
	return z
}

func (z *ZoneLease) reportedFor() time.Duration { return renewalReportedFor(z.workerLease) }

// recordTTL is how long the record outlives its last renewal.
func (z *ZoneLease) recordTTL() time.Duration {
	return z.ttl + z.reportedFor() + tuning.FollowerLeaseExtra
}

// MayRenew asks for the right to answer a machine of a zone now.
func (z *ZoneLease) MayRenew(machine, zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	if zone == "" || zone != z.zone || !z.held(now) && !z.inherited(now) {
		return false
	}
	z.lastRenewed[machine] = now
	return true
}

// held tells whether the right that this process obtained lasts. The lock is held.
func (z *ZoneLease) held(now time.Time) bool { return z.leaseID != 0 && now.Sub(z.leaseSent) < z.ttl }

// inherited tells whether that of a former life surely lasts. The lock is held.
func (z *ZoneLease) inherited(now time.Time) bool {
	return z.ttl > 0 && now.Round(0).Add(2*z.clockError).Before(z.inheritedUntil)
}

// claim is what a member tells others of its right, for its next life.
type claim struct {
	Zone    string `json:"zone"`
	UntilMS int64  `json:"until_ms"` // when the right ends, by the time of day
}

// Claim tells until when the right lasts; nil: there is none.
func (z *ZoneLease) Claim() []byte {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	if !z.held(now) {
		return nil
	}
	return wire.EncodeRecord(claim{Zone: z.zone, UntilMS: now.Add(z.ttl - now.Sub(z.leaseSent)).UnixMilli()})
}

// Inherit takes up what another member remembers of this one's right. What cannot be read counts as nothing.
func (z *ZoneLease) Inherit(remembered []byte) {
	var c claim
	if json.Unmarshal(remembered, &c) != nil || c.Zone != z.zone {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if until := time.UnixMilli(c.UntilMS); until.After(z.inheritedUntil) {
		z.inheritedUntil = until
	}
}

// MayHaveRenewed gives those of some machines that this member may have answered by its right
// within a worker's lease and KeptAsking before now. sure is false while it cannot tell: an earlier
// process of it may have.
func (z *ZoneLease) MayHaveRenewed(names []string) (kept []string, sure bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	for name, at := range z.lastRenewed {
		if now.Sub(at) > z.reportedFor() {
			delete(z.lastRenewed, name)
		}
	}
	for _, name := range names {
		if _, ok := z.lastRenewed[name]; ok {
			kept = append(kept, name)
		}
	}
	return kept, now.Sub(z.startedAt) > z.reportedFor()
}

// Isolated tells whether the state service has not answered for a while, so that we may be
// the one that is cut off.
func (z *ZoneLease) Isolated() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	since := z.leaseSent
	if z.leaseID == 0 {
		since = z.startedAt
	}
	return (z.leaseID != 0 || z.inherited(z.clock.Now())) && z.clock.Since(since) > 2*tuning.ZoneLeaseRenew
}

// Run obtains the right and renews it until ctx ends.
func (z *ZoneLease) Run(ctx context.Context) {
	if z.zone == "" || z.ttl <= 0 {
		return
	}
	for ctx.Err() == nil {
		z.Renew(ctx)
		clock.Sleep(ctx, z.clock, tuning.ZoneLeaseRenew)
	}
}

// Renew renews the record once, or makes one where there is none.
func (z *ZoneLease) Renew(ctx context.Context) {
	z.mu.Lock()
	pass := z.leaseID
	z.mu.Unlock()
	sent := z.clock.Now()
	if pass == 0 {
		z.acquire(ctx)
		return
	}
	err := z.store.RenewLease(ctx, pass)
	z.mu.Lock()
	defer z.mu.Unlock()
	switch {
	case err == nil:
		z.leaseSent = sent
	case errors.Is(err, statestore.ErrLeaseNotFound):
		z.leaseID = 0 // the right was over long before
	}
}

// acquire makes a record under a key of its own. The right counts from before the lease
// was asked for, and only once the record is surely stored; one whose storing had no answer is
// left to its lease's end.
func (z *ZoneLease) acquire(ctx context.Context) {
	sent := z.clock.Now()
	pass, err := z.store.GrantLease(ctx, z.recordTTL())
	if err != nil {
		return
	}
	value, err := json.Marshal(renewedRecord{ZoneLeaseRecord: ZoneLeaseRecord{Zone: z.zone, Member: z.member}})
	if err != nil {
		return
	}
	key := fmt.Sprintf("%s%s/zone-%d", prefixRenewed, z.member, pass)
	if _, err := z.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Change{{Put: key, Value: value, Lease: pass}},
	}); err != nil {
		z.log.Debug("no right for the zone", "err", err)
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.leaseID, z.leaseSent = pass, sent
}
