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

// simulate has a meeting in a world of its own, with the leases of a deployment of three controllers and of one of five.
func simulate(t *testing.T, seed uint64, fn func(sim *simulation)) {
	for _, name := range []string{"lease 10, three", "lease 18, five"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, sites[name], seed+*shift)
			sim.awaitLeader()
			fn(sim)
		})
	}
}

// awaitLeader waits for a leader.
func (sim *simulation) awaitLeader() (n *node) {
	sim.t.Helper()
	sim.waitFor("a leader", time.Minute, func() bool { n = sim.leader(); return n != nil })
	return n
}

// leases gives a time between two bounds, in leases.
func (sim *simulation) leases(least, most float64) time.Duration {
	return sim.seconds(least*sim.site.lease, most*sim.site.lease)
}

// restartLeader has the leader end now, and be back after some seconds.
func (sim *simulation) restartLeader() {
	sim.restart(sim.awaitLeader(), 1, 4)
}

// awaitRunning waits until some tasks run.
func (sim *simulation) awaitRunning(least int) {
	sim.t.Helper()
	sim.waitFor("tasks run", 5*time.Minute, sim.locked(func() bool {
		n := 0
		for _, j := range sim.jobs {
			n += sim.running(j.id)
		}
		return n >= least
	}))
}

// submitter gives a function that has users submit some more jobs, each by its number.
func (sim *simulation) submitter(of func(n int) spec) func(count int) {
	n := 0
	return func(count int) {
		for range count {
			sim.submit(fmt.Sprintf("job-%d", n), of(n))
			n++
		}
	}
}

// jobIDs names the jobs that hold.
func (sim *simulation) jobIDs(holds func(*job) bool) (ids []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, j := range sim.jobs {
		if holds(j) {
			ids = append(ids, j.id)
		}
	}
	return ids
}

// Guards against an answer that is older than another: users ask at all controllers, again and again within milliseconds, and repeat
// the submission, right after a job was accepted, ended or confirmed as cancelled; some cancel at once. Meanwhile the leader
// ends, is refused by the state service, and answers to transactions are lost.
func TestAnswersNeverGoBack(t *testing.T) {
	simulate(t, 1, func(sim *simulation) {
		sim.pollClosely(true)
		trouble := []func(){
			func() {},
			func() { sim.restartLeader() },
			func() { refuseController(sim, sim.awaitLeader()) },
			func() { loseAnswers(sim, nil) },
			func() { isolateController(sim, sim.awaitLeader()); loseAnswers(sim, nil) },
			func() { sim.restartLeader(); delayTransactions(sim, nil) },
		}
		for i := range 48 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(1 + i%5)})
			sim.advance(sim.seconds(1, 3))
			if i%3 == 0 {
				sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(i+1)))
			}
			if i%8 == 7 {
				trouble[i/8]()
			}
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against a writer that takes its own earlier write for another's, and others that conclude from what they read meanwhile: a
// transaction is carried out at once and only its answer is lost. Each kind of them, with a leader that ends in the middle.
func TestTransactionAnswersAreLost(t *testing.T) {
	inDoubt(t, func(sim *simulation, picks func(wire.Txn) bool) { sim.state.Mute(picks) })
}

// Guards against a transaction without an answer that is carried out late, after newer ones of the same controller.
func TestTransactionsAreExecutedLate(t *testing.T) {
	inDoubt(t, func(sim *simulation, picks func(wire.Txn) bool) { sim.state.Late(picks) })
}

