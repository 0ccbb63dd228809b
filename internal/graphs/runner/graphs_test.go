package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
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
	h := newHarness(t)
	defer h.close()
	flaky := step("flaky", "first")
	flaky.Retries, flaky.Delay = 1, dag.Duration(time.Minute)
	plan := newPlan(t, step("first"), flaky, step("last", "flaky"))
	h.registerAndTrigger(plan, "one")
	if len(h.liveJobs()) != 1 {
		t.Fatalf("submitted jobs are %v, want one", h.liveJobs())
	}
	h.endAttempt(h.startTask(h.liveJobs()[0]), wire.ExitDone)
	h.settle()
	id := h.liveJobs()[0]
	h.endAttempt(h.startTask(id), wire.ExitError)
	h.settle()
	// A new leader also waits for the retry delay, and does not submit the last step.
	h.changeLeader()
	if h.startTask(id) != nil || len(h.liveJobs()) != 1 {
		t.Fatalf("the step is retried before its delay is over; submitted jobs are %v", h.liveJobs())
	}
	h.clock.Advance(time.Minute)
	h.endAttempt(h.startTask(id), wire.ExitDone)
	h.settle()
	h.endAttempt(h.startTask(h.liveJobs()[0]), wire.ExitDone)
	h.settle()
	if r := h.storedRun(plan, "one"); r.RunState() != dag.RunSuccess || len(h.liveJobs()) != 0 || len(h.graphs.runs) != 0 {
		t.Errorf("the run is %v, want success; %d runs are live", r.RunState(), len(h.graphs.runs))
	}
	h.sendAndSettle(CommandTrigger, Command{Run: "one", Described: true}, http.StatusConflict)
	h.changeLeader()
	h.sendAndSettle(CommandTrigger, Command{Run: "one", Described: true}, http.StatusConflict)
}

// The job of a step is cancelled when the step's tries are used up or it times out. Otherwise the scheduler would retry
// it forever.
func TestFailedAndTimedOutStepsAreCancelled(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	slow := step("late")
	slow.Timeout = dag.Duration(time.Minute)
	plan := newPlan(t, step("bad"), slow, step("never", "bad"))
	h.registerAndTrigger(plan, "one")
	ids := h.liveJobs()
	for _, id := range ids {
		if alloc := h.startTask(id); id == h.graphs.runs[keyRun("the team", "g", "one")].run.JobID(dag.InstanceRef{}) {
			h.endAttempt(alloc, wire.ExitError)
		}
	}
	h.settle()
	h.clock.Advance(time.Minute)
	h.settle()
	for _, id := range h.liveJobs() {
		for i := range h.jobStore.Jobs[id].Tasks {
			if alloc := h.jobStore.Jobs[id].Tasks[i].Allocation; alloc != nil {
				h.endAttempt(alloc, wire.ExitStopped)
			}
		}
	}
	h.settle()
	if r := h.storedRun(plan, "one"); r.RunState() != dag.RunFailed {
		t.Errorf("the run is %v, want failed", r.RunState())
	}
	for _, id := range ids {
		if item, ok := h.state.Value(jobs.KeyFinalState(id)); !ok || !strings.Contains(string(item.Value), string(wire.StateCancelled)) {
			t.Errorf("final state of job %s is %q, want cancelled", id, item.Value)
		}
	}
}

// The largest graph is stored in several parts, and its steps are submitted up to the default limit.
func TestLargestGraphIsStoredInParts(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	var steps []dag.Step
	for i := range dag.MaxSteps {
		s := step(fmt.Sprintf("a-step-with-a-name-%d", i*7919%dag.MaxSteps))
		s.Job.EstimateS = float64(i * 31 % 977)
		steps = append(steps, s)
	}
	p := newPlan(t, steps...)
	h.registerAndTrigger(p, "one")
	if n := len(h.liveJobs()); n != 16 {
		t.Errorf("%d steps are submitted at once, want 16", n)
	}
	if n := len(h.list(PrefixDefinition)); n < 2 {
		t.Errorf("the definition is stored in %d parts, want at least 2", n)
	}
	h.changeLeader()
	if len(h.graphs.byJob) != 16 {
		t.Errorf("a new leader has %d submitted steps, want 16", len(h.graphs.byJob))
	}
}

