package faults_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// ending is the end of a trouble.
type ending struct {
	at time.Time
	fn func()
}

// lasts begins a trouble and has it end after a time.
func (w *world) lasts(d time.Duration, begin, end func()) {
	begin()
	w.ends = append(w.ends, ending{w.now().Add(d), end})
}

// over ends the troubles that are due, or all.
func (w *world) over(all bool) {
	w.ends = slices.DeleteFunc(w.ends, func(e ending) bool {
		if !all && w.now().Before(e.at) {
			return false
		}
		e.fn()
		return true
	})
	if w.state.Held() > 0 && (all || w.r.IntN(16) == 0) {
		late := w.state.Deliver()
		w.say("%d late transactions are carried out", len(late))
	}
}

// some gives some of the workers.
func (w *world) some() []*worker {
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
	begin func(w *world, n *node) // n: mostly the leader
}{
	{"refused", refused}, {"refused", refused}, {"outage", outage}, {"ends", ends}, {"ends", ends}, {"apart", apart}, {"apart", apart},
	{"late transactions", lateTransactions}, {"answers lost", answersLost}, {"copies", copies}, {"copies for the next leader", copiesForNext},
	{"machines", machines}, {"machines", machines}, {"machines", machines}, {"alone with workers", aloneWithWorkers}, {"called off", calledOff},
	{"late commands", lateCommandsCome}, {"late commands", lateCommandsCome}, {"stands still", standsStill}, {"stands still", standsStill}, {"requests lost", requestsLost},
	{"all away", allAway}, {"leaders in a row", leadersInARow}, {"slow", slowAnswers}, {"cloud", cloudTroubles}, {"links", slowLinks}, {"links", slowLinks}, {"zone", zoneCut},
}

// trouble begins one of the troubles, mostly one that concerns the leader.
func (w *world) trouble() {
	n := w.leader()
	if n == nil || w.r.IntN(4) == 0 {
		n = w.anyNode()
	}
	random[w.r.IntN(len(random))].begin(w, n)
}

func refused(w *world, n *node) {
	w.say("%s is refused by the state service", n.name)
	w.lasts(w.seconds(1, 20), func() { n.endpoint.Refuse(true) }, func() { n.endpoint.Refuse(false) })
}

func outage(w *world, _ *node) {
	w.say("the state service is down")
	w.lasts(w.seconds(1, 1.3*w.site.cancelS), func() { w.state.Refuse(true) }, func() { w.say("the state service is back"); w.state.Refuse(false) })
}

// leaves has a controller end, and start anew after a while.
func (w *world) leaves(n *node, least, most float64) {
	if n.stop != nil {
		w.say("%s ends", n.name)
		n.end()
		n.back = w.now().Add(w.seconds(least, most))
	}
}

func ends(w *world, n *node) {
	for range 1 + w.r.IntN(len(w.nodes)) {
		w.leaves(n, 0.2, 6)
		n = w.nodes[w.r.IntN(len(w.nodes))]
	}
}

func apart(w *world, n *node) {
	refused := w.r.IntN(2) == 0
	w.say("%s is cut from the others, and refused: %v", n.name, refused)
	w.lasts(w.seconds(2, 1.5*w.site.lease), func() { n.apart(true); n.endpoint.Refuse(refused) }, func() { n.apart(false); n.endpoint.Refuse(false) })
}

func lateTransactions(w *world, _ *node) {
	w.say("transactions come late")
	w.lasts(w.seconds(5, 40), func() { w.state.Late(func(wire.Txn) bool { return rand.IntN(4) == 0 }) }, func() { w.state.Late(nil) })
}

func answersLost(w *world, _ *node) {
	w.say("answers to transactions are lost")
	w.lasts(w.seconds(5, 40), func() { w.state.Mute(func(wire.Txn) bool { return rand.IntN(3) == 0 }) }, func() { w.state.Mute(nil) })
}

func copies(w *world, _ *node) {
	w.say("copies of reports")
	w.lasts(w.seconds(5, 60), func() { w.copies = 30 }, func() { w.copies = 0 })
}

func copiesForNext(w *world, _ *node) {
	w.say("copies of reports, kept for the next leader")
	w.lasts(w.seconds(5, 60), func() { w.forNext = 30 }, func() { w.forNext = 0 })
}

