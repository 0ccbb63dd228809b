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

// plays has a meeting in a world of its own, with the leases of a deployment of three controllers and of one of five.
func plays(t *testing.T, seed uint64, fn func(w *world)) {
	for _, name := range []string{"lease 10, three", "lease 18, five"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, sites[name], seed+*shift)
			w.leads()
			fn(w)
		})
	}
}

// leads waits for a leader.
func (w *world) leads() (n *node) {
	w.t.Helper()
	w.until("a leader", time.Minute, func() bool { n = w.leader(); return n != nil })
	return n
}

// leases gives a time between two bounds, in leases.
func (w *world) leases(least, most float64) time.Duration {
	return w.seconds(least*w.site.lease, most*w.site.lease)
}

// loses has the leader end now, and be back after some seconds.
func (w *world) loses() {
	w.leaves(w.leads(), 1, 4)
}

// runsSome waits until some tasks run.
func (w *world) runsSome(least int) {
	w.t.Helper()
	w.until("tasks run", 5*time.Minute, w.locked(func() bool {
		n := 0
		for _, j := range w.jobs {
			n += w.running(j.id)
		}
		return n >= least
	}))
}

// submitter gives a function that has users submit some more jobs, each by its number.
func (w *world) submitter(of func(n int) spec) func(count int) {
	n := 0
	return func(count int) {
		for range count {
			w.submits(fmt.Sprintf("job-%d", n), of(n))
			n++
		}
	}
}

// ids names the jobs that hold.
func (w *world) ids(holds func(*job) bool) (ids []string) {
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
func TestCloseLooks(t *testing.T) {
	plays(t, 1, func(w *world) {
		w.looksClosely(true)
		trouble := []func(){
			func() {},
			func() { w.loses() },
			func() { refused(w, w.leads()) },
			func() { answersLost(w, nil) },
			func() { apart(w, w.leads()); answersLost(w, nil) },
			func() { w.loses(); lateTransactions(w, nil) },
		}
		for i := range 48 {
			w.submits(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(1 + i%5)})
			w.pass(w.seconds(1, 3))
			if i%3 == 0 {
				w.cancels(fmt.Sprintf("job-%d", w.r.IntN(i+1)))
			}
			if i%8 == 7 {
				trouble[i/8]()
			}
		}
		w.recovers()
	})
}

// Guards against a writer that takes its own earlier write for another's, and others that conclude from what they read meanwhile: a
// transaction is carried out at once and only its answer is lost. Each kind of them, with a leader that ends in the middle.
func TestOnlyTheAnswerIsLost(t *testing.T) {
	inDoubt(t, func(w *world, picks func(wire.Txn) bool) { w.state.Mute(picks) })
}

// Guards against a transaction without an answer that is carried out late, after newer ones of the same controller.
func TestTransactionsAreLate(t *testing.T) {
	inDoubt(t, func(w *world, picks func(wire.Txn) bool) { w.state.Late(picks) })
}

// inDoubt has transactions of each kind be in doubt: fn has the state service treat those that are picked so; nil ends that.
func inDoubt(t *testing.T, fn func(*world, func(wire.Txn) bool)) {
	for _, prefix := range []string{jobs.PrefixJob, jobs.PrefixProgress, jobs.PrefixFinalState, "lead/", "fence/", "keep/", ""} {
		t.Run("key "+prefix, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, sites["lease 18, five"], 2+*shift)
			w.leads()
			w.looksClosely(true)
			var lost int
			fn(w, func(txn wire.Txn) bool {
				if !slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put+c.Delete, prefix) }) || lost > 0 && rand.IntN(3) == 0 {
					return false
				}
				lost++ // under the service's lock
				return true
			})
			for i := range 16 {
				w.submits(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(2 + i%7), kind: []string{"array", "service"}[i/4%2]})
				w.pass(w.seconds(0.5, 2.5))
				if i%4 == 2 {
					w.cancels(fmt.Sprintf("job-%d", i-w.r.IntN(3)))
				}
				switch i {
				case 6:
					w.leaves(w.leaderOrAny(), 1, 4)
				case 9: // one that is fenced off, and then gone
					n := w.nodes[w.r.IntN(len(w.nodes))]
					w.lasts(10*time.Second, func() { n.apart(true) }, func() { n.apart(false) })
				case 11:
					refused(w, w.leaderOrAny())
				}
			}
			fn(w, nil)
			if lost == 0 && prefix != "keep/" && prefix != "fence/" {
				t.Error("no transaction was in doubt")
			}
			w.recovers()
		})
	}
}

