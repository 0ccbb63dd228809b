package runner

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/golden"
)

var exampleTime = time.Date(2026, time.December, 1, 12, 0, 0, 123_000_000, time.UTC)

func TestStoredFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "graph", golden.Fill(new(GraphRecord)))
	golden.JSONRoundTrip(t, "part", golden.Fill(new(partRecord)))
	golden.JSONRoundTrip(t, "run", golden.Fill(new(runRecord)))
	golden.JSONRoundTrip(t, "result", golden.Fill(new(resultRecord)))
	golden.CBORRoundTrip(t, "try", &Try{Step: 1, Index: 2, Generation: 3, BeginMS: 4, EndMS: 5, State: dag.Success})
}

func TestStoredKeys(t *testing.T) {
	golden.Lines(t, "keys",
		PrefixDefinition, PrefixGraph, PrefixRun, PrefixResult,
		keyGraph("vision", "nightly"), keyRun("vision", "nightly", "manual__2026-12-01T12:00:00+00:00"), keyResult("graph/run/1/nightly/one", 7),
		strings.Join(partKeys("00112233445566778899aabbccddeeff", 2), "\n"),
		DefaultRunID(RunTypeManual, exampleTime), DefaultRunID(RunTypeScheduled, exampleTime), DefaultRunID(RunTypeBackfill, exampleTime), DefaultPool,
	)
}

// Guards the formats of messages: the bodies of commands to the leader and of its answers, and the descriptions that
// are sent to the operator's source of descriptions.
func TestMessageFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "order", golden.Fill(new(Command)))
	golden.JSONRoundTrip(t, "backfilled", golden.Fill(new(BackfillResult)))
	golden.JSONRoundTrip(t, "pool", golden.Fill(new(PoolView)))
	golden.JSONRoundTrip(t, "description", golden.Fill(new(Description)))
	golden.Lines(t, "orders", PathCommands, PathPools, CommandRegister, CommandPause, CommandDeleteGraph, CommandTrigger, CommandBackfill, CommandCancelRun, CommandClear, CommandDeleteRun, CommandSetResult)
}

// examplePlan returns a plan with a plain step and a mapped step, whose jobs have every field set.
func examplePlan(t *testing.T) *dag.Plan {
	t.Helper()
	job := &dag.Job{Class: "train", Urgency: "urgent", Tasks: 3, CPUs: 1.5, GPUs: 2.5, MemoryGB: 3.5, Image: "img-07", ImageGB: 4.5, Types: []string{"large"}, Zone: "a", SameZone: true, Spread: true, Spot: true, EstimateS: 5.5, CheckpointS: 6.5, SaveS: 7.5, Account: "grant-7"}
	plan, err := dag.NewPlan(&dag.Graph{
		ID: "nightly", Team: "vision", Params: map[string]json.RawMessage{"level": json.RawMessage("3")},
		Steps: []dag.Step{
			{ID: "first", Kind: dag.KindJob, Job: job},
			{ID: "second", Kind: dag.KindJob, Job: job, Upstream: []string{"first"}, Map: &dag.Map{List: []json.RawMessage{json.RawMessage("1"), json.RawMessage("2")}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestStoredDefinition(t *testing.T) {
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	plan := examplePlan(t)
	hash, parts, err := Pack(codec, &plan.Graph)
	if err != nil {
		t.Fatal(err)
	}
	if len(parts) != 1 {
		t.Fatalf("definition has %d parts, want 1", len(parts))
	}
	golden.Lines(t, "definition-hash", hash)
	golden.Hex(t, "definition", parts[0])
	decoded, err := decodeDefinition(codec, hash, parts[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "definition", decoded, plan)
}

func TestStoredRun(t *testing.T) {
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	plan := examplePlan(t)
	live := &liveRun{
		graph: &graph{rec: GraphRecord{Team: "vision", ID: "nightly"}}, run: dag.NewRun(plan, "manual__1"), defHash: "00112233445566778899aabbccddeeff", activeJobs: 1,
		meta: *golden.Fill(new(runMeta)), tries: []Try{{Step: 1, Index: 1, Generation: 3, BeginMS: 4, EndMS: 5, State: dag.Success}},
	}
	value, err := encodeRunRecord(codec, live, 16<<10)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "run-of-graph", value)
	var record runRecord
	if err := json.Unmarshal(value, &record); err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeRun(codec, &record, plan)
	if err != nil {
		t.Fatal(err)
	}
	golden.Hex(t, "run-of-graph-states", decoded.Encode())
	golden.Equal(t, "run-of-graph", readTries(codec, &record), live.tries)
}

// Guards the formats of the stored job of a step and of the step's description.
func TestJobOfStep(t *testing.T) {
	run := dag.NewRun(examplePlan(t), "manual__1")
	ref := dag.InstanceRef{Step: 0}
	_, value, err := instanceJob(run, ref, exampleTime.UnixMilli())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "job-of-step", value)
	golden.JSONEncoding(t, "description-of-step", describe(run, golden.Fill(new(runMeta)), ref))
}
