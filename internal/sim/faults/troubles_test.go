package faults_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// fault is the end of a trouble.
type fault struct {
	at time.Time
	fn func()
}

// during begins a trouble and has it end after a time.
func (w *simulation) during(d time.Duration, begin, end func()) {
	begin()
	w.faults = append(w.faults, fault{w.now().Add(d), end})
}

// endFaults ends the troubles that are due, or all.
func (w *simulation) endFaults(all bool) {
	w.faults = slices.DeleteFunc(w.faults, func(e fault) bool {
		if !all && w.now().Before(e.at) {
			return false
		}
		e.fn()
		return true
	})
	if w.state.Held() > 0 && (all || w.r.IntN(16) == 0) {
		late := w.state.Deliver()
		w.logFault("%d late transactions are carried out", len(late))
	}
}

// someWorkers gives some of the workers.
func (w *simulation) someWorkers() []*worker {
	share := w.r.Float64()
	var out []*worker
	for _, k := range w.workers {
		if w.r.Float64() < share {
			out = append(out, k)
		}
	}
	return out
}

// random names the troubles that histories choose from, each as often as it stands here.
var random = []struct {
	name  string
	begin func(w *simulation, n *node) // n: mostly the leader
}{
	{"refused", refuseController}, {"refused", refuseController}, {"outage", storeOutage}, {"ends", restartController}, {"ends", restartController}, {"apart", isolateController}, {"apart", isolateController},
	{"late transactions", delayTransactions}, {"answers lost", loseAnswers}, {"copies", copyHeartbeats}, {"copies for the next leader", copyHeartbeatsForNextLeader},
	{"machines", impairMachines}, {"machines", impairMachines}, {"machines", impairMachines}, {"alone with workers", isolateWithWorkers}, {"called off", cancelManyJobs},
	{"late commands", delayCommands}, {"late commands", delayCommands}, {"stands still", stallController}, {"stands still", stallController}, {"requests lost", loseRequests},
	{"all away", stopAllControllers}, {"leaders in a row", rollLeaders}, {"slow", slowStore}, {"cloud", cloudFaults}, {"links", slowLinks}, {"links", slowLinks}, {"zone", cutSomeZone},
}

// injectFault begins one of the troubles, mostly one that concerns the leader.
func (w *simulation) injectFault() {
	n := w.leader()
	if n == nil || w.r.IntN(4) == 0 {
		n = w.anyNode()
	}
	random[w.r.IntN(len(random))].begin(w, n)
}

func refuseController(w *simulation, n *node) {
	w.logFault("%s is refused by the state service", n.name)
	w.during(w.seconds(1, 20), func() { n.endpoint.Refuse(true) }, func() { n.endpoint.Refuse(false) })
}

func storeOutage(w *simulation, _ *node) {
	w.logFault("the state service is down")
	w.during(w.seconds(1, 1.3*w.site.cancelS), func() { w.state.Refuse(true) }, func() { w.logFault("the state service is back"); w.state.Refuse(false) })
}

// restart has a controller end, and start anew after a while.
func (w *simulation) restart(n *node, least, most float64) {
	if n.stop != nil {
		w.logFault("%s ends", n.name)
		n.end()
		n.back = w.now().Add(w.seconds(least, most))
	}
}

func restartController(w *simulation, n *node) {
	for range 1 + w.r.IntN(len(w.nodes)) {
		w.restart(n, 0.2, 6)
		n = w.nodes[w.r.IntN(len(w.nodes))]
	}
}

func isolateController(w *simulation, n *node) {
	refused := w.r.IntN(2) == 0
	w.logFault("%s is cut from the others, and refused: %v", n.name, refused)
	w.during(w.seconds(2, 1.5*w.site.lease), func() { n.isolate(true); n.endpoint.Refuse(refused) }, func() { n.isolate(false); n.endpoint.Refuse(false) })
}

func delayTransactions(w *simulation, _ *node) {
	w.logFault("transactions come late")
	w.during(w.seconds(5, 40), func() { w.state.Late(func(wire.Txn) bool { return rand.IntN(4) == 0 }) }, func() { w.state.Late(nil) })
}

func loseAnswers(w *simulation, _ *node) {
	w.logFault("answers to transactions are lost")
	w.during(w.seconds(5, 40), func() { w.state.Mute(func(wire.Txn) bool { return rand.IntN(3) == 0 }) }, func() { w.state.Mute(nil) })
}

func copyHeartbeats(w *simulation, _ *node) {
	w.logFault("copies of reports")
	w.during(w.seconds(5, 60), func() { w.copyPercent = 30 }, func() { w.copyPercent = 0 })
}

func copyHeartbeatsForNextLeader(w *simulation, _ *node) {
	w.logFault("copies of reports, kept for the next leader")
	w.during(w.seconds(5, 60), func() { w.copiesForNextLeader = 30 }, func() { w.copiesForNextLeader = 0 })
}

// delayCommands has direct commands be held up, unanswered, and be carried out seconds later.
func delayCommands(w *simulation, _ *node) {
	w.logFault("direct commands come late")
	w.during(w.seconds(5, 90), func() { w.delayCommands(20 + w.r.IntN(60)) }, func() { w.delayCommands(0) })
}

