// Package airflow serves the parts of Airflow's stable REST API that clients of graphs use,
// below PathAPI: graphs as DAGs, their runs, and the instances of their steps.
//
// Source: Airflow 2's published description of the stable REST API, version 1 (paths, names and
// meanings of fields, paging, ordering, the form of errors). Beside it, and marked so in
// docs/operators/graphs.md: graphs are registered by a PUT, since there is no folder of files;
// results are pushed; backfills; and requests name a team, as the user of basic
// authentication or as the parameter team. A team sees its own graphs only.
package airflow

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// PathAPI begins all paths of the API.
const PathAPI = "/api/v1"

// Level is the version of Airflow whose API is followed.
const Level = "2.10.0"

// Page sizes, as in Airflow.
const (
	defaultLimit = 100
	mostLimit    = 100
)

// Handler answers clients. It is safe for concurrent use.
type Handler struct {
	Reader *runner.Reader
	// Do has the leader carry out a command.
	Do func(ctx context.Context, c leader.Command) (status int, body json.RawMessage)
	// Ask has the leader answer a path and query.
	Ask   func(ctx context.Context, uri string) (status int, body json.RawMessage)
	Clock clockwork.Clock
	Log   *slog.Logger
}

// Routes registers the handler's paths.
func (d *Handler) Routes(mux *http.ServeMux) {
	handle := func(pattern string, fn func(*request) (any, error)) {
		method, path, _ := strings.Cut(pattern, " ")
		mux.HandleFunc(method+" "+PathAPI+path, func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, fn) })
	}
	mux.HandleFunc("GET "+PathAPI+"/health", d.serveHealth)
	mux.HandleFunc("GET "+PathAPI+"/version", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, map[string]any{"version": Level, "git_version": "poppypass"})
	})
	mux.HandleFunc("GET "+PathAPI+"/schema", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/schema+json")
		_, _ = w.Write(schema) // a reader that has gone is its own affair
	})

	handle("GET /dags", d.listDAGs)
	handle("GET /dags/{dag}", d.getDAG)
	handle("GET /dags/{dag}/details", d.getDetails)
	handle("GET /dags/{dag}/definition", d.getDefinition)
	handle("PUT /dags/{dag}", d.putDAG)
	handle("PATCH /dags/{dag}", d.patchDAG)
	handle("DELETE /dags/{dag}", d.deleteDAG)
	handle("PUT /definitions/{hash}/{part}", d.putPart)
	handle("GET /dags/{dag}/tasks", d.listTasks)
	handle("GET /dags/{dag}/tasks/{task}", d.getTask)

	handle("GET /dags/{dag}/dagRuns", d.listRuns)
	handle("POST /dags/{dag}/dagRuns", d.postRun)
	handle("GET /dags/{dag}/dagRuns/{run}", d.getRun)
	handle("PATCH /dags/{dag}/dagRuns/{run}", d.patchRun)
	handle("DELETE /dags/{dag}/dagRuns/{run}", d.deleteRun)
	handle("POST /dags/{dag}/dagRuns/{run}/clear", d.clearRun)
	handle("GET /dags/{dag}/dagRuns/{run}/tries", d.listRunTries)
	handle("GET /dags/{dag}/dagRuns/{run}/definition", d.getRunDefinition)
	handle("POST /dags/{dag}/clearTaskInstances", d.clearInstances)
	handle("POST /backfills", d.postBackfill)

	at := "/dags/{dag}/dagRuns/{run}/taskInstances"
	handle("GET "+at, d.listInstances)
	handle("GET "+at+"/{task}", d.getInstance)
	handle("GET "+at+"/{task}/{index}", d.getInstance)
	handle("GET "+at+"/{task}/listMapped", d.listMapped)
	handle("GET "+at+"/{task}/tries", d.listTries)
	handle("GET "+at+"/{task}/xcomEntries", d.listResults)
	handle("GET "+at+"/{task}/xcomEntries/{key}", d.getResult)
	handle("POST "+at+"/{task}/xcomEntries", d.postResult)

	handle("GET /pools", d.listPools)
	handle("GET /pools/{pool}", d.getPool)
}

// request is one request of a team.
type request struct {
	*http.Request
	team  string
	query url.Values
}

// problem is an error as Airflow's API has it.
type problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	Type   string `json:"type"`
}

func (p *problem) Error() string { return p.Title + ": " + p.Detail }

func fault(status int, title, format string, args ...any) error {
	return &problem{Status: status, Title: title, Detail: fmt.Sprintf(format, args...), Type: "about:blank"}
}

func badRequest(format string, args ...any) error {
	return fault(http.StatusBadRequest, "Bad Request", format, args...)
}

// done is an answer with a status of its own.
type done struct {
	status int
	body   any
}

