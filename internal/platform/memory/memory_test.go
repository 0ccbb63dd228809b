package memory

import (
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/tuning"
)

func TestGaugeIsFullNearTheLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(100, clock)
	var usedBytes uint64
	g.readUsed = func() uint64 { return usedBytes }
	for _, c := range []struct {
		usedMiB uint64
		full    bool
	}{{10, false}, {84, false}, {86, true}, {120, true}, {50, false}} {
		usedBytes = c.usedMiB << 20
		clock.Advance(tuning.MemoryCheckEvery)
		if g.Full() != c.full {
			t.Errorf("%d of 100 MiB used: Full returned %v", c.usedMiB, !c.full)
		}
	}
	if usedBytes = 99 << 20; g.Full() {
		t.Error("the memory was measured again before tuning.MemoryCheckEvery had passed")
	}
	if New(0, clock).Full() {
		t.Error("a gauge without a limit reports full")
	}
	if n := runtimeBytes(); n < 1<<20 || n > 1<<40 {
		t.Errorf("implausible memory of this process: %d bytes", n)
	}
}

// Guards against counting garbage, or free memory that the runtime has not released, as memory in use.
func TestOnlyReachableMemoryCountsAsInUse(t *testing.T) {
	const size = 64 << 20
	runtime.GC()
	before := InUse()
	block := make([]byte, size)
	runtime.GC()
	if grown := InUse() - before; grown < size || grown > size+size/4 {
		t.Errorf("memory in use grew by %d bytes after %d reachable bytes were allocated", grown, size)
	}
	runtime.KeepAlive(block)
	block = nil
	runtime.GC()
	if after := InUse(); after > before+size/4 {
		t.Errorf("memory in use is still %d bytes higher after the allocation became unreachable", after-before)
	}
}
