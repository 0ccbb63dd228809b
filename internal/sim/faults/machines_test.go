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

// Guards against wrong conclusions about machines that reach no controller while direct commands reach them. Their
// tasks end when their leases expire, and nothing that results from a direct command may count as a heartbeat.
func TestMachinesThatReachNoController(t *testing.T) {
	simulate(t, 11, func(sim *simulation) {
		for i := range 10 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], team: []string{"t", "tight"}[i/5]})
		}
		sim.awaitRunning(10)
		for round, leases := range []float64{0.5, 1.4, 0.9, 2.2} {
			sim.impair(sim.randomWorkers(), sendsNoHeartbeats, seconds(leases*sim.deployment.leaseS))
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
			sim.advance(seconds((leases + 0.5) * sim.deployment.leaseS))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against wrong placements. Jobs that are bound to a zone or a machine type, and jobs whose tasks must be in
// the same zone or spread across zones, lose machines while leaders change.
func TestJobsBoundToOneZoneLoseMachines(t *testing.T) {
	simulate(t, 15, func(sim *simulation) {
		constraints := []jobSpec{{zone: "a"}, {zone: "b"}, {sameZone: true}, {spreadZones: true}, {types: []string{"m4"}}, {noSpot: true}, {kind: "service", sameZone: true}, {kind: "service", spreadZones: true}}
		for i := range 16 {
			s := constraints[i%len(constraints)]
			s.tasks, s.runS = 2+i%3, sim.randomSeconds(10, 60).Seconds()
			sim.submit(fmt.Sprintf("job-%d", i), s)
		}
		sim.awaitRunning(12)
		for round := range 5 {
			sim.impair(sim.randomWorkers(), round%4, sim.randomLeases(0.8, 1.6))
			sim.advance(sim.randomLeases(0.3, 1.5))
			switch round {
			case 1, 3:
				sim.restartLeader()
			case 2:
				sim.terminateMachines(sim.randomWorkers())
			}
			sim.advance(sim.randomLeases(0.3, 0.8))
		}
		sim.cancelServices()
		sim.endFaultsAndCheck()
	})
}

// terminateMachines makes the cloud terminate machines without notice.
func (sim *simulation) terminateMachines(workers []*worker) {
	for _, w := range workers {
		sim.recordEvent("the cloud terminates %s", w.heartbeat.Machine)
		sim.cloud.Terminate(w.heartbeat.Machine)
	}
}

// Guards against wrong conclusions on either side of a network partition: a zone with workers and a controller is
// partitioned for longer than a lease, with the leader inside or outside.
func TestZonePartitionLongerThanALease(t *testing.T) {
	simulate(t, 19, func(sim *simulation) {
		for i := range 8 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], spreadZones: i%2 == 1 && i%3 > 0})
		}
		sim.awaitRunning(8)
		for round := range 4 {
			leader := sim.awaitLeader()
			inside := leader
			if round%2 == 1 { // the leader is outside the partitioned zone
				for _, n := range sim.nodes {
					if n.zone != leader.zone {
						inside = n
					}
				}
			}
			sim.partitionZone(inside, sim.randomLeases(1.2, 2.5))
			sim.advance(3 * time.Second)
			sim.cancel(fmt.Sprintf("job-%d", 2*round))
			sim.advance(seconds(0.6 * sim.deployment.leaseS))
			if round > 1 {
				sim.restart(sim.leaderOrAny(), 1, 4)
			}
			sim.advance(seconds(2.5 * sim.deployment.leaseS))
		}
		sim.endFaultsAndCheck()
	})
}

// partitionZone partitions the zone of a controller for a duration: that controller and the zone's workers reach
// only each other, and the zone's other controllers reach nobody.
func (sim *simulation) partitionZone(inside *node, d time.Duration) {
	var workers []*worker
	sim.mu.Lock()
	for _, w := range sim.workers {
		if w.heartbeat.Zone == inside.zone {
			workers = append(workers, w)
		}
	}
	sim.mu.Unlock()
	leader, _ := sim.observeLeaderKey()
	set := func(cut bool) {
		for _, n := range sim.nodes {
			if n.zone == inside.zone {
				n.isolate(cut)
				n.endpoint.Refuse(cut)
			}
		}
	}
	sim.recordEvent("zone %s is partitioned with %s and %d workers", inside.zone, inside.name, len(workers))
	sim.startFault(d, func() {
		set(true)
		sim.limitWorkersTo(inside, workers)
		if leader != inside { // the leader is outside, and only it sends direct commands: none arrives
			sim.mu.Lock()
			for _, w := range workers {
				w.onlyNodeTerm = 0
			}
			sim.mu.Unlock()
		}
	}, func() { set(false); sim.limitWorkersTo(nil, workers) })
}

// Guards against long tasks that are lost or run twice when a leader stops while their machines are unreachable or
// do not receive the next leader's answers. It also covers jobs of two or three tasks, one of which ends long
// before a failover and another after it.
func TestUnreachableTasksAcrossAFailover(t *testing.T) {
	simulate(t, 20, func(sim *simulation) {
		for i := range 6 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 2 + i%2, runS: []float64{0, 150}[i/3]})
		}
		sim.awaitRunning(10)
		for round := range 4 {
			sim.impair(sim.randomWorkers(), []int{disconnected, receivesNothing, hung, receivesNothing}[round], sim.randomLeases(0.4, 1.5))
			sim.advance(sim.randomSeconds(0.2, 2))
			sim.restartLeader()
			sim.advance(sim.randomLeases(0.5, 2))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against leaked machines and tasks that run twice when new machines boot within two seconds and get tasks
// at once. The rental gets no answer, the machine sends a heartbeat before the cloud lists it, the record of the
// task's start is written late, and the leader stops. So the next leader knows the machine only from its heartbeat.
func TestMachinesThatBootWithinSeconds(t *testing.T) {
	simulate(t, 5, func(sim *simulation) {
		sim.mu.Lock()
		sim.deployment.imageFetchMaxS = 0.25 // seconds; tasks begin to execute at once
		sim.mu.Unlock()
		for round := range 8 {
			sim.fastBoot = true
			sim.cloud.ListOnly(len(sim.cloud.Machines()))
			sim.cloud.LoseRentAnswers(2)
			sim.state.DelayTransactions(func(txn wire.Txn) bool {
				return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put, jobs.PrefixProgress) }) && (round%2 == 0 || rand.IntN(2) == 0)
			})
			for i := range 3 {
				sim.submit(fmt.Sprintf("job-%d", 3*round+i), jobSpec{tasks: 6, cpus: 8, runS: 10})
			}
			sim.advance(sim.randomSeconds(2, 8))
			sim.impair(sim.randomWorkers(), disconnected, sim.randomLeases(0.5, 0.9)) // they run on, and the next leader gets no heartbeat from them
			sim.restartLeader()
			if round%4 < 2 {
				sim.state.DelayTransactions(nil) // the next leader's transactions are executed at once
			}
			sim.advance(sim.randomSeconds(1, 8))
			sim.state.Deliver()
			sim.advance(sim.randomSeconds(0, 4))
			sim.restartLeader()
			sim.state.DelayTransactions(nil)
			sim.advance(sim.randomSeconds(5, 15))
			sim.state.Deliver()
			sim.cloud.ListOnly(-1)
			sim.cloud.LoseRentAnswers(0)
			sim.fastBoot = false
			sim.advance(seconds(sim.deployment.leaseS))
		}
		sim.endFaultsAndCheck()
		sim.waitFor("every machine is released", 15*time.Minute, func() bool { return len(sim.cloud.Machines()) == 0 })
	})
}
