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
	simulate(t, 11, func(w *simulation) {
		for i := range 10 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], team: []string{"t", "tight"}[i/5]})
		}
		w.awaitRunning(10)
		for round, leases := range []float64{0.5, 1.4, 0.9, 2.2} {
			w.impair(w.someWorkers(), sendsNothing, seconds(leases*w.site.lease))
			w.advance(2 * time.Second)
			w.cancel(fmt.Sprintf("job-%d", round))
			w.cancel(fmt.Sprintf("job-%d", 9-round))
			switch round {
			case 1:
				w.restartLeader()
			case 2:
				refuseController(w, w.awaitLeader())
			case 3:
				storeOutage(w, nil)
			}
			w.advance(seconds((leases + 0.5) * w.site.lease))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against what is concluded from a time in which nobody looked: all controllers are away for longer than a lease, also as the
// state service is down.
func TestAllControllersStopForLongerThanALease(t *testing.T) {
	simulate(t, 12, func(w *simulation) {
		for i := range 8 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], apart: i%4 == 3})
		}
		w.awaitRunning(8)
		for round := range 3 {
			w.cancel(fmt.Sprintf("job-%d", round))
			w.impair(w.someWorkers(), []int{hung, sendsNothing, receivesNothing}[round], w.leases(0.5, 2.5))
			if round == 1 {
				w.during(w.leases(0.5, 2), func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
			}
			stopAllControllers(w, nil)
			w.advance(seconds(2.5 * w.site.lease))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against state that leaders leave to each other: they change ten times in two minutes, also inside an outage, while jobs come, end
// and are cancelled, and users look closely.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	simulate(t, 13, func(w *simulation) {
		w.pollClosely(true)
		last := w.term - 1
		for i := range 12 {
			w.submit(fmt.Sprintf("job-%d", 2*i), spec{tasks: 2, runS: w.seconds(3, 30).Seconds(), team: []string{"t", "small", "tight"}[i%3]})
			w.submit(fmt.Sprintf("job-%d", 2*i+1), spec{tasks: 2, kind: "service", apart: true})
			w.advance(w.seconds(1, 4))
			w.cancel(fmt.Sprintf("job-%d", w.r.IntN(2*i+2)))
			if i == 4 {
				w.during(20*time.Second, func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
				w.advance(2 * time.Second)
				w.restart(w.leaderOrAny(), 0.2, 2)
				continue
			}
			// One that is back at once is named by the leader key still: a leader is new by its term.
			w.waitFor("a new leader", time.Minute, func() bool { _, term := w.holder(); return term > last && w.leader() != nil })
			last = w.term
			w.restart(w.awaitLeader(), 0.2, 2)
			w.advance(w.seconds(2, 6))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against leaders that hand over and back, all end, and one returns, also within a second.
func TestLeadershipHandedOverAndBack(t *testing.T) {
	simulate(t, 14, func(w *simulation) {
		for i := range 8 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 60})
		}
		w.awaitRunning(8)
		for round := range 4 {
			a := w.awaitLeader()
			a.endpoint.Refuse(true) // until it has handed over, however starved the machine is
			w.waitFor("another leads", time.Minute, func() bool { n := w.leader(); return n != nil && n != a })
			a.endpoint.Refuse(false)
			w.cancel(fmt.Sprintf("job-%d", round))
			b := w.awaitLeader()
			w.during(4*time.Second, func() { b.endpoint.Refuse(true) }, func() { b.endpoint.Refuse(false) })
			w.advance(w.seconds(1, 5))
			for _, n := range w.nodes {
				w.restart(n, 3, 8)
			}
			w.nodes[w.r.IntN(len(w.nodes))].back = w.now().Add(w.seconds(0, 1))
			w.advance(w.seconds(2, 12))
		}
		w.formerLeaderInAnOutage("job-5")
		w.formerLeaderInAnOutage("job-7")
		w.endFaultsAndCheck()
	})
}

// formerLeaderInAnOutage has a leader be cut off, another confirm a cancellation and end, and an outage begin as the first is
// back: it must not act again, for it remembers the job as running.
func (w *simulation) formerLeaderInAnOutage(id string) {
	w.t.Helper()
	w.waitFor("services run", 3*time.Minute, w.locked(func() bool { return w.running(id) > 0 || w.byID[id].history.level == ended }))
	first := w.awaitLeader()
	w.advance(5 * time.Second)
	if first != w.leader() {
		first = w.awaitLeader()
	}
	first.endpoint.Refuse(true)
	first.isolate(true)
	w.waitFor("another leads", time.Minute, func() bool { n := w.leader(); return n != nil && n != first })
	w.cancel(id)
	w.waitFor("its cancellation is confirmed", time.Minute+seconds(w.site.lease), w.locked(func() bool { return w.byID[id].history.level == ended }))
	w.logFault("the state service is down, and %s can be reached again", first.name)
	w.state.Refuse(true)
	first.isolate(false)
	w.restart(w.leaderOrAny(), 8, 10)
	for range 40 { // users ask everywhere
		w.mu.Lock()
		w.pollEverywhere(w.byID[id])
		w.mu.Unlock()
		w.step()
	}
	w.state.Refuse(false)
	first.endpoint.Refuse(false)
	w.advance(10 * time.Second)
}

// Guards against tasks in a wrong place: jobs that are bound to one zone, arrays whose tasks must be in the same zone or apart, and
// those of one type of machine lose machines, as leaders change.
func TestJobsBoundToOneZoneLoseMachines(t *testing.T) {
	simulate(t, 15, func(w *simulation) {
		bound := []spec{{zone: "a"}, {zone: "b"}, {oneZone: true}, {apart: true}, {types: []string{"m4"}}, {noSpot: true}, {kind: "service", oneZone: true}, {kind: "service", apart: true}}
		for i := range 16 {
			s := bound[i%len(bound)]
			s.tasks, s.runS = 2+i%3, w.seconds(10, 60).Seconds()
			w.submit(fmt.Sprintf("job-%d", i), s)
		}
		w.awaitRunning(12)
		for round := range 5 {
			w.impair(w.someWorkers(), round%4, w.leases(0.8, 1.6))
			w.advance(w.leases(0.3, 1.5))
			switch round {
			case 1, 3:
				w.restartLeader()
			case 2:
				w.takeMachines(w.someWorkers())
			}
			w.advance(w.leases(0.3, 0.8))
		}
		w.cancelServices()
		w.endFaultsAndCheck()
	})
}

// takeMachines has the cloud take machines back without a word.
func (w *simulation) takeMachines(some []*worker) {
	for _, k := range some {
		w.logFault("%s is taken", k.rep.Machine)
		w.cloud.Take(k.rep.Machine)
	}
}

// Guards against starvation and too many tasks: there is more work than room, urgent and not, the state service is slow, and the leader ends.
func TestMoreWorkThanCapacity(t *testing.T) {
	simulate(t, 16, func(w *simulation) {
		most := 1500 * time.Millisecond
		slowLinks(w, nil)
		w.during(60*time.Second, func() { w.state.Slow(func() time.Duration { return time.Duration(w.r.Int64N(int64(most))) }) }, func() { w.state.Slow(nil) })
		for i := range 60 {
			w.submit(fmt.Sprintf("job-%d", i), spec{
				tasks: 1 + i%5, cpus: []float64{2, 4, 8}[i%3], runS: w.seconds(5, 25).Seconds(), stub: float64(40 * (i % 2)),
				priority: []string{"urgent", "standard", "low", "production"}[i%4], team: []string{"t", "t", "small", "tight"}[i/4%4],
			})
			w.advance(w.seconds(0.2, 1.5))
			switch i {
			case 20, 40:
				w.restartLeader()
			case 30:
				w.impair(w.someWorkers(), hung, w.leases(0.5, 1.2))
			}
			if i%6 == 5 {
				w.cancel(fmt.Sprintf("job-%d", w.r.IntN(i)))
			}
		}
		w.endFaultsAndCheck()
	})
}

// Guards against an older answer, or two, as a cancellation, a question or a repeated submission meets the end of a job's last task;
// with no other trouble.
func TestCancellationAtTheEndOfAJob(t *testing.T) {
	simulate(t, 17, func(w *simulation) {
		w.pollClosely(true)
		w.mu.Lock()
		w.cancelAtEnd = true
		w.mu.Unlock()
		for i := range 60 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, runS: w.seconds(1, 6).Seconds()})
			w.advance(w.seconds(0.3, 1.5))
		}
		w.endFaultsAndCheck()
		done, cancelled := 0, 0
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, j := range w.jobs {
			if j.done {
				done++
			} else if !j.confirmed.IsZero() {
				cancelled++
			}
		}
		if done == 0 || done+cancelled != len(w.jobs) {
			w.t.Errorf("%d done and %d cancelled of %d", done, cancelled, len(w.jobs))
		}
	})
}