// lateCommandsCome has direct commands be held up, unanswered, and be carried out seconds later.
func lateCommandsCome(w *world, _ *node) {
	w.say("direct commands come late")
	w.lasts(w.seconds(5, 90), func() { w.holdsUp(20 + w.r.IntN(60)) }, func() { w.holdsUp(0) })
}

// holdsUp has that many of a hundred direct commands come late.
func (w *world) holdsUp(percent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = percent
}

// standsStill has a controller stand still for up to half a minute.
func standsStill(w *world, n *node) {
	if n.stop == nil {
		return
	}
	n.stalls(w.seconds(1, 30))
}

// stalls has a controller stand still for a while.
func (n *node) stalls(d time.Duration) {
	n.w.say("%s stands still", n.name)
	n.w.lasts(d, func() { n.standsStill(true) }, func() { n.w.say("%s goes on", n.name); n.standsStill(false) })
}

// requestsLost has what is asked of leases, and reads, go without an answer; some of the former are carried out late.
func requestsLost(w *world, _ *node) {
	w.say("requests are lost or late")
	w.lasts(w.seconds(5, 40), func() {
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

func machines(w *world, _ *node) {
	w.impair(w.some(), w.r.IntN(4), w.seconds(1, 1.4*w.site.lease))
}

// What may be wrong with machines.
const (
	hung = iota
	deaf
	lost
	mute
)

// impair has something be wrong with machines for a while.
func (w *world) impair(some []*worker, what int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := w.now().Add(d)
	for _, k := range some {
		w.note("%s %s until %v", k.rep.Machine, []string{"hangs", "is deaf", "is lost", "is mute"}[what], until.Sub(w.begun))
		*[]*time.Time{&k.hangs, &k.deaf, &k.lost, &k.mute}[what] = until
	}
}

func aloneWithWorkers(w *world, n *node) {
	if n != w.leader() {
		return
	}
	some := w.some()
	w.say("%d workers reach %s alone", len(some), n.name)
	w.lasts(w.seconds(2, 2*w.site.lease), func() { w.holds(n, some) }, func() { w.holds(nil, some) })
}

// calledOff has users cancel some jobs that run; their machines may hang, and the leader may end at that moment.
func calledOff(w *world, n *node) {
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
		w.cancels(id)
	}
	if w.r.IntN(3) == 0 {
		w.leaves(n, 0.2, 3)
	}
}

// machinesOf gives the workers on which tasks of some jobs are.
func (w *world) machinesOf(ids ...string) (some []*worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if slices.ContainsFunc(k.rep.Tasks, func(t wire.TaskStatus) bool { return slices.Contains(ids, w.jobOf(t.Task).id) }) {
			some = append(some, k)
		}
	}
	return some
}

// allAway has all controllers be away for longer than a lease.
func allAway(w *world, _ *node) {
	d := (1.1 + w.r.Float64()) * w.site.lease
	for _, n := range w.nodes {
		w.leaves(n, d, d+3)
	}
}

// leadersInARow has each leader end soon after it began, for a while.
func leadersInARow(w *world, _ *node) {
	w.say("leaders end, one after the other")
	w.lasts(w.seconds(20, 60), func() { w.rolling = true }, func() { w.rolling = false })
}

func slowAnswers(w *world, _ *node) {
	most := w.seconds(0.1, 4)
	w.say("the state service takes up to %v", most)
	w.lasts(w.seconds(5, 30), func() { w.state.Slow(func() time.Duration { return time.Duration(rand.Int64N(int64(most))) }) }, func() { w.state.Slow(nil) })
}

// slowLinks has reports, their answers and direct commands be on their way for seconds.
func slowLinks(w *world, _ *node) {
	most := w.seconds(0.5, 6)
	w.say("links take up to %v", most)
	set := func(d time.Duration) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.links = d
	}
	w.lasts(w.seconds(5, 60), func() { set(most) }, func() { set(0) })
}

func zoneCut(w *world, n *node) { w.cutsZone(n, w.leases(0.3, 2)) }

// cloudTroubles has rentals go without an answer, machines be up at once, and be listed late.
func cloudTroubles(w *world, _ *node) {
	w.say("rentals without answers, machines up at once and not listed")
	w.cloud.Silent(1 + w.r.IntN(3))
	since := len(w.cloud.Machines())
	w.lasts(w.seconds(5, 30), func() { w.quick = true; w.cloud.Unlisted(since) }, func() { w.quick = false; w.cloud.Unlisted(-1) })
}
