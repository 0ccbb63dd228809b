package faults_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// sites are the deployments' leases and bounds on cancellations.
var sites = map[string]site{
	"lease 10, three": {nodes: 3, lease: 10, cancelS: 35, report: 2, imageS: 8, machines: 14},
	"lease 18, five":  {nodes: 5, lease: 18, cancelS: 43, report: 4, imageS: 8, machines: 14},
	"lease 42, five":  {nodes: 5, lease: 42, cancelS: 67, report: 10, imageS: 8, machines: 14},
	"lease 26, three": {nodes: 3, lease: 26.5, cancelS: 51.5, report: 5, imageS: 8, machines: 14},
}

// Guards against the meeting that broke most: the state service refuses the leader alone, another controller confirms
// cancellations, then the service is down for all for longer than cancel_s while the workers keep reporting to the old leader. Twice in a row.
func TestLeaderRefusedThenStoreOutage(t *testing.T) {
	for name, s := range sites {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, s, 1+*shift)
			w.waitFor("a leader", time.Minute, func() bool { return w.leader() != nil })
			submits := func(numbers ...int) {
				for _, i := range numbers {
					w.submit(fmt.Sprintf("job-%d", i), spec{kind: []string{"array", "service"}[i%2], tasks: []int{6, 3, 300, 1}[i], stub: float64(40 * (i / 2)), apart: i == 1})
				}
			}
			// Those that stay come first: if the leader hears of the 300 tasks before them, all machines may be rented in one zone, and
			// replicas that must be apart wait until the array is done, as they should.
			submits(1, 3)
			w.waitFor("every replica runs", 5*time.Minute, w.locked(func() bool { return w.running("job-1")+w.running("job-3") > 3 }))
			submits(0, 2)
			w.waitFor("tasks of both arrays run", 5*time.Minute, w.locked(func() bool { return w.running("job-0") > 0 && w.running("job-2") >= 12 }))
			for round, now := range []float64{1.2, 1.5} {
				old := w.leader()
				if old == nil {
					w.waitFor("a leader again", time.Minute, func() bool { old = w.leader(); return old != nil })
				}
				w.logFault("%s of zone %s is refused", old.name, old.zone)
				w.holds(old, w.workers[:len(w.workers)/2])
				old.endpoint.Refuse(true)
				old.isolate(round == 1) // from the other controllers as well: it keeps its zone's workers by itself
				w.waitFor("another leads", time.Minute, func() bool { n := w.leader(); return n != nil && n != old })
				for i := range 2 {
					w.cancel(fmt.Sprintf("job-%d", 2*round+i))
				}
				w.advance(time.Duration(6+w.r.IntN(6)) * time.Second) // as long as a refusal of the leader alone may last
				w.logFault("the state service is down")
				w.state.Refuse(true)
				w.advance(seconds(now * s.cancelS))
				w.logFault("it is back")
				w.state.Refuse(false)
				old.endpoint.Refuse(false)
				old.isolate(false)
				w.holds(nil, w.workers)
				took := w.waitFor("cancellations are confirmed", 2*time.Minute, w.all(func(j *job) bool { return !j.asked || !j.confirmed.IsZero() || j.done }))
				t.Logf("round %d: confirmed %v after the trouble", round, took)
			}
			w.advance(seconds(s.cancelS + s.lease))
		})
	}
}

var (
	histories    = flag.Int("meetings", 2, "how many random histories of meetings are played for each site")
	shift        = flag.Uint64("shift", 0, "what is added to the seeds of the meetings that are set")
	firstHistory = flag.Int("meeting", 100, "the seed of the first")
)

// Guards against troubles that meet: whatever comes together, no rule breaks; and once all is over every job that was not cancelled
// runs, and every cancellation is confirmed, in time.
func TestRandomFaults(t *testing.T) {
	for name, s := range sites {
		for seed := range *histories {
			t.Run(fmt.Sprintf("%s/%d", name, *firstHistory+seed), func(t *testing.T) {
				t.Parallel()
				w := newSimulation(t, s, uint64(*firstHistory+seed))
				w.waitFor("a leader", time.Minute, func() bool { return w.leader() != nil })
				came := 0
				w.pollClosely(seed%2 == 0)
				for w.now().Sub(w.startedAt) < 4*time.Minute {
					if came < 14 && w.r.IntN(20) == 0 || came < 4 {
						w.submit(fmt.Sprintf("job-%d", came), w.someSpec())
						came++
					}
					if w.r.IntN(40) == 0 {
						w.cancel(fmt.Sprintf("job-%d", w.r.IntN(came)))
					}
					if w.r.IntN(24) == 0 && w.now().Sub(w.startedAt) > 10*time.Second {
						w.injectFault()
					}
					w.step()
				}
				w.endFaultsAndCheck()
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.starts < came/2 {
					t.Errorf("%d starts for %d jobs", w.starts, came)
				}
			})
		}
	}
}

// someSpec is any job.
func (w *simulation) someSpec() spec {
	s := spec{kind: []string{"array", "service"}[w.r.IntN(2)], team: []string{"t", "t", "small", "tight"}[w.r.IntN(4)], tasks: 1 + w.r.IntN(4), stub: float64(40 * w.r.IntN(2))}
	switch w.r.IntN(6) {
	case 0:
		s.zone = []string{"a", "b"}[w.r.IntN(2)]
	case 1:
		s.types = []string{[]string{"g8", "m4"}[w.r.IntN(2)]}
	case 2:
		s.oneZone = true
	case 3:
		s.noSpot = true
	}
	if s.kind == "service" && s.tasks > 1 {
		s.apart = s.zone == "" && s.types == nil && !s.oneZone
	}
	return s
}

// endFaultsAndCheck ends all troubles and lets the world come to rest: every cancellation is confirmed, every other job runs or is done.
func (w *simulation) endFaultsAndCheck() {
	w.t.Helper()
	w.settle()
	lease := seconds(w.site.lease)
	confirmed := func() {
		w.waitFor("every cancellation is confirmed", 2*time.Minute+2*lease, w.all(func(j *job) bool { return !j.asked || j.history.level == ended }))
	}
	confirmed()
	// One whose team's replicas, which run on, leave too little of its limit waits for ever, as it should.
	w.waitFor("every array is done", 30*time.Minute, w.all(func(j *job) bool {
		return j.asked || j.done || j.kind == "service" || w.permanentUse(j.team)+j.cpus > teamLimits[j.team]
	}))
	// Services take their teams' rooms for ever: those that wait beside room are looked for all the while.
	w.waitFor("every other job runs or its team is at its limit", 5*time.Minute, w.all(func(j *job) bool {
		return j.accepted && (j.asked || j.done || w.running(j.id) > 0 || w.use(j.team, true)+j.cpus > teamLimits[j.team])
	}))
	confirmed() // some were asked for meanwhile
}
