package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
)

// storeLargeResults registers a graph of n steps and a last one downstream of them, triggers a run, and sets the largest
// result of each of the n steps.
func storeLargeResults(h *harness, run string, n int) (plan *dag.Plan, results []json.RawMessage) {
	h.t.Helper()
	steps := stepsSideBySide(n)
	last := step("last")
	for i := range steps {
		last.Upstream = append(last.Upstream, steps[i].ID)
	}
	plan = newPlan(h.t, append(steps, last)...)
	if a := h.register(plan); a.status >= http.StatusBadRequest {
		h.t.Fatalf("registering the graph: %+v", a)
	}
	h.sendAndSettle(CommandTrigger, Command{Run: run, Described: h.cfg.DescriptionSource == nil}, http.StatusCreated)
	random := newRandom()
	for i := range n {
		results = append(results, incompressible(random, dag.MaxResultBytes))
		h.sendAndSettle(CommandSetResult, Command{Run: run, Step: steps[i].ID, Result: results[i]}, http.StatusOK)
	}
	return plan, results
}

// Results that the run's record has no room for reach the steps downstream and readers, also after a change of leaders.
func TestResultsInRecordsOfTheirOwn(t *testing.T) {
	const steps = 12
	received := map[string]json.RawMessage{}
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(func(all []Description) error {
		for _, d := range all {
			if d.Step == "last" {
				received = d.Results
			}
		}
		return nil
	})})
	h.changeLeader()
	defer h.close()
	plan, results := storeLargeResults(h, "one", steps)
	if n := len(h.list(PrefixResult)); n == 0 || n == steps {
		t.Errorf("%d results are stored in records of their own, want some", n)
	}
	results[steps-1] = json.RawMessage(`"replaced"`)
	h.sendAndSettle(CommandSetResult, Command{Run: "one", Step: plan.Steps[steps-1].ID, Result: results[steps-1]}, http.StatusOK)
	h.changeLeader()
	h.expectSuccess(plan, "one")
	for i, want := range results {
		if got := received[plan.Steps[i].ID]; !bytes.Equal(got, want) {
			t.Errorf("the last step was described with result %.20q of step %d, want %.20q", got, i, want)
		}
	}
	reader := NewReader(h.store)
	view, err := reader.Run(t.Context(), "the team", "g", "one")
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range append(results, nil) { // the last step has none
		if got, err := reader.Result(t.Context(), view, i); err != nil || !bytes.Equal(got, want) {
			t.Errorf("result of step %d is read as %.20q, %v, want %.20q", i, got, err, want)
		}
	}
}

// The results of a run are deleted with the run or its graph, and voided when their steps are cleared.
func TestResultRecordsGoWithTheirRun(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
	h.changeLeader()
	defer h.close()
	plan, results := storeLargeResults(h, "one", 12)
	cleared := plan.Steps[11].ID
	h.sendAndSettle(CommandClear, Command{Run: "one", Steps: []string{cleared}}, http.StatusOK)
	h.changeLeader()
	live := h.graphs.runs[keyRun("the team", "g", "one")]
	if got := live.run.Result(11); got != nil {
		t.Errorf("after a clear and a change of leaders the cleared step has the result %.20q, want none", got)
	}
	if got := live.run.Result(10); !bytes.Equal(got, results[10]) {
		t.Errorf("after a clear and a change of leaders another step has the result %.20q, want %.20q", got, results[10])
	}
	h.expectSuccess(plan, "one")
	h.changeLeader()
	h.send(CommandDeleteRun, Command{Run: "one"})
	h.runLoopFunc() // the results are listed first
	h.settle()
	if left := append(h.list(PrefixResult), h.list(PrefixRun)...); len(left) != 0 {
		t.Errorf("%d records are left after the run was deleted, the first at %s", len(left), left[0].Key)
	}
	plan, _ = storeLargeResults(h, "two", 12)
	h.expectSuccess(plan, "two")
	deleted := h.send(CommandDeleteGraph, Command{})
	h.runLoopFunc()
	h.settle()
	if left := append(append(h.list(PrefixResult), h.list(PrefixRun)...), h.list(PrefixGraph)...); len(left) != 0 || deleted.status != http.StatusNoContent {
		t.Errorf("deleting the graph was answered with %d, and %d records are left", deleted.status, len(left))
	}
}