// leaderOrAny gives the leader, or some controller if none leads.
func (w *world) leaderOrAny() *node {
	if n := w.leader(); n != nil {
		return n
	}
	return w.anyNode()
}

// Guards against a team that is over its limit, and against room that is kept for ever: every team is at its limit while jobs are
// cancelled whose machines are cut off or hang, and the leader changes. The next one knows those tasks from records, or from
// reports of an old session.
func TestTeamsAtTheirLimit(t *testing.T) {
	plays(t, 3, func(w *world) {
		fill := w.submitter(func(n int) spec {
			return spec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%4, kind: []string{"array", "service"}[n/2%2], runS: w.seconds(10, 60).Seconds()}
		})
		fill(12)
		w.until("both teams are at their limits", 2*time.Minute, w.locked(func() bool { return w.use("small", false) == 16 && w.use("tight", false) == 24 }))
		for round := range 6 {
			what := []int{hung, lost, deaf}[round%3]
			ids := w.ids(func(j *job) bool { return !j.asked && w.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			w.impair(w.machinesOf(ids...), what, w.leases(0.3, 1.6))
			for _, id := range ids {
				w.cancels(id)
			}
			fill(4)
			switch round % 3 {
			case 0:
				w.loses()
			case 1:
				refused(w, w.leads())
			}
			w.pass(seconds(w.site.lease))
		}
		// Services hold their teams' room until they are cancelled.
		w.cancelsServices()
		w.recovers()
		w.mu.Lock()
		defer w.mu.Unlock()
		if small, tight := w.use("small", true), w.use("tight", true); small+tight > 0 {
			w.t.Errorf("%g and %g CPUs are still in use", small, tight)
		}
	})
}

// Guards against cancellations that get lost, or are confirmed too soon, while one controller's work changes hands: asked at the old
// leader, relayed to it as it gives up, written without an answer, asked again at the next one before and after its records are in.
func TestCancelledInAHandover(t *testing.T) {
	plays(t, 4, func(w *world) {
		w.looksClosely(true)
		for i := range 24 {
			w.submits(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 100})
		}
		w.runsSome(20)
		for round := range 4 {
			old := w.leads()
			switch round {
			case 0:
				w.lasts(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			case 1:
				w.lasts(12*time.Second, func() { old.endpoint.Refuse(true); old.apart(true) }, func() { old.endpoint.Refuse(false); old.apart(false) })
			case 2:
				w.leaves(old, 0.2, 1)
			case 3: // the state service refuses the leader alone, and a second later everybody
				w.lasts(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			}
			for i := range 6 {
				id := fmt.Sprintf("job-%d", 6*round+i)
				if i%3 == 2 {
					w.impair(w.machinesOf(id), hung, seconds(w.site.lease*0.8))
				}
				w.cancels(id)
				w.pass(time.Second)
				if round == 3 && i == 1 {
					w.lasts(seconds(1.3*w.site.cancelS), func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
				}
			}
			w.pass(seconds(w.site.lease))
			if round == 3 {
				w.pass(seconds(1.5 * w.site.cancelS))
			}
		}
		w.recovers()
	})
}

// Guards against machines that are leaked, and tasks that run twice, when new machines are up within two seconds and get work at once:
// the rental has no answer, the machine reports before it is listed, the record of a start comes late, and the leader ends, so that
// the next one knows the machine from its report alone.
func TestMachinesThatAreUpAtOnce(t *testing.T) {
	plays(t, 5, func(w *world) {
		w.mu.Lock()
		w.site.imageS = 0.25 // tasks begin at once
		w.mu.Unlock()
		for round := range 8 {
			w.quick = true
			w.cloud.Unlisted(len(w.cloud.Machines()))
			w.cloud.Silent(2)
			w.state.Late(func(txn wire.Txn) bool {
				return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return strings.HasPrefix(c.Put, jobs.PrefixProgress) }) && (round%2 == 0 || rand.IntN(2) == 0)
			})
			for i := range 3 {
				w.submits(fmt.Sprintf("job-%d", 3*round+i), spec{tasks: 6, cpus: 8, runS: 10})
			}
			w.pass(w.seconds(2, 8))
			w.impair(w.some(), lost, w.leases(0.5, 0.9)) // they run on, and the next leader has not heard of them
			w.loses()
			if round%4 < 2 {
				w.state.Late(nil) // the next one writes at once
			}
			w.pass(w.seconds(1, 8))
			w.state.Deliver()
			w.pass(w.seconds(0, 4))
			w.loses()
			w.state.Late(nil)
			w.pass(w.seconds(5, 15))
			w.state.Deliver()
			w.cloud.Unlisted(-1)
			w.cloud.Silent(0)
			w.quick = false
			w.pass(seconds(w.site.lease))
		}
		w.recovers()
		w.until("every machine is returned", 15*time.Minute, func() bool { return len(w.cloud.Machines()) == 0 })
	})
}

// Guards against what a new leader concludes from old words: copies of reports of this and earlier sessions and attempts reach every
// controller just as it begins, as the first that it hears of a machine, before and after its records are in.
func TestOldReportsMeetANewLeader(t *testing.T) {
	plays(t, 6, func(w *world) {
		w.forNext = 60
		fill := w.submitter(func(n int) spec {
			return spec{tasks: 1 + n%3, kind: []string{"array", "service"}[n%2], team: []string{"small", "tight", "t"}[n%3], stub: float64(40 * (n % 2)), apart: n%2 == 1 && n%3 > 0}
		})
		fill(12)
		w.runsSome(10)
		for round := range 9 {
			// Some machines that cannot be asked have tasks that are cancelled: by an old report that lacks them they would be gone.
			ids := w.ids(func(j *job) bool { return !j.asked && w.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			w.impair(w.machinesOf(ids...), []int{lost, hung, lost, deaf}[round%4], w.leases(0.7, 1.5))
			fill(4)
			w.pass(w.leases(0.1, 0.4))
			switch round % 3 {
			case 0:
				w.loses()
			case 1:
				refused(w, w.leads())
			case 2:
				for _, n := range w.nodes {
					w.leaves(n, 0.2, 3)
				}
			}
			for _, id := range ids {
				w.cancels(id)
			}
			w.pass(w.leases(0.6, 1.6))
		}
		w.forNext = 0
		w.cancelsServices()
		w.recovers()
	})
}

// Guards against changes and memory that grow with small jobs, and against any that is forgotten among them: one-task jobs come four a
// second for two minutes, a quarter of them cancelled, with the leader's end and an outage in the middle.
func TestSmallJobsFourASecond(t *testing.T) {
	plays(t, 7, func(w *world) {
		const count = 480
		for i := range count {
			w.submits(fmt.Sprintf("job-%d", i), spec{runS: w.seconds(2, 16).Seconds(), cpus: 2})
			if i >= 40 && i%4 == 0 {
				w.cancels(fmt.Sprintf("job-%d", i-w.r.IntN(40)))
			}
			w.looksClosely(i%10 == 0)
			w.step()
			switch i {
			case 160:
				w.loses()
			case 240:
				w.lasts(15*time.Second, func() { w.state.Refuse(true) }, func() { w.state.Refuse(false) })
			case 270:
				w.loses()
			}
		}
		w.looksClosely(false)
		w.recovers()
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
