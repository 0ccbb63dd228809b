package airflow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/sim/fakes"
)

const formatInstances = formatRunPath + "/taskInstances"

// clientRequest is a client's request: the path is without the prefix PathAPI.
type clientRequest struct{ method, path, body string }

// checkAnswers sends requests of formatTeam and compares all their answers with one golden file.
func checkAnswers(t *testing.T, name string, mux http.Handler, requests []clientRequest) {
	t.Helper()
	var all []string
	for _, r := range requests {
		all = append(all, serveToText(mux, formatTeam, r))
	}
	golden.Check(t, name, []byte(strings.Join(all, "\n\n")))
}

// serveToText serves a request and returns the request and the answer's status, headers and body as one text. If the
// team is empty, the request has no authentication.
func serveToText(mux http.Handler, team string, c clientRequest) string {
	request := httptest.NewRequest(c.method, PathAPI+c.path, strings.NewReader(c.body))
	if team != "" {
		request.SetBasicAuth(team, "")
	}
	response := httptest.NewRecorder()
	mux.ServeHTTP(response, request)

	lines := []string{c.method + " " + c.path}
	if len(c.body) < 1000 {
		lines = append(lines, c.body)
	}
	lines = append(lines, fmt.Sprint(response.Code))
	var headers []string
	for name, values := range response.Header() {
		headers = append(headers, name+": "+strings.Join(values, ", "))
	}
	slices.Sort(headers)
	return strings.Join(append(append(lines, headers...), response.Body.String()), "\n")
}

// Paging of lists: limits and offsets in and out of range, and malformed ones.
func TestPagesOfLists(t *testing.T) {
	checkAnswers(t, "pages", newFormatFixture(t).mux, []clientRequest{
		{"GET", "/dags?limit=-1", ""},
		{"GET", "/dags/nightly/dagRuns?limit=x", ""},
		{"GET", "/pools?offset=-1", ""},
		{"GET", formatRunPath + "/tries?offset=x", ""},
		{"GET", formatInstances + "?offset=x", ""},
		{"GET", "/dags/nightly/tasks?limit=x", ""},
		{"GET", formatRunPath + "/tries?limit=0", ""},
		{"GET", formatRunPath + "/tries?limit=1000000", ""},
		{"GET", formatRunPath + "/tries?offset=9", ""},
		{"GET", formatRunPath + "/tries?offset=1&limit=1", ""},
		{"GET", "/dags/nightly/tasks?offset=1&limit=1", ""},
	})
}

// Sorting of lists, ascending and descending, and by fields that are not supported.
func TestOrdersOfLists(t *testing.T) {
	checkAnswers(t, "orders", newFormatFixture(t).mux, []clientRequest{
		{"GET", "/dags?order_by=none", ""},
		{"GET", "/dags/nightly/dagRuns?order_by=-none", ""},
		{"GET", formatInstances + "?order_by=none", ""},
		{"GET", "/pools?order_by=none", ""},
		{"GET", formatInstances + "?order_by=-task_id", ""},
		{"GET", formatInstances + "?order_by=-map_index", ""},
		{"GET", formatInstances + "?order_by=start_date", ""},
		{"GET", formatInstances + "?order_by=-end_date", ""},
		{"GET", formatInstances + "?order_by=-state", ""},
	})
}

// Filters of lists, and time bounds that are malformed.
func TestFiltersOfLists(t *testing.T) {
	checkAnswers(t, "filters", newFormatFixture(t).mux, []clientRequest{
		{"GET", "/dags?paused=True", ""},
		{"GET", "/dags?dag_id_pattern=%25day%25", ""},
		{"GET", "/dags?tags=cpu", ""},
		{"GET", "/dags/~/dagRuns?state=failed", ""},
		{"GET", "/dags/~/dagRuns?run_type=scheduled", ""},
		{"GET", "/dags/~/dagRuns?logical_date_gte=2026-12-02T00:00:00Z", ""},
		{"GET", "/dags/~/dagRuns?start_date_lte=2026-12-01T00:00:00Z", ""},
		{"GET", "/dags/~/dagRuns?end_date_lte=2026-12-01T15:00:00+01:00", ""},
		{"GET", "/dags/~/dagRuns?end_date_gte=soon", ""},
		{"GET", "/dags/~/dagRuns?state=failed&execution_date_lte=soon", ""},
		{"GET", "/dags/none/dagRuns", ""},
		{"GET", formatInstances + "?state=running", ""},
		{"GET", formatInstances + "?state=none", ""},
		{"GET", formatInstances + "?pool=gpu", ""},
	})
}

