package runner

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/testutil"
)

func TestMain(m *testing.M) { os.Exit(testutil.FixedSeed(m)) }

// A run with a step that fails once succeeds, over a change of leaders during the delay before the step's retry. Its ID
// cannot be used again, not even with a new leader.
func TestRunWithRetrySucceedsOverFailover(t *testing.T) {
	w := newHarness(t)
	defer w.close()
	flaky := step("flaky", "first")
	flaky.Retries, flaky.Delay = 1, dag.Duration(time.Minute)
	p := newPlan(t, step("first"), flaky, step("last", "flaky"))
	w.registerAndTrigger(p, "one")
	if len(w.liveJobs()) != 1 {
		t.Fatalf("submitted jobs are %v, want one", w.liveJobs())
	}
	w.endAttempt(w.startTask(w.liveJobs()[0]), wire.ExitDone)
	w.settle()
	id := w.liveJobs()[0]
	w.endAttempt(w.startTask(id), wire.ExitError)
	w.settle()
	// A new leader also waits for the retry delay, and does not submit the last step.
	w.changeLeader()
	if w.startTask(id) != nil || len(w.liveJobs()) != 1 {
		t.Fatalf("the step is retried before its delay is over; submitted jobs are %v", w.liveJobs())
	}
	w.clock.Advance(time.Minute)
	w.endAttempt(w.startTask(id), wire.ExitDone)
	w.settle()
	w.endAttempt(w.startTask(w.liveJobs()[0]), wire.ExitDone)
	w.settle()
	if r := w.storedRun(p, "one"); r.RunState() != dag.RunSuccess || len(w.liveJobs()) != 0 || len(w.graphs.runs) != 0 {
		t.Errorf("the run is %v, want success; %d runs are live", r.RunState(), len(w.graphs.runs))
	}
	w.sendAndSettle(DoTrigger, Order{Run: "one", Described: true}, http.StatusConflict)
	w.changeLeader()
	w.sendAndSettle(DoTrigger, Order{Run: "one", Described: true}, http.StatusConflict)
}

// The job of a step is cancelled when the step's tries are used up or it times out. Otherwise the scheduler would retry
// it forever.
func TestFailedAndTimedOutStepsAreCancelled(t *testing.T) {
	w := newHarness(t)
	defer w.close()
	late := step("late")
	late.Timeout = dag.Duration(time.Minute)
	p := newPlan(t, step("bad"), late, step("never", "bad"))
	w.registerAndTrigger(p, "one")
	ids := w.liveJobs()
	for _, id := range ids {
		if pl := w.startTask(id); id == w.graphs.runs[keyRun("the team", "g", "one")].run.JobID(dag.InstanceRef{}) {
			w.endAttempt(pl, wire.ExitError)
		}
	}
	w.settle()
	w.clock.Advance(time.Minute)
	w.settle()
	for _, id := range w.liveJobs() {
		for i := range w.jobStore.Jobs[id].Tasks {
			if pl := w.jobStore.Jobs[id].Tasks[i].Allocation; pl != nil {
				w.endAttempt(pl, wire.ExitStopped)
			}
		}
	}
	w.settle()
	if r := w.storedRun(p, "one"); r.RunState() != dag.RunFailed {
		t.Errorf("the run is %v, want failed", r.RunState())
	}
	for _, id := range ids {
		if item, ok := w.state.Value(jobs.KeyFinalState(id)); !ok || !strings.Contains(string(item.Value), string(wire.StateCancelled)) {
			t.Errorf("final state of job %s is %q, want cancelled", id, item.Value)
		}
	}
}

// The largest graph is stored in several parts, and its steps are submitted up to the default limit.
func TestLargestGraphIsStoredInParts(t *testing.T) {
	w := newHarness(t)
	defer w.close()
	var steps []dag.Step
	for i := range dag.MaxSteps {
		s := step(fmt.Sprintf("a-step-with-a-name-%d", i*7919%dag.MaxSteps))
		s.Job.EstimateS = float64(i * 31 % 977)
		steps = append(steps, s)
	}
	p := newPlan(t, steps...)
	w.registerAndTrigger(p, "one")
	if n := len(w.liveJobs()); n != 16 {
		t.Errorf("%d steps are submitted at once, want 16", n)
	}
	if n := len(w.list(PrefixDef)); n < 2 {
		t.Errorf("the definition is stored in %d parts, want at least 2", n)
	}
	w.changeLeader()
	if len(w.graphs.byJob) != 16 {
		t.Errorf("a new leader has %d submitted steps, want 16", len(w.graphs.byJob))
	}
}