// delayCommands has that many of a hundred direct commands come late.
func (w *simulation) delayCommands(percent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateCommandPercent = percent
}

// stallController has a controller stand still for up to half a minute.
func stallController(w *simulation, n *node) {
	if n.stop == nil {
		return
	}
	n.stall(w.seconds(1, 30))
}

// stall has a controller stand still for a while.
func (n *node) stall(d time.Duration) {
	n.w.logFault("%s stands still", n.name)
	n.w.during(d, func() { n.freeze(true) }, func() { n.w.logFault("%s goes on", n.name); n.freeze(false) })
}

// loseRequests has what is asked of leases, and reads, go without an answer; some of the former are carried out late.
func loseRequests(w *simulation, _ *node) {
	w.logFault("requests are lost or late")
	w.during(w.seconds(5, 40), func() {
		w.state.Lose(func(r *http.Request) fakes.Fate {
			switch rand.IntN(6) {
			case 0:
				return fakes.Unanswered
			case 1:
				if r.Method != http.MethodGet {
					return fakes.Delayed
				}
			}
			return fakes.Answered
		})
	}, func() { w.state.Lose(nil) })
}

func impairMachines(w *simulation, _ *node) {
	w.impair(w.someWorkers(), w.r.IntN(4), w.seconds(1, 1.4*w.site.lease))
}

// What may be wrong with machines.
const (
	hung = iota
	receivesNothing
	disconnected
	sendsNothing
)

// impair has something be wrong with machines for a while.
func (w *simulation) impair(some []*worker, what int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := w.now().Add(d)
	for _, k := range some {
		w.record("%s %s until %v", k.rep.Machine, []string{"hangs", "is deaf", "is lost", "is mute"}[what], until.Sub(w.startedAt))
		*[]*time.Time{&k.hangs, &k.deaf, &k.lost, &k.mute}[what] = until
	}
}

func isolateWithWorkers(w *simulation, n *node) {
	if n != w.leader() {
		return
	}
	some := w.someWorkers()
	w.logFault("%d workers reach %s alone", len(some), n.name)
	w.during(w.seconds(2, 2*w.site.lease), func() { w.holds(n, some) }, func() { w.holds(nil, some) })
}

// cancelManyJobs has users cancel some jobs that run; their machines may hang, and the leader may end at that moment.
func cancelManyJobs(w *simulation, n *node) {
	w.mu.Lock()
	var ids []string
	for _, j := range w.jobs {
		if !j.asked && w.running(j.id) > 0 && len(ids) < 4 && w.r.IntN(2) == 0 {
			ids = append(ids, j.id)
		}
	}
	w.mu.Unlock()
	if w.r.IntN(2) == 0 {
		w.impair(w.machinesOf(ids...), hung, w.seconds(1, 1.2*w.site.lease))
	}
	for _, id := range ids {
		w.cancel(id)
	}
	if w.r.IntN(3) == 0 {
		w.restart(n, 0.2, 3)
	}
}

// machinesOf gives the workers on which tasks of some jobs are.
func (w *simulation) machinesOf(ids ...string) (some []*worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if slices.ContainsFunc(k.rep.Tasks, func(t wire.TaskStatus) bool { return slices.Contains(ids, w.jobOf(t.Task).id) }) {
			some = append(some, k)
		}
	}
	return some
}

// stopAllControllers has all controllers be away for longer than a lease.
func stopAllControllers(w *simulation, _ *node) {
	d := (1.1 + w.r.Float64()) * w.site.lease
	for _, n := range w.nodes {
		w.restart(n, d, d+3)
	}
}

// rollLeaders has each leader end soon after it began, for a while.
func rollLeaders(w *simulation, _ *node) {
	w.logFault("leaders end, one after the other")
	w.during(w.seconds(20, 60), func() { w.rolling = true }, func() { w.rolling = false })
}

func slowStore(w *simulation, _ *node) {
	most := w.seconds(0.1, 4)
	w.logFault("the state service takes up to %v", most)
	w.during(w.seconds(5, 30), func() { w.state.Slow(func() time.Duration { return time.Duration(rand.Int64N(int64(most))) }) }, func() { w.state.Slow(nil) })
}

// slowLinks has reports, their answers and direct commands be on their way for seconds.
func slowLinks(w *simulation, _ *node) {
	most := w.seconds(0.5, 6)
	w.logFault("links take up to %v", most)
	set := func(d time.Duration) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.links = d
	}
	w.during(w.seconds(5, 60), func() { set(most) }, func() { set(0) })
}

func cutSomeZone(w *simulation, n *node) { w.cutZone(n, w.leases(0.3, 2)) }

// cloudFaults has rentals go without an answer, machines be up at once, and be listed late.
func cloudFaults(w *simulation, _ *node) {
	w.logFault("rentals without answers, machines up at once and not listed")
	w.cloud.Silent(1 + w.r.IntN(3))
	since := len(w.cloud.Machines())
	w.during(w.seconds(5, 30), func() { w.fastBoot = true; w.cloud.Unlisted(since) }, func() { w.fastBoot = false; w.cloud.Unlisted(-1) })
}
