package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// countByState returns how many steps of a run are in each state.
func countByState(r *dag.Run) map[string]int {
	out := map[string]int{}
	for i := range r.Plan.Steps {
		s, _ := r.StepState(i)
		out[s.String()]++
	}
	return out
}

// A step that depends on the past waits for the same step of the previous run, also after a change of leaders. If that
// step failed, it waits until the failed step is cleared and succeeds.
func TestStepThatDependsOnPast(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
	h.changeLeader()
	defer h.close()
	s := step("s")
	s.DependsOnPast = true
	plan := newPlan(t, s)
	h.registerAndTrigger(plan, "one")
	first := h.liveJobs()[0]
	h.clock.Advance(time.Second)
	h.sendAndSettle(CommandTrigger, Command{Run: "two"}, http.StatusCreated)
	if got := h.liveJobs(); len(got) != 1 {
		t.Fatalf("submitted jobs are %v, want one", got)
	}
	h.endAttempt(h.startTask(first), wire.ExitError) // the step has no retries
	h.settle()
	h.changeLeader()
	h.settle()
	if got := h.liveJobs(); len(got) != 0 || h.storedRun(plan, "one").RunState() != dag.RunFailed {
		t.Fatalf("after the failure in the previous run, submitted jobs are %v, want none", got)
	}
	h.send(CommandClear, Command{Run: "one"})
	h.runLoopFunc() // the run is finished, so it is read first
	h.settle()
	h.completeJobs()
	h.completeJobs()
	if one, two := h.storedRun(plan, "one"), h.storedRun(plan, "two"); one.RunState() != dag.RunSuccess || two.RunState() != dag.RunSuccess {
		t.Errorf("not both runs have succeeded: their steps are %v and %v", countByState(one), countByState(two))
	}
}

// Guards against a finished run whose stored times change although the clear of its steps is refused.
func TestRefusedClearLeavesFinishedRunAsItIs(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
	h.changeLeader()
	defer h.close()
	plan := newPlan(t, step("a"))
	h.registerAndTrigger(plan, "one")
	h.expectSuccess(plan, "one")
	before, _ := h.state.Value(keyRun("the team", "g", "one"))
	h.clock.Advance(time.Hour)
	a := h.send(CommandClear, Command{Run: "one", Steps: []string{"none"}})
	h.runLoopFunc() // the run is finished, so it is read first
	h.settle()
	if after, _ := h.state.Value(before.Key); a.status != http.StatusBadRequest || string(after.Value) != string(before.Value) {
		t.Errorf("the clear is answered with %+v, want 400; the run is stored as %s, want %s", a, after.Value, before.Value)
	}
}

// When a running step is cleared, its old job is cancelled, by the next leader if this one fails before that. The end
// of the old job does not change the state of the step's next generation.
func TestClearOfRunningStep(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
	h.changeLeader()
	defer h.close()
	plan := newPlan(t, step("a"), step("b", "a"))
	h.registerAndTrigger(plan, "one")
	old := h.liveJobs()[0]
	h.startTask(old)
	h.send(CommandClear, Command{Run: "one", Downstream: true})
	h.commitNext(true) // the new generation is stored, the cancellation of the old job is not
	h.changeLeader()
	h.settle()
	if got := h.liveJobs(); len(got) != 2 {
		t.Fatalf("live jobs are %v, want the old one and the new one", got)
	}
	if j := h.jobStore.Jobs[old]; !j.Cancelled() {
		t.Error("the old job is not cancelled")
	}
	h.endAttempt(h.jobStore.Jobs[old].Tasks[0].Allocation, wire.ExitStopped)
	h.settle()
	if r := h.storedRun(plan, "one"); countByState(r)["queued"] != 1 || r.RunState() != dag.RunRunning {
		t.Errorf("the end of the old job changed the state of the step: steps are %v", countByState(r))
	}
	h.completeJobs()
	h.completeJobs()
	if r := h.storedRun(plan, "one"); r.RunState() != dag.RunSuccess || len(r.Orphans()) != 0 || len(h.graphs.runs) != 0 {
		t.Errorf("the run has not finished: its steps are %v, its orphans %v", countByState(r), r.Orphans())
	}
}

