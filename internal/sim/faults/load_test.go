package faults_test

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/scheduler/jobs"
)

// Guards against starvation and exceeded limits: jobs of all priorities ask for more than the capacity, the state
// service and the links are slow, and the leader restarts.
func TestMoreWorkThanCapacity(t *testing.T) {
	simulate(t, 16, func(sim *simulation) {
		maxDelay := 1500 * time.Millisecond
		slowLinks(sim, nil)
		sim.startFault(60*time.Second, func() {
			sim.state.DelayRequests(func() time.Duration { return time.Duration(sim.rng.Int64N(int64(maxDelay))) })
		}, func() { sim.state.DelayRequests(nil) })
		for i := range 60 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{
				tasks: 1 + i%5, cpus: []float64{2, 4, 8}[i%3], runS: sim.randomSeconds(5, 25).Seconds(), checkpointS: float64(40 * (i % 2)),
				priority: []string{"urgent", "standard", "low", "production"}[i%4], team: []string{"t", "t", "small", "tight"}[i/4%4],
			})
			sim.advance(sim.randomSeconds(0.2, 1.5))
			switch i {
			case 20, 40:
				sim.restartLeader()
			case 30:
				sim.impair(sim.randomWorkers(), hung, sim.randomLeases(0.5, 1.2))
			}
			if i%6 == 5 {
				sim.cancel(fmt.Sprintf("job-%d", sim.rng.IntN(i)))
			}
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against a team that exceeds its limit, and against quota that is never released. Both teams are at their
// limits while jobs are cancelled whose machines are unreachable or hang, and the leader changes. The next leader
// knows their tasks only from stored records or from heartbeats of an earlier incarnation.
func TestQuotasHoldWhenMachinesHangAndLeadersChange(t *testing.T) {
	simulate(t, 3, func(sim *simulation) {
		submitJobs := sim.submitter(func(n int) jobSpec {
			return jobSpec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%4, kind: []string{"array", "service"}[n/2%2], runS: sim.randomSeconds(10, 60).Seconds()}
		})
		submitJobs(12)
		sim.waitFor("both teams are at their limits", 2*time.Minute, sim.locked(func() bool { return sim.cpusInUse("small", false) == 16 && sim.cpusInUse("tight", false) == 24 }))
		for round := range 6 {
			impairment := []int{hung, disconnected, receivesNothing}[round%3]
			ids := sim.jobIDs(func(j *job) bool { return !j.cancelWanted && sim.tasksRunning(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.workersRunning(ids...), impairment, sim.randomLeases(0.3, 1.6))
			for _, id := range ids {
				sim.cancel(id)
			}
			submitJobs(4)
			switch round % 3 {
			case 0:
				sim.restartLeader()
			case 1:
				refuseController(sim, sim.awaitLeader())
			}
			sim.advance(seconds(sim.deployment.leaseS))
		}
		// Services use their teams' quota until they are cancelled.
		sim.cancelServices()
		sim.endFaultsAndCheck()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if small, tight := sim.cpusInUse("small", true), sim.cpusInUse("tight", true); small+tight > 0 {
			sim.t.Errorf("teams small and tight still use %g and %g CPUs", small, tight)
		}
	})
}

// Guards against stored changes and memory that grow with many small jobs, and against jobs that are lost among
// them. Four one-task jobs a second are submitted for two minutes, a quarter of them are cancelled, and the leader
// restarts twice, once during an outage of the state service.
func TestManySmallJobs(t *testing.T) {
	simulate(t, 7, func(sim *simulation) {
		const count = 480
		for i := range count {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{runS: sim.randomSeconds(2, 16).Seconds(), cpus: 2})
			if i >= 40 && i%4 == 0 {
				sim.cancel(fmt.Sprintf("job-%d", i-sim.rng.IntN(40)))
			}
			sim.setPollOnChange(i%10 == 0)
			sim.step()
			switch i {
			case 160:
				sim.restartLeader()
			case 240:
				sim.startFault(15*time.Second, func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			case 270:
				sim.restartLeader()
			}
		}
		sim.setPollOnChange(false)
		sim.endFaultsAndCheck()
		changes := 0
		for _, txn := range sim.state.Applied() {
			changes += len(txn.Then)
		}
		// A job needs the writes of its record, its placement and its final state, two deletions, and a share of
		// the writes that do not depend on the number of jobs. More changes would mean that something is written
		// repeatedly.
		if limit := 7*count + 400; changes > limit {
			sim.t.Errorf("%d stored changes for %d jobs, want at most %d", changes, count, limit)
		}
		for i := range count {
			key := jobs.KeyJob(fmt.Sprintf("job-%d", i))
			if _, found := sim.state.Value(key); found {
				sim.t.Errorf("record %s is still stored", key)
			}
		}
	})
}
