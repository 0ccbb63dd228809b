package airflow

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// request is one request of a team.
type request struct {
	*http.Request
	team  string
	query url.Values
}

// serve answers a request of a team within tuning.SubmitTimeout.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, e endpoint) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	req := &request{Request: r.WithContext(ctx), query: r.URL.Query()}
	if req.team = req.namedTeam(); req.team == "" {
		w.Header().Set("WWW-Authenticate", `Basic realm="team"`)
		h.writeError(w, newProblem(http.StatusUnauthorized, "Unauthorized", "name a team as the user, or with the parameter team"))
		return
	}
	body, err := e(req)
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeAnswer(w, body)
}

// namedTeam returns the team that the request names, as the user of basic authentication or else with the parameter team; empty:
// none.
func (r *request) namedTeam() string {
	if user, _, _ := r.BasicAuth(); user != "" {
		return user
	}
	return r.query.Get("team")
}

// The parts of the path; empty where the endpoint's pattern has no such part.

func (r *request) dagID() string  { return r.PathValue("dag") }
func (r *request) runID() string  { return r.PathValue("run") }
func (r *request) taskID() string { return r.PathValue("task") }

// read reads the request's body into v; no body is an empty object. When the body is malformed, clients are told the message of the
// JSON decoder, which contains the name of v's type: bodies have an unnamed type, unless their type's name is in answers already.
func (r *request) read(v any) error {
	raw, err := httpjson.ReadBody(r.Request, wire.MaxBody)
	if err != nil {
		return tooLarge("%s", httpjson.OneLine(err))
	}
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return badRequest("%s", httpjson.OneLine(err))
	}
	return nil
}

// allows reports whether a value is one of those that a query parameter lists. A parameter that is missing allows all.
func (r *request) allows(name, value string) bool {
	listed := r.query[name]
	return len(listed) == 0 || slices.Contains(listed, value)
}

// timeWindow is what the query parameters NAME_gte and NAME_lte allow. Both bounds belong to it; nil: there is none.
type timeWindow struct{ from, to *time.Time }

// timeWindow reads the bounds of a time.
func (r *request) timeWindow(name string) (timeWindow, error) {
	from, err := r.timeBound(name + "_gte")
	if err != nil {
		return timeWindow{}, err
	}
	to, err := r.timeBound(name + "_lte")
	return timeWindow{from, to}, err
}

func (r *request) timeBound(name string) (*time.Time, error) {
	text := r.query.Get(name)
	if text == "" {
		return nil, nil
	}
	bound, err := parseQueryTime(text)
	if err != nil {
		return nil, badRequest("%s is %q, which is no time such as 2026-12-01T00:00:00Z", name, text)
	}
	return &bound, nil
}

// parseQueryTime reads a time. A plus that was not escaped in the query has come as a space.
func parseQueryTime(text string) (time.Time, error) {
	return time.Parse(time.RFC3339, strings.Replace(text, " ", "+", 1))
}

// contains reports whether a time is in the window. The zero time (it has not come yet) is in no window that has a bound.
func (w timeWindow) contains(t time.Time) bool {
	if w.from == nil && w.to == nil {
		return true
	}
	return !t.IsZero() && (w.from == nil || !t.Before(*w.from)) && (w.to == nil || !t.After(*w.to))
}