// A run that lacks one of its results must not go on without it, and must not keep other runs from being read.
func TestRunWithMissingResultRests(t *testing.T) {
	for name, damage := range map[string]wire.Change{"missing": {}, "malformed": {Value: json.RawMessage(`{"generation":"x"}`)}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			defer h.close()
			storeLargeResults(h, "one", 12)
			h.sendAndSettle(CommandTrigger, Command{Run: "two", Described: true}, http.StatusCreated)
			if key := h.list(PrefixResult)[0].Key; damage.Value == nil {
				damage.Delete = key
			} else {
				damage.Put = key
			}
			h.commit(wire.Txn{Then: []wire.Change{damage}})
			h.changeLeader()
			h.settle()
			if live := h.graphs.runs[keyRun("the team", "g", "two")]; len(h.graphs.runs) != 1 || live == nil {
				t.Errorf("%d runs are live, want the other one alone", len(h.graphs.runs))
			}
		})
	}
}

// A list for mapped steps that would make the run's record too long is refused with the limit, and the run goes on.
func TestListBeyondTheRecordIsRefused(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
	h.changeLeader()
	defer h.close()
	steps := []dag.Step{step("source")}
	for i := range 100 {
		s := step(fmt.Sprintf("mapped-%d", i))
		s.Map = &dag.Map{Over: "source"}
		steps = append(steps, s)
	}
	plan := newPlan(t, steps...)
	h.registerAndTrigger(plan, "one")
	list := func(n int) json.RawMessage {
		return json.RawMessage("[" + strings.TrimSuffix(strings.Repeat("1,", n), ",") + "]")
	}
	text := h.sendAndSettle(CommandSetResult, Command{Run: "one", Step: "source", Result: list(dag.MaxMappedInstances)}, http.StatusConflict)
	if !strings.Contains(text, "16384 are allowed") {
		t.Errorf("the list is refused with %q, which does not name the limit", text)
	}
	if got := h.graphs.runs[keyRun("the team", "g", "one")].run.Result(0); got != nil {
		t.Errorf("after the refusal the step has the result %.20q, want none", got)
	}
	h.sendAndSettle(CommandSetResult, Command{Run: "one", Step: "source", Result: list(3)}, http.StatusOK)
	h.expectSuccess(plan, "one")
}

// Results are refused beyond the memory of graphs, and what was accepted before goes on.
func TestResultBeyondTheMemoryIsRefused(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{MaxMemoryBytes: 30_000})
	h.changeLeader()
	defer h.close()
	plan := newPlan(t, stepsSideBySide(12)...)
	h.registerAndTrigger(plan, "one")
	random, accepted := newRandom(), 0
	for _, s := range plan.Steps {
		a := h.send(CommandSetResult, Command{Run: "one", Step: s.ID, Result: incompressible(random, dag.MaxResultBytes)})
		h.settle()
		switch a.status {
		case http.StatusOK:
			accepted++
		case http.StatusServiceUnavailable:
		default:
			t.Fatalf("a result was answered with %d %q", a.status, a.text)
		}
	}
	if accepted == 0 || accepted == len(plan.Steps) {
		t.Errorf("%d of %d results were accepted, want some", accepted, len(plan.Steps))
	}
	before := h.graphs.memoryBytes
	h.changeLeader()
	if h.graphs.memoryBytes != before {
		t.Errorf("a new leader counts %d bytes, the one before it %d", h.graphs.memoryBytes, before)
	}
	h.expectSuccess(plan, "one")
}

// A run whose record cannot be stored keeps its jobs, and other runs are stored. It goes on once its record fits.
func TestRunThatCannotBeStoredIsHeldBack(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	plan := newPlan(t, step("a"), step("b", "a"))
	h.registerAndTrigger(plan, "one")
	live := h.graphs.runs[keyRun("the team", "g", "one")]
	live.meta.Note = strings.Repeat("n", 17<<10) // no command does this; an earlier version may have stored it
	h.sendAndSettle(CommandTrigger, Command{Run: "two", Described: true}, http.StatusCreated)
	h.completeJobs()
	h.completeJobs()
	if run := h.storedRun(plan, "two"); run.RunState() != dag.RunSuccess {
		t.Errorf("the other run is %v with steps %v, want success", run.RunState(), countByState(run))
	}
	if !live.heldBack || countByState(live.run)["scheduled"] != 1 || len(h.liveJobs()) != 0 {
		t.Errorf("the run with the long record has steps %v and jobs %v, want its second step to wait", countByState(live.run), h.liveJobs())
	}
	live.meta.Note = ""
	h.graphs.markDirty(live)
	h.settle()
	h.expectSuccess(plan, "one")
}

