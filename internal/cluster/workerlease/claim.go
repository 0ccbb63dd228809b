package workerlease

import (
	"encoding/json"
	"time"

	"poppypass/internal/platform/wire"
)

// claim is what a member says about its zone lease in pings. Other members remember it for the member's next
// process.
type claim struct {
	Zone    string `json:"zone"`
	UntilMS int64  `json:"until_ms"` // when the zone lease ends: wall-clock time in Unix milliseconds
}

// Claim returns the encoded end of the zone lease that this process acquired, or nil if it holds none.
func (z *ZoneLease) Claim() []byte {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	if !z.ownLeaseActive(now) {
		return nil
	}
	return wire.EncodeRecord(claim{Zone: z.zone, UntilMS: now.Add(z.ttl - now.Sub(z.leaseRequestedAt)).UnixMilli()})
}

// Inherit adopts what another member remembers of this member's zone lease. It ignores a claim that it cannot
// decode or that is for another zone.
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

// inheritedLeaseActive reports whether the zone lease of an earlier process surely still lasts. The clock that gave
// the end of that lease and the clock of this process may each be wrong by clockError, in opposite directions, so
// the lease counts as ended 2*clockError early. The caller holds the lock.
func (z *ZoneLease) inheritedLeaseActive(now time.Time) bool {
	return z.ttl > 0 && now.Round(0).Add(2*z.clockError).Before(z.inheritedUntil)
}
