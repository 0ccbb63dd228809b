package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against answers with an older state, or with two final states, when a cancellation, a poll or a repeated
// submission arrives just as a job's last task ends. No fault is injected.
func TestCancellationAtTheEndOfAJob(t *testing.T) {
	simulate(t, 17, func(sim *simulation) {
		sim.setPollOnChange(true)
		sim.mu.Lock()
		sim.cancelAtJobEnd = true
		sim.mu.Unlock()
		for i := range 60 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%2, runS: sim.randomSeconds(1, 6).Seconds()})
			sim.advance(sim.randomSeconds(0.3, 1.5))
		}
		sim.endFaultsAndCheck()
		done, cancelled := 0, 0
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, j := range sim.jobs {
			if j.done {
				done++
			} else if !j.cancelConfirmedAt.IsZero() {
				cancelled++
			}
		}
		if done == 0 || done+cancelled != len(sim.jobs) {
			sim.t.Errorf("%d jobs done and %d cancelled of %d, want some done and all ended", done, cancelled, len(sim.jobs))
		}
	})
}

// Guards against violations while the state service answers slowly. Meanwhile users cancel and poll, and leaders
// stop or are refused by the state service.
func TestCancellationsWithASlowStore(t *testing.T) {
	simulate(t, 21, func(sim *simulation) {
		sim.setPollOnChange(true)
		for round, maxDelay := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second} {
			sim.state.DelayRequests(func() time.Duration { return time.Duration(sim.rng.Int64N(int64(maxDelay))) })
			for i := range 6 {
				sim.submit(fmt.Sprintf("job-%d", 6*round+i), jobSpec{tasks: 1 + i%2, runS: sim.randomSeconds(3, 20).Seconds(), kind: []string{"array", "service"}[i/3]})
				sim.advance(sim.randomSeconds(1, 3))
				sim.cancel(fmt.Sprintf("job-%d", sim.rng.IntN(6*round+i+1)))
			}
			switch round {
			case 1, 3:
				refuseController(sim, sim.leaderOrAny())
			case 2:
				sim.restart(sim.leaderOrAny(), 0.2, 3)
			}
			sim.advance(sim.randomSeconds(5, 15))
		}
		sim.state.DelayRequests(nil)
		sim.endFaultsAndCheck()
	})
}

// Guards against answers with an older state than an earlier answer. Right after a job is accepted, ends or is
// confirmed as cancelled, users poll all controllers repeatedly within milliseconds and repeat the submission; some
// cancel at once. Meanwhile the leader stops, is refused by the state service or is isolated, and transactions are
// delayed or their answers are lost.
func TestUserAnswersNeverRegress(t *testing.T) {
	simulate(t, 1, func(sim *simulation) {
		sim.setPollOnChange(true)
		faults := []func(){
			func() {},
			func() { sim.restartLeader() },
			func() { refuseController(sim, sim.awaitLeader()) },
			func() { loseAnswers(sim, nil) },
			func() { isolateController(sim, sim.awaitLeader()); loseAnswers(sim, nil) },
			func() { sim.restartLeader(); delayTransactions(sim, nil) },
		}
		for i := range 48 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%3, runS: float64(1 + i%5)})
			sim.advance(sim.randomSeconds(1, 3))
			if i%3 == 0 {
				sim.cancel(fmt.Sprintf("job-%d", sim.rng.IntN(i+1)))
			}
			if i%8 == 7 {
				faults[i/8]()
			}
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against cancellations that are lost or confirmed too early during a handover of the leadership. A
// cancellation may reach the old leader, be relayed to it as it steps down, be written without an answer, or be
// repeated at the next leader before and after that leader has loaded its records.
func TestCancellationsDuringAHandover(t *testing.T) {
	simulate(t, 4, func(sim *simulation) {
		sim.setPollOnChange(true)
		for i := range 24 {
			sim.submit(fmt.Sprintf("job-%d", i), jobSpec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 100})
		}
		sim.awaitRunning(20)
		for round := range 4 {
			old := sim.awaitLeader()
			switch round {
			case 0:
				sim.startFault(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			case 1:
				sim.startFault(12*time.Second, func() { old.endpoint.Refuse(true); old.isolate(true) }, func() { old.endpoint.Refuse(false); old.isolate(false) })
			case 2:
				sim.restart(old, 0.2, 1)
			case 3: // the state service refuses only the leader, and a second later everyone
				sim.startFault(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			}
			for i := range 6 {
				id := fmt.Sprintf("job-%d", 6*round+i)
				if i%3 == 2 {
					sim.impair(sim.workersRunning(id), hung, seconds(sim.deployment.leaseS*0.8))
				}
				sim.cancel(id)
				sim.advance(time.Second)
				if round == 3 && i == 1 {
					sim.startFault(seconds(1.3*sim.deployment.cancelS), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
				}
			}
			sim.advance(seconds(sim.deployment.leaseS))
			if round == 3 {
				sim.advance(seconds(1.5 * sim.deployment.cancelS))
			}
		}
		sim.endFaultsAndCheck()
	})
}
