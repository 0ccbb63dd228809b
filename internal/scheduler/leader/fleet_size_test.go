package leader

import (
	"poppypass/internal/scheduler/machines"
	"testing"
)

// The fleet is bounded by memory, or by the operators' limit if that is lower.
func TestMemoryBoundsTheFleet(t *testing.T) {
	l, _ := newTestLoop(t)
	if n := l.maxMachines(); n < 1e9 {
		t.Errorf("at most %d machines without any limit", n)
	}
	l.env.Settings.Cluster.Limits.MemoryMiB = 322
	if n := l.maxMachines(); n < 2500 || n > 5000 {
		t.Errorf("at most %d machines with 322 MB", n)
	}
	l.env.Tunables.MaxMachines = 7
	if n := l.maxMachines(); n != 7 {
		t.Errorf("at most %d machines where the operators' limit is 7", n)
	}
}

// Guards against a limit that assumes a fixed memory size per machine. At 64 KiB each, a fleet stopped at 2,965 machines
// with 322 MB, though each machine needed only 42 KiB, half of which was garbage. The fleet may grow as long as the
// memory in use leaves room, and no further.
func TestMachinesAreRentedByTheMemoryInUse(t *testing.T) {
	const memoryMiB, processMiB = 322, 12
	for _, c := range []struct {
		name          string
		kibPerMachine float64 // KiB in use for each machine that sends heartbeats
		least, most   int
	}{
		{"half of what each of 4,000 machines needs", 21, maxDeploymentMachines, 7000},
		{"what each of 4,000 machines needs, with garbage", 42, 3000, 3400},
		{"as much as MachineKiB", 64, 2964, 2964},
		{"more than MachineKiB", 128, 2964, 2964},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			clear(l.machines.Machines)
			l.env.Settings.Cluster.Limits.MemoryMiB = memoryMiB
			inUse := 0.0
			l.env.MemoryInUse = func() uint64 { return uint64(inUse * (1 << 20)) }
			for limit := l.maxMachines(); len(l.machines.Machines) < limit; limit = l.maxMachines() {
				for len(l.machines.Machines) < limit {
					l.register(t, newHeartbeat(machineName(len(l.machines.Machines)), "small", "a"))
				}
				inUse = processMiB + c.kibPerMachine*float64(len(l.machines.Machines))/1024
			}
			if n := len(l.machines.Machines); n < c.least || n > c.most {
				t.Errorf("%d machines with %d MiB, want %d to %d", n, memoryMiB, c.least, c.most)
			}
			// A booting machine takes one of the places that the limit allows, though it uses no memory yet. Registering it
			// does not change the limit.
			before := l.maxMachines()
			l.machines.Register(machines.RentedMachine{Name: machineName(len(l.machines.Machines)), Type: "small", Zone: "a", RentedAt: clock.Now()}, clock.Now())
			if got := l.maxMachines(); got != before {
				t.Errorf("%d machines are allowed instead of %d while one is booting", got, before)
			}
		})
	}
}
