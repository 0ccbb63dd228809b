package dag

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// flakyRun returns a run of first -> middle (one retry, after a minute) -> last -> cleanup
// (trigger rule all_done), in which first is done and middle is running.
func flakyRun(t *testing.T) *Run {
	t.Helper()
	middle := changed(step("middle", "first"), func(s *Step) { s.Retries, s.Delay = 1, Duration(time.Minute) })
	cleanup := changed(step("cleanup", "last"), func(s *Step) { s.Rule = AllDone })
	r := NewRun(newTestPlan(t, step("first"), middle, step("last", "middle"), cleanup), "run")
	r.runReady(noon)
	if err := r.JobDone(r.ref("first")); err != nil {
		t.Fatal(err)
	}
	r.runReady(noon)
	return r
}

// failMiddle uses up the tries of the step middle of a flakyRun.
func failMiddle(t *testing.T, r *Run) {
	t.Helper()
	r.AttemptFailed(r.ref("middle"), noon, 0)
	if state, instances := r.StepState(1); state != UpForRetry || !instances[0].RetryAt.Equal(noon.Add(time.Minute)) || len(r.TakeReady(9)) != 0 || len(r.TakeCancellations()) != 0 {
		t.Fatalf("after the first failure: %v, %+v", state, instances)
	}
	r.TaskRunning(r.ref("middle"), noon.Add(time.Minute))
	r.AttemptFailed(r.ref("middle"), noon.Add(2*time.Minute), 0)
	if c := r.TakeCancellations(); len(c) != 1 || c[0] != r.JobID(r.ref("middle")) {
		t.Errorf("jobs to cancel are %v, want that of middle", c)
	}
	r.JobCancelled(r.ref("middle"))
	if got := r.stateNames(); got["middle"] != "failed" || got["last"] != "upstream_failed" || got["cleanup"] != "scheduled" {
		t.Errorf("states after the last failure: %v", got)
	}
}

// A failed step is retried while the steps downstream wait. When its tries are used up, its job is
// cancelled. The state of the run is that of its last step.
func TestAFailedStepIsRetriedThenCancelled(t *testing.T) {
	r := flakyRun(t)
	failMiddle(t, r)
	r.runReady(noon)
	_ = r.JobDone(r.ref("cleanup")) // cannot fail: the step is not a branch
	if r.RunState() != RunSuccess {
		t.Errorf("the run is %v, want success: the only step without downstream steps is done", r.RunState())
	}
}

func TestAClearRunsAStepAndItsDownstreamStepsAsNewJobs(t *testing.T) {
	r := flakyRun(t)
	failMiddle(t, r)
	r.runReady(noon)
	_ = r.JobDone(r.ref("cleanup")) // cannot fail: the step is not a branch
	before := r.JobID(r.ref("middle"))
	r.clearFrom(t, "middle")
	if got := r.stateNames(); got["first"] != "success" || got["middle"] != "scheduled" || got["last"] != "none" || got["cleanup"] != "none" || r.RunState() != RunRunning {
		t.Errorf("states after the clear: %v", got)
	}
	if r.JobID(r.ref("middle")) == before {
		t.Error("a cleared step has the same job ID as before")
	}
}

// branchPlan returns a plan in which pick is a branch to left or right, and join is downstream of
// both. mapped has an instance, with a timeout of an hour, for each element of the result of join.
// last runs if one of these instances fails.
func branchPlan(t *testing.T) *Plan {
	t.Helper()
	pick := changed(step("pick"), func(s *Step) { s.Kind = KindBranch })
	join := changed(step("join", "left", "right"), func(s *Step) { s.Rule = NoneFailedMinOneSuccess })
	mapped := changed(step("mapped", "join"), func(s *Step) { s.Map = &Map{Over: "join"}; s.Timeout = Duration(time.Hour) })
	last := changed(step("last", "mapped"), func(s *Step) { s.Rule = OneFailed })
	return newTestPlan(t, pick, step("left", "pick"), step("right", "pick"), join, mapped, last)
}

// pickedRun returns a run of branchPlan in which pick has picked left, and join is ready.
func pickedRun(t *testing.T) *Run {
	t.Helper()
	r := NewRun(branchPlan(t), "run")
	r.runReady(noon)
	if err := r.finishJob(r.ref("pick"), json.RawMessage(`"left"`)); err != nil {
		t.Fatal(err)
	}
	r.runReady(noon)
	_ = r.JobDone(r.ref("left")) // cannot fail: the step is not a branch
	return r
}

