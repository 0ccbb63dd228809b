package faults_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// fault is the end of a fault.
type fault struct {
	at time.Time
	fn func()
}

// during begins a fault and has it end after a time.
func (sim *simulation) during(d time.Duration, begin, end func()) {
	begin()
	sim.faults = append(sim.faults, fault{sim.now().Add(d), end})
}

// endFaults ends the faults that are due, or all.
func (sim *simulation) endFaults(all bool) {
	sim.faults = slices.DeleteFunc(sim.faults, func(e fault) bool {
		if !all && sim.now().Before(e.at) {
			return false
		}
		e.fn()
		return true
	})
	if sim.state.HeldTransactions() > 0 && (all || sim.r.IntN(16) == 0) {
		late := sim.state.Deliver()
		sim.logFault("%d late transactions are carried out", len(late))
	}
}

// someWorkers gives some of the workers.
func (sim *simulation) someWorkers() []*worker {
	share := sim.r.Float64()
	var out []*worker
	for _, k := range sim.workers {
		if sim.r.Float64() < share {
			out = append(out, k)
		}
	}
	return out
}

// random names the faults that histories choose from, each as often as it stands here.
var random = []struct {
	name  string
	begin func(sim *simulation, n *node) // n: mostly the leader
}{
	{"refused", refuseController}, {"refused", refuseController}, {"outage", storeOutage}, {"ends", restartController}, {"ends", restartController}, {"apart", isolateController}, {"apart", isolateController},
	{"late transactions", delayTransactions}, {"answers lost", loseAnswers}, {"copies", copyHeartbeats}, {"copies for the next leader", copyHeartbeatsForNextLeader},
	{"machines", impairMachines}, {"machines", impairMachines}, {"machines", impairMachines}, {"alone with workers", isolateWithWorkers}, {"called off", cancelManyJobs},
	{"late commands", delayCommands}, {"late commands", delayCommands}, {"stands still", stallController}, {"stands still", stallController}, {"requests lost", loseRequests},
	{"all away", stopAllControllers}, {"leaders in a row", rollLeaders}, {"slow", slowStore}, {"cloud", cloudFaults}, {"links", slowLinks}, {"links", slowLinks}, {"zone", cutSomeZone},
}

// injectFault begins one of the faults, mostly one that concerns the leader.
func (sim *simulation) injectFault() {
	n := sim.leader()
	if n == nil || sim.r.IntN(4) == 0 {
		n = sim.anyNode()
	}
	random[sim.r.IntN(len(random))].begin(sim, n)
}

func refuseController(sim *simulation, n *node) {
	sim.logFault("%s is refused by the state service", n.name)
	sim.during(sim.seconds(1, 20), func() { n.endpoint.Refuse(true) }, func() { n.endpoint.Refuse(false) })
}

func storeOutage(sim *simulation, _ *node) {
	sim.logFault("the state service is down")
	sim.during(sim.seconds(1, 1.3*sim.site.cancelS), func() { sim.state.Refuse(true) }, func() { sim.logFault("the state service is back"); sim.state.Refuse(false) })
}

// restart has a controller end, and start anew after a while.
func (sim *simulation) restart(n *node, least, most float64) {
	if n.stop != nil {
		sim.logFault("%s ends", n.name)
		n.end()
		n.back = sim.now().Add(sim.seconds(least, most))
	}
}

func restartController(sim *simulation, n *node) {
	for range 1 + sim.r.IntN(len(sim.nodes)) {
		sim.restart(n, 0.2, 6)
		n = sim.nodes[sim.r.IntN(len(sim.nodes))]
	}
}

func isolateController(sim *simulation, n *node) {
	refused := sim.r.IntN(2) == 0
	sim.logFault("%s is cut from the others, and refused: %v", n.name, refused)
	sim.during(sim.seconds(2, 1.5*sim.site.lease), func() { n.isolate(true); n.endpoint.Refuse(refused) }, func() { n.isolate(false); n.endpoint.Refuse(false) })
}

func delayTransactions(sim *simulation, _ *node) {
	sim.logFault("transactions come late")
	sim.during(sim.seconds(5, 40), func() { sim.state.DelayTransactions(func(wire.Txn) bool { return rand.IntN(4) == 0 }) }, func() { sim.state.DelayTransactions(nil) })
}

func loseAnswers(sim *simulation, _ *node) {
	sim.logFault("answers to transactions are lost")
	sim.during(sim.seconds(5, 40), func() { sim.state.LoseAnswers(func(wire.Txn) bool { return rand.IntN(3) == 0 }) }, func() { sim.state.LoseAnswers(nil) })
}

func copyHeartbeats(sim *simulation, _ *node) {
	sim.logFault("copies of reports")
	sim.during(sim.seconds(5, 60), func() { sim.copyPercent = 30 }, func() { sim.copyPercent = 0 })
}

func copyHeartbeatsForNextLeader(sim *simulation, _ *node) {
	sim.logFault("copies of reports, kept for the next leader")
	sim.during(sim.seconds(5, 60), func() { sim.copiesForNextLeader = 30 }, func() { sim.copiesForNextLeader = 0 })
}

// delayCommands has direct commands be held up, unanswered, and be carried out seconds later.
func delayCommands(sim *simulation, _ *node) {
	sim.logFault("direct commands come late")
	sim.during(sim.seconds(5, 90), func() { sim.delayCommands(20 + sim.r.IntN(60)) }, func() { sim.delayCommands(0) })
}

