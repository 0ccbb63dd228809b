package leader

import (
	"math"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// teams returns each team's quota, guarantee and fair share, and the resources that its tasks use. Every task that may be
// running somewhere counts.
func (l *Loop) teams() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.env.Teams))
	fairShareCPUs := 0.0 // computed for the first team without a quota
	for name, t := range l.env.Teams {
		teams[name] = &placement.Team{QuotaCPUs: t.CPUsMax, QuotaGPUs: t.GPUsMax, GuaranteedCPUs: t.CPUs, GuaranteedGPUs: t.GPUs}
		if !math.IsInf(t.CPUsMax, 1) {
			continue
		}
		if fairShareCPUs == 0 {
			fairShareCPUs = tuning.FairShareOfFleet * l.fleetCPUs()
		}
		teams[name].FairShareCPUs = fairShareCPUs
	}
	for _, j := range l.jobs.Jobs {
		t := teams[j.Team]
		if t == nil {
			continue
		}
		cpus, gpus := float64(j.Allocated)*j.CPUs, float64(j.Allocated)*j.GPUs
		t.UsedCPUs += cpus
		t.UsedGPUs += gpus
		if j.Kind == wire.KindService && j.CanStart() {
			t.PermanentUse.CPUs += cpus
			t.PermanentUse.GPUs += gpus
		}
	}
	return teams
}

// fleetCPUs returns the number of CPUs of all machines together.
func (l *Loop) fleetCPUs() float64 {
	cpus := map[string]float64{}
	for _, t := range l.env.MachineTypes() {
		cpus[t.Name] = t.CPUs
	}
	sum := 0.0
	for _, m := range l.machines.Machines {
		sum += cpus[m.Type]
	}
	return sum
}
