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

// ErrUnsure means that a member cannot tell which machines it may have answered by its zone lease: it may have answered any.
var ErrUnsure = errors.New("the member cannot tell which machines it has answered")

// ZoneLease is a member's lease on the workers of its own zone: it may answer them on behalf of the
// leader while it reaches neither the leader nor the state service: a zone that is
// cut off from all else. The answers hold no commands and bear the worker's own
// fencing token. What makes that safe:
//
//   - The zone lease is a record in the state service, on a lease that the member renews
//     while it is served. The member answers for tuning.ZoneLeaseTTL after it sent the last renewal that
//     succeeded, and the record outlives the workers' leases that begin by then.
//   - A leader concludes nothing from the expiry of a lease on a machine of that zone
//     before it has read these records after that expiry and, of each that stands, has heard
//     from its member that it did not answer that machine for a whole lease before the leader
//     began to read (tuning.RenewedQueryTime). A member that does not say so may have answered it, until its record is gone.
//   - A process that was restarted does not answer for the process before it: MayHaveRenewed is unsure
//     until a lease after its own start, by when all answers of that process are over.
//   - It takes over the zone lease of the process before it, if another member remembers when that ends: that process's record
//     stands until a worker's lease after that, whichever process answers. The end is told by the time of day, so a message that was
//     held up on its way tells nothing wrong; it counts as reached as early as two clocks that differ as far as they may can have it.
//
// Terms and fencing leases play no part in that: a zone lease allows no command, no record and
// no campaign. It is safe for concurrent use.
type ZoneLease struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	zone        string
	workerLease time.Duration // how long an answer renews a worker's lease
	ttl         time.Duration // how long the zone lease lasts; 0: workers' leases are too long for one
	startedAt   time.Time
	clockError  time.Duration // how far a time of day may be from the true one

	mu             sync.Mutex
	leaseID        uint64               // the lease of our record; 0: none
	leaseSent      time.Time            // when the request was sent that gave it its time
	inheritedUntil time.Time            // by the time of day: when the zone lease of an earlier process ends; zero: none is known
	lastRenewed    map[string]time.Time // machines that we answered by the zone lease, and when
}

// NewZoneLease makes the zone lease of a member; Run acquires it.
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

// MayRenew reports whether a machine of a zone may be answered now, and remembers that it was.
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

// held reports whether the zone lease that this process acquired lasts. The caller holds the lock.
func (z *ZoneLease) held(now time.Time) bool { return z.leaseID != 0 && now.Sub(z.leaseSent) < z.ttl }

// MayHaveRenewed returns those of some machines that this member may have answered by its zone lease
// within a worker's lease and RenewedQueryTime before now. The error is ErrUnsure while it cannot tell, since an earlier
// process of it may have answered others; renewed then holds those that this process answered.
func (z *ZoneLease) MayHaveRenewed(names []string) (renewed []string, err error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	z.forgetExpired(now)
	for _, name := range names {
		if _, ok := z.lastRenewed[name]; ok {
			renewed = append(renewed, name)
		}
	}
	if now.Sub(z.startedAt) <= z.reportedFor() {
		return renewed, ErrUnsure
	}
	return renewed, nil
}

// forgetExpired drops the answers that need not be told of any more. The caller holds the lock.
func (z *ZoneLease) forgetExpired(now time.Time) {
	for name, at := range z.lastRenewed {
		if now.Sub(at) > z.reportedFor() {
			delete(z.lastRenewed, name)
		}
	}
}

// Isolated reports whether the state service has not answered for a while, so that we may be
// the one that is cut off. It is false without a zone lease.
func (z *ZoneLease) Isolated() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	since := z.leaseSent
	if z.leaseID == 0 {
		since = z.startedAt
	}
	return (z.leaseID != 0 || z.inherited(z.clock.Now())) && z.clock.Since(since) > 2*tuning.ZoneLeaseRenew
}

// Run acquires the zone lease and renews it until ctx ends.
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
	lease := z.leaseID
	z.mu.Unlock()
	if lease == 0 {
		if err := z.acquire(ctx); err != nil {
			z.log.Debug("no zone lease", "err", err)
		}
		return
	}
	sent := z.clock.Now()
	err := z.store.RenewLease(ctx, lease)
	z.mu.Lock()
	defer z.mu.Unlock()
	switch {
	case err == nil:
		z.leaseSent = sent
	case errors.Is(err, statestore.ErrLeaseNotFound):
		z.leaseID = 0 // the zone lease was over long before
	}
}

// acquire makes a record under a key of its own. The zone lease counts from before the lease of the record
// was asked for, and only once the record is surely stored; a record whose storing had no answer is
// left to its lease's end.
func (z *ZoneLease) acquire(ctx context.Context) error {
	sent := z.clock.Now()
	lease, err := z.store.GrantLease(ctx, z.recordTTL())
	if err != nil {
		return fmt.Errorf("a lease for the record: %w", err)
	}
	value, err := json.Marshal(renewedRecord{ZoneLeaseRecord: ZoneLeaseRecord{Zone: z.zone, Member: z.member}})
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/zone-%d", prefixRenewed, z.member, lease)
	if _, err := z.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: key}},
		Then: []wire.Change{{Put: key, Value: value, Lease: lease}},
	}); err != nil {
		return fmt.Errorf("storing %s: %w", key, err)
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.leaseID, z.leaseSent = lease, sent
	return nil
}
