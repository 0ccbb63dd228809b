package runner

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
)

// A pool and max_active_tasks limit the submitted steps of all runs together, max_active_runs limits the started runs,
// and waiting steps are submitted as others end.
func TestPoolsAndLimitsApplyToAllRuns(t *testing.T) {
	h := newHarnessWithoutLeader(t, Config{Pools: func(team, name string) (int, bool) { return 3, team == "the team" && name == "db" }})
	h.changeLeader()
	defer h.close()
	var steps []dag.Step
	for i := range 6 {
		s := step(fmt.Sprint("s", i))
		if s.Pool = "db"; i >= 4 {
			s.Pool = ""
		}
		if i == 0 {
			s.PoolSlots = 2
		}
		steps = append(steps, s)
	}
	plan := newPlanWith(t, func(g *dag.Graph) { g.MaxTasks, g.MaxRuns = 4, 2 }, steps...)
	h.registerAndTrigger(plan, "one")
	h.sendAndSettle(CommandTrigger, Command{Run: "two", Described: true}, http.StatusCreated)
	h.sendAndSettle(CommandTrigger, Command{Run: "three", Described: true}, http.StatusCreated)
	for round := 0; len(h.liveJobs()) > 0; round++ {
		slots := 0
		for id := range h.graphs.byJob {
			ref := h.graphs.byJob[id].ref
			if plan.Steps[ref.Step].Pool == "db" {
				slots += slotsNeeded(plan, ref.Step)
			}
		}
		if n := len(h.liveJobs()); n > 4 || slots > 3 || h.graphs.graphs[keyGraph("the team", "g")].startedRuns > 2 {
			t.Fatalf("round %d: limits exceeded: %d steps are submitted, %d slots are used", round, n, slots)
		}
		if round == 3 {
			h.changeLeader() // a new leader restores the same counts
		}
		h.completeJobs()
	}
	for _, id := range []string{"one", "two", "three"} {
		if r := h.storedRun(plan, id); r.RunState() != dag.RunSuccess {
			t.Errorf("run %s has not succeeded: its steps are %v", id, countByState(r))
		}
	}
	if a := h.register(newPlanWith(t, func(g *dag.Graph) { g.ID = "other" }, func() dag.Step { s := step("s"); s.Pool = "theirs"; return s }())); a.status != http.StatusBadRequest || !strings.Contains(a.text, `no pool "theirs"`) {
		t.Errorf("registering a graph with an unknown pool: %+v", a)
	}
}

// Guards against runs that are lost if all controllers fail: the next leader reads 1,000 live runs and submits their
// steps as others end.
func TestFailoverWithThousandLiveRuns(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	p := newPlanWith(t, func(g *dag.Graph) { g.MaxRuns, g.MaxTasks = 600, 500 }, step("a"), step("b", "a"))
	if a := h.register(p); a.status != http.StatusCreated {
		t.Fatalf("registering the graph: %+v", a)
	}
	for i := range 1000 {
		h.send(CommandTrigger, Command{Run: fmt.Sprint("run", i), Described: true})
	}
	for write := h.graphs.NextWrite(h.clock.Now(), 1000); write != nil; write = h.graphs.NextWrite(h.clock.Now(), 1000) {
		write.Done(h.commit(write.Txn))
	}
	h.changeLeader()
	gr := h.graphs.graphs[keyGraph("the team", "g")]
	if len(h.graphs.runs) != 1000 || len(h.graphs.byJob) != 128 || gr.startedRuns != 600 || gr.activeInstances != 128 {
		t.Fatalf("the new leader has %d runs, %d jobs, %d started runs and %d active steps", len(h.graphs.runs), len(h.graphs.byJob), gr.startedRuns, gr.activeInstances)
	}
	// Each time a step ends, one step of the first waiting run is submitted.
	for round := range 20 {
		h.endAttempt(h.startTask(h.liveJobs()[round]), wire.ExitDone)
		h.settle()
		if n := len(h.graphs.byJob); n != 128 {
			t.Fatalf("round %d: %d steps are submitted, want 128", round, n)
		}
	}
}