// Property: even if leaders fail at any write, answered or not, every step of a run ends, and its state agrees with the
// final state of its job.
func TestEveryStepEndsDespiteFailovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newHarnessWithoutLeader(t, Config{Source: sourceFunc(acceptAll)})
		w.changeLeader()
		defer w.close()
		n := rapid.IntRange(1, 6).Draw(rt, "steps")
		var steps []dag.Step
		for i := range n {
			s := step(fmt.Sprint("s", i))
			s.Retries, s.Delay = rapid.IntRange(0, 1).Draw(rt, "retries"), dag.Duration(time.Second)
			s.Rule = dag.Rule(rapid.SampledFrom(dag.Rules()).Draw(rt, "rule"))
			for j := range i {
				if rapid.Bool().Draw(rt, "edge") {
					s.Upstream = append(s.Upstream, fmt.Sprint("s", j))
				}
			}
			steps = append(steps, s)
		}
		p := newPlan(t, steps...)
		w.registerAndTrigger(p, "one")
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 8:
				o := Order{Run: "one", Steps: []string{fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(rt, "clear"))}, Below: true}
				if w.send(DoClear, o); w.graphs.runs[keyRun("the team", "g", "one")] == nil {
					w.runLoopFunc() // the run is finished, so it is read first
				}
			case 9:
				if rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
					w.send(DoCancel, Order{Run: "one"})
				}
			case 0:
				w.changeLeader()
			case 1:
				if w.commitNext(false) {
					w.changeLeader()
				}
			case 2:
				w.commitNext(true)
			case 3:
				// The job store's transaction is committed, but the leader fails before its answer.
				if b := w.jobStore.NextBatch(w.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}); b != nil {
					w.commit(b.Txn)
					w.changeLeader()
				}
			case 4:
				w.clock.Advance(time.Second)
				w.graphs.Tick(w.clock.Now())
				if w.graphs.describeQueue.inFlight {
					w.runLoopFunc()
				}
			default:
				for _, id := range w.liveJobs() {
					pl := w.startTask(id)
					if pl == nil {
						if j := w.jobStore.Jobs[id]; j != nil && j.Tasks[0].Allocation != nil {
							pl = j.Tasks[0].Allocation
						}
					}
					if pl != nil {
						w.endAttempt(pl, rapid.SampledFrom([]wire.ExitReason{wire.ExitDone, wire.ExitError, wire.ExitStopped}).Draw(rt, "why"))
						break
					}
				}
			}
		}
		for range 20 * n { // until the run is finished
			w.clock.Advance(2 * time.Second)
			w.settle()
			for _, id := range w.liveJobs() {
				pl := w.startTask(id)
				if pl == nil && w.jobStore.Jobs[id] != nil {
					pl = w.jobStore.Jobs[id].Tasks[0].Allocation
				}
				if pl != nil {
					w.endAttempt(pl, wire.ExitDone)
				}
			}
		}
		w.settle()
		r := w.storedRun(p, "one")
		if r.RunState() == dag.RunRunning || len(w.liveJobs()) != 0 || len(w.graphs.byJob) != 0 {
			rt.Fatalf("the run has not finished: it is %v, jobs %v are live and %d steps submitted", r.RunState(), w.liveJobs(), len(w.graphs.byJob))
		}
		for i := range p.Steps {
			id := r.JobID(dag.InstanceRef{Step: i})
			item, ended := w.state.Value(jobs.KeyFinalState(id))
			state, _ := r.StepState(i)
			switch {
			case state == dag.Success && (!ended || !strings.Contains(string(item.Value), string(wire.StateDone))),
				state == dag.Failed && (!ended || !strings.Contains(string(item.Value), string(wire.StateCancelled))),
				(state == dag.Skipped || state == dag.UpstreamFailed) && ended:
				rt.Fatalf("step %d is %v, but the final state of its job is %q", i, state, item.Value)
			}
		}
	})
}
