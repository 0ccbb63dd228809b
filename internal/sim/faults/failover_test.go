package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against what is concluded from a time in which nobody looked: all controllers are away for longer than a lease, also as the
// state service is down.
func TestAllControllersStopForLongerThanALease(t *testing.T) {
	simulate(t, 12, func(sim *simulation) {
		for i := range 8 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], apart: i%4 == 3})
		}
		sim.awaitRunning(8)
		for round := range 3 {
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.impair(sim.someWorkers(), []int{hung, sendsNothing, receivesNothing}[round], sim.leases(0.5, 2.5))
			if round == 1 {
				sim.during(sim.leases(0.5, 2), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			}
			stopAllControllers(sim, nil)
			sim.advance(seconds(2.5 * sim.site.lease))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against state that leaders leave to each other: they change ten times in two minutes, also inside an outage, while jobs come, end
// and are cancelled, and users look closely.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	simulate(t, 13, func(sim *simulation) {
		sim.pollClosely(true)
		last := sim.term - 1
		for i := range 12 {
			sim.submit(fmt.Sprintf("job-%d", 2*i), spec{tasks: 2, runS: sim.seconds(3, 30).Seconds(), team: []string{"t", "small", "tight"}[i%3]})
			sim.submit(fmt.Sprintf("job-%d", 2*i+1), spec{tasks: 2, kind: "service", apart: true})
			sim.advance(sim.seconds(1, 4))
			sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(2*i+2)))
			if i == 4 {
				sim.during(20*time.Second, func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
				sim.advance(2 * time.Second)
				sim.restart(sim.leaderOrAny(), 0.2, 2)
				continue
			}
			// One that is back at once is named by the leader key still: a leader is new by its term.
			sim.waitFor("a new leader", time.Minute, func() bool { _, term := sim.holder(); return term > last && sim.leader() != nil })
			last = sim.term
			sim.restart(sim.awaitLeader(), 0.2, 2)
			sim.advance(sim.seconds(2, 6))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against leaders that hand over and back, all end, and one returns, also within a second.
func TestLeadershipHandedOverAndBack(t *testing.T) {
	simulate(t, 14, func(sim *simulation) {
		for i := range 8 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 60})
		}
		sim.awaitRunning(8)
		for round := range 4 {
			a := sim.awaitLeader()
			a.endpoint.Refuse(true) // until it has handed over, however starved the machine is
			sim.waitFor("another leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != a })
			a.endpoint.Refuse(false)
			sim.cancel(fmt.Sprintf("job-%d", round))
			b := sim.awaitLeader()
			sim.during(4*time.Second, func() { b.endpoint.Refuse(true) }, func() { b.endpoint.Refuse(false) })
			sim.advance(sim.seconds(1, 5))
			for _, n := range sim.nodes {
				sim.restart(n, 3, 8)
			}
			sim.nodes[sim.r.IntN(len(sim.nodes))].back = sim.now().Add(sim.seconds(0, 1))
			sim.advance(sim.seconds(2, 12))
		}
		sim.formerLeaderInAnOutage("job-5")
		sim.formerLeaderInAnOutage("job-7")
		sim.endFaultsAndCheck()
	})
}