// inDoubt has transactions of each kind be in doubt: fn has the state service treat those that are picked so; nil ends that.
func inDoubt(t *testing.T, fn func(*simulation, func(wire.Txn) bool)) {
	for _, prefix := range []string{jobs.PrefixJob, jobs.PrefixProgress, jobs.PrefixFinalState, "lead/", "fence/", "keep/", ""} {
		t.Run("key "+prefix, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, sites["lease 18, five"], 2+*shift)
			sim.awaitLeader()
			sim.pollClosely(true)
			var lost int
			fn(sim, func(txn wire.Txn) bool {
				if !slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put+c.Delete, prefix) }) || lost > 0 && rand.IntN(3) == 0 {
					return false
				}
				lost++ // under the service's lock
				return true
			})
			for i := range 16 {
				sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(2 + i%7), kind: []string{"array", "service"}[i/4%2]})
				sim.advance(sim.seconds(0.5, 2.5))
				if i%4 == 2 {
					sim.cancel(fmt.Sprintf("job-%d", i-sim.r.IntN(3)))
				}
				switch i {
				case 6:
					sim.restart(sim.leaderOrAny(), 1, 4)
				case 9: // one that is fenced off, and then gone
					n := sim.nodes[sim.r.IntN(len(sim.nodes))]
					sim.during(10*time.Second, func() { n.isolate(true) }, func() { n.isolate(false) })
				case 11:
					refuseController(sim, sim.leaderOrAny())
				}
			}
			fn(sim, nil)
			if lost == 0 && prefix != "keep/" && prefix != "fence/" {
				t.Error("no transaction was in doubt")
			}
			sim.endFaultsAndCheck()
		})
	}
}

// leaderOrAny gives the leader, or some controller if none leads.
func (sim *simulation) leaderOrAny() *node {
	if n := sim.leader(); n != nil {
		return n
	}
	return sim.anyNode()
}

// Guards against a team that is over its limit, and against room that is kept for ever: every team is at its limit while jobs are
// cancelled whose machines are cut off or hang, and the leader changes. The next one knows those tasks from records, or from
// reports of an old session.
func TestQuotasHoldWhenMachinesHangAndLeadersChange(t *testing.T) {
	simulate(t, 3, func(sim *simulation) {
		fill := sim.submitter(func(n int) spec {
			return spec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%4, kind: []string{"array", "service"}[n/2%2], runS: sim.seconds(10, 60).Seconds()}
		})
		fill(12)
		sim.waitFor("both teams are at their limits", 2*time.Minute, sim.locked(func() bool { return sim.use("small", false) == 16 && sim.use("tight", false) == 24 }))
		for round := range 6 {
			what := []int{hung, disconnected, receivesNothing}[round%3]
			ids := sim.jobIDs(func(j *job) bool { return !j.asked && sim.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.machinesOf(ids...), what, sim.leases(0.3, 1.6))
			for _, id := range ids {
				sim.cancel(id)
			}
			fill(4)
			switch round % 3 {
			case 0:
				sim.restartLeader()
			case 1:
				refuseController(sim, sim.awaitLeader())
			}
			sim.advance(seconds(sim.site.lease))
		}
		// Services hold their teams' room until they are cancelled.
		sim.cancelServices()
		sim.endFaultsAndCheck()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if small, tight := sim.use("small", true), sim.use("tight", true); small+tight > 0 {
			sim.t.Errorf("%g and %g CPUs are still in use", small, tight)
		}
	})
}

// Guards against cancellations that get lost, or are confirmed too soon, while one controller's work changes hands: asked at the old
// leader, relayed to it as it gives up, written without an answer, asked again at the next one before and after its records are in.
func TestCancellationsDuringAHandover(t *testing.T) {
	simulate(t, 4, func(sim *simulation) {
		sim.pollClosely(true)
		for i := range 24 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 100})
		}
		sim.awaitRunning(20)
		for round := range 4 {
			old := sim.awaitLeader()
			switch round {
			case 0:
				sim.during(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			case 1:
				sim.during(12*time.Second, func() { old.endpoint.Refuse(true); old.isolate(true) }, func() { old.endpoint.Refuse(false); old.isolate(false) })
			case 2:
				sim.restart(old, 0.2, 1)
			case 3: // the state service refuses the leader alone, and a second later everybody
				sim.during(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			}
			for i := range 6 {
				id := fmt.Sprintf("job-%d", 6*round+i)
				if i%3 == 2 {
					sim.impair(sim.machinesOf(id), hung, seconds(sim.site.lease*0.8))
				}
				sim.cancel(id)
				sim.advance(time.Second)
				if round == 3 && i == 1 {
					sim.during(seconds(1.3*sim.site.cancelS), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
				}
			}
			sim.advance(seconds(sim.site.lease))
			if round == 3 {
				sim.advance(seconds(1.5 * sim.site.cancelS))
			}
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
			sim.cloud.Unlisted(len(sim.cloud.Machines()))
			sim.cloud.Silent(2)
			sim.state.Late(func(txn wire.Txn) bool {
				return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put, jobs.PrefixProgress) }) && (round%2 == 0 || rand.IntN(2) == 0)
			})
			for i := range 3 {
				sim.submit(fmt.Sprintf("job-%d", 3*round+i), spec{tasks: 6, cpus: 8, runS: 10})
			}
			sim.advance(sim.seconds(2, 8))
			sim.impair(sim.someWorkers(), disconnected, sim.leases(0.5, 0.9)) // they run on, and the next leader has not heard of them
			sim.restartLeader()
			if round%4 < 2 {
				sim.state.Late(nil) // the next one writes at once
			}
			sim.advance(sim.seconds(1, 8))
			sim.state.Deliver()
			sim.advance(sim.seconds(0, 4))
			sim.restartLeader()
			sim.state.Late(nil)
			sim.advance(sim.seconds(5, 15))
			sim.state.Deliver()
			sim.cloud.Unlisted(-1)
			sim.cloud.Silent(0)
			sim.fastBoot = false
			sim.advance(seconds(sim.site.lease))
		}
		sim.endFaultsAndCheck()
		sim.waitFor("every machine is returned", 15*time.Minute, func() bool { return len(sim.cloud.Machines()) == 0 })
	})
}

