package faults_test

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/scheduler/jobs"
)

// Guards against starvation and too many tasks: there is more work than room, urgent and not, the state service is slow, and the leader ends.
func TestMoreWorkThanCapacity(t *testing.T) {
	simulate(t, 16, func(sim *simulation) {
		most := 1500 * time.Millisecond
		slowLinks(sim, nil)
		sim.during(60*time.Second, func() {
			sim.state.DelayAnswers(func() time.Duration { return time.Duration(sim.r.Int64N(int64(most))) })
		}, func() { sim.state.DelayAnswers(nil) })
		for i := range 60 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{
				tasks: 1 + i%5, cpus: []float64{2, 4, 8}[i%3], runS: sim.seconds(5, 25).Seconds(), stub: float64(40 * (i % 2)),
				priority: []string{"urgent", "standard", "low", "production"}[i%4], team: []string{"t", "t", "small", "tight"}[i/4%4],
			})
			sim.advance(sim.seconds(0.2, 1.5))
			switch i {
			case 20, 40:
				sim.restartLeader()
			case 30:
				sim.impair(sim.someWorkers(), hung, sim.leases(0.5, 1.2))
			}
			if i%6 == 5 {
				sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(i)))
			}
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against a team that is over its limit, and against room that is kept for ever: every team is at its limit while jobs are
// cancelled whose machines are cut off or hang, and the leader changes. The next one knows those tasks from records, or from
// reports of an old session.
func TestQuotasHoldWhenMachinesHangAndLeadersChange(t *testing.T) {
	simulate(t, 3, func(sim *simulation) {
		fill := sim.submitter(func(n int) spec {
			return spec{team: []string{"small", "tight"}[n%2], tasks: 1 + n%4, kind: []string{"array", "service"}[n/2%2], runS: sim.seconds(10, 60).Seconds()}
		})
		fill(12)
		sim.waitFor("both teams are at their limits", 2*time.Minute, sim.locked(func() bool { return sim.use("small", false) == 16 && sim.use("tight", false) == 24 }))
		for round := range 6 {
			what := []int{hung, disconnected, receivesNothing}[round%3]
			ids := sim.jobIDs(func(j *job) bool { return !j.asked && sim.running(j.id) > 0 })
			ids = ids[:(len(ids)+1)/2]
			sim.impair(sim.machinesOf(ids...), what, sim.leases(0.3, 1.6))
			for _, id := range ids {
				sim.cancel(id)
			}
			fill(4)
			switch round % 3 {
			case 0:
				sim.restartLeader()
			case 1:
				refuseController(sim, sim.awaitLeader())
			}
			sim.advance(seconds(sim.site.lease))
		}
		// Services hold their teams' room until they are cancelled.
		sim.cancelServices()
		sim.endFaultsAndCheck()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if small, tight := sim.use("small", true), sim.use("tight", true); small+tight > 0 {
			sim.t.Errorf("%g and %g CPUs are still in use", small, tight)
		}
	})
}

// Guards against changes and memory that grow with small jobs, and against any that is forgotten among them: one-task jobs come four a
// second for two minutes, a quarter of them cancelled, with the leader's end and an outage in the middle.
func TestManySmallJobs(t *testing.T) {
	simulate(t, 7, func(sim *simulation) {
		const count = 480
		for i := range count {
			sim.submit(fmt.Sprintf("job-%d", i), spec{runS: sim.seconds(2, 16).Seconds(), cpus: 2})
			if i >= 40 && i%4 == 0 {
				sim.cancel(fmt.Sprintf("job-%d", i-sim.r.IntN(40)))
			}
			sim.pollClosely(i%10 == 0)
			sim.step()
			switch i {
			case 160:
				sim.restartLeader()
			case 240:
				sim.during(15*time.Second, func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
			case 270:
				sim.restartLeader()
			}
		}
		sim.pollClosely(false)
		sim.endFaultsAndCheck()
		changes := 0
		for _, txn := range sim.state.Applied() {
			changes += len(txn.Then)
		}
		// A job takes its record, its place, its end with two deletions, and a part of what stands still: more would mean that
		// something is written again and again.
		if most := 7*count + 400; changes > most {
			sim.t.Errorf("%d changes for %d jobs, at most %d are wanted", changes, count, most)
		}
		for i := range count {
			key := jobs.KeyJob(fmt.Sprintf("job-%d", i))
			if _, left := sim.state.Value(key); left {
				sim.t.Errorf("%s is left", key)
			}
		}
	})
}
