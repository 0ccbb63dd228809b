package dag

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func newTestPlan(t testing.TB, steps ...Step) *Plan {
	t.Helper()
	p, err := NewPlan(&Graph{ID: "g", Team: "t", Steps: steps})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func changed(s Step, change func(*Step)) Step {
	change(&s)
	return s
}

// stateNames returns the states of a run's steps by name.
func (r *Run) stateNames() map[string]string {
	out := map[string]string{}
	for i := range r.nodes {
		out[r.Plan.Steps[i].ID] = r.nodes[i].state.String()
	}
	return out
}

// runReady submits what is ready, and has it run.
func (r *Run) runReady(now time.Time) []Ref {
	refs := r.TakeReady(1 << 20)
	for _, at := range refs {
		r.JobSubmitted(at)
		r.TaskRunning(at, now)
	}
	return refs
}

// finishJob has a step leave a result and end.
func (r *Run) finishJob(at Ref, result json.RawMessage) error {
	if result != nil && r.Plan.Steps[at.Step].Map == nil {
		if err := r.SetResult(at.Step, result); err != nil {
			return err
		}
	}
	return r.JobDone(at)
}

// clearFrom has a step and what follows it go again.
func (r *Run) clearFrom(t interface{ Fatal(...any) }, id string) {
	steps, err := r.StepsToClear([]string{id}, true, false)
	if err != nil {
		t.Fatal(err)
	}
	r.Clear(steps)
}

func (r *Run) ref(id string) Ref { return Ref{Step: r.Plan.Index[id]} }

// A middle step fails and is repeated while later ones wait; then its tries are used up.
func TestAMiddleStepFails(t *testing.T) {
	flaky := changed(step("middle", "first"), func(s *Step) { s.Retries, s.Delay = 1, Duration(time.Minute) })
	cleanup := changed(step("cleanup", "last"), func(s *Step) { s.Rule = AllDone })
	p := newTestPlan(t, step("first"), flaky, step("last", "middle"), cleanup)
	r := NewRun(p, "run")
	r.runReady(noon)
	if err := r.JobDone(r.ref("first")); err != nil {
		t.Fatal(err)
	}
	r.runReady(noon)
	r.AttemptFailed(r.ref("middle"), noon, 0)
	if s, x := r.StepState(1); s != UpForRetry || !x[0].RetryAt.Equal(noon.Add(time.Minute)) || len(r.TakeReady(9)) != 0 || len(r.TakeCancellations()) != 0 {
		t.Fatalf("after the first failure: %v, %+v", s, x)
	}
	r.TaskRunning(r.ref("middle"), noon.Add(time.Minute))
	r.AttemptFailed(r.ref("middle"), noon.Add(2*time.Minute), 0)
	if c := r.TakeCancellations(); len(c) != 1 || c[0] != r.JobID(r.ref("middle")) {
		t.Errorf("cancels %v", c)
	}
	r.JobCancelled(r.ref("middle"))
	if got := r.stateNames(); got["middle"] != "failed" || got["last"] != "upstream_failed" || got["cleanup"] != "scheduled" {
		t.Errorf("states %v", got)
	}
	r.runReady(noon)
	_ = r.JobDone(r.ref("cleanup")) // it has no result
	if r.RunState() != RunSuccess {
		t.Errorf("the run is %v: its only last step is done", r.RunState())
	}
	// A clear is a new generation, with new jobs, from there on.
	before := r.JobID(r.ref("middle"))
	r.clearFrom(t, "middle")
	if got := r.stateNames(); got["first"] != "success" || got["middle"] != "scheduled" || got["last"] != "none" || got["cleanup"] != "none" || r.RunState() != RunRunning {
		t.Errorf("after the clear: %v", got)
	}
	if r.JobID(r.ref("middle")) == before {
		t.Error("a cleared step has the job that it had")
	}
}

func TestBranchesMapsAndTimeouts(t *testing.T) {
	pick := changed(step("pick"), func(s *Step) { s.Kind = KindBranch })
	join := changed(step("join", "left", "right"), func(s *Step) { s.Rule = NoneFailedMinOneSuccess })
	mapped := changed(step("mapped", "join"), func(s *Step) { s.Map = &Map{Over: "join"}; s.Timeout = Duration(time.Hour) })
	last := changed(step("last", "mapped"), func(s *Step) { s.Rule = OneFailed })
	p := newTestPlan(t, pick, step("left", "pick"), step("right", "pick"), join, mapped, last)
	r := NewRun(p, "run")
	r.runReady(noon)
	if err := r.finishJob(r.ref("pick"), json.RawMessage(`"left"`)); err != nil {
		t.Fatal(err)
	}
	r.runReady(noon)
	_ = r.JobDone(r.ref("left")) // it has no result
	if got := r.stateNames(); got["right"] != "skipped" || got["join"] != "scheduled" {
		t.Fatalf("after the branch: %v", got)
	}
	r.runReady(noon)
	if err := r.finishJob(r.ref("join"), json.RawMessage(`[1,2,{"x":3}]`)); err != nil {
		t.Fatal(err)
	}
	refs := r.runReady(noon)
	if len(refs) != 3 || string(r.Element(refs[2])) != `{"x":3}` {
		t.Fatalf("mapped to %v", refs)
	}
	ids := map[string]bool{}
	for _, at := range refs {
		ids[r.JobID(at)] = true
	}
	if len(ids) != 3 {
		t.Error("instances share a job")
	}
	_ = r.JobDone(refs[0]) // it has no result
	for k, at := range refs {
		if r.TimeOut(at, noon.Add(time.Minute)) {
			t.Error("late after a minute")
		}
		if late := r.TimeOut(at, noon.Add(time.Hour)); late != (k > 0) || r.TimeOut(at, noon.Add(time.Hour)) {
			t.Errorf("instance %d after an hour: late is %v", k, late)
		}
	}
	if n := len(r.TakeCancellations()); n != 2 || len(r.JobsBeingCancelled()) != 2 {
		t.Errorf("%d jobs are cancelled", n)
	}
	r.JobCancelled(refs[1])
	_ = r.JobDone(refs[2]) // it was done before its cancellation was stored
	if got := r.stateNames(); got["mapped"] != "failed" || got["last"] != "scheduled" {
		t.Errorf("after the timeout: %v", got)
	}
	// A branch that picks what does not follow it has failed.
	r = NewRun(p, "other")
	r.runReady(noon)
	if err := r.finishJob(r.ref("pick"), json.RawMessage(`["join"]`)); err == nil || r.stateNames()["pick"] != "failed" {
		t.Errorf("picked what does not follow: %v", err)
	}
}

// Work for an event is in proportion to the edges touched: the last of 10,000 ends of a
// fan, and a chain of 10,000 that is passed over.
func TestLargeRuns(t *testing.T) {
	steps := []Step{step("s0")}
	for i := 1; i < MaxSteps; i++ {
		steps = append(steps, step(fmt.Sprint("s", i), fmt.Sprint("s", i-1)))
	}
	r := NewRun(newTestPlan(t, steps...), "run")
	r.runReady(noon)
	r.AttemptFailed(r.ref("s0"), noon, 0)
	r.JobCancelled(r.ref("s0"))
	if r.RunState() != RunFailed || r.stateNames()["s9999"] != "upstream_failed" {
		t.Error("the chain is not passed over")
	}
}

// Weight orders what is ready; among equals, what became ready first.
func TestReadyOnesByWeight(t *testing.T) {
	heavy := changed(step("heavy"), func(s *Step) { s.Weight = 5 })
	r := NewRun(newTestPlan(t, step("a"), step("b"), heavy), "run")
	var got []string
	for _, at := range append(r.TakeReady(2), r.TakeReady(2)...) {
		got = append(got, r.Plan.Steps[at.Step].ID)
	}
	if !slices.Equal(got, []string{"heavy", "a", "b"}) {
		t.Errorf("in the order %v", got)
	}
}

// The property: in random runs of random graphs, what was counted up event by event is
// what counting anew gives; no step waits that a verdict is known for; a final state only
// changes by a clear; a run that is stored and read goes on the same.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "steps")
		g := &Graph{ID: "g", Team: "t"}
		for i := range n {
			s := Step{ID: fmt.Sprint("s", i), Kind: KindJob, Job: &Job{}, Rule: TriggerRule(rapid.SampledFrom(triggerRules).Draw(t, "rule"))}
			for j := range i {
				if rapid.IntRange(0, 2).Draw(t, "edge") == 0 {
					s.Upstream = append(s.Upstream, fmt.Sprint("s", j))
				}
			}
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				s.Kind, s.Job = KindEmpty, nil
			case 1:
				s.Map = &Map{List: make([]json.RawMessage, rapid.IntRange(0, 3).Draw(t, "elements"))}
			case 2:
				if j := rapid.IntRange(0, n).Draw(t, "over"); j < i && g.Steps[j].Map == nil && g.Steps[j].Kind == KindJob {
					s.Map = &Map{Over: fmt.Sprint("s", j)}
				}
			case 3:
				s.Kind = KindBranch
			case 4:
				s.Retries = 1
			}
			g.Steps = append(g.Steps, s)
		}
		p, err := NewPlan(g)
		if err != nil {
			t.Fatal(err)
		}
		r := NewRun(p, "run")
		var under []Ref // jobs that are not over
		now := noon
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			before := make([]State, n)
			for i := range before {
				before[i] = r.nodes[i].state
			}
			cleared := map[int]bool{}
			now = now.Add(time.Second)
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event == 0:
				i := rapid.IntRange(0, n-1).Draw(t, "clear")
				r.clearFrom(t, p.Steps[i].ID)
				for j := range n {
					cleared[j] = r.nodes[j].state != before[j]
				}
			case event == 2 && rapid.IntRange(0, 9).Draw(t, "cancel") == 0:
				r.Cancel()
			case event == 1:
				again, err := DecodeRun(p, r.Encode())
				if err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(again.stateNames(), r.stateNames()) || again.unfinished != r.unfinished || again.RunState() != r.RunState() {
					t.Fatalf("read as %v, was %v", again.stateNames(), r.stateNames())
				}
				r = again
			case event < 5:
				under = append(under, r.runReady(now)...)
			case len(under) > 0:
				k := rapid.IntRange(0, len(under)-1).Draw(t, "job")
				at := under[k]
				if inst := r.instance(at); inst == nil || inst.State.Final() || inst.State == Scheduled {
					under = slices.Delete(under, k, k+1)
					break
				}
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					r.AttemptFailed(at, now, 0)
				case 1:
					r.TaskRunning(at, now)
				default:
					result := json.RawMessage(`[1,2]`)
					if p.Steps[at.Step].Kind == KindBranch {
						var pick []string
						for _, j := range p.Downstream[at.Step] {
							if rapid.Bool().Draw(t, "picked") {
								pick = append(pick, p.Steps[j].ID)
							}
						}
						result, _ = json.Marshal(pick) // names
					}
					if err := r.finishJob(at, result); err != nil && p.Steps[at.Step].Kind != KindBranch {
						t.Fatal(err)
					}
				}
			}
			open := 0
			for i := range r.nodes {
				x := &r.nodes[i]
				if want := r.countUpstream(i); x.upstream != want {
					t.Fatalf("s%d counts %+v, there are %+v", i, x.upstream, want)
				}
				if !x.state.Final() {
					open++
				}
				if before[i].Final() && x.state != before[i] && !cleared[i] {
					t.Fatalf("s%d was %v and is %v", i, before[i], x.state)
				}
				if verdict := p.Steps[i].Rule.Evaluate(x.upstream); x.state == None && !r.cancelled && verdict != None && (verdict != Scheduled || p.Steps[i].Map == nil || p.Steps[i].Map.Over == "") {
					t.Fatalf("s%d waits, though it is %v after %+v", i, verdict, x.upstream)
				}
			}
			if open != r.unfinished {
				t.Fatalf("%d steps are open, %d are counted", open, r.unfinished)
			}
		}
		// Whatever happened, the run comes to its end.
		for range 4 * n * 4 {
			for _, at := range append(under, r.runReady(now)...) {
				_ = r.finishJob(at, json.RawMessage(`[]`)) // of a branch too: it picks nothing
			}
			under = nil
			for i := range r.nodes {
				for k := range r.nodes[i].instances {
					if !r.nodes[i].instances[k].State.Final() {
						under = append(under, Ref{i, k})
					}
				}
			}
		}
		if r.RunState() == RunRunning {
			t.Fatalf("never ends: %v", r.stateNames())
		}
	})
}

func BenchmarkLargestGraph(b *testing.B) {
	steps := []Step{step("s0")}
	for i := 1; i < MaxSteps; i++ {
		steps = append(steps, step(fmt.Sprint("s", i), fmt.Sprint("s", (i-1)/10)))
	}
	p := newTestPlan(b, steps...)
	b.ReportAllocs()
	for b.Loop() {
		r := NewRun(p, "run")
		for refs := r.runReady(noon); len(refs) > 0; refs = r.runReady(noon) {
			for _, at := range refs {
				_ = r.JobDone(at) // it has no result
			}
		}
		if r.RunState() != RunSuccess {
			b.Fatal("not done")
		}
		b.ReportMetric(float64(len(r.Encode())), "B/run")
	}
}
