package faults_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against machines that reach no controller, while direct commands reach them: their tasks end with their leases, and
// nothing that a direct command brings about is taken for a report of theirs.
func TestMachinesThatReachNoController(t *testing.T) {
	simulate(t, 11, func(sim *simulation) {
		for i := range 10 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], team: []string{"t", "tight"}[i/5]})
		}
		sim.awaitRunning(10)
		for round, leases := range []float64{0.5, 1.4, 0.9, 2.2} {
			sim.impair(sim.someWorkers(), sendsNothing, seconds(leases*sim.site.lease))
			sim.advance(2 * time.Second)
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.cancel(fmt.Sprintf("job-%d", 9-round))
			switch round {
			case 1:
				sim.restartLeader()
			case 2:
				refuseController(sim, sim.awaitLeader())
			case 3:
				storeOutage(sim, nil)
			}
			sim.advance(seconds((leases + 0.5) * sim.site.lease))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against tasks in a wrong place: jobs that are bound to one zone, arrays whose tasks must be in the same zone or apart, and
// those of one type of machine lose machines, as leaders change.
func TestJobsBoundToOneZoneLoseMachines(t *testing.T) {
	simulate(t, 15, func(sim *simulation) {
		bound := []spec{{zone: "a"}, {zone: "b"}, {oneZone: true}, {apart: true}, {types: []string{"m4"}}, {noSpot: true}, {kind: "service", oneZone: true}, {kind: "service", apart: true}}
		for i := range 16 {
			s := bound[i%len(bound)]
			s.tasks, s.runS = 2+i%3, sim.seconds(10, 60).Seconds()
			sim.submit(fmt.Sprintf("job-%d", i), s)
		}
		sim.awaitRunning(12)
		for round := range 5 {
			sim.impair(sim.someWorkers(), round%4, sim.leases(0.8, 1.6))
			sim.advance(sim.leases(0.3, 1.5))
			switch round {
			case 1, 3:
				sim.restartLeader()
			case 2:
				sim.takeMachines(sim.someWorkers())
			}
			sim.advance(sim.leases(0.3, 0.8))
		}
		sim.cancelServices()
		sim.endFaultsAndCheck()
	})
}

// takeMachines has the cloud take machines back without a word.
func (sim *simulation) takeMachines(some []*worker) {
	for _, k := range some {
		sim.logFault("%s is taken", k.rep.Machine)
		sim.cloud.Terminate(k.rep.Machine)
	}
}

// Guards against what both sides of a cut conclude: a zone with workers and a controller is cut off for longer than a lease, with the
// leader inside or outside.
func TestZonePartitionLongerThanALease(t *testing.T) {
	simulate(t, 19, func(sim *simulation) {
		for i := range 8 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], apart: i%2 == 1 && i%3 > 0})
		}
		sim.awaitRunning(8)
		for round := range 4 {
			lead := sim.awaitLeader()
			inside := lead
			if round%2 == 1 { // the leader is outside
				for _, n := range sim.nodes {
					if n.zone != lead.zone {
						inside = n
					}
				}
			}
			sim.cutZone(inside, sim.leases(1.2, 2.5))
			sim.advance(3 * time.Second)
			sim.cancel(fmt.Sprintf("job-%d", 2*round))
			sim.advance(seconds(0.6 * sim.site.lease))
			if round > 1 {
				sim.restart(sim.leaderOrAny(), 1, 4)
			}
			sim.advance(seconds(2.5 * sim.site.lease))
		}
		sim.endFaultsAndCheck()
	})
}

// cutZone cuts the zone of a controller off: that controller and the zone's workers reach each other and nobody else; other
// controllers of the zone reach nobody.
func (sim *simulation) cutZone(inside *node, d time.Duration) {
	var some []*worker
	sim.mu.Lock()
	for _, k := range sim.workers {
		if k.rep.Zone == inside.zone {
			some = append(some, k)
		}
	}
	sim.mu.Unlock()
	leader, _ := sim.holder()
	set := func(cut bool) {
		for _, n := range sim.nodes {
			if n.zone == inside.zone {
				n.isolate(cut)
				n.endpoint.Refuse(cut)
			}
		}
	}
	sim.logFault("zone %s is cut off with %s and %d workers", inside.zone, inside.name, len(some))
	sim.during(d, func() {
		set(true)
		sim.holds(inside, some)
		if leader != inside { // direct commands come from the leader
			sim.mu.Lock()
			for _, k := range some {
				k.term = 0
			}
			sim.mu.Unlock()
		}
	}, func() { set(false); sim.holds(nil, some) })
}

// Guards against the loss of long tasks, and their second copies, as a leader ends while their machines cannot be reached, or do not hear
// the next one's answers; and against jobs of two or three tasks that end far apart across a change of leader.
func TestUnreachableTasksAcrossAFailover(t *testing.T) {
	simulate(t, 20, func(sim *simulation) {
		for i := range 6 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 2 + i%2, runS: []float64{0, 150}[i/3]})
		}
		sim.awaitRunning(10)
		for round := range 4 {
			sim.impair(sim.someWorkers(), []int{disconnected, receivesNothing, hung, receivesNothing}[round], sim.leases(0.4, 1.5))
			sim.advance(sim.seconds(0.2, 2))
			sim.restartLeader()
			sim.advance(sim.leases(0.5, 2))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against machines that are leaked, and tasks that run twice, when new machines are up within two seconds and get work at once:
// the rental has no answer, the machine reports before it is listed, the record of a start comes late, and the leader ends, so that
// the next one knows the machine from its report alone.
func TestMachinesThatBootWithinSeconds(t *testing.T) {
	simulate(t, 5, func(sim *simulation) {
		sim.mu.Lock()
		sim.site.imageS = 0.25 // tasks begin at once
		sim.mu.Unlock()
		for round := range 8 {
			sim.fastBoot = true
			sim.cloud.ListOnly(len(sim.cloud.Machines()))
			sim.cloud.LoseRentAnswers(2)
			sim.state.DelayTransactions(func(txn wire.Txn) bool {
				return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put, jobs.PrefixProgress) }) && (round%2 == 0 || rand.IntN(2) == 0)
			})
			for i := range 3 {
				sim.submit(fmt.Sprintf("job-%d", 3*round+i), spec{tasks: 6, cpus: 8, runS: 10})
			}
			sim.advance(sim.seconds(2, 8))
			sim.impair(sim.someWorkers(), disconnected, sim.leases(0.5, 0.9)) // they run on, and the next leader has not heard of them
			sim.restartLeader()
			if round%4 < 2 {
				sim.state.DelayTransactions(nil) // the next one writes at once
			}
			sim.advance(sim.seconds(1, 8))
			sim.state.Deliver()
			sim.advance(sim.seconds(0, 4))
			sim.restartLeader()
			sim.state.DelayTransactions(nil)
			sim.advance(sim.seconds(5, 15))
			sim.state.Deliver()
			sim.cloud.ListOnly(-1)
			sim.cloud.LoseRentAnswers(0)
			sim.fastBoot = false
			sim.advance(seconds(sim.site.lease))
		}
		sim.endFaultsAndCheck()
		sim.waitFor("every machine is returned", 15*time.Minute, func() bool { return len(sim.cloud.Machines()) == 0 })
	})
}