// Requests for graphs that are malformed or name unknown graphs, steps or definitions.
func TestRefusedGraphRequests(t *testing.T) {
	checkAnswers(t, "refused-graphs", newFormatFixture(t).mux, []clientRequest{
		{"PUT", "/dags/nightly", "{"},
		{"PUT", "/dags/nightly", ""},
		{"PUT", "/dags/nightly", `{"steps":[{"id":"a","upstream":["a"]}]}`},
		{"PUT", "/definitions/00112233445566778899aabbccddeeff/x?of=2", "part"},
		{"PUT", "/definitions/00112233445566778899aabbccddeeff/0", "part"},
		{"PUT", "/definitions/00112233445566778899aabbccddeeff/2?of=2", "part"},
		{"PUT", "/definitions/none/0?of=2", "part"},
		{"PATCH", "/dags/nightly", ""},
		{"PATCH", "/dags/nightly", `{"is_paused":3}`},
		{"PUT", "/dags/nightly", `{"parts":"x"}`},
		{"PUT", "/dags/nightly", `{"dag_id":"nightly","tasks":[{"task_id":"a","kind":"empty","upstream":["a"]}]}`},
		{"GET", "/dags/none/details", ""},
		{"GET", "/dags/none/definition", ""},
		{"GET", "/dags/none/tasks", ""},
		{"GET", "/dags/nightly/tasks/none", ""},
	})
}

// Requests for runs that are malformed or name unknown runs or steps.
func TestRefusedRunRequests(t *testing.T) {
	checkAnswers(t, "refused-runs", newFormatFixture(t).mux, []clientRequest{
		{"POST", "/dags/nightly/dagRuns", `{"logical_date":"soon"}`},
		{"POST", "/dags/nightly/dagRuns", `{"note":1}`},
		{"PATCH", formatRunPath, `{"state":1}`},
		{"POST", "/backfills", `{"dag_id":1}`},
		{"POST", "/dags/nightly/dagRuns", `{"conf":null}`},
		{"GET", "/dags/nightly/dagRuns/none", ""},
		{"GET", "/dags/nightly/dagRuns/none/definition", ""},
		{"GET", "/dags/nightly/dagRuns/none/tries", ""},
		{"PATCH", formatRunPath, `{"state":"success"}`},
		{"PATCH", formatRunPath, "["},
		{"POST", formatRunPath + "/clear", "["},
		{"POST", formatRunPath + "/clear", ""},
		{"POST", "/dags/nightly/dagRuns/none/clear", `{"dry_run":false}`},
		{"POST", "/dags/nightly/clearTaskInstances", ""},
		{"POST", "/dags/nightly/clearTaskInstances", `{"task_ids":1}`},
		{"POST", "/dags/nightly/clearTaskInstances", `{"dag_run_id":"manual__1","include_upstream":true}`},
		{"POST", "/dags/nightly/clearTaskInstances", `{"dag_run_id":"manual__1","task_ids":["none"]}`},
		{"POST", "/dags/nightly/clearTaskInstances", `{"dag_run_id":"manual__1"}`},
		{"POST", "/backfills", `{"from_date":1}`},
		{"POST", "/backfills", `{"dag_id":"nightly","to_date":"2026-12-02T00:00:00Z"}`},
		{"POST", "/backfills", `{"dag_id":"nightly","from_date":"2026-12-02T00:00:00Z","to_date":"2026-12-01T00:00:00Z"}`},
	})
}

// Unknown instances, tries, results and pools, and empty lists of them.
func TestInstanceBranches(t *testing.T) {
	checkAnswers(t, "instance-branches", newFormatFixture(t).mux, []clientRequest{
		{"GET", "/dags/nightly/dagRuns/none/taskInstances", ""},
		{"GET", formatInstances + "/none", ""},
		{"GET", formatInstances + "/second/x", ""},
		{"GET", formatInstances + "/first/0", ""},
		{"GET", formatInstances + "/third", ""},
		{"GET", formatInstances + "/none/listMapped", ""},
		{"GET", formatInstances + "/second/listMapped?order_by=none", ""},
		{"GET", formatInstances + "/none/tries", ""},
		{"GET", formatInstances + "/second/tries", ""},
		{"GET", formatInstances + "/none/xcomEntries", ""},
		{"GET", formatInstances + "/second/xcomEntries", ""},
		{"GET", formatInstances + "/first/xcomEntries/other", ""},
		{"GET", formatInstances + "/second/xcomEntries/return_value", ""},
		{"POST", formatInstances + "/first/xcomEntries", `{"key":"other","value":1}`},
		{"POST", formatInstances + "/first/xcomEntries", `{"key":"return_value"}`},
		{"POST", formatInstances + "/first/xcomEntries", "x"},
		{"POST", formatInstances + "/first/xcomEntries", `{"key":1}`},
		{"GET", "/pools/none", ""},
	})
}

