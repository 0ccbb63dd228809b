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
	var holds uint64
	g.read = func() uint64 { return holds }
	for _, c := range []struct {
		mb   uint64
		full bool
	}{{10, false}, {84, false}, {86, true}, {120, true}, {50, false}} {
		holds = c.mb << 20
		clock.Advance(tuning.MemoryEvery)
		if g.Full() != c.full {
			t.Errorf("%d of 100 MiB: full %v", c.mb, !c.full)
		}
	}
	if holds = 99 << 20; g.Full() {
		t.Error("measures again at once")
	}
	if New(0, clock).Full() {
		t.Error("full without a limit")
	}
	if n := heldBytes(); n < 1<<20 || n > 1<<40 {
		t.Errorf("this process holds %d bytes", n)
	}
}

// Guards against garbage, or memory that the runtime keeps for later, that counts as in use.
func TestOnlyReachableMemoryCountsAsInUse(t *testing.T) {
	const size = 64 << 20
	runtime.GC()
	before := Live()
	kept := make([]byte, size)
	runtime.GC()
	if grown := Live() - before; grown < size || grown > size+size/4 {
		t.Errorf("%d bytes more are in use with %d that are reachable", grown, size)
	}
	runtime.KeepAlive(kept)
	kept = nil
	runtime.GC()
	if after := Live(); after > before+size/4 {
		t.Errorf("%d bytes more are in use when nothing is reachable any more", after-before)
	}
}