// Guards against commands that are held up for seconds and carried out as the machine goes on, after the next leader has acted: starts
// of attempts that were given up, and stops.
func TestDirectCommandsAreDelayed(t *testing.T) {
	simulate(t, 18, func(w *simulation) {
		for i := range 6 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 4, kind: []string{"array", "service"}[i%2], runS: 60})
		}
		w.awaitRunning(8)
		for round := range 6 {
			w.impair(w.someWorkers(), hung, w.leases(0.3, 0.95))
			w.submit(fmt.Sprintf("job-%d", 6+round), spec{tasks: 6, runS: 20})
			w.cancel(fmt.Sprintf("job-%d", round))
			w.advance(w.seconds(0.5, 3))
			if round%2 == 0 {
				w.restartLeader()
			}
			w.advance(w.leases(0.5, 1.3))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against what both sides of a cut conclude: a zone with workers and a controller is cut off for longer than a lease, with the
// leader inside or outside.
func TestZonePartitionLongerThanALease(t *testing.T) {
	simulate(t, 19, func(w *simulation) {
		for i := range 8 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], apart: i%2 == 1 && i%3 > 0})
		}
		w.awaitRunning(8)
		for round := range 4 {
			lead := w.awaitLeader()
			inside := lead
			if round%2 == 1 { // the leader is outside
				for _, n := range w.nodes {
					if n.zone != lead.zone {
						inside = n
					}
				}
			}
			w.cutZone(inside, w.leases(1.2, 2.5))
			w.advance(3 * time.Second)
			w.cancel(fmt.Sprintf("job-%d", 2*round))
			w.advance(seconds(0.6 * w.site.lease))
			if round > 1 {
				w.restart(w.leaderOrAny(), 1, 4)
			}
			w.advance(seconds(2.5 * w.site.lease))
		}
		w.endFaultsAndCheck()
	})
}

