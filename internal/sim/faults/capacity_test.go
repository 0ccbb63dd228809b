package faults_test

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// running is how many tasks of a job are on machines. The lock is held.
func (sim *simulation) running(id string) int {
	n := 0
	for _, k := range sim.workers {
		for _, t := range k.rep.Tasks {
			if !k.gone && fakes.JobOf(t.Task) == id && present(t.State) {
				n++
			}
		}
	}
	return n
}

// holds tells whether a machine may still run what it reports: it is there, and its lease is not over.
func (k *worker) holds() bool { return !k.gone && !k.over() }

// onMachines gives the tasks that are on machines whose leases are not over, and those that wait for their image as well if fetching
// is set. The lock is held.
func (sim *simulation) onMachines(fetching bool) iter.Seq2[*worker, wire.TaskStatus] {
	return func(yield func(*worker, wire.TaskStatus) bool) {
		for _, k := range sim.workers {
			if !k.holds() {
				continue
			}
			for _, t := range k.rep.Tasks {
				if (present(t.State) || fetching && t.State == wire.TaskFetching) && !yield(k, t) {
					return
				}
			}
		}
	}
}

// use is how many CPUs a team's tasks take. The lock is held.
func (sim *simulation) use(team string, fetching bool) float64 {
	sum := 0.0
	for _, t := range sim.onMachines(fetching) {
		if j := sim.jobOf(t.Task); j.team == team {
			sum += j.cpus
		}
	}
	return sum
}

// permanentUse is how many CPUs a team's replicas take, which do not end by themselves. The lock is held.
func (sim *simulation) permanentUse(team string) float64 {
	sum := 0.0
	for _, j := range sim.jobs {
		if j.team == team && j.kind == "service" && !j.asked {
			sum += float64(sim.running(j.id)) * j.cpus
		}
	}
	return sum
}

// unfinished tells of jobs that are not over. The lock is held.
func (sim *simulation) unfinished() string {
	var out strings.Builder
	for _, j := range sim.jobs {
		if j.history.level != ended {
			fmt.Fprintf(&out, "%s: %+v, accepted %v, asked %v, %d completed, %d run, its team uses %g (%g stay) of %g\n",
				j.id, j.spec, j.accepted, j.asked, len(j.completed), sim.running(j.id), sim.use(j.team, true), sim.permanentUse(j.team), teamLimits[j.team])
		}
	}
	return out.String()
}

// siblings is how many other tasks of a job are in each zone. The lock is held.
func (sim *simulation) siblings(j *job, but string, fetching bool) map[string]int {
	zones := map[string]int{}
	for k, t := range sim.onMachines(fetching) {
		if t.Task != but && fakes.JobOf(t.Task) == j.id {
			zones[k.rep.Zone]++
		}
	}
	return zones
}

// fits says why a task of a job may not be in a place, given its other tasks.
func (j *job) fits(k *worker, others map[string]int) (why string) {
	elsewhere := 0
	for zone, n := range others {
		if zone != k.rep.Zone {
			elsewhere += n
		}
	}
	switch {
	case j.types != nil && !slices.Contains(j.types, k.rep.Type):
		return "type " + k.rep.Type
	case j.zone != "" && j.zone != k.rep.Zone:
		return "zone " + k.rep.Zone
	case j.noSpot && k.rep.Spot:
		return "a spot machine"
	case j.oneZone && elsewhere > 0:
		return fmt.Sprintf("zone %s, and %d others are elsewhere", k.rep.Zone, elsewhere)
	case j.apart && others[k.rep.Zone]+1 > (j.tasks+1)/2:
		return fmt.Sprintf("zone %s beside %d others", k.rep.Zone, others[k.rep.Zone])
	}
	return ""
}

// roomFor names a machine that could take a waiting task of a job; none if no task waits, there is none, or its team is at its limit.
// The lock is held.
func (sim *simulation) roomFor(j *job) (machine string) {
	placed := len(j.completed)
	others := sim.siblings(j, "", true)
	for _, n := range others {
		placed += n
	}
	if j.asked || placed >= j.tasks || sim.use(j.team, true)+j.cpus > teamLimits[j.team] {
		return ""
	}
	for _, k := range sim.workers {
		if !k.holds() || k.impaired() || j.fits(k, others) != "" {
			continue
		}
		free := typeCPUs[k.rep.Type]
		for _, t := range k.rep.Tasks {
			if t.State != wire.TaskExited {
				free -= sim.jobOf(t.Task).cpus
			}
		}
		if free >= j.cpus {
			return k.rep.Machine
		}
	}
	return ""
}
