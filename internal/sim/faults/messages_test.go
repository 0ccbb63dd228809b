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

// Guards against a writer that takes its own earlier write for another's, and others that conclude from what they read meanwhile: a
// transaction is carried out at once and only its answer is lost. Each kind of them, with a leader that ends in the middle.
func TestTransactionAnswersAreLost(t *testing.T) {
	inDoubt(t, func(sim *simulation, picks func(wire.Txn) bool) { sim.state.LoseAnswers(picks) })
}

// Guards against a transaction without an answer that is carried out late, after newer ones of the same controller.
func TestTransactionsAreExecutedLate(t *testing.T) {
	inDoubt(t, func(sim *simulation, picks func(wire.Txn) bool) { sim.state.DelayTransactions(picks) })
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
