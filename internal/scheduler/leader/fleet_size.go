package leader

import (
	"math"

	"poppypass/internal/platform/tuning"
)

// maxMachines is the largest number of machines that may be rented. It is bounded by the operators' setting and by
// this process's memory. The cloud enforces its own limits by refusing rentals. The memory for machines is the runtime's
// memory target less tuning.ProcessMiB. It always allows one machine for each tuning.MachineKiB, and more as long as the
// present machines use less than tuning.MachineKiB each.
func (l *Loop) maxMachines() int {
	limit := math.MaxInt
	if n := l.env.Tunables.MaxMachines; n > 0 {
		limit = n
	}
	if memoryMiB := l.env.Settings.Cluster.Limits.MemoryMiB; memoryMiB > 0 {
		targetMiB := memoryMiB * tuning.MemoryTargetShare
		limit = min(limit, max(1, machinesFittingIn(targetMiB-tuning.ProcessMiB), l.maxMachinesByMemoryInUse(targetMiB)))
	}
	return limit
}

// machinesFittingIn returns how many machines fit into mib MiB of memory if each needs tuning.MachineKiB.
func machinesFittingIn(mib float64) int { return int(mib * 1024 / tuning.MachineKiB) }

// maxMachinesByMemoryInUse returns how many machines the memory allows, given how much of it is in use. targetMiB is the
// runtime's memory target in MiB, of which the share tuning.ReachableMemoryShare may be in use. Machines that have sent
// no heartbeat do not count as using memory yet. For each of them, and for each machine that is still to be rented,
// tuning.MachineKiB of the remaining memory is set aside. The result is 0 if the memory in use is not known.
func (l *Loop) maxMachinesByMemoryInUse(targetMiB float64) int {
	if l.env.MemoryInUse == nil {
		return 0
	}
	usingMemory := 0
	for _, m := range l.machines.Machines {
		if !m.LastHeartbeat.IsZero() {
			usingMemory++
		}
	}
	return usingMemory + machinesFittingIn(tuning.ReachableMemoryShare*targetMiB-float64(l.env.MemoryInUse())/(1<<20))
}
