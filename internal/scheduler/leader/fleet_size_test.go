package leader

import (
	"testing"
)

// What memory allows is the bound, unless the operators say less.
func TestMemoryBoundsTheFleet(t *testing.T) {
	l, _ := newTestLoop(t)
	if n := l.maxMachines(); n < 1e9 {
		t.Errorf("%d without any bound", n)
	}
	l.env.Settings.Cluster.Limits.RAMMB = 322
	if n := l.maxMachines(); n < 2500 || n > 5000 {
		t.Errorf("%d with 322 MB", n)
	}
	l.env.Tunables.MaxMachines = 7
	if n := l.maxMachines(); n != 7 {
		t.Errorf("%d where the operators say 7", n)
	}
}