// Each data interval gets one scheduled run, even if the leader fails after it stored the runs. No runs are created
// while the graph is paused. After a pause, the interval that ended in the meantime gets its run, and a clock that is
// set back creates no further one. A backfill skips intervals that have a run.
func TestScheduledRuns(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(acceptAll)})
	h.changeLeader()
	defer h.close()
	start := h.clock.Now()
	p := newPlanWith(t, func(g *dag.Graph) { g.Schedule, g.Start, g.Catchup, g.MaxRuns = "@hourly", &start, true, 2 }, step("s"))
	if a := h.register(p); a.status != http.StatusCreated {
		t.Fatalf("registering the graph: %+v", a)
	}
	h.clock.Advance(3 * time.Hour)
	h.graphs.Tick(h.clock.Now())
	h.commitNext(true) // the runs are stored, the graph's LastMS is not
	h.changeLeader()
	for range 4 {
		h.settle()
		h.completeJobs()
	}
	if got := len(h.list(PrefixRun)); got != 3 {
		t.Errorf("%d runs for three hours, want 3", got)
	}
	h.sendAndSettle(CommandPause, Command{Paused: ptr(true)}, http.StatusOK)
	h.clock.Advance(time.Hour)
	h.settle()
	h.changeLeader()
	h.settle()
	if got := len(h.list(PrefixRun)); got != 3 {
		t.Errorf("%d runs while the graph is paused, want 3", got)
	}
	h.sendAndSettle(CommandPause, Command{Paused: ptr(false)}, http.StatusOK)
	h.completeJobs()
	h.clock.Advance(-time.Hour) // the clock is set back
	h.settle()
	if got := len(h.list(PrefixRun)); got != 4 {
		t.Errorf("%d runs after the pause, want 4", got)
	}
	text := h.sendAndSettle(CommandBackfill, Command{From: start.Add(-5 * time.Hour), To: start}, http.StatusOK)
	if got := len(h.list(PrefixRun)); text != "" || got != 9 {
		t.Errorf("%d runs after a backfill of six hours, one of which had a run, want 9: %s", got, text)
	}
}

// ptr returns a pointer to a copy of v.
func ptr[T any](v T) *T { return &v }

// Without a source of descriptions, everything is refused for which the service would have to describe steps itself: a
// schedule, a backfill, and a step that is mapped over the result of another.
func TestRefusalsWithoutSource(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	start := h.clock.Now()
	if a := h.register(newPlanWith(t, func(g *dag.Graph) { g.Schedule, g.Start = "@daily", &start }, step("s"))); a.status != http.StatusBadRequest || !strings.Contains(a.text, "graphs.descriptions") {
		t.Errorf("registering a graph with a schedule: %+v", a)
	}
	mapped := step("b")
	mapped.Map = &dag.Map{Over: "a"}
	p := newPlan(t, step("a"), mapped)
	if a := h.register(p); a.status != http.StatusCreated {
		t.Fatalf("registering the graph: %+v", a)
	}
	for verb, cmd := range map[string]Command{CommandTrigger: {Run: "one", Described: true}, CommandBackfill: {From: start, To: start}} {
		if text := h.sendAndSettle(verb, cmd, http.StatusConflict); !strings.Contains(text, "graphs.descriptions") {
			t.Errorf("command %s is refused with %q, which does not name the missing setting", verb, text)
		}
	}
}

