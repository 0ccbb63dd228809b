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

// Live is how many bytes of the machine's memory are in use: what the runtime holds, with as many bytes of objects as the
// last collection found reachable. Objects made since then are missing, so it lags by one collection.
func Live() uint64 {
	v := read("/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/free:bytes",
		"/memory/classes/heap/unused:bytes", "/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes")
	total, released, free, unused, objects, reachable := v[0], v[1], v[2], v[3], v[4], v[5]
	return total - released - free - unused - objects + reachable
}

// held is what the runtime holds of the machine's memory, in bytes.
func held() uint64 {
	v := read("/memory/classes/total:bytes", "/memory/classes/heap/released:bytes")
	return v[0] - v[1]
}

// read reads metrics of the runtime at one time.
func read(names ...string) []uint64 {
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	values := make([]uint64, len(names))
	for i := range samples {
		values[i] = samples[i].Value.Uint64()
	}
	return values
}
