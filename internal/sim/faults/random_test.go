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

var (
	histories    = flag.Int("meetings", 2, "how many random histories of meetings are played for each site")
	shift        = flag.Uint64("shift", 0, "what is added to the seeds of the meetings that are set")
	firstHistory = flag.Int("meeting", 100, "the seed of the first")
)

// Guards against faults that meet: whatever comes together, no rule breaks; and once all is over every job that was not cancelled
// runs, and every cancellation is confirmed, in time.
func TestRandomFaults(t *testing.T) {
	for name, s := range sites {
		for seed := range *histories {
			t.Run(fmt.Sprintf("%s/%d", name, *firstHistory+seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, s, uint64(*firstHistory+seed))
				sim.waitFor("a leader", time.Minute, func() bool { return sim.leader() != nil })
				came := 0
				sim.pollClosely(seed%2 == 0)
				for sim.now().Sub(sim.startedAt) < 4*time.Minute {
					if came < 14 && sim.r.IntN(20) == 0 || came < 4 {
						sim.submit(fmt.Sprintf("job-%d", came), sim.someSpec())
						came++
					}
					if sim.r.IntN(40) == 0 {
						sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(came)))
					}
					if sim.r.IntN(24) == 0 && sim.now().Sub(sim.startedAt) > 10*time.Second {
						sim.injectFault()
					}
					sim.step()
				}
				sim.endFaultsAndCheck()
				sim.mu.Lock()
				defer sim.mu.Unlock()
				if sim.starts < came/2 {
					t.Errorf("%d starts for %d jobs", sim.starts, came)
				}
			})
		}
	}
}

// someSpec is any job.
func (sim *simulation) someSpec() spec {
	s := spec{kind: []string{"array", "service"}[sim.r.IntN(2)], team: []string{"t", "t", "small", "tight"}[sim.r.IntN(4)], tasks: 1 + sim.r.IntN(4), stub: float64(40 * sim.r.IntN(2))}
	switch sim.r.IntN(6) {
	case 0:
		s.zone = []string{"a", "b"}[sim.r.IntN(2)]
	case 1:
		s.types = []string{[]string{"g8", "m4"}[sim.r.IntN(2)]}
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

// endFaultsAndCheck ends all faults and lets the simulation come to rest: every cancellation is confirmed, every other job runs or is done.
func (sim *simulation) endFaultsAndCheck() {
	sim.t.Helper()
	sim.settle()
	lease := seconds(sim.site.lease)
	confirmed := func() {
		sim.waitFor("every cancellation is confirmed", 2*time.Minute+2*lease, sim.all(func(j *job) bool { return !j.asked || j.history.level == ended }))
	}
	confirmed()
	// One whose team's replicas, which run on, leave too little of its limit waits for ever, as it should.
	sim.waitFor("every array is done", 30*time.Minute, sim.all(func(j *job) bool {
		return j.asked || j.done || j.kind == "service" || sim.permanentUse(j.team)+j.cpus > teamLimits[j.team]
	}))
	// Services take their teams' rooms for ever: those that wait beside room are looked for all the while.
	sim.waitFor("every other job runs or its team is at its limit", 5*time.Minute, sim.all(func(j *job) bool {
		return j.accepted && (j.asked || j.done || sim.running(j.id) > 0 || sim.use(j.team, true)+j.cpus > teamLimits[j.team])
	}))
	confirmed() // some were asked for meanwhile
}