// A request names its team as the user name of basic authentication or else by the query parameter team. A request
// without a team is refused.
func TestTeamOfRequest(t *testing.T) {
	mux := newFormatFixture(t).mux
	for _, c := range []struct{ name, team, path string }{
		{"none", "", "/dags"},
		{"parameter", "", "/dags?team=others"},
		{"user-before-parameter", formatTeam, "/dags?team=others"},
		{"without-runs-malformed-bound", "others", "/dags/~/dagRuns?end_date_gte=soon"},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.Check(t, "team-"+c.name, []byte(serveToText(mux, c.team, clientRequest{"GET", c.path, ""})))
		})
	}
}

func TestBodyTooLarge(t *testing.T) {
	large := strings.Repeat(" ", wire.MaxBody+1)
	checkAnswers(t, "body-too-large", newFormatFixture(t).mux, []clientRequest{
		{"PUT", "/dags/nightly", large},
		{"POST", "/dags/nightly/dagRuns", large},
	})
}

func TestSchemaIsServed(t *testing.T) {
	answer := httptest.NewRecorder()
	newFormatFixture(t).mux.ServeHTTP(answer, httptest.NewRequest("GET", PathAPI+"/schema", nil))
	if answer.Code != http.StatusOK || answer.Header().Get("Content-Type") != "application/schema+json" || !bytes.Equal(answer.Body.Bytes(), schema) {
		t.Errorf("status %d, headers %v, body %q", answer.Code, answer.Header(), answer.Body)
	}
}

// routesWithLeaderAnswer returns the handler's routes with a leader that gives the same answer to every command and query.
func routesWithLeaderAnswer(t *testing.T, status int, body string) *http.ServeMux {
	t.Helper()
	clock := clockwork.NewFakeClockAt(formatStart)
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	store := statestore.New(state.Addr(), 1e6, 1e6)
	h := &Handler{
		Reader: runner.NewReader(store), Clock: clock, Log: slog.New(slog.DiscardHandler),
		SendCommand: func(context.Context, leader.Command) (int, json.RawMessage) { return status, json.RawMessage(body) },
		SendQuery:   func(context.Context, string) (int, json.RawMessage) { return status, json.RawMessage(body) },
	}
	mux := http.NewServeMux()
	h.RegisterRoutes(mux)
	storeFormatRecords(t, store, h.Reader)
	return mux
}

// The answers to clients if the leader refuses, is unavailable or gives a malformed answer.
func TestLeaderRefusalAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
	}{
		{"conflict", http.StatusConflict, `{"error":"it goes on already"}`},
		{"unavailable", http.StatusServiceUnavailable, `{"error":"no leader"}`},
		{"no-reason", http.StatusBadGateway, `x`},
		{"unreadable", http.StatusOK, `x`},
		{"created", http.StatusCreated, `{}`},
	} {
		mux := routesWithLeaderAnswer(t, c.status, c.body)
		t.Run(c.name, func(t *testing.T) {
			checkAnswers(t, "leader-"+c.name, mux, []clientRequest{
				{"PUT", "/dags/nightly", `{"definition":"00112233445566778899aabbccddeeff","parts":2}`},
				{"PATCH", "/dags/nightly", `{"is_paused":true}`},
				{"DELETE", "/dags/nightly", ""},
				{"POST", "/dags/nightly/dagRuns", `{"dag_run_id":"manual__1"}`},
				{"PATCH", formatRunPath, `{"state":"failed"}`},
				{"DELETE", formatRunPath, ""},
				{"POST", formatRunPath + "/clear", `{"dry_run":false}`},
				{"POST", "/backfills", `{"dag_id":"nightly","from_date":"2026-12-01T00:00:00Z","to_date":"2026-12-02T00:00:00Z"}`},
				{"POST", formatRunPath + "/taskInstances/first/xcomEntries", `{"key":"return_value","value":1}`},
				{"GET", "/pools", ""},
				{"GET", "/pools/gpu", ""},
				{"GET", "/health", ""},
			})
		})
	}
}

// While the state service cannot be read, requests are answered with 503 and Retry-After, and the health endpoint
// reports it as unhealthy.
func TestStateUnavailableAnswers(t *testing.T) {
	clock := clockwork.NewFakeClockAt(formatStart)
	state := fakes.NewStore(clock)
	store := statestore.New(state.Addr(), 1e6, 1e6)
	state.Close()
	h := &Handler{
		Reader: runner.NewReader(store), Clock: clock, Log: slog.New(slog.DiscardHandler),
		SendQuery: func(context.Context, string) (int, json.RawMessage) {
			return http.StatusServiceUnavailable, nil
		},
	}
	mux := http.NewServeMux()
	h.RegisterRoutes(mux)
	checkAnswers(t, "state-unavailable", mux, []clientRequest{
		{"GET", "/dags", ""},
		{"GET", formatRunPath, ""},
		{"GET", "/health", ""},
	})
}