// Property: whatever users leave and however steps end, a run's record fits the state service, no transaction is refused
// for its size, and each run ends, with leaders that fail at any write.
func TestRecordsOfRunsFitTheStateService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
		h.changeLeader()
		defer h.close()
		random := newRandom()
		steps := stepsSideBySide(rapid.IntRange(2, 40).Draw(rt, "steps"))
		for i := range steps {
			steps[i].Retries, steps[i].Delay = 3, dag.Duration(1)
		}
		mapped := step("mapped")
		mapped.Map = &dag.Map{Over: steps[0].ID}
		plan := newPlanWith(t, unlimited, append(steps, mapped)...)
		h.registerAndTrigger(plan, "one")
		for range rapid.IntRange(10, 60).Draw(rt, "events") {
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1:
				result := incompressible(random, rapid.IntRange(10, dag.MaxResultBytes).Draw(rt, "bytes"))
				if rapid.IntRange(0, 3).Draw(rt, "list") == 0 {
					result = json.RawMessage("[" + strings.TrimSuffix(strings.Repeat("1,", len(result)/3), ",") + "]")
				}
				h.send(CommandSetResult, Command{Run: "one", Step: rapid.SampledFrom(steps).Draw(rt, "step").ID, Result: result})
			case 2:
				answered := rapid.Bool().Draw(rt, "answered")
				if h.commitNext(answered); !answered {
					h.changeLeader()
				}
			case 3:
				h.send(CommandClear, Command{Run: "one", Steps: []string{rapid.SampledFrom(steps).Draw(rt, "step").ID}, Downstream: true})
			case 4:
				h.settle()
			default:
				for _, id := range h.liveJobs() {
					if alloc := h.startTask(id); alloc != nil {
						h.endAttempt(alloc, rapid.SampledFrom([]wire.ExitReason{wire.ExitDone, wire.ExitError}).Draw(rt, "why"))
						break
					}
				}
			}
		}
		h.changeLeader()
		for range 100 {
			h.clock.Advance(1)
			h.settle()
			h.completeJobs()
			if len(h.liveJobs()) == 0 && len(h.graphs.runs) == 0 {
				return
			}
		}
		rt.Fatalf("the run has not ended: jobs %v are live, %d runs", h.liveJobs(), len(h.graphs.runs))
	})
}

// Property: a run's shortest record stays within the bound that admits its commands.
func TestRunRecordStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		defer h.close()
		steps := stepsSideBySide(rapid.IntRange(1, 2000).Draw(rt, "steps"))
		for i := range steps {
			steps[i].Retries, steps[i].Delay = 100, dag.Duration(1)
			if i%10 == 0 {
				steps[i].Map = &dag.Map{List: make([]json.RawMessage, rapid.IntRange(0, 40).Draw(rt, "members"))}
				for k := range steps[i].Map.List {
					steps[i].Map.List[k] = json.RawMessage("1")
				}
			}
		}
		plan := newPlanWith(t, unlimited, steps...)
		run := dag.NewRun(plan, "one")
		random := newRandom()
		for k, ref := range run.TakeReady(100_000) {
			if k%7 == 0 {
				continue // it stays ready
			}
			run.JobSubmitted(ref)
			for range random.IntN(100) {
				run.AttemptFailed(ref, h.clock.Now(), 0)
			}
			switch random.IntN(20) {
			case 0:
				run.TaskRunning(ref, h.clock.Now())
				h.clock.Advance(time.Second)
			case 1:
				// it waits for its next try
			case 2, 3, 4, 5:
				run.JobCancelled(ref)
			default:
				if err := run.JobDone(ref); err != nil {
					rt.Fatal(err)
				}
			}
		}
		if rapid.Bool().Draw(rt, "cleared") {
			var cleared []int
			for i := range plan.Steps {
				if random.IntN(3) == 0 {
					cleared = append(cleared, i)
				}
			}
			run.Clear(cleared)
		}
		live, err := newLiveRun(&graph{rec: GraphRecord{Team: plan.Team, ID: plan.ID}}, run, "key", "hash", runMeta{Note: "a note"}, nil)
		if err != nil {
			rt.Fatal(err)
		}
		for i := range plan.Steps {
			live.separate.Add(i)
		}
		live.activeJobs = len(run.Orphans())
		for i := range plan.Steps {
			live.activeJobs += live.submittedOf([]int{i})
		}
		value, err := encodeRunRecord(h.graphs.codec, live, 0)
		if bound := live.recordBound(live.submitted()); err != nil || len(value) > bound {
			rt.Fatalf("the record of %d steps with %d submitted has %d bytes, more than its bound %d: %v", len(steps), live.activeJobs, len(value), bound, err)
		}
	})
}
