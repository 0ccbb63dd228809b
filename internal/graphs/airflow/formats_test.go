package airflow

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/sim/fakes"
)

func TestAnswerFormats(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
	}{
		{"dag", golden.Fill(new(dagView))},
		{"task", golden.Fill(new(taskView))},
		{"run", golden.Fill(new(runView))},
		{"instance", golden.Fill(new(instanceView))},
		{"try", golden.Fill(new(TryView))},
		{"pool", golden.Fill(new(poolView))},
		{"problem", golden.Fill(new(problem))},
		{"register", golden.Fill(new(register))},
		{"clearing", golden.Fill(new(clearing))},
	} {
		t.Run(c.name, func(t *testing.T) { golden.JSONRoundTrip(t, c.name, c.value) })
	}
}

const (
	formatTeam = "vision"
	// The keys of the team's graph and run in the state service. They contain a hash of the team's name.
	formatGraphKey = "graph/dag/5944ae849448011c/nightly"
	formatRunKey   = "graph/run/5944ae849448011c/nightly/manual__1"
	formatRunPath  = "/dags/nightly/dagRuns/manual__1"
)

var formatStart = time.Date(2026, time.December, 1, 12, 0, 0, 0, time.UTC)

// formatFixture is a handler with a state service that stores one graph and one run of it, and
// with a leader that accepts and records every command and query.
type formatFixture struct {
	mux            *http.ServeMux
	leaderRequests []string
}

func formatDefinition() *dag.Graph {
	job := &dag.Job{Class: "train", CPUs: 1.5, MemoryGB: 3.5, Image: "img-07", EstimateS: 60}
	end := formatStart.AddDate(1, 0, 0)
	return &dag.Graph{
		ID: "nightly", Team: formatTeam, Description: "the nightly run", Schedule: "0 2 * * *", Timezone: "UTC", Start: &formatStart, End: &end, Catchup: true,
		MaxRuns: 3, MaxTasks: 4, Params: map[string]json.RawMessage{"level": json.RawMessage("3")}, Tags: []string{"gpu"},
		Steps: []dag.Step{
			{
				ID: "first", Kind: dag.KindJob, Job: job, Rule: dag.AllDone, Timeout: dag.Duration(time.Hour), DependsOnPast: true, Pool: "gpu", PoolSlots: 2, Weight: 5,
				Retry: dag.Retry{Retries: 2, Delay: dag.Duration(90 * time.Second), Exponential: true, MaxDelay: dag.Duration(time.Hour)},
			},
			{ID: "second", Kind: dag.KindJob, Job: job, Upstream: []string{"first"}, Map: &dag.Map{List: []json.RawMessage{json.RawMessage("1"), json.RawMessage("2")}}},
			{ID: "third", Kind: dag.KindEmpty, Upstream: []string{"second"}},
		},
	}
}

func newFormatFixture(t *testing.T) *formatFixture {
	t.Helper()
	clock := clockwork.NewFakeClockAt(formatStart)
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	store := statestore.New(state.Addr(), 1e6, 1e6)
	fixture := &formatFixture{mux: http.NewServeMux()}
	handler := &Handler{
		Reader: runner.NewReader(store), Clock: clock, Log: slog.New(slog.DiscardHandler),
		SendCommand: func(_ context.Context, c leader.Command) (int, json.RawMessage) {
			fixture.leaderRequests = append(fixture.leaderRequests, c.URI+" "+string(c.Body))
			return http.StatusOK, json.RawMessage(`{"begun":1,"known":2}`)
		},
		SendQuery: func(_ context.Context, uri string) (int, json.RawMessage) {
			fixture.leaderRequests = append(fixture.leaderRequests, uri)
			return http.StatusOK, wire.EncodeRecord([]runner.PoolView{{Name: "gpu", Slots: 4, Used: 1, Waiting: 2}})
		},
	}
	handler.RegisterRoutes(fixture.mux)
	storeFormatRecords(t, store, handler.Reader)
	return fixture
}

