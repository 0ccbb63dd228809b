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
func simulate(t *testing.T, seed uint64, fn func(w *simulation)) {
	for _, name := range []string{"lease 10, three", "lease 18, five"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, sites[name], seed+*shift)
			w.awaitLeader()
			fn(w)
		})
	}
}

// awaitLeader waits for a leader.
func (w *simulation) awaitLeader() (n *node) {
	w.t.Helper()
	w.waitFor("a leader", time.Minute, func() bool { n = w.leader(); return n != nil })
	return n
}

// leases gives a time between two bounds, in leases.
func (w *simulation) leases(least, most float64) time.Duration {
	return w.seconds(least*w.site.lease, most*w.site.lease)
}

// restartLeader has the leader end now, and be back after some seconds.
func (w *simulation) restartLeader() {
	w.restart(w.awaitLeader(), 1, 4)
}

// awaitRunning waits until some tasks run.
func (w *simulation) awaitRunning(least int) {
	w.t.Helper()
	w.waitFor("tasks run", 5*time.Minute, w.locked(func() bool {
		n := 0
		for _, j := range w.jobs {
			n += w.running(j.id)
		}
		return n >= least
	}))
}

// submitter gives a function that has users submit some more jobs, each by its number.
func (w *simulation) submitter(of func(n int) spec) func(count int) {
	n := 0
	return func(count int) {
		for range count {
			w.submit(fmt.Sprintf("job-%d", n), of(n))
			n++
		}
	}
}

// jobIDs names the jobs that hold.
func (w *simulation) jobIDs(holds func(*job) bool) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
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
	simulate(t, 1, func(w *simulation) {
		w.pollClosely(true)
		trouble := []func(){
			func() {},
			func() { w.restartLeader() },
			func() { refuseController(w, w.awaitLeader()) },
			func() { loseAnswers(w, nil) },
			func() { isolateController(w, w.awaitLeader()); loseAnswers(w, nil) },
			func() { w.restartLeader(); delayTransactions(w, nil) },
		}
		for i := range 48 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(1 + i%5)})
			w.advance(w.seconds(1, 3))
			if i%3 == 0 {
				w.cancel(fmt.Sprintf("job-%d", w.r.IntN(i+1)))
			}
			if i%8 == 7 {
				trouble[i/8]()
			}
		}
		w.endFaultsAndCheck()
	})
}

// Guards against a writer that takes its own earlier write for another's, and others that conclude from what they read meanwhile: a
// transaction is carried out at once and only its answer is lost. Each kind of them, with a leader that ends in the middle.
func TestTransactionAnswersAreLost(t *testing.T) {
	inDoubt(t, func(w *simulation, picks func(wire.Txn) bool) { w.state.Mute(picks) })
}

// Guards against a transaction without an answer that is carried out late, after newer ones of the same controller.
func TestTransactionsAreExecutedLate(t *testing.T) {
	inDoubt(t, func(w *simulation, picks func(wire.Txn) bool) { w.state.Late(picks) })
}

// inDoubt has transactions of each kind be in doubt: fn has the state service treat those that are picked so; nil ends that.
func inDoubt(t *testing.T, fn func(*simulation, func(wire.Txn) bool)) {
	for _, prefix := range []string{jobs.PrefixJob, jobs.PrefixProgress, jobs.PrefixFinalState, "lead/", "fence/", "keep/", ""} {
		t.Run("key "+prefix, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, sites["lease 18, five"], 2+*shift)
			w.awaitLeader()
			w.pollClosely(true)
			var lost int
			fn(w, func(txn wire.Txn) bool {
				if !slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put+c.Delete, prefix) }) || lost > 0 && rand.IntN(3) == 0 {
					return false
				}
				lost++ // under the service's lock
				return true
			})
			for i := range 16 {
				w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(2 + i%7), kind: []string{"array", "service"}[i/4%2]})
				w.advance(w.seconds(0.5, 2.5))
				if i%4 == 2 {
					w.cancel(fmt.Sprintf("job-%d", i-w.r.IntN(3)))
				}
				switch i {
				case 6:
					w.restart(w.leaderOrAny(), 1, 4)
				case 9: // one that is fenced off, and then gone
					n := w.nodes[w.r.IntN(len(w.nodes))]
					w.during(10*time.Second, func() { n.isolate(true) }, func() { n.isolate(false) })
				case 11:
					refuseController(w, w.leaderOrAny())
				}
			}
			fn(w, nil)
			if lost == 0 && prefix != "keep/" && prefix != "fence/" {
				t.Error("no transaction was in doubt")
			}
			w.endFaultsAndCheck()
		})
	}
}