// mappedRun returns a run of branchPlan in which all instances of mapped are running, and these
// instances.
func mappedRun(t *testing.T) (*Run, []InstanceRef) {
	t.Helper()
	r := pickedRun(t)
	r.runReady(noon)
	if err := r.finishJob(r.ref("join"), json.RawMessage(`[1,2,{"x":3}]`)); err != nil {
		t.Fatal(err)
	}
	refs := r.runReady(noon)
	if len(refs) != 3 {
		t.Fatalf("instances of mapped are %v, want 3", refs)
	}
	return r, refs
}

func TestABranchSkipsTheDownstreamStepsThatItDoesNotPick(t *testing.T) {
	if got := pickedRun(t).stateNames(); got["right"] != "skipped" || got["join"] != "scheduled" {
		t.Fatalf("states after the branch: %v", got)
	}
}

func TestABranchThatPicksNoDownstreamStepFails(t *testing.T) {
	r := NewRun(branchPlan(t), "other")
	r.runReady(noon)
	if err := r.finishJob(r.ref("pick"), json.RawMessage(`["join"]`)); err == nil || r.stateNames()["pick"] != "failed" {
		t.Errorf("a branch picked a step that is not directly downstream: %v, want an error and state failed", err)
	}
}

func TestAMappedStepHasAJobForEachElement(t *testing.T) {
	r, refs := mappedRun(t)
	if string(r.Element(refs[2])) != `{"x":3}` {
		t.Fatalf("the last of the instances %v has another element", refs)
	}
	ids := map[string]bool{}
	for _, ref := range refs {
		ids[r.JobID(ref)] = true
	}
	if len(ids) != 3 {
		t.Error("instances share a job ID")
	}
}

// An instance times out only if it runs for longer than the step's timeout, and only once. An
// instance ends as its job does: if the job was done before its cancellation was stored, the
// instance has succeeded.
func TestInstancesThatRunForTooLongAreCancelled(t *testing.T) {
	r, refs := mappedRun(t)
	_ = r.JobDone(refs[0]) // cannot fail: the step is not a branch
	for k, ref := range refs {
		if r.CancelIfTimedOut(ref, noon.Add(time.Minute)) {
			t.Error("timed out after a minute, though the timeout is an hour")
		}
		if late := r.CancelIfTimedOut(ref, noon.Add(time.Hour)); late != (k > 0) || r.CancelIfTimedOut(ref, noon.Add(time.Hour)) {
			t.Errorf("instance %d after an hour: timed out is %v, or it timed out twice", k, late)
		}
	}
	if n := len(r.TakeCancellations()); n != 2 || len(r.JobsBeingCancelled()) != 2 {
		t.Errorf("%d jobs are to be cancelled, want 2", n)
	}
	r.JobCancelled(refs[1])
	_ = r.JobDone(refs[2]) // it was done before its cancellation was stored
	if got := r.stateNames(); got["mapped"] != "failed" || got["last"] != "scheduled" {
		t.Errorf("states after the timeout: %v", got)
	}
}

// The failure of the first step of a chain of 10,000 steps ends all others at once. With recursion this
// would need a deep stack.
func TestALongChainFailsWithoutRecursion(t *testing.T) {
	steps := []Step{step("s0")}
	for i := 1; i < MaxSteps; i++ {
		steps = append(steps, step(fmt.Sprint("s", i), fmt.Sprint("s", i-1)))
	}
	r := NewRun(newTestPlan(t, steps...), "run")
	r.runReady(noon)
	r.AttemptFailed(r.ref("s0"), noon, 0)
	r.JobCancelled(r.ref("s0"))
	if r.RunState() != RunFailed || r.stateNames()["s9999"] != "upstream_failed" {
		t.Error("the run has not failed, or the last step is not upstream_failed")
	}
}

// Ready instances are returned by descending weight, and among equal weights in the order in which
// they became ready.
func TestReadyInstancesAreOrderedByWeightThenAge(t *testing.T) {
	heavy := changed(step("heavy"), func(s *Step) { s.Weight = 5 })
	r := NewRun(newTestPlan(t, step("a"), step("b"), heavy), "run")
	var got []string
	for _, ref := range append(r.TakeReady(2), r.TakeReady(2)...) {
		got = append(got, r.Plan.Steps[ref.Step].ID)
	}
	if !slices.Equal(got, []string{"heavy", "a", "b"}) {
		t.Errorf("ready in the order %v, want heavy, a, b", got)
	}
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
			for _, ref := range refs {
				_ = r.JobDone(ref) // cannot fail: the step is not a branch
			}
		}
		if r.RunState() != RunSuccess {
			b.Fatal("the run has not succeeded")
		}
		b.ReportMetric(float64(len(r.Encode())), "B/run")
	}
}
