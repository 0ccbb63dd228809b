package leader

import (
	"poppypass/internal/scheduler/machines"
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

// Guards against a fixed size of a machine: 64 KiB each stopped at 2,965 machines with 322 MB, where they took 42 with as
// much garbage as memory in use. A fleet grows as long as the memory in use leaves room, and never beyond what it showed.
func TestMachinesAreRentedByTheMemoryInUse(t *testing.T) {
	const ramMB, processMB = 322, 12
	for _, c := range []struct {
		name        string
		kbEach      float64 // in use for each machine that sends heartbeats
		least, most int
	}{
		{"half of what 4,000 were measured to take", 21, maxSizedMachines, 7000},
		{"as much as it with the garbage", 42, 3000, 3400},
		{"as much as is allowed for in any case", 64, 2964, 2964},
		{"more", 128, 2964, 2964},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			clear(l.machines.Machines)
			l.env.Settings.Cluster.Limits.RAMMB = ramMB
			inUse := 0.0
			l.env.MemoryLive = func() uint64 { return uint64(inUse * (1 << 20)) }
			for most := l.maxMachines(); len(l.machines.Machines) < most; most = l.maxMachines() {
				for len(l.machines.Machines) < most {
					l.register(t, newHeartbeat(machineName(len(l.machines.Machines)), "small", "a"))
				}
				inUse = processMB + c.kbEach*float64(len(l.machines.Machines))/1024
			}
			if n := len(l.machines.Machines); n < c.least || n > c.most {
				t.Errorf("%d machines with %d MB, want %d to %d", n, ramMB, c.least, c.most)
			}
			// Machines that boot take their place before they take memory.
			before := l.maxMachines()
			l.machines.Register(machines.Rented{Name: machineName(len(l.machines.Machines)), Type: "small", Zone: "a", RentedAt: clock.Now()}, clock.Now())
			if got := l.maxMachines(); got != before {
				t.Errorf("%d machines are allowed instead of %d when one boots", got, before)
			}
		})
	}
}
