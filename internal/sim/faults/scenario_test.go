package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// simulate has a meeting in a simulation of its own, with the leases of a deployment of three controllers and of one of five.
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

// leaderOrAny gives the leader, or some controller if none leads.
func (sim *simulation) leaderOrAny() *node {
	if n := sim.leader(); n != nil {
		return n
	}
	return sim.anyNode()
}
