package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an older answer, or two, as a cancellation, a question or a repeated submission meets the end of a job's last task;
// with no other fault.
func TestCancellationAtTheEndOfAJob(t *testing.T) {
	simulate(t, 17, func(sim *simulation) {
		sim.pollClosely(true)
		sim.mu.Lock()
		sim.cancelAtEnd = true
		sim.mu.Unlock()
		for i := range 60 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, runS: sim.seconds(1, 6).Seconds()})
			sim.advance(sim.seconds(0.3, 1.5))
		}
		sim.endFaultsAndCheck()
		done, cancelled := 0, 0
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, j := range sim.jobs {
			if j.done {
				done++
			} else if !j.confirmed.IsZero() {
				cancelled++
			}
		}
		if done == 0 || done+cancelled != len(sim.jobs) {
			sim.t.Errorf("%d done and %d cancelled of %d", done, cancelled, len(sim.jobs))
		}
	})
}

// Guards against a state service that answers slowly while users cancel and ask, leaders are refused and end.
func TestCancellationsWithASlowStore(t *testing.T) {
	simulate(t, 21, func(sim *simulation) {
		sim.pollClosely(true)
		for round, most := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second} {
			sim.state.DelayAnswers(func() time.Duration { return time.Duration(sim.r.Int64N(int64(most))) })
			for i := range 6 {
				sim.submit(fmt.Sprintf("job-%d", 6*round+i), spec{tasks: 1 + i%2, runS: sim.seconds(3, 20).Seconds(), kind: []string{"array", "service"}[i/3]})
				sim.advance(sim.seconds(1, 3))
				sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(6*round+i+1)))
			}
			switch round {
			case 1, 3:
				refuseController(sim, sim.leaderOrAny())
			case 2:
				sim.restart(sim.leaderOrAny(), 0.2, 3)
			}
			sim.advance(sim.seconds(5, 15))
		}
		sim.state.DelayAnswers(nil)
		sim.endFaultsAndCheck()
	})
}

// Guards against an answer that is older than another: users ask at all controllers, again and again within milliseconds, and repeat
// the submission, right after a job was accepted, ended or confirmed as cancelled; some cancel at once. Meanwhile the leader
// ends, is refused by the state service, and answers to transactions are lost.
func TestAnswersNeverGoBack(t *testing.T) {
	simulate(t, 1, func(sim *simulation) {
		sim.pollClosely(true)
		trouble := []func(){
			func() {},
			func() { sim.restartLeader() },
			func() { refuseController(sim, sim.awaitLeader()) },
			func() { loseAnswers(sim, nil) },
			func() { isolateController(sim, sim.awaitLeader()); loseAnswers(sim, nil) },
			func() { sim.restartLeader(); delayTransactions(sim, nil) },
		}
		for i := range 48 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%3, runS: float64(1 + i%5)})
			sim.advance(sim.seconds(1, 3))
			if i%3 == 0 {
				sim.cancel(fmt.Sprintf("job-%d", sim.r.IntN(i+1)))
			}
			if i%8 == 7 {
				trouble[i/8]()
			}
		}
		sim.endFaultsAndCheck()
	})
}

// Guards against cancellations that get lost, or are confirmed too soon, while one controller's work changes hands: asked at the old
// leader, relayed to it as it gives up, written without an answer, asked again at the next one before and after its records are in.
func TestCancellationsDuringAHandover(t *testing.T) {
	simulate(t, 4, func(sim *simulation) {
		sim.pollClosely(true)
		for i := range 24 {
			sim.submit(fmt.Sprintf("job-%d", i), spec{tasks: 1 + i%2, kind: []string{"array", "service"}[i%2], runS: 100})
		}
		sim.awaitRunning(20)
		for round := range 4 {
			old := sim.awaitLeader()
			switch round {
			case 0:
				sim.during(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			case 1:
				sim.during(12*time.Second, func() { old.endpoint.Refuse(true); old.isolate(true) }, func() { old.endpoint.Refuse(false); old.isolate(false) })
			case 2:
				sim.restart(old, 0.2, 1)
			case 3: // the state service refuses the leader alone, and a second later everybody
				sim.during(12*time.Second, func() { old.endpoint.Refuse(true) }, func() { old.endpoint.Refuse(false) })
			}
			for i := range 6 {
				id := fmt.Sprintf("job-%d", 6*round+i)
				if i%3 == 2 {
					sim.impair(sim.machinesOf(id), hung, seconds(sim.site.lease*0.8))
				}
				sim.cancel(id)
				sim.advance(time.Second)
				if round == 3 && i == 1 {
					sim.during(seconds(1.3*sim.site.cancelS), func() { sim.state.Refuse(true) }, func() { sim.state.Refuse(false) })
				}
			}
			sim.advance(seconds(sim.site.lease))
			if round == 3 {
				sim.advance(seconds(1.5 * sim.site.cancelS))
			}
		}
		sim.endFaultsAndCheck()
	})
}
