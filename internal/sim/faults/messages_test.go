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

// Guards against direct commands that a hung machine executes only when it resumes, after the next leader has
// acted: stops, and starts of attempts that the leader has abandoned.
func TestDirectCommandsAreDelayed(t *testing.T) {
	simulate(t, 18, func(sim *simulation) {
		for i := range 6 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 4, kind: []string{"array", "service"}[i%2], runS: 60})
		}
		sim.awaitRunning(8)
		for round := range 6 {
			sim.impair(sim.randomWorkers(), hung, sim.randomLeases(0.3, 0.95))
			sim.submit(fmt.Sprintf("job-%d", 6+round), jobSpec{tasks: 6, runS: 20})
			sim.cancel(fmt.Sprintf("job-%d", round))
			sim.advance(sim.randomSeconds(0.5, 3))
			if round%2 == 0 {
				sim.restartLeader()
			}
			sim.advance(sim.randomLeases(0.5, 1.3))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against old heartbeats that arrive after newer ones, also from an earlier incarnation or attempt. A
// heartbeat from before a task's start lacks the task. It would seem to prove that the task has ended while the
// task runs on an unreachable machine, and the team's next task would start and exceed the team's limit.
func TestOldHeartbeatsAfterNewerOnes(t *testing.T) {
	simulate(t, 22, func(sim *simulation) {
		sim.copyPercent = 80
		submitJobs := sim.submitter(func(n int) jobSpec {
			return jobSpec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%3, kind: []string{"array", "service"}[n/2%2], runS: sim.randomSeconds(10, 50).Seconds()}
		})
		submitJobs(10)
		sim.awaitRunning(8)
		for round := range 10 {
			sim.advance(sim.randomLeases(0.2, 0.9))
			ids := sim.jobIDs(func(j *job) bool { return !j.cancelWanted && sim.tasksRunning(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.workersRunning(ids...), []int{disconnected, hung, disconnected, sendsNoHeartbeats}[round%4], sim.randomLeases(0.6, 1.3))
			for _, id := range ids {
				sim.cancel(id)
			}
			submitJobs(4)
			if round%5 == 4 {
				sim.restartLeader()
			}
		}
		sim.copyPercent = 0
		sim.cancelServices()
		sim.endFaultsAndCheck()
	})
}

// Guards against commands that arrive after newer ones, whether their leader has stopped, was deposed or still
// leads: a start whose job was cancelled meanwhile, or whose task ran elsewhere. Most direct commands are
// left unanswered and executed once, up to 16 s later or as the next leader acts. Answers to heartbeats take
// seconds, and copies of heartbeats arrive in between. Teams are at their limits, so that the quota of a task that
// is wrongly assumed to have ended is used at once.
func TestLateCommandsOfDeposedLeaders(t *testing.T) {
	simulate(t, 23, func(sim *simulation) {
		sim.mu.Lock()
		sim.deployment.imageFetchMaxS = 0.25 // seconds; tasks begin to execute at once
		sim.mu.Unlock()
		n := 0
		submitJobs := sim.submitter(func(i int) jobSpec {
			n = i + 1
			return jobSpec{team: []string{"small", "tight", "t"}[i%3], tasks: 1 + i%4, kind: []string{"array", "service", "array"}[i/3%3], runS: sim.randomSeconds(2, 20).Seconds()}
		})
		for round := range 32 {
			sim.setDelayedCommandPercent(30 + 20*(round%4))
			submitJobs(6)
			if round%4 == 3 {
				slowLinks(sim, nil)
				copyHeartbeats(sim, nil)
			}
			sim.advance(sim.randomSeconds(0.3, 3))
			switch round % 8 {
			case 0, 4:
				sim.restartLeader()
			case 1:
				refuseController(sim, sim.awaitLeader())
			case 2:
				leader := sim.awaitLeader()
				leader.stall(sim.randomSeconds(4, 15))
			}
			for range 5 { // mostly jobs whose starts are in flight
				sim.cancel(fmt.Sprintf("job-%d", n-1-sim.rng.IntN(6)))
				sim.advance(sim.randomSeconds(0, 1))
			}
			if round%5 == 4 {
				sim.impair(sim.randomWorkers(), []int{hung, disconnected, receivesNothing}[round%3], sim.randomLeases(0.3, 1.2))
			}
			sim.advance(sim.randomSeconds(1, 6))
			if round%8 == 7 { // services that run on would leave no quota for starts
				sim.cancelServices()
			}
		}
		sim.cancelServices()
		sim.setDelayedCommandPercent(0)
		sim.endFaultsAndCheck()
	})
}

// Guards against wrong conclusions from unanswered requests other than transactions: a renewal or revocation of a
// lease that is executed late or without its caller's knowledge, or a read that fails, while leaders change and
// users cancel.
func TestStoreRequestsOfUnknownOutcome(t *testing.T) {
	simulate(t, 25, func(sim *simulation) {
		sim.setPollOnChange(true)
		for i := range 24 {
			if i%6 == 0 {
				loseRequests(sim, nil)
			}
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, kind: []string{"array", "array", "service"}[i%3], runS: sim.randomSeconds(2, 20).Seconds()})
			sim.advance(sim.randomSeconds(1, 4))
			sim.cancel(fmt.Sprintf("job-%d", sim.rng.IntN(i+1)))
			switch i % 6 {
			case 1:
				sim.restart(sim.leaderOrAny(), 0.2, 3)
			case 3:
				refuseController(sim, sim.leaderOrAny())
			case 5:
				n := sim.leaderOrAny()
				n.stall(sim.randomSeconds(3, 12))
			}
			sim.advance(sim.randomSeconds(1, 6))
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against a writer that mistakes its own earlier write for that of another, and against others that draw
// wrong conclusions from what they read meanwhile. A transaction is executed at once and only its answer is lost.
// Each kind of transaction is tested, with a leader that stops in the middle.
func TestTransactionAnswersAreLost(t *testing.T) {
	testUncertainTransactions(t, func(sim *simulation, selects func(wire.Txn) bool) { sim.state.LoseAnswers(selects) })
}

// Guards against an unanswered transaction that is executed late, after newer ones of the same controller.
func TestTransactionsAreExecutedLate(t *testing.T) {
	testUncertainTransactions(t, func(sim *simulation, selects func(wire.Txn) bool) { sim.state.DelayTransactions(selects) })
}

// testUncertainTransactions leaves the outcome of transactions unknown to their callers, in one subtest for each
// kind of key. The inject function sets which transactions the state service treats this way; nil ends it.
func testUncertainTransactions(t *testing.T, inject func(*simulation, func(wire.Txn) bool)) {
	for _, prefix := range []string{jobs.PrefixJob, jobs.PrefixProgress, jobs.PrefixFinalState, "lead/", "fence/", "keep/", ""} {
		t.Run("key "+prefix, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, deployments["lease 18, five"], 2+*seedShift)
			sim.awaitLeader()
			sim.setPollOnChange(true)
			var lost int
			inject(sim, func(txn wire.Txn) bool {
				if !slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put+c.Delete, prefix) }) || lost > 0 && rand.IntN(3) == 0 {
					return false
				}
				lost++ // called with the state service's lock held
				return true
			})
			for i := range 16 {
				sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, runS: float64(2 + i%7), kind: []string{"array", "service"}[i/4%2]})
				sim.advance(sim.randomSeconds(0.5, 2.5))
				if i%4 == 2 {
					sim.cancel(fmt.Sprintf("job-%d", i-sim.rng.IntN(3)))
				}
				switch i {
				case 6:
					sim.restart(sim.leaderOrAny(), 1, 4)
				case 9: // a member is isolated for 10 s and fenced off meanwhile
					n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
					sim.startFault(10*time.Second, func() { n.isolate(true) }, func() { n.isolate(false) })
				case 11:
					refuseController(sim, sim.leaderOrAny())
				}
			}
			inject(sim, nil)
			if lost == 0 && prefix != "keep/" && prefix != "fence/" {
				t.Error("no transaction had an unknown outcome")
			}
			sim.endFaultsAndCheck()
		})
	}
}

