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

// ErrUnsure means that a member cannot tell which machines it has answered under its zone lease: it may have
// answered any machine of its zone.
var ErrUnsure = errors.New("the member cannot tell which machines it has answered")

// ZoneLease is a member's lease on the workers of its own zone. It lets the member answer them on behalf of the
// leader while it reaches neither the leader nor the state service, as when its zone is cut off from everything
// else. The replies contain no commands and repeat the worker's own fencing token. This is safe for four reasons:
//
//   - The zone lease is a record in the state service, under a lease that the member renews while the state service
//     answers it. The member answers workers until tuning.ZoneLeaseTTL after it sent the last successful renewal.
//     The record outlives all worker leases that begin before that.
//   - A leader concludes nothing from the expiry of the lease of a machine of that zone before it has read these
//     records after that expiry. For each record that is still stored, the record's member must also have told the
//     leader that it did not answer the machine within the duration of a worker lease before the leader began to read,
//     nor since then (see tuning.RenewedQueryTimeout). Until its record has expired, a member that does not say so
//     counts as one that may have answered the machine.
//   - A restarted process does not speak for the process before it. MayHaveRenewed returns ErrUnsure until
//     reportedFor, which is more than the duration of a worker lease, has passed since the new process started. By
//     then, every lease that the earlier process renewed has expired.
//   - A process adopts the zone lease of the process before it, if another member remembers when that lease ends.
//     The record of the earlier process stays stored for at least the duration of a worker lease after that end, so
//     it covers the replies of both processes. The end is a wall-clock time, so a message that was delayed is still
//     correct. Two clocks are involved, each of which may be wrong by the largest clock error, so the process treats
//     the end as reached at the earliest moment that these errors allow.
//
// Terms and fencing leases play no part in this: a zone lease permits no command, no write of a record and no
// campaign. ZoneLease is safe for concurrent use.
type ZoneLease struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	zone        string
	workerLease time.Duration // how long a worker's lease lasts after a reply
	ttl         time.Duration // how long the zone lease lasts; 0: workers' leases are so long that no time is left for a zone lease
	startedAt   time.Time     // when this process made the ZoneLease; an earlier process may have answered workers before then
	clockError  time.Duration // how far a wall clock may be from the true time

	mu               sync.Mutex
	leaseID          uint64               // the lease of this process's record; 0: none
	leaseRequestedAt time.Time            // when the last successful grant or renewal of that lease was sent
	inheritedUntil   time.Time            // wall-clock end of an earlier process's zone lease; zero: none is known
	lastRenewed      map[string]time.Time // when each machine was last answered under the zone lease
}

// NewZoneLease makes the zone lease of a member. Run acquires it.
func NewZoneLease(s *config.Settings, store *statestore.Client, clock clockwork.Clock, log *slog.Logger) *ZoneLease {
	z := &ZoneLease{
		store: store, clock: clock, log: log, member: s.Member, zone: s.Zone,
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)),
		startedAt:   clock.Now(), lastRenewed: map[string]time.Time{},
		clockError: time.Duration(s.Cluster.ClockErrorMS * float64(time.Millisecond)),
	}
	z.ttl = max(0, min(tuning.ZoneLeaseTTL, tuning.StateLeaseMaxTTL-z.reportedFor()-tuning.FollowerLeaseExtra))
	return z
}

// reportedFor returns for how long after a reply this member must report that it answered the machine.
func (z *ZoneLease) reportedFor() time.Duration { return renewalReportedFor(z.workerLease) }

// recordTTL returns how long the record remains stored after the last renewal of its lease.
func (z *ZoneLease) recordTTL() time.Duration {
	return z.ttl + z.reportedFor() + tuning.FollowerLeaseExtra
}

// TryRenew reports whether a machine of a zone may be answered now. If so, it notes the machine as answered.
func (z *ZoneLease) TryRenew(machine, zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	if zone == "" || zone != z.zone || !z.ownLeaseActive(now) && !z.inheritedLeaseActive(now) {
		return false
	}
	z.lastRenewed[machine] = now
	return true
}

// ownLeaseActive reports whether the zone lease that this process acquired still lasts. The caller holds the lock.
func (z *ZoneLease) ownLeaseActive(now time.Time) bool {
	return z.leaseID != 0 && now.Sub(z.leaseRequestedAt) < z.ttl
}

// MayHaveRenewed returns which of the named machines this member may have answered under its zone lease recently:
// within the duration of a worker lease plus tuning.RenewedQueryTimeout before now. The error is ErrUnsure while an
// earlier process of this member may have answered others; renewed then holds only the machines that this process
// answered.
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

// forgetExpired drops the replies that no longer need to be reported. The caller holds the lock.
func (z *ZoneLease) forgetExpired(now time.Time) {
	for name, renewedAt := range z.lastRenewed {
		if now.Sub(renewedAt) > z.reportedFor() {
			delete(z.lastRenewed, name)
		}
	}
}

// Isolated reports whether the state service has not answered for more than two renewal intervals, so that this
// member may be the one that is cut off. It is false without a zone lease.
func (z *ZoneLease) Isolated() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	since := z.leaseRequestedAt
	if z.leaseID == 0 {
		since = z.startedAt
	}
	return (z.leaseID != 0 || z.inheritedLeaseActive(z.clock.Now())) && z.clock.Since(since) > 2*tuning.ZoneLeaseRenewEvery
}

// Run acquires the zone lease and renews it until ctx ends.
func (z *ZoneLease) Run(ctx context.Context) {
	if z.zone == "" || z.ttl <= 0 {
		return
	}
	for ctx.Err() == nil {
		z.Renew(ctx)
		clock.Sleep(ctx, z.clock, tuning.ZoneLeaseRenewEvery)
	}
}

// Renew renews the lease of the record once, or stores a record if there is none.
func (z *ZoneLease) Renew(ctx context.Context) {
	z.mu.Lock()
	lease := z.leaseID
	z.mu.Unlock()
	if lease == 0 {
		if err := z.acquire(ctx); err != nil {
			z.log.Debug("zone lease not acquired; retrying", "err", err)
		}
		return
	}
	sentAt := z.clock.Now()
	err := z.store.RenewLease(ctx, lease)
	z.mu.Lock()
	defer z.mu.Unlock()
	switch {
	case err == nil:
		z.leaseRequestedAt = sentAt
	case errors.Is(err, statestore.ErrLeaseNotFound):
		z.leaseID = 0 // the record's lease expired; the zone lease, which is shorter, ended long before
	}
}

// acquire stores a record under a key of its own. The zone lease begins only when the write of the record is
// confirmed, but its duration is counted from before the request for the record's lease was sent. If the write is
// not confirmed, the record may be stored nevertheless; it then remains until its lease expires.
func (z *ZoneLease) acquire(ctx context.Context) error {
	sentAt := z.clock.Now()
	lease, err := z.store.GrantLease(ctx, z.recordTTL())
	if err != nil {
		return fmt.Errorf("acquiring a lease for the record: %w", err)
	}
	value, err := json.Marshal(renewalRecord{ZoneLeaseRecord: ZoneLeaseRecord{Zone: z.zone, Member: z.member}})
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
	z.leaseID, z.leaseRequestedAt = lease, sentAt
	return nil
}