// formerLeaderInAnOutage has a leader be cut off, another confirm a cancellation and end, and an outage begin as the first is
// back: it must not act again, for it remembers the job as running.
func (sim *simulation) formerLeaderInAnOutage(id string) {
	sim.t.Helper()
	sim.waitFor("services run", 3*time.Minute, sim.locked(func() bool { return sim.running(id) > 0 || sim.byID[id].history.level == ended }))
	first := sim.awaitLeader()
	sim.advance(5 * time.Second)
	if first != sim.leader() {
		first = sim.awaitLeader()
	}
	first.endpoint.Refuse(true)
	first.isolate(true)
	sim.waitFor("another leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != first })
	sim.cancel(id)
	sim.waitFor("its cancellation is confirmed", time.Minute+seconds(sim.site.lease), sim.locked(func() bool { return sim.byID[id].history.level == ended }))
	sim.logFault("the state service is down, and %s can be reached again", first.name)
	sim.state.Refuse(true)
	first.isolate(false)
	sim.restart(sim.leaderOrAny(), 8, 10)
	for range 40 { // users ask everywhere
		sim.mu.Lock()
		sim.pollEverywhere(sim.byID[id])
		sim.mu.Unlock()
		sim.step()
	}
	sim.state.Refuse(false)
	first.endpoint.Refuse(false)
	sim.advance(10 * time.Second)
}

// Guards against what a controller had looked at before it stood still, and uses after: its right, who answered, promises, a vacant
// leader key. Leaders and others stand still, in the middle of cancellations, elections and an outage, and go on together.
func TestControllersStall(t *testing.T) {
	simulate(t, 24, func(sim *simulation) {
		sim.pollClosely(true)
		for i := range 12 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], team: []string{"t", "tight", "small"}[i%3], apart: i%4 == 3})
		}
		sim.awaitRunning(8)
		for round := range 12 {
			lead := sim.awaitLeader()
			most := []float64{10, 30, 30}[round%3] // one that hears nobody for longer than 10 s sends its users on
			lead.stall(sim.seconds(2, most))
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.submit(fmt.Sprintf("job-%d", 12+round), spec{tasks: 2, runS: sim.seconds(3, 20).Seconds()})
			sim.advance(sim.seconds(0.2, 6))
			switch round % 3 {
			case 1: // the next one too, perhaps as it is elected
				n := sim.nodes[sim.r.IntN(len(sim.nodes))]
				n.stall(sim.seconds(1, 10))
			case 2:
				sim.during(sim.leases(0.3, 1.5), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			}
			if round%4 == 2 { // all at once
				for _, n := range sim.nodes {
					n.stall(sim.leases(0.2, 1.3))
				}
			}
			sim.advance(sim.seconds(3, 20))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against the loss of a zone's tasks: its only controller leads, ends while the state service is out, and is back within
// seconds, so that nobody can be elected. The others remember its right for its zone.
func TestAZonesOnlyMemberRestartsInAnOutage(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, sites["lease 10, three"], 26+*shift)
	only := sim.nodes[1] // that of zone b
	sim.paced = true     // that no worker loses its tasks depends on answers within a lease, which a starved machine does not give
	for i := range 8 {
		sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 2, kind: []string{"array", "service"}[i%2], runS: 600, zone: []string{"a", "b"}[i%2]})
	}
	sim.awaitRunning(12)
	sim.waitFor("the only member of its zone leads", 5*time.Minute, func() bool {
		n := sim.leader()
		if n != nil && n != only {
			sim.restart(n, 4, 6)
		}
		return n == only
	})
	sim.advance(15 * time.Second) // the others hear its claim, and all workers come
	busy := map[*worker]uint64{}  // those with tasks, and their sessions
	sim.mu.Lock()
	for _, k := range sim.workers {
		if len(k.rep.Tasks) > 0 {
			busy[k] = k.rep.Incarnation
		}
	}
	sim.mu.Unlock()
	sim.logFault("the state service is down")
	sim.state.Refuse(true)
	sim.advance(time.Second)
	sim.restart(only, 1, 3)
	sim.advance(seconds(2.5 * sim.site.lease))
	if kept := sim.locked(func() bool {
		for k, session := range busy {
			if !k.gone && k.rep.Incarnation != session {
				sim.record("%s in %s lost its session", k.rep.Machine, k.rep.Zone)
				return false
			}
		}
		return len(busy) > 1
	})(); !kept {
		sim.mu.Lock()
		trace := sim.trace.String()
		sim.mu.Unlock()
		t.Fatalf("of %d machines with tasks one lost them\n%s", len(busy), trace)
	}
	sim.cancel("job-1")
	sim.cancel("job-4")
	sim.advance(5 * time.Second)
	sim.state.Refuse(false)
	sim.endFaultsAndCheck()
}

// Guards against the meeting that broke most: the state service refuses the leader alone, another controller confirms
// cancellations, then the service is down for all for longer than cancel_s while the workers keep reporting to the old leader. Twice in a row.
func TestLeaderRefusedThenStoreOutage(t *testing.T) {
	for name, s := range sites {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, s, 1+*shift)
			sim.waitFor("a leader", time.Minute, func() bool { return sim.leader() != nil })
			submits := func(numbers ...int) {
				for _, i := range numbers {
					sim.submit(fmt.Sprintf("job-%d", i), spec{kind: []string{"array", "service"}[i%2], tasks: []int{6, 3, 300, 1}[i], stub: float64(40 * (i / 2)), apart: i == 1})
				}
			}
			// Those that stay come first: if the leader hears of the 300 tasks before them, all machines may be rented in one zone, and
			// replicas that must be apart wait until the array is done, as they should.
			submits(1, 3)
			sim.waitFor("every replica runs", 5*time.Minute, sim.locked(func() bool { return sim.running("job-1")+sim.running("job-3") > 3 }))
			submits(0, 2)
			sim.waitFor("tasks of both arrays run", 5*time.Minute, sim.locked(func() bool { return sim.running("job-0") > 0 && sim.running("job-2") >= 12 }))
			for round, now := range []float64{1.2, 1.5} {
				old := sim.leader()
				if old == nil {
					sim.waitFor("a leader again", time.Minute, func() bool { old = sim.leader(); return old != nil })
				}
				sim.logFault("%s of zone %s is refused", old.name, old.zone)
				sim.holds(old, sim.workers[:len(sim.workers)/2])
				old.endpoint.Refuse(true)
				old.isolate(round == 1) // from the other controllers as well: it keeps its zone's workers by itself
				sim.waitFor("another leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != old })
				for i := range 2 {
					sim.cancel(fmt.Sprintf("job-%d", 2*round+i))
				}
				sim.advance(time.Duration(6+sim.r.IntN(6)) * time.Second) // as long as a refusal of the leader alone may last
				sim.logFault("the state service is down")
				sim.state.Refuse(true)
				sim.advance(seconds(now * s.cancelS))
				sim.logFault("it is back")
				sim.state.Refuse(false)
				old.endpoint.Refuse(false)
				old.isolate(false)
				sim.holds(nil, sim.workers)
				took := sim.waitFor("cancellations are confirmed", 2*time.Minute, sim.all(func(j *job) bool { return !j.asked || !j.confirmed.IsZero() || j.done }))
				t.Logf("round %d: confirmed %v after the trouble", round, took)
			}
			sim.advance(seconds(s.cancelS + s.lease))
		})
	}
}
