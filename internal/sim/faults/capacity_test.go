package faults_test

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// tasksRunning returns how many tasks of a job execute on machines. The caller holds sim.mu.
func (sim *simulation) tasksRunning(id string) int {
	n := 0
	for _, w := range sim.workers {
		for _, t := range w.heartbeat.Tasks {
			if !w.removed && fakes.JobOf(t.Task) == id && isExecuting(t.State) {
				n++
			}
		}
	}
	return n
}

// leaseValid reports whether the worker may still run its tasks: its machine exists and its lease has not expired.
func (w *worker) leaseValid() bool { return !w.removed && !w.leaseExpired() }

// tasksOnMachines returns the tasks that execute on machines with valid leases and, if fetching is set, those whose
// image is being fetched. The caller holds sim.mu.
func (sim *simulation) tasksOnMachines(fetching bool) iter.Seq2[*worker, wire.TaskStatus] {
	return func(yield func(*worker, wire.TaskStatus) bool) {
		for _, w := range sim.workers {
			if !w.leaseValid() {
				continue
			}
			for _, t := range w.heartbeat.Tasks {
				if (isExecuting(t.State) || fetching && t.State == wire.TaskFetching) && !yield(w, t) {
					return
				}
			}
		}
	}
}

// cpusInUse returns the number of CPUs that a team's tasks use; fetching as in tasksOnMachines. The caller holds
// sim.mu.
func (sim *simulation) cpusInUse(team string, fetching bool) float64 {
	sum := 0.0
	for _, t := range sim.tasksOnMachines(fetching) {
		if j := sim.jobOf(t.Task); j.team == team {
			sum += j.cpus
		}
	}
	return sum
}

// serviceCPUsInUse returns the number of CPUs that the replicas of a team's services use. Replicas do not end by
// themselves. Services whose users want them cancelled do not count. The caller holds sim.mu.
func (sim *simulation) serviceCPUsInUse(team string) float64 {
	sum := 0.0
	for _, j := range sim.jobs {
		if j.team == team && j.kind == "service" && !j.cancelWanted {
			sum += float64(sim.tasksRunning(j.id)) * j.cpus
		}
	}
	return sum
}

// describeUnfinished describes the jobs that have not ended, a line each. The caller holds sim.mu.
func (sim *simulation) describeUnfinished() string {
	var out strings.Builder
	for _, j := range sim.jobs {
		if j.history.level != levelEnded {
			fmt.Fprintf(&out, "%s: %+v, accepted %v, cancellation wanted %v, %d tasks completed, %d running, its team uses %g CPUs (%g by services) of %g\n",
				j.id, j.jobSpec, j.accepted, j.cancelWanted, len(j.completed), sim.tasksRunning(j.id), sim.cpusInUse(j.team, true), sim.serviceCPUsInUse(j.team), teamLimits[j.team])
		}
	}
	return out.String()
}

// otherTasksByZone returns how many tasks of a job other than the given one are in each zone; fetching as in
// tasksOnMachines. The caller holds sim.mu.
func (sim *simulation) otherTasksByZone(j *job, except string, fetching bool) map[string]int {
	zones := map[string]int{}
	for w, t := range sim.tasksOnMachines(fetching) {
		if t.Task != except && fakes.JobOf(t.Task) == j.id {
			zones[w.heartbeat.Zone]++
		}
	}
	return zones
}

// placementViolation returns why a task of a job may not run on a worker, given the zones of the job's other tasks;
// empty if it may.
func (j *job) placementViolation(w *worker, others map[string]int) (why string) {
	elsewhere := 0
	for zone, n := range others {
		if zone != w.heartbeat.Zone {
			elsewhere += n
		}
	}
	switch {
	case j.types != nil && !slices.Contains(j.types, w.heartbeat.Type):
		return "machine type " + w.heartbeat.Type
	case j.zone != "" && j.zone != w.heartbeat.Zone:
		return "zone " + w.heartbeat.Zone
	case j.noSpot && w.heartbeat.Spot:
		return "on a spot machine"
	case j.sameZone && elsewhere > 0:
		return fmt.Sprintf("zone %s, while %d other tasks are in other zones", w.heartbeat.Zone, elsewhere)
	case j.spreadZones && others[w.heartbeat.Zone]+1 > (j.tasks+1)/2:
		return fmt.Sprintf("zone %s with %d other tasks, so more than half of the job", w.heartbeat.Zone, others[w.heartbeat.Zone])
	}
	return ""
}

// machineWithRoom returns the name of a machine that could run a waiting task of a job. It is empty if no task
// waits, no machine has room, or the team is at its limit. The caller holds sim.mu.
func (sim *simulation) machineWithRoom(j *job) (machine string) {
	startedOrDone := len(j.completed)
	others := sim.otherTasksByZone(j, "", true)
	for _, n := range others {
		startedOrDone += n
	}
	if j.cancelWanted || startedOrDone >= j.tasks || sim.cpusInUse(j.team, true)+j.cpus > teamLimits[j.team] {
		return ""
	}
	for _, w := range sim.workers {
		if !w.leaseValid() || w.impaired() || j.placementViolation(w, others) != "" {
			continue
		}
		free := typeCPUs[w.heartbeat.Type]
		for _, t := range w.heartbeat.Tasks {
			if t.State != wire.TaskExited {
				free -= sim.jobOf(t.Task).cpus
			}
		}
		if free >= j.cpus {
			return w.heartbeat.Machine
		}
	}
	return ""
}