// storeFormatRecords stores the graph and the run in the form in which a leader stores them.
func storeFormatRecords(t *testing.T, store *statestore.Client, reader *runner.Reader) {
	t.Helper()
	graph := formatDefinition()
	hash, _, err := reader.StoreDefinition(t.Context(), graph)
	if err != nil {
		t.Fatal(err)
	}
	record := runner.GraphRecord{
		Team: graph.Team, ID: graph.ID, Def: hash, LastMS: formatStart.UnixMilli(), Description: graph.Description, Schedule: graph.Schedule, Zone: graph.Timezone,
		Start: graph.Start, End: graph.End, Catchup: graph.Catchup, MaxRuns: graph.MaxRuns, MaxTasks: graph.MaxTasks, Tags: graph.Tags, Steps: len(graph.Steps),
	}
	for key, value := range map[string]any{formatGraphKey: record, formatRunKey: formatRun(t, graph, hash)} {
		if _, err := store.Commit(t.Context(), wire.Txn{If: []wire.Condition{{Key: key}}, Then: []wire.Change{{Put: key, Value: wire.EncodeRecord(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
}

// formatRun returns the stored form of a run whose first step has stored a result and is
// running again after a failed try.
func formatRun(t *testing.T, graph *dag.Graph, hash string) map[string]any {
	t.Helper()
	plan, err := dag.NewPlan(graph)
	if err != nil {
		t.Fatal(err)
	}
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	run := dag.NewRun(plan, "manual__1")
	first := dag.InstanceRef{Step: 0, Index: 0}
	run.JobSubmitted(first)
	run.TaskRunning(first, formatStart)
	if err := run.SetResult(0, json.RawMessage(`{"a":1}`)); err != nil {
		t.Fatal(err)
	}
	tries := []runner.Try{
		{Step: 0, Index: 0, Generation: 1, BeginMS: 1000, EndMS: 2000, State: dag.Failed},
		{Step: 0, Index: 0, Generation: 1, BeginMS: 3000, State: dag.Running},
	}
	ms := formatStart.UnixMilli()
	return map[string]any{
		"team": formatTeam, "graph": "nightly", "id": "manual__1", "def": hash, "state": "running", "type": "manual", "logical_ms": ms, "from_ms": ms + 1, "to_ms": ms + 2,
		"queued_ms": ms + 3, "start_ms": ms + 4, "end_ms": ms + 5, "conf": map[string]int{"x": 1}, "note": "a note", "open": true,
		"z": codec.Encode(run.Encode()), "tries": codec.Encode(tries),
	}
}

// exchange serves a request and returns as one text the request, the commands and queries that the handler sent to the
// leader, and the answer.
func (f *formatFixture) exchange(method, path, body string) string {
	request := httptest.NewRequest(method, PathAPI+path, strings.NewReader(body))
	request.SetBasicAuth(formatTeam, "")
	answer := httptest.NewRecorder()
	f.leaderRequests = nil
	f.mux.ServeHTTP(answer, request)
	lines := append([]string{method + " " + path, body}, f.leaderRequests...)
	return strings.Join(append(lines, http.StatusText(answer.Code), answer.Body.String()), "\n")
}

// Each request of the API sends the golden commands and queries to the leader and gets the golden answer.
func TestRequestFormats(t *testing.T) {
	fixture := newFormatFixture(t)
	definition := wire.EncodeRecord(formatDefinition())
	for _, c := range []struct{ name, method, path, body string }{
		{"list-dags", "GET", "/dags?limit=10&offset=0&order_by=dag_id&paused=false&dag_id_pattern=night&tags=gpu", ""},
		{"get-dag", "GET", "/dags/nightly", ""},
		{"get-dag-details", "GET", "/dags/nightly/details", ""},
		{"get-dag-definition", "GET", "/dags/nightly/definition", ""},
		{"put-dag", "PUT", "/dags/nightly", string(definition)},
		{"put-dag-in-parts", "PUT", "/dags/nightly", `{"definition":"00112233445566778899aabbccddeeff","parts":2,"is_paused":true}`},
		{"put-part", "PUT", "/definitions/00112233445566778899aabbccddeeff/0?of=2", "part"},
		{"patch-dag", "PATCH", "/dags/nightly", `{"is_paused":true}`},
		{"delete-dag", "DELETE", "/dags/nightly", ""},
		{"list-tasks", "GET", "/dags/nightly/tasks", ""},
		{"get-task", "GET", "/dags/nightly/tasks/first", ""},

		{"list-runs", "GET", "/dags/nightly/dagRuns?state=running&run_type=manual&execution_date_gte=2026-12-01T00:00:00Z&order_by=-start_date", ""},
		{"list-runs-of-all", "GET", "/dags/~/dagRuns", ""},
		{"post-run", "POST", "/dags/nightly/dagRuns", `{"dag_run_id":"manual__1","logical_date":"2026-12-01T12:00:00Z","conf":{"x":1},"note":"a note","described":true}`},
		{"post-run-older-name", "POST", "/dags/nightly/dagRuns", `{"dag_run_id":"manual__1","execution_date":"2026-12-01T12:00:00Z"}`},
		{"get-run", "GET", formatRunPath, ""},
		{"patch-run-failed", "PATCH", formatRunPath, `{"state":"failed"}`},
		{"patch-run-queued", "PATCH", formatRunPath, `{"state":"queued"}`},
		{"delete-run", "DELETE", formatRunPath, ""},
		{"clear-run", "POST", formatRunPath + "/clear", `{"dry_run":false}`},
		{"list-run-tries", "GET", formatRunPath + "/tries", ""},
		{"get-run-definition", "GET", formatRunPath + "/definition", ""},
		{"clear-instances", "POST", "/dags/nightly/clearTaskInstances", `{"dry_run":false,"dag_run_id":"manual__1","task_ids":["first"],"only_failed":false,"include_downstream":true}`},
		{"clear-instances-dry", "POST", "/dags/nightly/clearTaskInstances", `{"dag_run_id":"manual__1","task_ids":["first"],"only_failed":false}`},
		{"clear-instances-refused", "POST", "/dags/nightly/clearTaskInstances", `{"dag_run_id":"manual__1","only_running":true}`},
		{"post-backfill", "POST", "/backfills", `{"dag_id":"nightly","from_date":"2026-12-01T00:00:00Z","to_date":"2026-12-02T00:00:00Z"}`},

		{"list-instances", "GET", formatRunPath + "/taskInstances?order_by=task_id", ""},
		{"get-instance", "GET", formatRunPath + "/taskInstances/first", ""},
		{"get-instance-not-mapped", "GET", formatRunPath + "/taskInstances/second/7", ""},
		{"list-mapped", "GET", formatRunPath + "/taskInstances/second/listMapped", ""},
		{"list-tries", "GET", formatRunPath + "/taskInstances/first/tries", ""},
		{"list-results", "GET", formatRunPath + "/taskInstances/first/xcomEntries", ""},
		{"get-result", "GET", formatRunPath + "/taskInstances/first/xcomEntries/return_value", ""},
		{"post-result", "POST", formatRunPath + "/taskInstances/first/xcomEntries", `{"key":"return_value","value":{"a":2}}`},

		{"list-pools", "GET", "/pools", ""},
		{"get-pool", "GET", "/pools/gpu", ""},
		{"health", "GET", "/health", ""},
		{"version", "GET", "/version", ""},
		{"not-found", "GET", "/dags/none", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.Check(t, "request-"+c.name, []byte(fixture.exchange(c.method, c.path, c.body)))
		})
	}
}
