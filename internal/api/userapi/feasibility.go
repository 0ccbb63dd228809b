package userapi

import (
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
)

// InfeasibleReason returns why a job can never run. It is empty if no reason is known, as it always is while the
// machine types are not known.
func (h *Handler) InfeasibleReason(j *wire.Job) string {
	if machineTypes := h.machineTypes(); machineTypes != nil {
		return h.infeasible(j, machineTypes)
	}
	return ""
}

// infeasible returns why a job can never run on these machine types, empty if no reason is known.
func (h *Handler) infeasible(j *wire.Job, types []wire.MachineType) string {
	team, ok := h.teams[j.Team]
	if !ok {
		return "the team is unknown"
	}
	concurrentTasks := 1.0 // the number of tasks that must run at the same time
	if j.Kind == wire.KindService {
		concurrentTasks = float64(j.Tasks)
	}
	const slack = 1e-9 // for rounding errors of sums
	switch {
	case concurrentTasks*j.CPUs > team.CPUsMax+slack || concurrentTasks*j.GPUs > team.GPUsMax+slack:
		return "the job needs more than its team's limit"
	case !autoscale.FitsSomeType(j, types):
		return "a task fits no allowed machine type"
	}
	return ""
}
