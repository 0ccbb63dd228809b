package workerlease

import (
	"encoding/json"
	"time"

	"poppypass/internal/platform/wire"
)

// claim is what a member says of its zone lease in pings. Others remember it for the member's next process.
type claim struct {
	Zone    string `json:"zone"`
	UntilMS int64  `json:"until_ms"` // when the zone lease ends, by the time of day
}

// Claim tells until when the zone lease that this process acquired lasts; nil: there is none.
func (z *ZoneLease) Claim() []byte {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.clock.Now()
	if !z.held(now) {
		return nil
	}
	return wire.EncodeRecord(claim{Zone: z.zone, UntilMS: now.Add(z.ttl - now.Sub(z.leaseSent)).UnixMilli()})
}

// Inherit takes over what another member remembers of this one's zone lease. What cannot be read counts as nothing.
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

// inherited reports whether the zone lease of an earlier process surely lasts: the clock that told its end and ours may be off by
// clockError each, in opposite directions. The caller holds the lock.
func (z *ZoneLease) inherited(now time.Time) bool {
	return z.ttl > 0 && now.Round(0).Add(2*z.clockError).Before(z.inheritedUntil)
}
