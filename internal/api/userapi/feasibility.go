package userapi

import (
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
)

// InfeasibleReason says why a job can never run; empty: nothing is known against it. While the machine types are not known,
// nothing is.
func (h *Handler) InfeasibleReason(j *wire.Job) string {
	if types := h.types(); types != nil {
		return h.infeasible(j, types)
	}
	return ""
}

// infeasible says why a job can never run, or nothing.
func (h *Handler) infeasible(j *wire.Job, types []wire.MachineType) string {
	team, ok := h.teams[j.Team]
	if !ok {
		return "the team is unknown"
	}
	atOnce := 1.0 // tasks that must run at the same time
	if j.Kind == wire.KindService {
		atOnce = float64(j.Tasks)
	}
	const slack = 1e-9 // for rounding of sums
	switch {
	case atOnce*j.CPUs > team.CPUsMax+slack || atOnce*j.GPUs > team.GPUsMax+slack:
		return "the job needs more than its team's limit"
	case !autoscale.FitsSomeType(j, types):
		return "a task fits no allowed machine type"
	}
	return ""
}