// cutZone cuts the zone of a controller off: that controller and the zone's workers reach each other and nobody else; other
// controllers of the zone reach nobody.
func (w *simulation) cutZone(inside *node, d time.Duration) {
	var some []*worker
	w.mu.Lock()
	for _, k := range w.workers {
		if k.rep.Zone == inside.zone {
			some = append(some, k)
		}
	}
	w.mu.Unlock()
	leader, _ := w.holder()
	set := func(cut bool) {
		for _, n := range w.nodes {
			if n.zone == inside.zone {
				n.isolate(cut)
				n.endpoint.Refuse(cut)
			}
		}
	}
	w.logFault("zone %s is cut off with %s and %d workers", inside.zone, inside.name, len(some))
	w.during(d, func() {
		set(true)
		w.holds(inside, some)
		if leader != inside { // direct commands come from the leader
			w.mu.Lock()
			for _, k := range some {
				k.term = 0
			}
			w.mu.Unlock()
		}
	}, func() { set(false); w.holds(nil, some) })
}

// Guards against the loss of long tasks, and their second copies, as a leader ends while their machines cannot be reached, or do not hear
// the next one's answers; and against jobs of two or three tasks that end far apart across a change of leader.
func TestUnreachableTasksAcrossAFailover(t *testing.T) {
	simulate(t, 20, func(w *simulation) {
		for i := range 6 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 2 + i%2, runS: []float64{0, 150}[i/3]})
		}
		w.awaitRunning(10)
		for round := range 4 {
			w.impair(w.someWorkers(), []int{disconnected, receivesNothing, hung, receivesNothing}[round], w.leases(0.4, 1.5))
			w.advance(w.seconds(0.2, 2))
			w.restartLeader()
			w.advance(w.leases(0.5, 2))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against a state service that answers slowly while users cancel and ask, leaders are refused and end.
func TestCancellationsWithASlowStore(t *testing.T) {
	simulate(t, 21, func(w *simulation) {
		w.pollClosely(true)
		for round, most := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second} {
			w.state.Slow(func() time.Duration { return time.Duration(w.r.Int64N(int64(most))) })
			for i := range 6 {
				w.submit(fmt.Sprintf("job-%d", 6*round+i), spec{tasks: 1 + i%2, runS: w.seconds(3, 20).Seconds(), kind: []string{"array", "service"}[i/3]})
				w.advance(w.seconds(1, 3))
				w.cancel(fmt.Sprintf("job-%d", w.r.IntN(6*round+i+1)))
			}
			switch round {
			case 1, 3:
				refuseController(w, w.leaderOrAny())
			case 2:
				w.restart(w.leaderOrAny(), 0.2, 3)
			}
			w.advance(w.seconds(5, 15))
		}
		w.state.Slow(nil)
		w.endFaultsAndCheck()
	})
}

