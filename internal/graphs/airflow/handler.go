// Package airflow serves the parts of Airflow's stable REST API that clients of graphs use,
// under the path prefix PathAPI. Graphs are served as DAGs, with their runs and the instances of their steps.
//
// The paths, the names and meanings of fields, paging, ordering and the form of errors follow
// Airflow 2's published description of the stable REST API, version 1. The following additions are
// not part of that API, and docs/operators/graphs.md marks them as such:
//   - A PUT registers a graph, since there is no folder of DAG files.
//   - A step's job pushes its result by a POST.
//   - A POST starts a backfill.
//   - A request names a team, as the user name of basic authentication or as the query parameter team.
//     A team sees its own graphs only.
package airflow

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/graphs/runner"
	"poppypass/internal/scheduler/leader"
)

// PathAPI is the prefix of all paths of the API.
const PathAPI = "/api/v1"

// AirflowVersion is the version of Airflow whose API this package implements in part.
const AirflowVersion = "2.10.0"

// Handler serves the API. It is safe for concurrent use.
type Handler struct {
	Reader *runner.Reader
	// SendCommand sends a command to the leader and returns the leader's answer.
	SendCommand func(ctx context.Context, c leader.Command) (status int, body json.RawMessage)
	// SendQuery sends a query, given as a path and query string, to the leader and returns the leader's answer.
	SendQuery func(ctx context.Context, uri string) (status int, body json.RawMessage)
	Clock     clockwork.Clock
	Log       *slog.Logger
}

// endpoint handles a team's request and returns the body of the answer. A value is encoded as JSON and sent with
// status 200; a response carries its own status; nil is answered with 204 and no body. writeError answers errors.
type endpoint func(*request) (any, error)

// RegisterRoutes registers the API's paths with a mux.
func (h *Handler) RegisterRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathAPI+"/health", h.serveHealth)
	mux.HandleFunc("GET "+PathAPI+"/version", serveVersion)
	mux.HandleFunc("GET "+PathAPI+"/schema", serveSchema)

	handle := func(pattern string, e endpoint) {
		method, path, _ := strings.Cut(pattern, " ")
		mux.HandleFunc(method+" "+PathAPI+path, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, e) })
	}
	h.routeDAGs(handle)
	h.routeRuns(handle)
	h.routeInstances(handle)
	handle("GET /pools", h.listPools)
	handle("GET /pools/{pool}", h.getPool)
}

func (h *Handler) routeDAGs(handle func(pattern string, e endpoint)) {
	handle("GET /dags", h.listDAGs)
	handle("GET /dags/{dag}", h.getDAG)
	handle("GET /dags/{dag}/details", h.getDetails)
	handle("GET /dags/{dag}/definition", h.getDefinition)
	handle("PUT /dags/{dag}", h.putDAG)
	handle("PATCH /dags/{dag}", h.patchDAG)
	handle("DELETE /dags/{dag}", h.deleteDAG)
	handle("PUT /definitions/{hash}/{part}", h.putPart)
	handle("GET /dags/{dag}/tasks", h.listTasks)
	handle("GET /dags/{dag}/tasks/{task}", h.getTask)
}

func (h *Handler) routeRuns(handle func(pattern string, e endpoint)) {
	handle("GET /dags/{dag}/dagRuns", h.listRuns)
	handle("POST /dags/{dag}/dagRuns", h.postRun)
	handle("GET /dags/{dag}/dagRuns/{run}", h.getRun)
	handle("PATCH /dags/{dag}/dagRuns/{run}", h.patchRun)
	handle("DELETE /dags/{dag}/dagRuns/{run}", h.deleteRun)
	handle("POST /dags/{dag}/dagRuns/{run}/clear", h.clearRun)
	handle("GET /dags/{dag}/dagRuns/{run}/tries", h.listRunTries)
	handle("GET /dags/{dag}/dagRuns/{run}/definition", h.getRunDefinition)
	handle("POST /dags/{dag}/clearTaskInstances", h.clearInstances)
	handle("POST /backfills", h.postBackfill)
}

func (h *Handler) routeInstances(handle func(pattern string, e endpoint)) {
	instances := "/dags/{dag}/dagRuns/{run}/taskInstances"
	handle("GET "+instances, h.listInstances)
	handle("GET "+instances+"/{task}", h.getInstance)
	handle("GET "+instances+"/{task}/{index}", h.getInstance)
	handle("GET "+instances+"/{task}/listMapped", h.listMapped)
	handle("GET "+instances+"/{task}/tries", h.listTries)
	handle("GET "+instances+"/{task}/xcomEntries", h.listResults)
	handle("GET "+instances+"/{task}/xcomEntries/{key}", h.getResult)
	handle("POST "+instances+"/{task}/xcomEntries", h.postResult)
}
