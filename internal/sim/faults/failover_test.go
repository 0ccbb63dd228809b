package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against wrong conclusions about a time in which no controller ran: all controllers are stopped for longer
// than a worker's lease, once also while the state service is down.
func TestAllControllersStopForLongerThanALease(t *testing.T) {
	simulate(t, 12, func(sim *simulation) {
		for i := range 8 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], spreadZones: i%4 == 3})
		}
		sim.awaitRunning(8)
		for round := range 3 {
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.impair(sim.randomWorkers(), []int{hung, sendsNoHeartbeats, receivesNothing}[round], sim.randomLeases(0.5, 2.5))
			if round == 1 {
				sim.startFault(sim.randomLeases(0.5, 2), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			}
			stopAllControllers(sim, nil)
			sim.advance(seconds(2.5 * sim.deployment.leaseS))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against faulty state that one leader leaves to the next. The leader changes ten times in two minutes, also
// during an outage of the state service, while jobs are submitted, end and are cancelled, and users poll all
// controllers after each change.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	simulate(t, 13, func(sim *simulation) {
		sim.setPollOnChange(true)
		lastTerm := sim.highestTerm - 1
		for i := range 12 {
			sim.submit(fmt.Sprintf("job-%d", 2*i), jobSpec{tasks: 2, runS: sim.randomSeconds(3, 30).Seconds(), team: []string{"t", "small", "tight"}[i%3]})
			sim.submit(fmt.Sprintf("job-%d", 2*i+1), jobSpec{tasks: 2, kind: "service", spreadZones: true})
			sim.advance(sim.randomSeconds(1, 4))
			sim.cancel(fmt.Sprintf("job-%d", sim.rng.IntN(2*i+2)))
			if i == 4 {
				sim.startFault(20*time.Second, func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
				sim.advance(2 * time.Second)
				sim.restart(sim.leaderOrAny(), 0.2, 2)
				continue
			}
			// Only a new term identifies a new leader, because the leader key may still name a leader that restarts
			// at once.
			sim.waitFor("a new leader", time.Minute, func() bool { _, term := sim.observeLeaderKey(); return term > lastTerm && sim.leader() != nil })
			lastTerm = sim.highestTerm
			sim.restart(sim.awaitLeader(), 0.2, 2)
			sim.advance(sim.randomSeconds(2, 6))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against violations when a leader hands over to another and gets the leadership back, all controllers stop,
// and one restarts within a second.
func TestLeadershipHandedOverAndBack(t *testing.T) {
	simulate(t, 14, func(sim *simulation) {
		for i := range 8 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 60})
		}
		sim.awaitRunning(8)
		for round := range 4 {
			first := sim.awaitLeader()
			first.endpoint.Refuse(true) // until it has handed over, however long that takes on a host that is short of CPU
			sim.waitFor("another controller leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != first })
			first.endpoint.Refuse(false)
			sim.cancel(fmt.Sprintf("job-%d", round))
			second := sim.awaitLeader()
			sim.startFault(4*time.Second, func() { second.endpoint.Refuse(true) }, func() { second.endpoint.Refuse(false) })
			sim.advance(sim.randomSeconds(1, 5))
			for _, n := range sim.nodes {
				sim.restart(n, 3, 8)
			}
			sim.nodes[sim.rng.IntN(len(sim.nodes))].restartAt = sim.now().Add(sim.randomSeconds(0, 1))
			sim.advance(sim.randomSeconds(2, 12))
		}
		sim.returnFormerLeaderInOutage("job-5")
		sim.returnFormerLeaderInOutage("job-7")
		sim.endFaultsAndCheck()
	})
}

// returnFormerLeaderInOutage isolates the leader, lets the next leader confirm a cancellation and stop, and starts an
// outage of the state service as the first leader becomes reachable again. The first leader must not act as leader
// again, since in its memory the job still runs.
func (sim *simulation) returnFormerLeaderInOutage(id string) {
	sim.t.Helper()
	sim.waitFor("a task of the job runs, or the job has ended", 3*time.Minute, sim.locked(func() bool { return sim.tasksRunning(id) > 0 || sim.jobsByID[id].history.level == levelEnded }))
	first := sim.awaitLeader()
	sim.advance(5 * time.Second)
	if first != sim.leader() {
		first = sim.awaitLeader()
	}
	first.endpoint.Refuse(true)
	first.isolate(true)
	sim.waitFor("another controller leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != first })
	sim.cancel(id)
	sim.waitFor("its cancellation is confirmed", time.Minute+seconds(sim.deployment.leaseS), sim.locked(func() bool { return sim.jobsByID[id].history.level == levelEnded }))
	sim.recordEvent("the state service is down, and %s can be reached again", first.name)
	sim.state.Refuse(true)
	first.isolate(false)
	sim.restart(sim.leaderOrAny(), 8, 10)
	for range 40 { // users poll all controllers
		sim.mu.Lock()
		sim.pollEverywhere(sim.jobsByID[id])
		sim.mu.Unlock()
		sim.step()
	}
	sim.state.Refuse(false)
	first.endpoint.Refuse(false)
	sim.advance(10 * time.Second)
}

// Guards against a controller that acts after a stall on what it had read before: the validity of its leadership,
// which members answered, votes, or a vacant leader key. Leaders and other controllers stall during cancellations,
// elections and an outage of the state service, and resume together.
func TestControllersStall(t *testing.T) {
	simulate(t, 24, func(sim *simulation) {
		sim.setPollOnChange(true)
		for i := range 12 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], team: []string{"t", "tight", "small"}[i%3], spreadZones: i%4 == 3})
		}
		sim.awaitRunning(8)
		for round := range 12 {
			leader := sim.awaitLeader()
			maxStallS := []float64{10, 30, 30}[round%3] // a controller that nobody answers for longer than 10 s sends its users to another one
			leader.stall(sim.randomSeconds(2, maxStallS))
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.submit(fmt.Sprintf("job-%d", 12+round), jobSpec{tasks: 2, runS: sim.randomSeconds(3, 20).Seconds()})
			sim.advance(sim.randomSeconds(0.2, 6))
			switch round % 3 {
			case 1: // another controller too, perhaps just as it is elected
				n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
				n.stall(sim.randomSeconds(1, 10))
			case 2:
				sim.startFault(sim.randomLeases(0.3, 1.5), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			}
			if round%4 == 2 { // all controllers at once
				for _, n := range sim.nodes {
					n.stall(sim.randomLeases(0.2, 1.3))
				}
			}
			sim.advance(sim.randomSeconds(3, 20))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against the loss of a zone's tasks. The only controller of the zone is the leader. It stops during an
// outage of the state service and restarts within seconds, while nobody can be elected. The tasks must survive,
// since the other members remember its zone lease.
func TestAZonesOnlyMemberRestartsInAnOutage(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, deployments["lease 10, three"], 26+*seedShift)
	only := sim.nodes[1] // the only controller of zone b
	sim.paced = true     // workers keep their tasks only if they get answers within a lease; an unpaced host that is short of CPU answers too late
	for i := range 8 {
		sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 2, kind: []string{"array", "service"}[i%2], runS: 600, zone: []string{"a", "b"}[i%2]})
	}
	sim.awaitRunning(12)
	sim.waitFor("the only member of its zone leads", 5*time.Minute, func() bool {
		n := sim.leader()
		if n != nil && n != only {
			sim.restart(n, 4, 6)
		}
		return n == only
	})
	sim.advance(15 * time.Second) // the other members learn of its zone lease, and all workers send heartbeats to it
	busy := map[*worker]uint64{}  // workers with tasks, and their incarnations
	sim.mu.Lock()
	for _, w := range sim.workers {
		if len(w.heartbeat.Tasks) > 0 {
			busy[w] = w.heartbeat.Incarnation
		}
	}
	sim.mu.Unlock()
	sim.recordEvent("the state service is down")
	sim.state.Refuse(true)
	sim.advance(time.Second)
	sim.restart(only, 1, 3)
	sim.advance(seconds(2.5 * sim.deployment.leaseS))
	if incarnationsKept := sim.locked(func() bool {
		for w, incarnation := range busy {
			if !w.removed && w.heartbeat.Incarnation != incarnation {
				sim.record("%s in zone %s has a new incarnation, so it lost its tasks", w.heartbeat.Machine, w.heartbeat.Zone)
				return false
			}
		}
		return len(busy) > 1
	})(); !incarnationsKept {
		sim.mu.Lock()
		trace := sim.trace.String()
		sim.mu.Unlock()
		t.Fatalf("one of %d machines with tasks lost its tasks, or there were fewer than two\n%s", len(busy), trace)
	}
	sim.cancel("job-1")
	sim.cancel("job-4")
	sim.advance(5 * time.Second)
	sim.state.Refuse(false)
	sim.endFaultsAndCheck()
}

// Guards against the combination of faults that caused the most violations: the state service refuses only the
// leader, another controller confirms cancellations, then the service is down for everyone for longer than cancel_s
// while workers still send their heartbeats to the old leader. This happens twice in a row.
func TestLeaderRefusedThenStoreOutage(t *testing.T) {
	for name, params := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, params, 1+*seedShift)
			sim.waitFor("a leader", time.Minute, func() bool { return sim.leader() != nil })
			submitJobs := func(numbers ...int) {
				for _, i := range numbers {
					sim.submit(fmt.Sprintf("job-%d", i), jobSpec{kind: []string{"array", "service"}[i%2], tasks: []int{6, 3, 300, 1}[i], checkpointS: float64(40 * (i / 2)), spreadZones: i == 1})
				}
			}
			// The services are submitted first. If the leader received the 300 tasks before them, all machines
			// might be rented in one zone, and replicas that must be spread across zones would correctly wait until
			// the array is done.
			submitJobs(1, 3)
			sim.waitFor("every replica runs", 5*time.Minute, sim.locked(func() bool { return sim.tasksRunning("job-1")+sim.tasksRunning("job-3") > 3 }))
			submitJobs(0, 2)
			sim.waitFor("tasks of both arrays run", 5*time.Minute, sim.locked(func() bool { return sim.tasksRunning("job-0") > 0 && sim.tasksRunning("job-2") >= 12 }))
			for round, outageFactor := range []float64{1.2, 1.5} {
				old := sim.leader()
				if old == nil {
					sim.waitFor("a new leader", time.Minute, func() bool { old = sim.leader(); return old != nil })
				}
				sim.recordEvent("the state service refuses %s of zone %s", old.name, old.zone)
				sim.limitWorkersTo(old, sim.workers[:len(sim.workers)/2])
				old.endpoint.Refuse(true)
				old.isolate(round == 1) // in the second round it is isolated from the other controllers too, and renews the leases of its zone's workers on its own
				sim.waitFor("another controller leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != old })
				for i := range 2 {
					sim.cancel(fmt.Sprintf("job-%d", 2*round+i))
				}
				sim.advance(time.Duration(6+sim.rng.IntN(6)) * time.Second) // the state service may refuse only the leader for about this long
				sim.recordEvent("the state service is down")
				sim.state.Refuse(true)
				sim.advance(seconds(outageFactor * params.cancelS))
				sim.recordEvent("the state service is available again")
				sim.state.Refuse(false)
				old.endpoint.Refuse(false)
				old.isolate(false)
				sim.limitWorkersTo(nil, sim.workers)
				elapsed := sim.waitFor("cancellations are confirmed", 2*time.Minute, sim.allJobs(func(j *job) bool { return !j.cancelWanted || !j.cancelConfirmedAt.IsZero() || j.done }))
				t.Logf("round %d: cancellations confirmed %v after the faults ended", round, elapsed)
			}
			sim.advance(seconds(params.cancelS + params.leaseS))
		})
	}
}
