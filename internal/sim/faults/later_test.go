package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// The other meetings of the operators' list: docs/design/meetings.md has a row for each.

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
		sim.cloud.Take(k.rep.Machine)
	}
}

// Guards against starvation and too many tasks: there is more work than room, urgent and not, the state service is slow, and the leader ends.
func TestMoreWorkThanCapacity(t *testing.T) {
	simulate(t, 16, func(sim *simulation) {
		most := 1500 * time.Millisecond
		slowLinks(sim, nil)
		sim.during(60*time.Second, func() { sim.state.Slow(func() time.Duration { return time.Duration(sim.r.Int64N(int64(most))) }) }, func() { sim.state.Slow(nil) })
		for i := range 60 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{
				tasks: 1 + i%5, cpus: []float64{2, 4, 8}[i%3], runS: sim.seconds(5, 25).Seconds(), stub: float64(40 * (i % 2)),
				priority: []string{"urgent", "standard", "low", "production"}[i%4], team: []string{"t", "t", "small", "tight"}[i/4%4],
			})
			sim.advance(sim.seconds(0.2, 1.5))
			switch i {
			case 20, 40:
				sim.restartLeader()
			case 30:
				sim.impair(sim.someWorkers(), hung, sim.leases(0.5, 1.2))
			}
			if i%6 == 5 {
				sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(i)))
			}
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against an older answer, or two, as a cancellation, a question or a repeated submission meets the end of a job's last task;
// with no other trouble.
func TestCancellationAtTheEndOfAJob(t *testing.T) {
	simulate(t, 17, func(sim *simulation) {
		sim.pollClosely(true)
		sim.mu.Lock()
		sim.cancelAtEnd = true
		sim.mu.Unlock()
		for i := range 60 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, runS: sim.seconds(1, 6).Seconds()})
			sim.advance(sim.seconds(0.3, 1.5))
		}
		sim.endFaultsAndCheck()
		done, cancelled := 0, 0
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, j := range sim.jobs {
			if j.done {
				done++
			} else if !j.confirmed.IsZero() {
				cancelled++
			}
		}
		if done == 0 || done+cancelled != len(sim.jobs) {
			sim.t.Errorf("%d done and %d cancelled of %d", done, cancelled, len(sim.jobs))
		}
	})
}

// Guards against commands that are held up for seconds and carried out as the machine goes on, after the next leader has acted: starts
// of attempts that were given up, and stops.
func TestDirectCommandsAreDelayed(t *testing.T) {
	simulate(t, 18, func(sim *simulation) {
		for i := range 6 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 4, kind: []string{"array", "service"}[i%2], runS: 60})
		}
		sim.awaitRunning(8)
		for round := range 6 {
			sim.impair(sim.someWorkers(), hung, sim.leases(0.3, 0.95))
			sim.submit(fmt.Sprintf("job-%d", 6+round), spec{tasks: 6, runS: 20})
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.advance(sim.seconds(0.5, 3))
			if round%2 == 0 {
				sim.restartLeader()
			}
			sim.advance(sim.leases(0.5, 1.3))
		}
		sim.endFaultsAndCheck()
	})
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

// Guards against a state service that answers slowly while users cancel and ask, leaders are refused and end.
func TestCancellationsWithASlowStore(t *testing.T) {
	simulate(t, 21, func(sim *simulation) {
		sim.pollClosely(true)
		for round, most := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second} {
			sim.state.Slow(func() time.Duration { return time.Duration(sim.r.Int64N(int64(most))) })
			for i := range 6 {
				sim.submit(fmt.Sprintf("job-%d", 6*round+i), spec{tasks: 1 + i%2, runS: sim.seconds(3, 20).Seconds(), kind: []string{"array", "service"}[i/3]})
				sim.advance(sim.seconds(1, 3))
				sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(6*round+i+1)))
			}
			switch round {
			case 1, 3:
				refuseController(sim, sim.leaderOrAny())
			case 2:
				sim.restart(sim.leaderOrAny(), 0.2, 3)
			}
			sim.advance(sim.seconds(5, 15))
		}
		sim.state.Slow(nil)
		sim.endFaultsAndCheck()
	})
}

