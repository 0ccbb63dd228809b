package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// simulate runs a scenario twice, each time in a simulation of its own: in a deployment of three controllers with
// leases of 10 s and in one of five with leases of 18 s. The scenario begins when there is a leader.
func simulate(t *testing.T, seed uint64, scenario func(sim *simulation)) {
	for _, name := range []string{"lease 10, three", "lease 18, five"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, deployments[name], seed+*seedShift)
			sim.awaitLeader()
			scenario(sim)
		})
	}
}

// awaitLeader waits for a leader and returns it.
func (sim *simulation) awaitLeader() (n *node) {
	sim.t.Helper()
	sim.waitFor("a leader", time.Minute, func() bool { n = sim.leader(); return n != nil })
	return n
}

// randomLeases returns a random duration between two bounds, which are multiples of a worker's lease.
func (sim *simulation) randomLeases(least, most float64) time.Duration {
	return sim.randomSeconds(least*sim.deployment.leaseS, most*sim.deployment.leaseS)
}

// restartLeader stops the leader, which starts again 1 to 4 s later.
func (sim *simulation) restartLeader() {
	sim.restart(sim.awaitLeader(), 1, 4)
}

// awaitRunning waits until at least the given number of tasks run.
func (sim *simulation) awaitRunning(least int) {
	sim.t.Helper()
	sim.waitFor("enough tasks run", 5*time.Minute, sim.locked(func() bool {
		n := 0
		for _, j := range sim.jobs {
			n += sim.tasksRunning(j.id)
		}
		return n >= least
	}))
}

// submitter returns a function that submits the given number of jobs. The numbering continues from call to call;
// specOf returns the spec of a job by its number.
func (sim *simulation) submitter(specOf func(n int) jobSpec) func(count int) {
	n := 0
	return func(count int) {
		for range count {
			sim.submit(fmt.Sprintf("job-%d", n), specOf(n))
			n++
		}
	}
}

// jobIDs returns the IDs of the jobs for which holds is true.
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

// leaderOrAny returns the leader, or a random controller if there is none.
func (sim *simulation) leaderOrAny() *node {
	if n := sim.leader(); n != nil {
		return n
	}
	return sim.anyNode()
}