// Guards against old reports that arrive after newer ones, also of an earlier session or attempt: one that lacks a task, from before
// its start, would prove it gone while it runs on a machine that nobody reaches, and its team's next task would begin beside it.
func TestOldHeartbeatsAfterNewerOnes(t *testing.T) {
	simulate(t, 22, func(w *simulation) {
		w.copyPercent = 80
		fill := w.submitter(func(n int) spec {
			return spec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%3, kind: []string{"array", "service"}[n/2%2], runS: w.seconds(10, 50).Seconds()}
		})
		fill(10)
		w.awaitRunning(8)
		for round := range 10 {
			w.advance(w.leases(0.2, 0.9))
			ids := w.jobIDs(func(j *job) bool { return !j.asked && w.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			w.impair(w.machinesOf(ids...), []int{disconnected, hung, disconnected, sendsNothing}[round%4], w.leases(0.6, 1.3))
			for _, id := range ids {
				w.cancel(id)
			}
			fill(4)
			if round%5 == 4 {
				w.restartLeader()
			}
		}
		w.copyPercent = 0
		w.cancelServices()
		w.endFaultsAndCheck()
	})
}

// Guards against commands of a leader that has since ended, been deposed, or still leads, and that arrive after newer ones: a start
// whose job is cancelled meanwhile, or whose task ran elsewhere. Most direct commands are held up, unanswered, and carried out once, up
// to 16 s later or as the next leader acts; answers to reports are on their way for seconds, and copies of reports come between. Teams are at
// their limits, so that the room of a task that is taken for gone is used at once.
func TestLateCommandsOfDeposedLeaders(t *testing.T) {
	simulate(t, 23, func(w *simulation) {
		w.mu.Lock()
		w.site.imageS = 0.25 // what starts begins at once
		w.mu.Unlock()
		n := 0
		fill := w.submitter(func(i int) spec {
			n = i + 1
			return spec{team: []string{"small", "tight", "t"}[i%3], tasks: 1 + i%4, kind: []string{"array", "service", "array"}[i/3%3], runS: w.seconds(2, 20).Seconds()}
		})
		for round := range 32 {
			w.delayCommands(30 + 20*(round%4))
			fill(6)
			if round%4 == 3 {
				slowLinks(w, nil)
				copyHeartbeats(w, nil)
			}
			w.advance(w.seconds(0.3, 3))
			switch round % 8 {
			case 0, 4:
				w.restartLeader()
			case 1:
				refuseController(w, w.awaitLeader())
			case 2:
				lead := w.awaitLeader()
				lead.stall(w.seconds(4, 15))
			}
			for range 5 { // mostly jobs whose starts are on their way
				w.cancel(fmt.Sprintf("job-%d", n-1-w.r.IntN(6)))
				w.advance(w.seconds(0, 1))
			}
			if round%5 == 4 {
				w.impair(w.someWorkers(), []int{hung, disconnected, receivesNothing}[round%3], w.leases(0.3, 1.2))
			}
			w.advance(w.seconds(1, 6))
			if round%8 == 7 { // what stays would leave no room for starts
				w.cancelServices()
			}
		}
		w.cancelServices()
		w.delayCommands(0)
		w.endFaultsAndCheck()
	})
}

// Guards against what a controller had looked at before it stood still, and uses after: its right, who answered, promises, a vacant
// leader key. Leaders and others stand still, in the middle of cancellations, elections and an outage, and go on together.
func TestControllersStall(t *testing.T) {
	simulate(t, 24, func(w *simulation) {
		w.pollClosely(true)
		for i := range 12 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "service"}[i%2], team: []string{"t", "tight", "small"}[i%3], apart: i%4 == 3})
		}
		w.awaitRunning(8)
		for round := range 12 {
			lead := w.awaitLeader()
			most := []float64{10, 30, 30}[round%3] // one that hears nobody for longer than 10 s sends its users on
			lead.stall(w.seconds(2, most))
			w.cancel(fmt.Sprintf("job-%d", round))
			w.submit(fmt.Sprintf("job-%d", 12+round), spec{tasks: 2, runS: w.seconds(3, 20).Seconds()})
			w.advance(w.seconds(0.2, 6))
			switch round % 3 {
			case 1: // the next one too, perhaps as it is elected
				n := w.nodes[w.r.IntN(len(w.nodes))]
				n.stall(w.seconds(1, 10))
			case 2:
				w.during(w.leases(0.3, 1.5), func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
			}
			if round%4 == 2 { // all at once
				for _, n := range w.nodes {
					n.stall(w.leases(0.2, 1.3))
				}
			}
			w.advance(w.seconds(3, 20))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against what is concluded from requests without an answer that are no transactions: a renewal or the end of a lease that is carried out late or
// unknown to its caller, a read that fails, while leaders change and users cancel.
func TestStoreRequestsOfUnknownOutcome(t *testing.T) {
	simulate(t, 25, func(w *simulation) {
		w.pollClosely(true)
		for i := range 24 {
			if i%6 == 0 {
				loseRequests(w, nil)
			}
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, kind: []string{"array", "array", "service"}[i%3], runS: w.seconds(2, 20).Seconds()})
			w.advance(w.seconds(1, 4))
			w.cancel(fmt.Sprintf("job-%d", w.r.IntN(i+1)))
			switch i % 6 {
			case 1:
				w.restart(w.leaderOrAny(), 0.2, 3)
			case 3:
				refuseController(w, w.leaderOrAny())
			case 5:
				n := w.leaderOrAny()
				n.stall(w.seconds(3, 12))
			}
			w.advance(w.seconds(1, 6))
		}
		w.endFaultsAndCheck()
	})
}

