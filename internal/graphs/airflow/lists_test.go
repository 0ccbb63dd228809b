package airflow

import (
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// newListRoutes returns the handler's routes with two stored graphs. One graph is paused; the other has three runs: one
// whose first step is running, one whose first step has failed after all its retries, and one that is queued.
func newListRoutes(t *testing.T) *http.ServeMux {
	t.Helper()
	clock := clockwork.NewFakeClockAt(formatStart)
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	store := statestore.New(state.Addr(), 1e6, 1e6)
	h := &Handler{Reader: runner.NewReader(store), Clock: clock, Log: slog.New(slog.DiscardHandler)}
	storeFormatRecords(t, store, h.Reader)

	graph := formatDefinition()
	hash, _, err := h.Reader.StoreDefinition(t.Context(), graph)
	if err != nil {
		t.Fatal(err)
	}
	failed := formatRun(t, graph, hash)
	ms := formatStart.UnixMilli()
	maps.Copy(failed, map[string]any{
		"id": "b", "type": "scheduled", "state": "failed", "logical_ms": ms + 500, "start_ms": ms + 500, "end_ms": ms + 6000, "z": encodeFailedRun(t, graph), "note": "",
	})
	queued := formatRun(t, graph, hash)
	maps.Copy(queued, map[string]any{"id": "a", "state": "queued", "logical_ms": ms - 1000})
	for _, field := range []string{"start_ms", "end_ms", "conf"} {
		delete(queued, field)
	}
	paused := runner.GraphRecord{Team: formatTeam, ID: "weekly", Def: hash, Schedule: "0 2 * * 1", Zone: "UTC", Paused: true, Tags: []string{"cpu"}}
	for key, value := range map[string]any{
		"graph/dag/5944ae849448011c/weekly":    paused,
		"graph/run/5944ae849448011c/nightly/a": queued,
		"graph/run/5944ae849448011c/nightly/b": failed,
	} {
		if _, err := store.Commit(t.Context(), wire.Txn{If: []wire.Condition{{Key: key}}, Then: []wire.Change{{Put: key, Value: wire.EncodeRecord(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	mux := http.NewServeMux()
	h.RegisterRoutes(mux)
	return mux
}

// encodeFailedRun returns the stored form of a run whose first step has failed after all its retries.
func encodeFailedRun(t *testing.T, graph *dag.Graph) json.RawMessage {
	t.Helper()
	plan, err := dag.NewPlan(graph)
	if err != nil {
		t.Fatal(err)
	}
	run := dag.NewRun(plan, "b")
	first := dag.InstanceRef{Step: 0, Index: 0}
	for range graph.Steps[0].Retries + 1 {
		run.JobSubmitted(first)
		run.TaskRunning(first, formatStart)
		run.AttemptFailed(first, formatStart.Add(time.Minute), 0)
	}
	run.JobCancelled(first)
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(codec.Encode(run.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Lists of several runs and graphs: sorting by each field, in both directions, with paging and filters.
func TestListsOfSeveralItems(t *testing.T) {
	var requests []clientRequest
	for _, query := range []string{
		"order_by=id", "order_by=-dag_run_id", "order_by=run_id", "order_by=dag_id", "order_by=state", "order_by=-state", "order_by=run_type",
		"order_by=execution_date", "order_by=-logical_date", "order_by=start_date", "order_by=-start_date", "order_by=end_date", "",
		"limit=1&offset=1", "limit=2&order_by=-id", "state=failed&state=queued", "run_type=scheduled",
		"start_date_gte=2026-12-01T12:00:00.1Z", "start_date_lte=2026-12-02T00:00:00Z", "end_date_gte=0001-01-01T00:00:00Z",
		"logical_date_gte=2026-12-01T12:00:00Z&execution_date_lte=2026-12-01T12:00:00Z", "start_date_gte=soon",
	} {
		requests = append(requests, clientRequest{"GET", "/dags/nightly/dagRuns?" + query, ""})
	}
	for _, path := range []string{
		"/dags", "/dags?order_by=-dag_id", "/dags?paused=true", "/dags?paused=FALSE", "/dags?tags=cpu&tags=gpu&limit=1&offset=1", "/dags?tags=cpu",
		"/dags/weekly", "/dags/weekly/details", "/dags/weekly/dagRuns",
		"/dags/nightly/dagRuns/b/taskInstances", "/dags/nightly/dagRuns/b/taskInstances/first",
		"/dags/nightly/dagRuns/b/taskInstances/third", "/dags/nightly/dagRuns/b/taskInstances/second", "/dags/nightly/dagRuns/b/taskInstances/second/listMapped",
		"/dags/nightly/dagRuns/b/taskInstances?state=failed&state=none", "/dags/nightly/dagRuns/a",
	} {
		requests = append(requests, clientRequest{"GET", path, ""})
	}
	checkAnswers(t, "several-items", newListRoutes(t), requests)
}
