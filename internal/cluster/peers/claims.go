package peers

import "sync"

// ZoneLease is this member's lease on the workers of its zone. This member's pings carry its claim to that lease. The
// other members remember the claim, and return it in their answers to the pings of this member's next process.
type ZoneLease interface {
	// Claim returns what the other members are to remember; nil: nothing.
	Claim() []byte
	// Inherit adopts a claim that another member remembers.
	Inherit(claim []byte)
}

// ShareZoneLease makes this member's pings carry the claim to its zone lease. Each claim that an answer to a ping
// contains is passed to z.Inherit. ShareZoneLease must be called before Run.
func (p *Peers) ShareZoneLease(z ZoneLease) { p.zoneLease = z }

// claims holds each other member's last claim to its zone lease.
type claims struct {
	mu       sync.Mutex
	byMember map[string][]byte
}

// ExchangeClaim remembers a member's claim and returns the last claim that is remembered of that member, nil if there
// is none. An empty claim, or one under a name that is not among the other members, is not remembered.
func (p *Peers) ExchangeClaim(name string, claim []byte) []byte {
	p.claims.mu.Lock()
	defer p.claims.mu.Unlock()
	if len(claim) > 0 && p.Known(name) {
		p.claims.byMember[name] = claim
	}
	return p.claims.byMember[name]
}
