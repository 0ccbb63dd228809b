// Package memory reports when the process approaches the memory limit of its machine. The process can then refuse new work before
// the kernel kills it together with all its work.
package memory

import (
	"runtime/metrics"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

// Gauge measures the process's memory, at most once per tuning.MemoryCheckEvery. It is safe for concurrent use.
type Gauge struct {
	clock      clockwork.Clock
	limitBytes uint64        // 0: unknown
	readUsed   func() uint64 // runtimeBytes, except in tests

	mu         sync.Mutex
	measuredAt time.Time // zero: not measured yet
	full       bool
}

// New returns a gauge for a machine with memoryMiB MiB of memory. If memoryMiB is 0, the gauge never reports full.
func New(memoryMiB float64, clock clockwork.Clock) *Gauge {
	return &Gauge{clock: clock, limitBytes: uint64(max(0, memoryMiB) * tuning.MemoryFullShare * (1 << 20)), readUsed: runtimeBytes}
}

// Full reports whether the process uses at least the share tuning.MemoryFullShare of the machine's memory. If so, no more work
// may be accepted now.
func (g *Gauge) Full() bool {
	if g.limitBytes == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.clock.Now(); g.measuredAt.IsZero() || now.Sub(g.measuredAt) >= tuning.MemoryCheckEvery {
		g.measuredAt, g.full = now, g.readUsed() >= g.limitBytes
	}
	return g.full
}

// InUse returns the memory in use, in bytes. It counts all memory of the runtime that is neither free nor released, but of the
// objects only those that the last garbage collection found reachable. Objects allocated since then are not counted, so the
// result lags by one collection.
func InUse() uint64 {
	v := readMetrics("/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/free:bytes",
		"/memory/classes/heap/unused:bytes", "/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes")
	total, released, free, unused, objects, reachable := v[0], v[1], v[2], v[3], v[4], v[5]
	return total - released - free - unused - objects + reachable
}

// runtimeBytes returns how many bytes of the machine's memory the runtime has not released to the operating system.
func runtimeBytes() uint64 {
	v := readMetrics("/memory/classes/total:bytes", "/memory/classes/heap/released:bytes")
	return v[0] - v[1]
}

// readMetrics reads several metrics of the runtime at the same time.
func readMetrics(names ...string) []uint64 {
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