// Guards against the loss of a zone's tasks: its only controller leads, ends while the state service is out, and is back within
// seconds, so that nobody can be elected. The others remember its right for its zone.
func TestAZonesOnlyMemberRestartsInAnOutage(t *testing.T) {
	w := newSimulation(t, sites["lease 10, three"], 26+*shift)
	only := w.nodes[1] // that of zone b
	for i := range 8 {
		w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 2, kind: []string{"array", "service"}[i%2], runS: 600, zone: []string{"a", "b"}[i%2]})
	}
	w.awaitRunning(12)
	w.waitFor("the only member of its zone leads", 5*time.Minute, func() bool {
		n := w.leader()
		if n != nil && n != only {
			w.restart(n, 4, 6)
		}
		return n == only
	})
	w.advance(15 * time.Second)  // the others hear its claim, and all workers come
	busy := map[*worker]uint64{} // those with tasks, and their sessions
	w.mu.Lock()
	for _, k := range w.workers {
		if len(k.rep.Tasks) > 0 {
			busy[k] = k.rep.Incarnation
		}
	}
	w.mu.Unlock()
	w.logFault("the state service is down")
	w.state.Refuse(true)
	w.advance(time.Second)
	w.restart(only, 1, 3)
	w.advance(seconds(2.5 * w.site.lease))
	if kept := w.locked(func() bool {
		for k, session := range busy {
			if !k.gone && k.rep.Incarnation != session {
				w.record("%s in %s lost its session", k.rep.Machine, k.rep.Zone)
				return false
			}
		}
		return len(busy) > 1
	})(); !kept {
		w.mu.Lock()
		trace := w.trace.String()
		w.mu.Unlock()
		t.Fatalf("of %d machines with tasks one lost them\n%s", len(busy), trace)
	}
	w.cancel("job-1")
	w.cancel("job-4")
	w.advance(5 * time.Second)
	w.state.Refuse(false)
	w.endFaultsAndCheck()
}
