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

// counts returns how many steps of a run are in each state.
func counts(r *dag.Run) map[string]int {
	out := map[string]int{}
	for i := range r.Plan.Steps {
		s, _ := r.StepState(i)
		out[s.String()]++
	}
	return out
}

// A pool and max_active_tasks bound what is submitted over all runs, and whoever waits gets
// its turn as steps end.
func TestPoolsAndLimitsOverAllRuns(t *testing.T) {
	w := newWorldWith(t, Config{Pools: func(team, name string) (int, bool) { return 3, team == "the team" && name == "db" }})
	w.lead()
	defer w.close()
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
	p := graphOf(t, func(g *dag.Graph) { g.MaxTasks, g.MaxRuns = 4, 2 }, steps...)
	w.begin(p, "one")
	w.ordered(DoTrigger, Order{Run: "two", Described: true}, http.StatusCreated)
	w.ordered(DoTrigger, Order{Run: "three", Described: true}, http.StatusCreated)
	for round := 0; len(w.live()) > 0; round++ {
		slots := 0
		for id := range w.graphs.byJob {
			at := w.graphs.byJob[id].at
			if p.Steps[at.Step].Pool == "db" {
				slots += slotsOf(p, at.Step)
			}
		}
		if n := len(w.live()); n > 4 || slots > 3 || w.graphs.graphs[keyGraph("the team", "g")].started > 2 {
			t.Fatalf("round %d: %d steps are submitted, %d slots are taken", round, n, slots)
		}
		if round == 3 {
			w.lead() // a new leader counts the same
		}
		w.finish()
	}
	for _, id := range []string{"one", "two", "three"} {
		if r := w.run(p, id); r.RunState() != dag.RunSuccess {
			t.Errorf("%s: %v", id, counts(r))
		}
	}
	if a := w.register(graphOf(t, func(g *dag.Graph) { g.ID = "other" }, func() dag.Step { s := step("s"); s.Pool = "theirs"; return s }())); a.status != http.StatusBadRequest || !strings.Contains(a.text, `no pool "theirs"`) {
		t.Errorf("a pool of nobody: %+v", a)
	}
}

// A step that depends on the past waits for the same step of the run before, over a change
// of leaders too; one that failed there holds it up until it is cleared.
func TestAStepThatDependsOnThePast(t *testing.T) {
	w := newWorldWith(t, Config{Source: sourceFunc(describes)})
	w.lead()
	defer w.close()
	s := step("s")
	s.DependsOnPast = true
	p := check(t, s)
	w.begin(p, "one")
	first := w.live()[0]
	w.clock.Advance(time.Second)
	w.ordered(DoTrigger, Order{Run: "two"}, http.StatusCreated)
	if got := w.live(); len(got) != 1 {
		t.Fatalf("submitted are %v", got)
	}
	w.end(w.place(first), wire.ExitError) // its only try
	w.settle()
	w.lead()
	w.settle()
	if got := w.live(); len(got) != 0 || w.run(p, "one").RunState() != dag.RunFailed {
		t.Fatalf("after the failure submitted are %v", got)
	}
	w.order(DoClear, Order{Run: "one"})
	w.answered() // the run is over, and read first
	w.settle()
	w.finish()
	w.finish()
	if one, two := w.run(p, "one"), w.run(p, "two"); one.RunState() != dag.RunSuccess || two.RunState() != dag.RunSuccess {
		t.Errorf("%v, %v", counts(one), counts(two))
	}
}

// A clear meets a run in flight: the old job is cancelled, by the next leader if this one dies
// before, and how it ends is nothing to the step's next generation.
func TestAClearInFlight(t *testing.T) {
	w := newWorldWith(t, Config{Source: sourceFunc(describes)})
	w.lead()
	defer w.close()
	p := check(t, step("a"), step("b", "a"))
	w.begin(p, "one")
	old := w.live()[0]
	w.place(old)
	w.order(DoClear, Order{Run: "one", Below: true})
	w.next(true) // the new generation is stored, the cancellation of the old job is not
	w.lead()
	w.settle()
	if got := w.live(); len(got) != 2 {
		t.Fatalf("live are %v", got)
	}
	if j := w.book.Jobs[old]; !j.Cancelled() {
		t.Error("the old job goes on")
	}
	w.end(w.book.Jobs[old].Tasks[0].Allocation, wire.ExitStopped)
	w.settle()
	if r := w.run(p, "one"); counts(r)["queued"] != 1 || r.RunState() != dag.RunRunning {
		t.Errorf("the old job's end changed the step: %v", counts(r))
	}
	w.finish()
	w.finish()
	if r := w.run(p, "one"); r.RunState() != dag.RunSuccess || len(r.Orphans()) != 0 || len(w.graphs.runs) != 0 {
		t.Errorf("%v, orphans %v", counts(r), r.Orphans())
	}
}