// Guards against old reports that arrive after newer ones, also of an earlier session or attempt: one that lacks a task, from before
// its start, would prove it gone while it runs on a machine that nobody reaches, and its team's next task would begin beside it.
func TestOldHeartbeatsAfterNewerOnes(t *testing.T) {
	simulate(t, 22, func(sim *simulation) {
		sim.copyPercent = 80
		fill := sim.submitter(func(n int) spec {
			return spec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%3, kind: []string{"array", "service"}[n/2%2], runS: sim.seconds(10, 50).Seconds()}
		})
		fill(10)
		sim.awaitRunning(8)
		for round := range 10 {
			sim.advance(sim.leases(0.2, 0.9))
			ids := sim.jobIDs(func(j *job) bool { return !j.asked && sim.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.machinesOf(ids...), []int{disconnected, hung, disconnected, sendsNothing}[round%4], sim.leases(0.6, 1.3))
			for _, id := range ids {
				sim.cancel(id)
			}
			fill(4)
			if round%5 == 4 {
				sim.restartLeader()
			}
		}
		sim.copyPercent = 0
		sim.cancelServices()
		sim.endFaultsAndCheck()
	})
}

// Guards against commands of a leader that has since ended, been deposed, or still leads, and that arrive after newer ones: a start
// whose job is cancelled meanwhile, or whose task ran elsewhere. Most direct commands are held up, unanswered, and carried out once, up
// to 16 s later or as the next leader acts; answers to reports are on their way for seconds, and copies of reports come between. Teams are at
// their limits, so that the room of a task that is taken for gone is used at once.
func TestLateCommandsOfDeposedLeaders(t *testing.T) {
	simulate(t, 23, func(sim *simulation) {
		sim.mu.Lock()
		sim.site.imageS = 0.25 // what starts begins at once
		sim.mu.Unlock()
		n := 0
		fill := sim.submitter(func(i int) spec {
			n = i + 1
			return spec{team: []string{"small", "tight", "t"}[i%3], tasks: 1 + i%4, kind: []string{"array", "service", "array"}[i/3%3], runS: sim.seconds(2, 20).Seconds()}
		})
		for round := range 32 {
			sim.delayCommands(30 + 20*(round%4))
			fill(6)
			if round%4 == 3 {
				slowLinks(sim, nil)
				copyHeartbeats(sim, nil)
			}
			sim.advance(sim.seconds(0.3, 3))
			switch round % 8 {
			case 0, 4:
				sim.restartLeader()
			case 1:
				refuseController(sim, sim.awaitLeader())
			case 2:
				lead := sim.awaitLeader()
				lead.stall(sim.seconds(4, 15))
			}
			for range 5 { // mostly jobs whose starts are on their way
				sim.cancel(fmt.Sprintf("job-%d", n-1-sim.r.IntN(6)))
				sim.advance(sim.seconds(0, 1))
			}
			if round%5 == 4 {
				sim.impair(sim.someWorkers(), []int{hung, disconnected, receivesNothing}[round%3], sim.leases(0.3, 1.2))
			}
			sim.advance(sim.seconds(1, 6))
			if round%8 == 7 { // what stays would leave no room for starts
				sim.cancelServices()
			}
		}
		sim.cancelServices()
		sim.delayCommands(0)
		sim.endFaultsAndCheck()
	})
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

// Guards against what is concluded from requests without an answer that are no transactions: a renewal or the end of a lease that is carried out late or
// unknown to its caller, a read that fails, while leaders change and users cancel.
func TestStoreRequestsOfUnknownOutcome(t *testing.T) {
	simulate(t, 25, func(sim *simulation) {
		sim.pollClosely(true)
		for i := range 24 {
			if i%6 == 0 {
				loseRequests(sim, nil)
			}
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "array", "service"}[i%3], runS: sim.seconds(2, 20).Seconds()})
			sim.advance(sim.seconds(1, 4))
			sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(i+1)))
			switch i % 6 {
			case 1:
				sim.restart(sim.leaderOrAny(), 0.2, 3)
			case 3:
				refuseController(sim, sim.leaderOrAny())
			case 5:
				n := sim.leaderOrAny()
				n.stall(sim.seconds(3, 12))
			}
			sim.advance(sim.seconds(1, 6))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against the loss of a zone's tasks: its only controller leads, ends while the state service is out, and is back within
// seconds, so that nobody can be elected. The others remember its right for its zone.
func TestAZonesOnlyMemberRestartsInAnOutage(t *testing.T) {
	sim := newSimulation(t, sites["lease 10, three"], 26+*shift)
	only := sim.nodes[1] // that of zone b
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