// Steps are described before they are submitted. A failed call is retried, and a refused step fails without affecting
// the others.
func TestSourceFailsAndRefuses(t *testing.T) {
	calls, failing := 0, true
	var described []Description
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(func(steps []Description) error {
		calls++
		if described = steps; failing {
			return errors.New("the source is down")
		}
		for _, s := range steps {
			if s.Step == "bad" {
				return fmt.Errorf("%w: no such image", ErrRefused)
			}
		}
		return nil
	})})
	h.changeLeader()
	defer h.close()
	plan := newPlanWith(t, func(g *dag.Graph) { g.Params = map[string]json.RawMessage{"a": []byte("1"), "b": []byte("2")} }, step("good"), step("bad"), step("also"))
	if a := h.register(plan); a.status != http.StatusCreated {
		t.Fatalf("registering the graph: %+v", a)
	}
	h.send(CommandTrigger, Command{Run: "one", Conf: []byte(`{"b":3}`)})
	h.settle()
	if calls != 1 || len(h.liveJobs()) != 0 {
		t.Fatalf("after a failed call: %d calls, want 1; live jobs are %v, want none", calls, h.liveJobs())
	}
	failing = false
	if err := h.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(tuning.DescribeRetryPause)
	h.runLoopFunc()
	h.settle()
	if got := h.liveJobs(); len(got) != 2 || countByState(h.storedRun(plan, "one"))["failed"] != 1 {
		t.Errorf("live jobs are %v, want two; steps are %v, want one failed", got, countByState(h.storedRun(plan, "one")))
	}
	if d := described[0]; string(d.Params["a"]) != "1" || string(d.Params["b"]) != "3" || d.Run != "one" || d.Index != -1 {
		t.Errorf("wrong description: %+v", d)
	}
}

// A step is mapped over the list that an upstream step sets as its result. A mapped step cannot set a result. The
// result survives a change of leaders.
func TestResultsPassBetweenSteps(t *testing.T) {
	var got []string
	h := newHarnessWithoutLeader(t, Config{DescriptionSource: sourceFunc(func(steps []Description) error {
		for _, s := range steps {
			got = append(got, fmt.Sprintf("%s/%d %s", s.Step, s.Index, s.Element))
		}
		return nil
	})})
	h.changeLeader()
	defer h.close()
	mapped := step("each", "list")
	mapped.Map = &dag.Map{Over: "list"}
	p := newPlan(t, step("list"), mapped)
	h.registerAndTrigger(p, "one")
	h.sendAndSettle(CommandSetResult, Command{Run: "one", Step: "each", Result: []byte("1")}, http.StatusConflict)
	h.sendAndSettle(CommandSetResult, Command{Run: "one", Step: "list", Result: []byte("[7,8,9]")}, http.StatusOK)
	h.changeLeader() // the new leader has the stored result
	h.settle()
	h.completeJobs()
	if len(h.liveJobs()) != 3 || len(got) != 3 || got[2] != "each/2 9" {
		t.Errorf("live jobs are %v, descriptions are %v, want three of each", h.liveJobs(), got)
	}
}

// Job IDs are hashes that others can compute. If another submitter's job with the ID of a step's job is stored, that
// step fails, and no other.
func TestJobIDTakenByAnotherSubmitter(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	plan := newPlan(t, step("a"), step("b"))
	takenID := dag.NewRun(plan, "one").JobID(dag.InstanceRef{Step: 1})
	value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: takenID, Class: "c", Team: "others", Kind: wire.KindArray, Tasks: 1, CPUs: 1}})
	if err != nil {
		t.Fatal(err)
	}
	h.commit(wire.Txn{Then: []wire.Change{{Put: jobs.KeyJob(takenID), Value: value}}})
	if a := h.register(plan); a.status != http.StatusCreated {
		t.Fatalf("registering the graph: %+v", a)
	}
	a := h.send(CommandTrigger, Command{Run: "one", Described: true})
	conflicts := 0
	for write := h.graphs.NextWrite(h.clock.Now(), 1000); write != nil; write = h.graphs.NextWrite(h.clock.Now(), 1000) {
		if revision, err := h.store.Commit(t.Context(), write.Txn); err == nil {
			write.Done(revision)
		} else {
			conflicts++
			write.Conflict()
		}
		h.loadNewJobs()
	}
	r := h.storedRun(plan, "one")
	if a.status != http.StatusCreated || conflicts != 2 || countByState(r)["queued"] != 1 || countByState(r)["failed"] != 1 || len(h.graphs.byJob) != 1 {
		t.Errorf("answered with %+v after %d conflicts, want 201 after 2; steps are %v with %d jobs, want one queued and one failed", a, conflicts, countByState(r), len(h.graphs.byJob))
	}
}