// Property: even if leaders fail at any write, answered or not, every step of a run ends, and its state agrees with the
// final state of its job.
func TestEveryStepEndsDespiteFailovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
		h.changeLeader()
		defer h.close()
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
		plan := newPlan(t, steps...)
		h.registerAndTrigger(plan, "one")
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 8:
				cmd := Command{Run: "one", Steps: []string{fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(rt, "clear"))}, Downstream: true}
				if h.send(CommandClear, cmd); h.graphs.runs[keyRun("the team", "g", "one")] == nil {
					h.runLoopFunc() // the run is finished, so it is read first
				}
			case 9:
				if rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
					h.send(CommandCancelRun, Command{Run: "one"})
				}
			case 0:
				h.changeLeader()
			case 1:
				if h.commitNext(false) {
					h.changeLeader()
				}
			case 2:
				h.commitNext(true)
			case 3:
				// The job store's transaction is committed, but the leader fails before its answer.
				if b := h.jobStore.NextBatch(h.clock.Now().Add(time.Hour), jobs.WriteBudget{Spare: 1000}); b != nil {
					h.commit(b.Txn)
					h.changeLeader()
				}
			case 4:
				h.clock.Advance(time.Second)
				h.graphs.Tick(h.clock.Now())
				if h.graphs.describeQueue.inFlight {
					h.runLoopFunc()
				}
			default:
				for _, id := range h.liveJobs() {
					alloc := h.startTask(id)
					if alloc == nil {
						if j := h.jobStore.Jobs[id]; j != nil && j.Tasks[0].Allocation != nil {
							alloc = j.Tasks[0].Allocation
						}
					}
					if alloc != nil {
						h.endAttempt(alloc, rapid.SampledFrom([]wire.ExitReason{wire.ExitDone, wire.ExitError, wire.ExitStopped}).Draw(rt, "why"))
						break
					}
				}
			}
		}
		for range 20 * n { // until the run is finished
			h.clock.Advance(2 * time.Second)
			h.settle()
			for _, id := range h.liveJobs() {
				alloc := h.startTask(id)
				if alloc == nil && h.jobStore.Jobs[id] != nil {
					alloc = h.jobStore.Jobs[id].Tasks[0].Allocation
				}
				if alloc != nil {
					h.endAttempt(alloc, wire.ExitDone)
				}
			}
		}
		h.settle()
		run := h.storedRun(plan, "one")
		if run.RunState() == dag.RunRunning || len(h.liveJobs()) != 0 || len(h.graphs.byJob) != 0 {
			rt.Fatalf("the run has not finished: it is %v, jobs %v are live and %d steps submitted", run.RunState(), h.liveJobs(), len(h.graphs.byJob))
		}
		for i := range plan.Steps {
			id := run.JobID(dag.InstanceRef{Step: i})
			item, ended := h.state.Value(jobs.KeyFinalState(id))
			state, _ := run.StepState(i)
			switch {
			case state == dag.Success && (!ended || !strings.Contains(string(item.Value), string(wire.StateDone))),
				state == dag.Failed && (!ended || !strings.Contains(string(item.Value), string(wire.StateCancelled))),
				(state == dag.Skipped || state == dag.UpstreamFailed) && ended:
				rt.Fatalf("step %d is %v, but the final state of its job is %q", i, state, item.Value)
			}
		}
	})
}

