package dag

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"poppypass/internal/platform/golden"
)

// Graphs have the same JSON form in registrations, in the store and in answers.
func TestGraphFormat(t *testing.T) {
	graph := golden.Fill(new(Graph))
	for i := range graph.Steps {
		step := &graph.Steps[i] // the JSON form is in seconds; whole seconds are decoded exactly
		step.Delay, step.MaxDelay, step.Timeout = Duration(7*time.Second), Duration(8*time.Second), Duration(9*time.Second)
	}
	golden.JSONRoundTrip(t, "graph", graph)
	raw, err := json.Marshal(graph)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := ParseJSON("graph", raw)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "graph", decoded, graph)
}

func TestStoredFormats(t *testing.T) {
	instance := storedInstance{Index: 1, Failures: 2, RetryAtMS: 3, StartedAtMS: 4, Cancelling: true}
	step := storedStep{Step: 1, Generation: 2, Result: []byte(`{"a":1}`), States: []byte{5, 6}, Details: []storedInstance{instance}}
	run := storedRun{Format: runFormat, ID: "manual__1", Cancelled: true, States: []byte{5, 6, 7}, Steps: []storedStep{step}, Orphans: []string{"job-1", "job-2"}}
	golden.CBORRoundTrip(t, "stored-instance", &instance)
	golden.CBORRoundTrip(t, "stored-step", &step)
	golden.CBORRoundTrip(t, "stored-run", &run)
}

// Encode of a run gives the golden bytes, and so does Encode of the run decoded from them.
func TestStoredRun(t *testing.T) {
	job := &Job{Class: "train", CPUs: 1, MemoryGB: 1, Image: "img-07"}
	plan, err := NewPlan(&Graph{ID: "nightly", Team: "vision", Steps: []Step{
		{ID: "first", Kind: KindJob, Job: job},
		{ID: "second", Kind: KindJob, Job: job, Upstream: []string{"first"}},
		{ID: "third", Kind: KindEmpty, Upstream: []string{"second"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	run := NewRun(plan, "manual__1")
	run.orphans = []string{"job-7"}
	run.nodes[0].generation = 2
	run.nodes[0].result = json.RawMessage(`{"a":1}`)
	run.nodes[0].instances[0] = Instance{State: UpForRetry, Failures: 3, RetryAt: time.UnixMilli(1_780_000_000_000), StartedAt: time.UnixMilli(1_780_000_000_001), Cancelling: true}
	raw := run.Encode()
	golden.Hex(t, "run", raw)
	decoded, err := DecodeRun(plan, raw)
	if err != nil {
		t.Fatal(err)
	}
	golden.Hex(t, "run", decoded.Encode())
	golden.Lines(t, "job-id", run.JobID(InstanceRef{Step: 0, Index: 0}), run.JobID(InstanceRef{Step: 1, Index: 2}))
}

// States are stored as numbers and shown as names.
func TestNumbersAndNames(t *testing.T) {
	var lines []string
	for state := range State(stateCount) {
		lines = append(lines, state.String())
	}
	for _, state := range []RunState{RunRunning, RunSuccess, RunFailed} {
		lines = append(lines, state.String())
	}
	lines = append(lines, Rules()...)
	golden.Lines(t, "names", append(lines, string(KindJob), string(KindBranch), string(KindEmpty))...)
	golden.Hex(t, "states", []byte{
		byte(None), byte(Scheduled), byte(Queued), byte(Running), byte(UpForRetry), byte(Success), byte(Failed), byte(Skipped), byte(UpstreamFailed),
	})
}

// Both stored forms of a run are decoded to the same run, whether results are stored elsewhere or not. Earlier versions
// refuse the compact form: they must not continue a run without its results.
func TestCompactStoredRun(t *testing.T) {
	job := &Job{Class: "train", CPUs: 1, MemoryGB: 1, Image: "img-07"}
	plan, err := NewPlan(&Graph{ID: "nightly", Team: "vision", Steps: []Step{
		{ID: "first", Kind: KindJob, Job: job},
		{ID: "second", Kind: KindJob, Job: job, Map: &Map{List: []json.RawMessage{json.RawMessage("1"), json.RawMessage("2")}}},
		{ID: "third", Kind: KindJob, Job: job, Upstream: []string{"first", "second"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	run := NewRun(plan, "manual__1")
	run.orphans = []string{"job-7"}
	run.nodes[0].generation = 2
	run.nodes[0].result, run.nodes[2].result = json.RawMessage(`{"a":1}`), json.RawMessage(`3`)
	run.nodes[0].instances[0] = Instance{State: UpForRetry, Failures: 3, RetryAt: time.UnixMilli(1_780_000_000_000)}
	run.nodes[1].instances[1] = Instance{State: Failed, Failures: 4}
	raw := run.EncodeCompact(CompactOptions{Separate: StepSet{1}})
	golden.Hex(t, "compact-run", raw)
	if err := cbor.Unmarshal(raw, &storedRun{}); err == nil {
		t.Error("earlier versions decode the compact form")
	}
	decoded, err := DecodeRun(plan, raw)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Result(0) != nil {
		t.Errorf("a result that is stored elsewhere is decoded as %s", decoded.Result(0))
	}
	decoded.RestoreResult(0, run.Result(0))
	golden.Hex(t, "compact-run-in-full", decoded.Encode())
	golden.Equal(t, "compact-run-in-full", decoded.Encode(), run.Encode())
	shortest, err := DecodeRun(plan, run.EncodeCompact(CompactOptions{DropFailures: true}))
	if err != nil {
		t.Fatal(err)
	}
	if running, ended := shortest.nodes[0].instances[0], shortest.nodes[1].instances[1]; running != run.nodes[0].instances[0] || ended != (Instance{State: Failed}) {
		t.Errorf("the shortest form is decoded to %+v and %+v", running, ended)
	}
}