// Old finished runs and unreferenced definitions are deleted.
func TestRetention(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	for i := range tuning.GraphRetainedRunsMax + 5 {
		h.clock.Advance(time.Second)
		h.registerAndTrigger(newPlan(t, step("s")), fmt.Sprint("run", i))
		h.completeJobs()
	}
	if got := len(h.list(PrefixRun)); got != tuning.GraphRetainedRunsMax {
		t.Errorf("%d runs are stored, want tuning.GraphRetainedRuns", got)
	}
	if _, exists := h.state.Value(keyRun("the team", "g", "run4")); exists {
		t.Error("the oldest run is not deleted")
	}
	h.registerAndTrigger(newPlan(t, step("s"), step("t")), "newer")
	h.sendAndSettle(CommandDeleteRun, Command{Run: "newer"}, http.StatusConflict)
	h.completeJobs()
	h.sendAndSettle(CommandDeleteRun, Command{Run: "newer"}, http.StatusNoContent)
	h.sendAndSettle(CommandDeleteRun, Command{Run: "newer"}, http.StatusNotFound)
	if n := len(h.list(PrefixDefinition)); n != 2 {
		t.Errorf("%d definitions are stored, want 2", n)
	}
	h.changeLeader()
	h.sendAndSettle(CommandDeleteGraph, Command{}, http.StatusNoContent)
	h.sendAndSettle(CommandTrigger, Command{}, http.StatusNotFound)
	for range 3 {
		h.clock.Advance(tuning.GraphDeleteAfter)
		h.settle()
	}
	if left := h.list("graph/"); len(left) != 0 {
		t.Errorf("%d records are left, the first at %s", len(left), left[0].Key)
	}
}

// Commands on a graph of another team get the same answer as commands on a graph that does not exist.
func TestGraphOfAnotherTeam(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	h.registerAndTrigger(newPlan(t, step("s")), "one")
	for _, verb := range []string{CommandTrigger, CommandCancelRun, CommandClear, CommandPause, CommandDeleteGraph, CommandDeleteRun, CommandSetResult, CommandBackfill} {
		theirs := h.sendAndSettle(verb, Command{Team: "others", Run: "one"}, http.StatusNotFound)
		if none := h.sendAndSettle(verb, Command{Team: "others", Graph: "none", Run: "one"}, http.StatusNotFound); theirs != none {
			t.Errorf("command %s is refused with %q for another team's graph, with %q for one that does not exist", verb, theirs, none)
		}
	}
	if err := h.graphs.Command(leader.Command{URI: "/elsewhere"}, h.clock.Now(), nil); !errors.Is(err, leader.ErrUnknownPath) {
		t.Errorf("command at an unknown path: %v, want ErrUnknownPath", err)
	}
	reader := NewReader(h.store)
	if _, err := reader.Run(t.Context(), "others", "g", "one"); !errors.Is(err, ErrNotFound) {
		t.Errorf("run read by another team: %v, want ErrNone", err)
	}
	if v, err := reader.Run(t.Context(), "the team", "g", "one"); err != nil || v.State != "running" || countByState(v.Run)["queued"] != 1 {
		t.Errorf("run read by its team: %+v, %v", v, err)
	}
}