// Guards against a graph that is in force without being stored: its description was longer than a value may be, so a run
// of it was accepted and lost at the next change of leaders.
func TestGraphWithLongDescriptionIsStored(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	plan := newPlanWith(t, func(g *dag.Graph) { g.Description = strings.Repeat("é", 9000) }, step("a"), step("b", "a"))
	if a := h.register(plan); a.status != http.StatusCreated {
		t.Fatalf("registering a graph with a long description: %+v, want 201", a)
	}
	h.sendAndSettle(CommandTrigger, Command{Run: "one", Described: true}, http.StatusCreated)
	h.changeLeader()
	h.sendAndSettle(CommandPause, Command{Paused: new(bool)}, http.StatusOK)
	h.expectSuccess(plan, "one")
	graph, err := NewReader(h.store).Graph(t.Context(), "the team", "g")
	if err != nil || !strings.HasPrefix(graph.Description, "ééé") || !strings.HasSuffix(graph.Description, ellipsis) {
		t.Errorf("the graph is listed with the description %.20q..., %v, want a shortened one", graph.Description, err)
	}
}

// A graph whose record would be too long is refused with the limit, and the one that was registered before stays in force.
func TestGraphWhoseRecordWouldBeTooLongIsRefused(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	tagged := func(n int) func(*dag.Graph) {
		return func(g *dag.Graph) { g.Tags = slices.Repeat([]string{"a-tag"}, n) }
	}
	if a := h.register(newPlanWith(t, tagged(3000), step("a"))); a.status != http.StatusBadRequest || !strings.Contains(a.text, "16384 are allowed") {
		t.Errorf("registering a graph with long tags: %+v, want 400 with the limit", a)
	}
	h.sendAndSettle(CommandTrigger, Command{Run: "one", Described: true}, http.StatusNotFound)
	plan := newPlanWith(t, tagged(10), step("a"))
	h.registerAndTrigger(plan, "one")
	if a := h.register(newPlanWith(t, tagged(3000), step("a"), step("b"))); a.status != http.StatusBadRequest {
		t.Errorf("registering the graph again with long tags: %+v, want 400", a)
	}
	h.changeLeader()
	h.expectSuccess(plan, "one")
}

// Guards against a registered step whose job has no room in its record: the check left out the time of acceptance, so the
// step was accepted and then failed without being submitted.
func TestStepWhoseJobWouldBeTooLongIsRefused(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	long := step("long")
	_, value, err := instanceJob(dag.NewRun(newPlan(t, long), "one"), dag.InstanceRef{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	long.Job.Types = []string{strings.Repeat("t", h.graphs.maxValueBytes()-len(value)-5)} // room for a time of five digits
	if a := h.register(newPlan(t, long)); a.status != http.StatusBadRequest {
		t.Errorf("registering a step with a long job: %+v, want 400", a)
	}
}

// Guards against names of accounts that users of jobs may not have: records of charges and of totals contain them and have
// no room for long ones.
func TestStepWithInvalidAccountIsRefused(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	for _, account := range []string{strings.Repeat("a", 201), "two\nlines"} {
		s := step("s")
		s.Job.Account = account
		if a := h.register(newPlan(t, s)); a.status != http.StatusBadRequest || !strings.Contains(a.text, "account") {
			t.Errorf("registering a step with the account %.20q: %+v, want 400 that names the field", account, a)
		}
	}
}

// A graph whose runs would have no room in their records is refused when it is registered.
func TestGraphWhoseRunsWouldBeTooLongIsRefused(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	mapped := func(members int) *dag.Plan {
		steps := stepsSideBySide(100)
		for i := range steps {
			steps[i].Map = &dag.Map{List: slices.Repeat([]json.RawMessage{json.RawMessage("1")}, members)}
		}
		return newPlan(t, steps...)
	}
	if a := h.register(mapped(1000)); a.status != http.StatusBadRequest || !strings.Contains(a.text, "16384 are allowed") {
		t.Errorf("registering a graph of 100,000 mapped instances: %+v, want 400 with the limit", a)
	}
	if a := h.register(mapped(100)); a.status != http.StatusCreated {
		t.Errorf("registering a graph of 10,000 mapped instances: %+v, want 201", a)
	}
}