// Runs that are due begin once, whenever the leader dies; a pause holds them up, and without
// catch-up the newest interval alone has its run afterwards.
func TestScheduledRuns(t *testing.T) {
	w := newWorldWith(t, Config{Source: sourceFunc(describes)})
	w.lead()
	defer w.close()
	start := w.clock.Now()
	p := graphOf(t, func(g *dag.Graph) { g.Schedule, g.Start, g.Catchup, g.MaxRuns = "@hourly", &start, true, 2 }, step("s"))
	if a := w.register(p); a.status != http.StatusCreated {
		t.Fatalf("%+v", a)
	}
	w.clock.Advance(3 * time.Hour)
	w.graphs.Tick(w.clock.Now())
	w.next(true) // the runs are stored, the mark is not
	w.lead()
	for range 4 {
		w.settle()
		w.finish()
	}
	if got := len(w.list(PrefixRun)); got != 3 {
		t.Errorf("%d runs for three hours", got)
	}
	w.ordered(DoPause, Order{Paused: ptr(true)}, http.StatusOK)
	w.clock.Advance(time.Hour)
	w.settle()
	w.lead()
	w.settle()
	if got := len(w.list(PrefixRun)); got != 3 {
		t.Errorf("%d runs while it is paused", got)
	}
	w.ordered(DoPause, Order{Paused: ptr(false)}, http.StatusOK)
	w.finish()
	w.clock.Advance(-time.Hour) // the clock steps back
	w.settle()
	if got := len(w.list(PrefixRun)); got != 4 {
		t.Errorf("%d runs", got)
	}
	text := w.ordered(DoBackfill, Order{From: start.Add(-5 * time.Hour), To: start}, http.StatusOK)
	if got := len(w.list(PrefixRun)); text != "" || got != 9 {
		t.Errorf("%d runs after a backfill of six hours, one of which had its run: %s", got, text)
	}
}

func ptr[T any](v T) *T { return &v }

// Without a source of descriptions, what the service would have to name itself is refused.
func TestWithoutASource(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	start := w.clock.Now()
	if a := w.register(graphOf(t, func(g *dag.Graph) { g.Schedule, g.Start = "@daily", &start }, step("s"))); a.status != http.StatusBadRequest || !strings.Contains(a.text, "graphs.descriptions") {
		t.Errorf("a schedule: %+v", a)
	}
	over := step("b")
	over.Map = &dag.Map{Over: "a"}
	p := check(t, step("a"), over)
	if a := w.register(p); a.status != http.StatusCreated {
		t.Fatalf("%+v", a)
	}
	for verb, o := range map[string]Order{DoTrigger: {Run: "one", Described: true}, DoBackfill: {From: start, To: start}} {
		if text := w.ordered(verb, o, http.StatusConflict); !strings.Contains(text, "graphs.descriptions") {
			t.Errorf("%s: %q", verb, text)
		}
	}
}

// Steps are described before they are submitted: again after a failure, and one that is
// refused fails without the others.
func TestASourceThatFailsAndRefuses(t *testing.T) {
	calls, failing := 0, true
	var last []Description
	w := newWorldWith(t, Config{Source: sourceFunc(func(steps []Description) error {
		calls++
		if last = steps; failing {
			return errors.New("it is down")
		}
		for _, s := range steps {
			if s.Step == "bad" {
				return fmt.Errorf("%w: no such image", ErrRefused)
			}
		}
		return nil
	})})
	w.lead()
	defer w.close()
	p := graphOf(t, func(g *dag.Graph) { g.Params = map[string]json.RawMessage{"a": []byte("1"), "b": []byte("2")} }, step("good"), step("bad"), step("also"))
	if a := w.register(p); a.status != http.StatusCreated {
		t.Fatalf("%+v", a)
	}
	w.order(DoTrigger, Order{Run: "one", Conf: []byte(`{"b":3}`)})
	w.settle()
	if calls != 1 || len(w.live()) != 0 {
		t.Fatalf("%d calls, live are %v", calls, w.live())
	}
	failing = false
	if err := w.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	w.clock.Advance(tuning.DescribeRetryPause)
	w.answered()
	w.settle()
	if got := w.live(); len(got) != 2 || counts(w.run(p, "one"))["failed"] != 1 {
		t.Errorf("live are %v, %v", got, counts(w.run(p, "one")))
	}
	if d := last[0]; string(d.Params["a"]) != "1" || string(d.Params["b"]) != "3" || d.Run != "one" || d.Index != -1 {
		t.Errorf("described as %+v", d)
	}
}