// delayCommands has that many of a hundred direct commands come late.
func (sim *simulation) delayCommands(percent int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lateCommandPercent = percent
}

// stallController has a controller stand still for up to half a minute.
func stallController(sim *simulation, n *node) {
	if n.stop == nil {
		return
	}
	n.stall(sim.seconds(1, 30))
}

// stall has a controller stand still for a while.
func (n *node) stall(d time.Duration) {
	n.w.logFault("%s stands still", n.name)
	n.w.during(d, func() { n.freeze(true) }, func() { n.w.logFault("%s goes on", n.name); n.freeze(false) })
}

// loseRequests has what is asked of leases, and reads, go without an answer; some of the former are carried out late.
func loseRequests(sim *simulation, _ *node) {
	sim.logFault("requests are lost or late")
	sim.during(sim.seconds(5, 40), func() {
		sim.state.SetFate(func(r *http.Request) fakes.Fate {
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
	}, func() { sim.state.SetFate(nil) })
}

func impairMachines(sim *simulation, _ *node) {
	sim.impair(sim.someWorkers(), sim.r.IntN(4), sim.seconds(1, 1.4*sim.site.lease))
}

// What may be wrong with machines.
const (
	hung = iota
	receivesNothing
	disconnected
	sendsNothing
)

// impair has something be wrong with machines for a while.
func (sim *simulation) impair(some []*worker, what int, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	until := sim.now().Add(d)
	for _, k := range some {
		sim.record("%s %s until %v", k.rep.Machine, []string{"hangs", "is deaf", "is lost", "is mute"}[what], until.Sub(sim.startedAt))
		*[]*time.Time{&k.hangs, &k.deaf, &k.lost, &k.mute}[what] = until
	}
}

func isolateWithWorkers(sim *simulation, n *node) {
	if n != sim.leader() {
		return
	}
	some := sim.someWorkers()
	sim.logFault("%d workers reach %s alone", len(some), n.name)
	sim.during(sim.seconds(2, 2*sim.site.lease), func() { sim.holds(n, some) }, func() { sim.holds(nil, some) })
}

// cancelManyJobs has users cancel some jobs that run; their machines may hang, and the leader may end at that moment.
func cancelManyJobs(sim *simulation, n *node) {
	sim.mu.Lock()
	var ids []string
	for _, j := range sim.jobs {
		if !j.asked && sim.running(j.id) > 0 && len(ids) < 4 && sim.r.IntN(2) == 0 {
			ids = append(ids, j.id)
		}
	}
	sim.mu.Unlock()
	if sim.r.IntN(2) == 0 {
		sim.impair(sim.machinesOf(ids...), hung, sim.seconds(1, 1.2*sim.site.lease))
	}
	for _, id := range ids {
		sim.cancel(id)
	}
	if sim.r.IntN(3) == 0 {
		sim.restart(n, 0.2, 3)
	}
}

// machinesOf gives the workers on which tasks of some jobs are.
func (sim *simulation) machinesOf(ids ...string) (some []*worker) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, k := range sim.workers {
		if slices.ContainsFunc(k.rep.Tasks, func(t wire.TaskStatus) bool { return slices.Contains(ids, sim.jobOf(t.Task).id) }) {
			some = append(some, k)
		}
	}
	return some
}

// stopAllControllers has all controllers be away for longer than a lease.
func stopAllControllers(sim *simulation, _ *node) {
	d := (1.1 + sim.r.Float64()) * sim.site.lease
	for _, n := range sim.nodes {
		sim.restart(n, d, d+3)
	}
}

// rollLeaders has each leader end soon after it began, for a while.
func rollLeaders(sim *simulation, _ *node) {
	sim.logFault("leaders end, one after the other")
	sim.during(sim.seconds(20, 60), func() { sim.rolling = true }, func() { sim.rolling = false })
}

func slowStore(sim *simulation, _ *node) {
	most := sim.seconds(0.1, 4)
	sim.logFault("the state service takes up to %v", most)
	sim.during(sim.seconds(5, 30), func() {
		sim.state.DelayAnswers(func() time.Duration { return time.Duration(rand.Int64N(int64(most))) })
	}, func() { sim.state.DelayAnswers(nil) })
}

// slowLinks has reports, their answers and direct commands be on their way for seconds.
func slowLinks(sim *simulation, _ *node) {
	most := sim.seconds(0.5, 6)
	sim.logFault("links take up to %v", most)
	set := func(d time.Duration) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.links = d
	}
	sim.during(sim.seconds(5, 60), func() { set(most) }, func() { set(0) })
}

func cutSomeZone(sim *simulation, n *node) { sim.cutZone(n, sim.leases(0.3, 2)) }

// cloudFaults has rentals go without an answer, machines be up at once, and be listed late.
func cloudFaults(sim *simulation, _ *node) {
	sim.logFault("rentals without answers, machines up at once and not listed")
	sim.cloud.LoseRentAnswers(1 + sim.r.IntN(3))
	since := len(sim.cloud.Machines())
	sim.during(sim.seconds(5, 30), func() { sim.fastBoot = true; sim.cloud.ListOnly(since) }, func() { sim.fastBoot = false; sim.cloud.ListOnly(-1) })
}
