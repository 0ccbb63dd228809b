package peers

import "sync"

// ZoneLease is this member's lease on the workers of its zone. This member's pings carry its claim, so that the
// other members remember the claim for this member's next process. The answers to that process's pings return the
// claim.
type ZoneLease interface {
	// Claim returns what the other members are to remember; nil: nothing.
	Claim() []byte
	// Inherit adopts a claim that another member remembers.
	Inherit(claim []byte)
}

// ShareZoneLease makes pings exchange the claim of a zone lease. It must be called before Run.
func (p *Peers) ShareZoneLease(z ZoneLease) { p.zoneLease = z }

// claims holds each other member's last claim to its zone lease.
type claims struct {
	mu       sync.Mutex
	byMember map[string][]byte
}

// ExchangeClaim remembers a member's claim and returns what is remembered of that member. A claim that is empty, or
// that is from a name that is not among the other members, is not remembered.
func (p *Peers) ExchangeClaim(name string, claim []byte) []byte {
	p.claims.mu.Lock()
	defer p.claims.mu.Unlock()
	if len(claim) > 0 && p.Known(name) {
		p.claims.byMember[name] = claim
	}
	return p.claims.byMember[name]
}
