// Package memory tells when a process comes near the memory that its machine has, so
// that it refuses work rather than be ended by the kernel with all that it does.
package memory

import (
	"runtime/metrics"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

// Gauge looks at the process's memory now and then. It is safe for concurrent use.
type Gauge struct {
	clock clockwork.Clock
	most  uint64 // bytes; 0: no limit is known
	read  func() uint64

	mu   sync.Mutex
	at   time.Time // of the last look
	full bool
}

// New makes a gauge of a machine with so many MiB; 0: it is never full.
func New(ramMB float64, clock clockwork.Clock) *Gauge {
	return &Gauge{clock: clock, most: uint64(max(0, ramMB) * tuning.MemoryFull * (1 << 20)), read: held}
}

// Full tells whether more work may not be taken in now.
func (g *Gauge) Full() bool {
	if g.most == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.clock.Now(); g.at.IsZero() || now.Sub(g.at) >= tuning.MemoryEvery {
		g.at, g.full = now, g.read() >= g.most
	}
	return g.full
}

// held is what the runtime holds of the machine's memory, in bytes.
func held() uint64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64() - s[1].Value.Uint64()
}