// Guards against wrong conclusions of a new leader from old heartbeats. Copies of heartbeats of the present and
// earlier incarnations and attempts reach every controller just as the leader starts, before and after the leader
// has loaded its records. For the leader they are the first heartbeats from a machine.
func TestOldHeartbeatsReachANewLeader(t *testing.T) {
	simulate(t, 6, func(sim *simulation) {
		sim.nextLeaderCopyPercent = 60
		submitJobs := sim.submitter(func(n int) jobSpec {
			return jobSpec{tasks: 1 + n%3, kind: []string{"array", "service"}[n%2], team: []string{"small", "tight", "t"}[n%3], checkpointS: float64(40 * (n % 2)), spreadZones: n%2 == 1 && n%3 > 0}
		})
		submitJobs(12)
		sim.awaitRunning(10)
		for round := range 9 {
			// Tasks of some unreachable machines are cancelled. An old heartbeat that lacks these tasks would make
			// them seem to have ended.
			ids := sim.jobIDs(func(j *job) bool { return !j.cancelWanted && sim.tasksRunning(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.workersRunning(ids...), []int{disconnected, hung, disconnected, receivesNothing}[round%4], sim.randomLeases(0.7, 1.5))
			submitJobs(4)
			sim.advance(sim.randomLeases(0.1, 0.4))
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
			sim.advance(sim.randomLeases(0.6, 1.6))
		}
		sim.nextLeaderCopyPercent = 0
		sim.cancelServices()
		sim.endFaultsAndCheck()
	})
}
