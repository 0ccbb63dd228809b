package leader

import (
	"math"

	"poppypass/internal/platform/tuning"
)

// maxMachines is how many machines may be rented: what the operators say and what
// this process's memory holds. The cloud's refusals say the rest. Memory holds one for each MachineKB that the runtime aims
// at, whatever they take, and more as long as it is seen that those there take less.
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

// machinesIn is how many machines so many MiB hold at the least.
func machinesIn(mb float64) int { return int(mb * 1024 / tuning.MachineKB) }

// machinesByUse is how many machines there may be by what the memory in use leaves of LiveShare of the MiB that the runtime
// aims at. Machines that have sent no heartbeat are not in use yet: they and those to come count MachineKB each.
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