// leaderOrAny gives the leader, or some controller if none leads.
func (w *simulation) leaderOrAny() *node {
	if n := w.leader(); n != nil {
		return n
	}
	return w.anyNode()
}

// Guards against a team that is over its limit, and against room that is kept for ever: every team is at its limit while jobs are
// cancelled whose machines are cut off or hang, and the leader changes. The next one knows those tasks from records, or from
// reports of an old session.
func TestQuotasHoldWhenMachinesHangAndLeadersChange(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		fill := w.submitter(func(n int) spec {
			return spec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%4, kind: []string{"array", "service"}[n/2%2], runS: w.seconds(10, 60).Seconds()}
		})
		fill(12)
		w.waitFor("both teams are at their limits", 2*time.Minute, w.locked(func() bool { return w.use("small", false) == 16 && w.use("tight", false) == 24 }))
		for round := range 6 {
			what := []int{hung, disconnected, receivesNothing}[round%3]
			ids := w.jobIDs(func(j *job) bool { return !j.asked && w.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			w.impair(w.machinesOf(ids...), what, w.leases(0.3, 1.6))
			for _, id := range ids {
				w.cancel(id)
			}
			fill(4)
			switch round % 3 {
			case 0:
				w.restartLeader()
			case 1:
				refuseController(w, w.awaitLeader())
			}
			w.advance(seconds(w.site.lease))
		}
		// Services hold their teams' room until they are cancelled.
		w.cancelServices()
		w.endFaultsAndCheck()
		w.mu.Lock()
		defer w.mu.Unlock()
		if small, tight := w.use("small", true), w.use("tight", true); small+tight > 0 {
			w.t.Errorf("%g and %g CPUs are still in use", small, tight)
		}
	})
}

// Guards against cancellations that get lost, or are confirmed too soon, while one controller's work changes hands: asked at the old
// leader, relayed to it as it gives up, written without an answer, asked again at the next one before and after its records are in.
func TestCancellationsDuringAHandover(t *testing.T) {
	simulate(t, 4, func(w *simulation) {
		w.pollClosely(true)
		for i := range 24 {
			w.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 100})
		}
		w.awaitRunning(20)
		for round := range 4 {
			old := w.awaitLeader()
			switch round {
			case 0:
				w.during(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			case 1:
				w.during(12*time.Second, func() { old.endpoint.Refuse(true); old.isolate(true) }, func() { old.endpoint.Refuse(false); old.isolate(false) })
			case 2:
				w.restart(old, 0.2, 1)
			case 3: // the state service refuses the leader alone, and a second later everybody
				w.during(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			}
			for i := range 6 {
				id := fmt.Sprintf("job-%d", 6*round+i)
				if i%3 == 2 {
					w.impair(w.machinesOf(id), hung, seconds(w.site.lease*0.8))
				}
				w.cancel(id)
				w.advance(time.Second)
				if round == 3 && i == 1 {
					w.during(seconds(1.3*w.site.cancelS), func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
				}
			}
			w.advance(seconds(w.site.lease))
			if round == 3 {
				w.advance(seconds(1.5 * w.site.cancelS))
			}
		}
		w.endFaultsAndCheck()
	})
}

// Guards against machines that are leaked, and tasks that run twice, when new machines are up within two seconds and get work at once:
// the rental has no answer, the machine reports before it is listed, the record of a start comes late, and the leader ends, so that
// the next one knows the machine from its report alone.
func TestMachinesThatBootWithinSeconds(t *testing.T) {
	simulate(t, 5, func(w *simulation) {
		w.mu.Lock()
		w.site.imageS = 0.25 // tasks begin at once
		w.mu.Unlock()
		for round := range 8 {
			w.fastBoot = true
			w.cloud.Unlisted(len(w.cloud.Machines()))
			w.cloud.Silent(2)
			w.state.Late(func(txn wire.Txn) bool {
				return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put, jobs.PrefixProgress) }) && (round%2 == 0 || rand.IntN(2) == 0)
			})
			for i := range 3 {
				w.submit(fmt.Sprintf("job-%d", 3*round+i), spec{tasks: 6, cpus: 8, runS: 10})
			}
			w.advance(w.seconds(2, 8))
			w.impair(w.someWorkers(), disconnected, w.leases(0.5, 0.9)) // they run on, and the next leader has not heard of them
			w.restartLeader()
			if round%4 < 2 {
				w.state.Late(nil) // the next one writes at once
			}
			w.advance(w.seconds(1, 8))
			w.state.Deliver()
			w.advance(w.seconds(0, 4))
			w.restartLeader()
			w.state.Late(nil)
			w.advance(w.seconds(5, 15))
			w.state.Deliver()
			w.cloud.Unlisted(-1)
			w.cloud.Silent(0)
			w.fastBoot = false
			w.advance(seconds(w.site.lease))
		}
		w.endFaultsAndCheck()
		w.waitFor("every machine is returned", 15*time.Minute, func() bool { return len(w.cloud.Machines()) == 0 })
	})
}