// Guards against what a new leader concludes from old words: copies of reports of this and earlier sessions and attempts reach every
// controller just as it begins, as the first that it hears of a machine, before and after its records are in.
func TestOldHeartbeatsReachANewLeader(t *testing.T) {
	simulate(t, 6, func(sim *simulation) {
		sim.copiesForNextLeader = 60
		fill := sim.submitter(func(n int) spec {
			return spec{tasks: 1 + n%3, kind: []string{"array", "service"}[n%2], team: []string{"small", "tight", "t"}[n%3], stub: float64(40 * (n % 2)), apart: n%2 == 1 && n%3 > 0}
		})
		fill(12)
		sim.awaitRunning(10)
		for round := range 9 {
			// Some machines that cannot be asked have tasks that are cancelled: by an old report that lacks them they would be gone.
			ids := sim.jobIDs(func(j *job) bool { return !j.asked && sim.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.machinesOf(ids...), []int{disconnected, hung, disconnected, receivesNothing}[round%4], sim.leases(0.7, 1.5))
			fill(4)
			sim.advance(sim.leases(0.1, 0.4))
			switch round % 3 {
			case 0:
				sim.restartLeader()
			case 1:
				refuseController(sim, sim.awaitLeader())
			case 2:
				for _, n := range sim.nodes {
					sim.restart(n, 0.2, 3)
				}
			}
			for _, id := range ids {
				sim.cancel(id)
			}
			sim.advance(sim.leases(0.6, 1.6))
		}
		sim.copiesForNextLeader = 0
		sim.cancelServices()
		sim.endFaultsAndCheck()
	})
}

// Guards against changes and memory that grow with small jobs, and against any that is forgotten among them: one-task jobs come four a
// second for two minutes, a quarter of them cancelled, with the leader's end and an outage in the middle.
func TestManySmallJobs(t *testing.T) {
	simulate(t, 7, func(sim *simulation) {
		const count = 480
		for i := range count {
			sim.submit(fmt.Sprintf("job-%d", i), spec{runS: sim.seconds(2, 16).Seconds(), cpus: 2})
			if i >= 40 && i%4 == 0 {
				sim.cancel(fmt.Sprintf("job-%d", i-sim.r.IntN(40)))
			}
			sim.pollClosely(i%10 == 0)
			sim.step()
			switch i {
			case 160:
				sim.restartLeader()
			case 240:
				sim.during(15*time.Second, func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			case 270:
				sim.restartLeader()
			}
		}
		sim.pollClosely(false)
		sim.endFaultsAndCheck()
		changes := 0
		for _, txn := range sim.state.Applied() {
			changes += len(txn.Then)
		}
		// A job takes its record, its place, its end with two deletions, and a part of what stands still: more would mean that
		// something is written again and again.
		if most := 7*count + 400; changes > most {
			sim.t.Errorf("%d changes for %d jobs, at most %d are wanted", changes, count, most)
		}
		for i := range count {
			key := jobs.KeyJob(fmt.Sprintf("job-%d", i))
			if _, left := sim.state.Value(key); left {
				sim.t.Errorf("%s is left", key)
			}
		}
	})
}
