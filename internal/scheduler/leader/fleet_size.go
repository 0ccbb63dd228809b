package leader

import (
	"math"

	"poppypass/internal/platform/tuning"
)

// maxMachines is the largest number of machines that may be rented. It is bounded by the operators' setting and by this
// process's memory. The cloud's own limits show by its refusals. Memory allows one machine per MachineKB of the runtime's
// memory target in any case, and more as long as the present machines are seen to need less than that.
func (l *Loop) maxMachines() int {
	most := math.MaxInt
	if n := l.env.Tunables.MaxMachines; n > 0 {
		most = n
	}
	if mb := l.env.Settings.Cluster.Limits.RAMMB; mb > 0 {
		aimMB := mb * tuning.MemoryShare
		most = min(most, max(1, machinesIn(aimMB-tuning.ProcessMB), l.machinesByUse(aimMB)))
	}
	return most
}

// machinesIn is how many machines fit into an amount of memory, in MiB, if each needs MachineKB.
func machinesIn(mb float64) int { return int(mb * 1024 / tuning.MachineKB) }

// machinesByUse is how many machines there may be by the memory that is in use. aimMB is the runtime's memory target in MiB, of
// which the share LiveShare may be in use. Machines that have sent no heartbeat do not count as using memory yet: for each of
// them, and of the machines still to be rented, MachineKB is set aside from what is left.
func (l *Loop) machinesByUse(aimMB float64) int {
	if l.env.MemoryLive == nil {
		return 0
	}
	inUse := 0
	for _, m := range l.machines.Machines {
		if !m.LastHeartbeat.IsZero() {
			inUse++
		}
	}
	return inUse + machinesIn(tuning.LiveShare*aimMB-float64(l.env.MemoryLive())/(1<<20))
}
