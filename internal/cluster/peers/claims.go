package peers

import "sync"

// ZoneLease is this member's lease on the workers of its zone. Its claim goes with pings, so that others remember it for the
// member's next process, which asks for it by its own pings.
type ZoneLease interface {
	// Claim is what the others are to remember; nil: nothing.
	Claim() []byte
	// Inherit takes over what another remembers.
	Inherit(claim []byte)
}

// ShareZoneLease has the others remember a zone lease. It must be called before Run.
func (p *Peers) ShareZoneLease(z ZoneLease) { p.zoneLease = z }

// claims are what each other member said last of its zone lease.
type claims struct {
	mu       sync.Mutex
	byMember map[string][]byte
}

// ExchangeClaim remembers what a member claims, unless it claims nothing or is not among the others, and returns what is
// remembered of it.
func (p *Peers) ExchangeClaim(name string, claim []byte) []byte {
	p.claims.mu.Lock()
	defer p.claims.mu.Unlock()
	if len(claim) > 0 && p.Known(name) {
		p.claims.byMember[name] = claim
	}
	return p.claims.byMember[name]
}