// serve answers a request of a team.
func (d *Handler) serve(w http.ResponseWriter, r *http.Request, fn func(*request) (any, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTotal)
	defer cancel()
	req := &request{Request: r.WithContext(ctx), query: r.URL.Query()}
	if req.team, _, _ = r.BasicAuth(); req.team == "" {
		req.team = req.query.Get("team")
	}
	if req.team == "" {
		w.Header().Set("WWW-Authenticate", `Basic realm="team"`)
		d.fail(w, fault(http.StatusUnauthorized, "Unauthorized", "name a team as the user, or with the parameter team"))
		return
	}
	body, err := fn(req)
	switch v := body.(type) {
	case nil:
		if err == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		d.fail(w, err)
	case done:
		write(w, v.status, v.body)
	default:
		write(w, http.StatusOK, body)
	}
}

func (d *Handler) fail(w http.ResponseWriter, err error) {
	var p *problem
	switch {
	case errors.As(err, &p):
	case errors.Is(err, runner.ErrNone):
		p = &problem{Status: http.StatusNotFound, Title: "Not Found", Detail: "it is not known", Type: "about:blank"}
	default:
		d.Log.Debug("graphs are unreadable", "err", err)
		p = &problem{Status: http.StatusServiceUnavailable, Title: "Service Unavailable", Detail: "that cannot be read now; ask again", Type: "about:blank"}
	}
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	raw, err := json.Marshal(p)
	if err != nil {
		raw = []byte(`{"status":500,"title":"Internal Server Error","type":"about:blank"}`)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw) // a reader that has gone is its own affair
}

// write answers with JSON, in lines: none may be longer than the protocol allows.
func write(w http.ResponseWriter, status int, v any) {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"status":500,"title":"Internal Server Error","type":"about:blank"}`)
	}
	httpjson.WriteRaw(w, status, raw)
}

// read reads a request's body into v.
func (r *request) read(v any) error {
	raw, err := httpjson.ReadBody(r.Request, wire.MaxBody)
	if err != nil {
		return fault(http.StatusRequestEntityTooLarge, "Payload Too Large", "%s", httpjson.OneLine(err))
	}
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return badRequest("%s", httpjson.OneLine(err))
	}
	return nil
}

// order has the leader carry out an order.
func (d *Handler) order(r *request, verb string, o runner.Order, out any) (int, error) {
	o.Team = r.team
	raw, err := json.Marshal(o)
	if err != nil {
		return 0, badRequest("%s", httpjson.OneLine(err))
	}
	status, body := d.Do(r.Context(), leader.Command{URI: runner.PathOrders + verb, Body: raw})
	if status >= http.StatusBadRequest {
		var e wire.Error
		_ = json.Unmarshal(body, &e) // without a reason the status says it
		return status, fault(status, http.StatusText(status), "%s", e.Error)
	}
	if out != nil {
		if err := json.Unmarshal(body, out); err != nil {
			return 0, err
		}
	}
	return status, nil
}

// page is a part of a list.
type page struct{ limit, offset int }

func (r *request) page() (page, error) {
	p := page{limit: defaultLimit}
	for name, to := range map[string]*int{"limit": &p.limit, "offset": &p.offset} {
		if text := r.query.Get(name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 {
				return p, badRequest("%s is %q, which is no count", name, text)
			}
			*to = n
		}
	}
	p.limit = min(p.limit, mostLimit)
	return p, nil
}

// cut returns the items of a page.
func cut[T any](items []T, p page) []T {
	from := min(p.offset, len(items))
	return items[from:min(from+p.limit, len(items))]
}

// sorted orders a list as its client asks: by a field, or with a dash before it the
// other way round.
func sorted[T any](r *request, items []T, by map[string]func(a, b T) int, first string) error {
	name := cmp.Or(r.query.Get("order_by"), first)
	field, down := strings.CutPrefix(name, "-")
	compare := by[field]
	if compare == nil {
		return badRequest("Ordering with %q is disallowed or the attribute does not exist on the model", field)
	}
	slices.SortStableFunc(items, func(a, b T) int {
		if down {
			a, b = b, a
		}
		return compare(a, b)
	})
	return nil
}

// among reports whether a value is one of those that a parameter allows.
func (r *request) among(name, value string) bool {
	allowed := r.query[name]
	return len(allowed) == 0 || slices.Contains(allowed, value)
}

func (d *Handler) serveHealth(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollWait)
	defer cancel()
	type part struct {
		Status string  `json:"status"`
		Beat   *string `json:"latest_scheduler_heartbeat,omitempty"`
	}
	store, scheduler := part{Status: "healthy"}, part{Status: "unhealthy"}
	if _, err := d.Reader.Graphs(ctx, ""); err != nil {
		store.Status = "unhealthy"
	}
	if status, _ := d.Ask(ctx, runner.PathPools); status == http.StatusOK {
		now := stamp(d.Clock.Now())
		scheduler = part{Status: "healthy", Beat: now}
	}
	write(w, http.StatusOK, map[string]part{"metadatabase": store, "scheduler": scheduler})
}