// Results pass from step to step: a list that a step leaves has the next one mapped over it.
func TestResultsPassBetweenSteps(t *testing.T) {
	var got []string
	w := newWorldWith(t, Config{Source: sourceFunc(func(steps []Description) error {
		for _, s := range steps {
			got = append(got, fmt.Sprintf("%s/%d %s", s.Step, s.Index, s.Element))
		}
		return nil
	})})
	w.lead()
	defer w.close()
	over := step("each", "list")
	over.Map = &dag.Map{Over: "list"}
	p := check(t, step("list"), over)
	w.begin(p, "one")
	w.ordered(DoPush, Order{Run: "one", Step: "each", Result: []byte("1")}, http.StatusConflict)
	w.ordered(DoPush, Order{Run: "one", Step: "list", Result: []byte("[7,8,9]")}, http.StatusOK)
	w.lead() // it is stored
	w.settle()
	w.finish()
	if len(w.live()) != 3 || len(got) != 3 || got[2] != "each/2 9" {
		t.Errorf("live are %v, described %v", w.live(), got)
	}
}

// An id is a hash that others can work out: a job of that id that is none of ours fails its
// step, and nothing else.
func TestAJobOfTheSameIDIsThere(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	p := check(t, step("a"), step("b"))
	taken := dag.NewRun(p, "one").JobID(dag.InstanceRef{Step: 1})
	value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: taken, Class: "c", Team: "others", Kind: wire.KindArray, Tasks: 1, CPUs: 1}})
	if err != nil {
		t.Fatal(err)
	}
	w.commit(wire.Txn{Then: []wire.Change{{Put: jobs.KeyJob(taken), Value: value}}})
	if a := w.register(p); a.status != http.StatusCreated {
		t.Fatalf("%+v", a)
	}
	a := w.order(DoTrigger, Order{Run: "one", Described: true})
	conflicts := 0
	for write := w.graphs.NextWrite(w.clock.Now(), 1000); write != nil; write = w.graphs.NextWrite(w.clock.Now(), 1000) {
		if revision, err := w.store.Commit(t.Context(), write.Txn); err == nil {
			write.Done(revision)
		} else {
			conflicts++
			write.Conflict()
		}
		w.watch()
	}
	r := w.run(p, "one")
	if a.status != http.StatusCreated || conflicts != 2 || counts(r)["queued"] != 1 || counts(r)["failed"] != 1 || len(w.graphs.byJob) != 1 {
		t.Errorf("%+v, %d conflicts, %v, %d jobs", a, conflicts, counts(r), len(w.graphs.byJob))
	}
}

// Old runs and definitions that nothing refers to go.
func TestWhatIsOverIsDropped(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	for i := range tuning.GraphRetainedRuns + 5 {
		w.clock.Advance(time.Second)
		w.begin(check(t, step("s")), fmt.Sprint("run", i))
		w.finish()
	}
	if got := len(w.list(PrefixRun)); got != tuning.GraphRetainedRuns {
		t.Errorf("%d runs are kept", got)
	}
	if _, there := w.state.Value(keyRun("the team", "g", "run4")); there {
		t.Error("the oldest run is kept")
	}
	w.begin(check(t, step("s"), step("t")), "newer")
	w.ordered(DoForget, Order{Run: "newer"}, http.StatusConflict)
	w.finish()
	w.ordered(DoForget, Order{Run: "newer"}, http.StatusNoContent)
	w.ordered(DoForget, Order{Run: "newer"}, http.StatusNotFound)
	if n := len(w.list(PrefixDef)); n != 2 {
		t.Errorf("%d definitions", n)
	}
	w.lead()
	w.ordered(DoRemove, Order{}, http.StatusNoContent)
	w.ordered(DoTrigger, Order{}, http.StatusNotFound)
	for range 3 {
		w.clock.Advance(tuning.GraphDeleteAfter)
		w.settle()
	}
	if left := w.list("graph/"); len(left) != 0 {
		t.Errorf("left are %d records, such as %s", len(left), left[0].Key)
	}
}