// Guards against what a new leader concludes from old words: copies of reports of this and earlier sessions and attempts reach every
// controller just as it begins, as the first that it hears of a machine, before and after its records are in.
func TestOldHeartbeatsReachANewLeader(t *testing.T) {
	simulate(t, 6, func(w *simulation) {
		w.copiesForNextLeader = 60
		fill := w.submitter(func(n int) spec {
			return spec{tasks: 1 + n%3, kind: []string{"array", "service"}[n%2], team: []string{"small", "tight", "t"}[n%3], stub: float64(40 * (n % 2)), apart: n%2 == 1 && n%3 > 0}
		})
		fill(12)
		w.awaitRunning(10)
		for round := range 9 {
			// Some machines that cannot be asked have tasks that are cancelled: by an old report that lacks them they would be gone.
			ids := w.jobIDs(func(j *job) bool { return !j.asked && w.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			w.impair(w.machinesOf(ids...), []int{disconnected, hung, disconnected, receivesNothing}[round%4], w.leases(0.7, 1.5))
			fill(4)
			w.advance(w.leases(0.1, 0.4))
			switch round % 3 {
			case 0:
				w.restartLeader()
			case 1:
				refuseController(w, w.awaitLeader())
			case 2:
				for _, n := range w.nodes {
					w.restart(n, 0.2, 3)
				}
			}
			for _, id := range ids {
				w.cancel(id)
			}
			w.advance(w.leases(0.6, 1.6))
		}
		w.copiesForNextLeader = 0
		w.cancelServices()
		w.endFaultsAndCheck()
	})
}

// Guards against changes and memory that grow with small jobs, and against any that is forgotten among them: one-task jobs come four a
// second for two minutes, a quarter of them cancelled, with the leader's end and an outage in the middle.
func TestManySmallJobs(t *testing.T) {
	simulate(t, 7, func(w *simulation) {
		const count = 480
		for i := range count {
			w.submit(fmt.Sprintf("job-%d", i), spec{runS: w.seconds(2, 16).Seconds(), cpus: 2})
			if i >= 40 && i%4 == 0 {
				w.cancel(fmt.Sprintf("job-%d", i-w.r.IntN(40)))
			}
			w.pollClosely(i%10 == 0)
			w.step()
			switch i {
			case 160:
				w.restartLeader()
			case 240:
				w.during(15*time.Second, func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
			case 270:
				w.restartLeader()
			}
		}
		w.pollClosely(false)
		w.endFaultsAndCheck()
		changes := 0
		for _, txn := range w.state.Applied() {
			changes += len(txn.Then)
		}
		// A job takes its record, its place, its end with two deletions, and a part of what stands still: more would mean that
		// something is written again and again.
		if most := 7*count + 400; changes > most {
			w.t.Errorf("%d changes for %d jobs, at most %d are wanted", changes, count, most)
		}
		for i := range count {
			key := jobs.KeyJob(fmt.Sprintf("job-%d", i))
			if _, left := w.state.Value(key); left {
				w.t.Errorf("%s is left", key)
			}
		}
	})
}
