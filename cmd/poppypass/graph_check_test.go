package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/sim/testutil"
)

func TestGraphsAreCheckedAndPrinted(t *testing.T) {
	file := testutil.TempFile(t, "nightly.star", `
DAG("nightly", schedule = "@daily", start_date = "2026-12-01", default_args = {"cpus": 1, "memory_gb": 1, "image": "i", "job_class": "c"})
JobOperator(task_id = "a", estimate_s = 60) >> [JobOperator(task_id = "b", estimate_s = 30), EmptyOperator(task_id = "c")]
`)
	out, err := runCommand("graph", "check", file, "--team", "t")
	if err != nil || !strings.Contains(out, "3 steps, 2 of them jobs") || !strings.Contains(out, "1m30s by the owners' estimates: a -> b") || !strings.Contains(out, "00:00 UTC") {
		t.Errorf("text output is %q, error %v", out, err)
	}
	if out, err = runCommand("graph", "check", file, "--team", "t", "--output", "dot"); err != nil || !strings.Contains(out, `"a" -> "b";`) {
		t.Errorf("DOT output is %q, error %v", out, err)
	}
	out, err = runCommand("graph", "check", file, "--team", "t", "--output", "json")
	if err != nil {
		t.Fatal(err)
	}
	if rechecked, err := runCommand("graph", "check", testutil.TempFile(t, "nightly.json", out), "--output", "json"); err != nil || rechecked != out {
		t.Errorf("check of the JSON output printed %q, error %v", rechecked, err)
	}
	for _, c := range []struct{ name, text, want string }{
		{"g.star", `DAG("g")`, "the team is missing"},
		{"g.star", "DAG(\"g\", team = \"t\")\nx = y", "g.star:2:5: undefined: y"},
		{"g.json", "{\"dag_id\": \"g\",\n \"tasks\": [{\"trigger_rules\": 3}]}", "trigger_rules"},
		{"g.json", "{\"dag_id\": 3}", "g.json:1:13: "},
		{"g.json", "{} {}", "follows"},
	} {
		if out, err := runCommand("graph", "check", testutil.TempFile(t, c.name, c.text)); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("check of %s printed %q, error %v", c.text, out, err)
		}
	}
	if _, err := runCommand("graph", "check", file, "--team", "t", "--output", "png"); err == nil {
		t.Error("an unknown output format was accepted")
	}
}

// The example files of the operators' documentation must be valid graphs.
func TestDocumentedExamplesAreValidGraphs(t *testing.T) {
	files, err := filepath.Glob("../../docs/operators/graphs/*.star")
	if err != nil || len(files) != 3 {
		t.Fatalf("found example files %v, error %v; want 3 files", files, err)
	}
	for _, f := range files {
		if out, err := runCommand("graph", "check", f); err != nil || !strings.Contains(out, "critical path") {
			t.Errorf("check of %s printed %q, error %v", f, out, err)
		}
	}
}

func FuzzGraphJSON(f *testing.F) {
	f.Add([]byte(`{"dag_id":"g","team":"t","tasks":[{"task_id":"a","kind":"empty"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		g, err := dag.ParseJSON("g.json", raw)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error has more than one line: %q", err)
			}
			return
		}
		p, err := dag.NewPlan(g)
		if err != nil {
			return
		}
		if _, err := json.Marshal(&p.Graph); err != nil {
			t.Error(err)
		}
		r := dag.NewRun(p, "run")
		if _, err := dag.DecodeRun(p, r.Encode()); err != nil {
			t.Error(err)
		}
	})
}