// Guards against uploads that nobody registers and that stay for ever, and against a definition that
// is registered while its parts are about to go.
func TestUploadsThatNobodyRegisters(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	w.settle() // a first look at what may go
	p := check(t, step("s"))
	o := w.upload(p)
	w.clock.Advance(tuning.GraphDeleteAfter)
	w.graphs.Tick(w.clock.Now())
	w.answered() // it is found
	for range 2 {
		w.clock.Advance(tuning.GraphDeleteAfter)
		w.graphs.Tick(w.clock.Now())
	}
	if !w.graphs.dropping(o.Def) {
		t.Fatal("it stays")
	}
	if a := w.order(DoPut, o); a.status != http.StatusServiceUnavailable {
		t.Errorf("registered while it goes: %+v", a)
	}
	w.settle()
	if left := w.list(PrefixDef); len(left) != 0 {
		t.Errorf("%d parts are left", len(left))
	}
	if a := w.register(p); a.status != http.StatusCreated {
		t.Errorf("%+v", a)
	}
}

// A definition that is not what its name says must not block a good one.
func TestASpoiltDefinition(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	p := check(t, step("s"))
	o := w.upload(p)
	w.ordered(DoPut, Order{Def: "x", Parts: 1}, http.StatusBadRequest)
	key := partKeys(o.Def, 1)[0]
	w.commit(wire.Txn{Then: []wire.Change{{Put: key, Value: []byte(`{"parts":1,"z":"AAAA"}`)}}})
	a := w.order(DoPut, o)
	w.answered()
	w.settle()
	if _, there := w.state.Value(key); a.status != http.StatusBadRequest || there {
		t.Errorf("%+v, still there: %v", a, there)
	}
	a = w.order(DoPut, o)
	w.answered()
	if w.settle(); a.status != http.StatusConflict {
		t.Errorf("%+v", a)
	}
	if a := w.register(p); a.status != http.StatusCreated {
		t.Errorf("%+v", a)
	}
	other := w.upload(p)
	other.Team = "others"
	if a := w.order(DoPut, other); a.status != http.StatusForbidden {
		t.Errorf("another team registers it: %+v", a)
	}
}

// Whether another team has a graph of that name is not told.
func TestAnotherTeamsGraph(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	w.begin(check(t, step("s")), "one")
	for _, verb := range []string{DoTrigger, DoCancel, DoClear, DoPause, DoRemove, DoForget, DoPush, DoBackfill} {
		theirs := w.ordered(verb, Order{Team: "others", Run: "one"}, http.StatusNotFound)
		if none := w.ordered(verb, Order{Team: "others", Graph: "none", Run: "one"}, http.StatusNotFound); theirs != none {
			t.Errorf("%s: %q and %q", verb, theirs, none)
		}
	}
	if err := w.graphs.Command(leader.Command{URI: "/elsewhere"}, w.clock.Now(), nil); !errors.Is(err, leader.ErrUnknownPath) {
		t.Errorf("orders that are not its own: %v", err)
	}
	reader := NewReader(w.store)
	if _, err := reader.Run(t.Context(), "others", "g", "one"); !errors.Is(err, ErrNone) {
		t.Errorf("read by another team: %v", err)
	}
	if v, err := reader.Run(t.Context(), "the team", "g", "one"); err != nil || v.State != "running" || counts(v.Run)["queued"] != 1 {
		t.Errorf("%+v, %v", v, err)
	}
}

// All controllers die with 1,000 runs live: the next leader has all of them, and each goes on.
func TestAThousandLiveRunsAreTakenOver(t *testing.T) {
	w := newWorld(t)
	defer w.close()
	p := graphOf(t, func(g *dag.Graph) { g.MaxRuns, g.MaxTasks = 600, 500 }, step("a"), step("b", "a"))
	if a := w.register(p); a.status != http.StatusCreated {
		t.Fatalf("%+v", a)
	}
	for i := range 1000 {
		w.order(DoTrigger, Order{Run: fmt.Sprint("run", i), Described: true})
	}
	for write := w.graphs.NextWrite(w.clock.Now(), 1000); write != nil; write = w.graphs.NextWrite(w.clock.Now(), 1000) {
		write.Done(w.commit(write.Txn))
	}
	w.lead()
	gr := w.graphs.graphs[keyGraph("the team", "g")]
	if len(w.graphs.runs) != 1000 || len(w.graphs.byJob) != 128 || gr.started != 600 || gr.active != 128 {
		t.Fatalf("%d runs, %d steps, %d go on, %d are submitted", len(w.graphs.runs), len(w.graphs.byJob), gr.started, gr.active)
	}
	// Each end has one more step submitted, of whichever run stands first in line.
	for round := range 20 {
		w.end(w.place(w.live()[round]), wire.ExitDone)
		w.settle()
		if n := len(w.graphs.byJob); n != 128 {
			t.Fatalf("round %d: %d steps are submitted", round, n)
		}
	}
}
