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

// request is an HTTP request that names a team.
type request struct {
	*http.Request
	team  string
	query url.Values
}

// serve has an endpoint handle a request, within tuning.SubmitTimeout. A request without a team is answered with 401.
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

// namedTeam returns the team that the request names: the user name of basic authentication or else the query
// parameter team. It is empty if the request names none.
func (r *request) namedTeam() string {
	if user, _, _ := r.BasicAuth(); user != "" {
		return user
	}
	return r.query.Get("team")
}

// The following methods return the values of the path's wildcards. A value is empty if the endpoint's pattern lacks that
// wildcard.

func (r *request) dagID() string  { return r.PathValue("dag") }
func (r *request) runID() string  { return r.PathValue("run") }
func (r *request) taskID() string { return r.PathValue("task") }

// read decodes the request's body into v. An empty body counts as an empty object. The answer to a malformed body
// contains the JSON decoder's message, and with it the name of v's type. Bodies therefore have unnamed types, apart
// from the types whose names are already part of answers (clearing, register).
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

// allows reports whether a value is one of those that a query parameter lists. A missing parameter allows all values.
func (r *request) allows(name, value string) bool {
	listed := r.query[name]
	return len(listed) == 0 || slices.Contains(listed, value)
}

// timeWindow is the range of times that the query parameters NAME_gte and NAME_lte allow. Both bounds are inclusive;
// a nil bound does not restrict.
type timeWindow struct{ from, to *time.Time }

// timeWindow reads the query parameters NAME_gte and NAME_lte for a name.
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

// parseQueryTime parses a time in the form of RFC 3339. A plus sign that the client did not escape in the query was
// decoded as a space, which is turned back into a plus.
func parseQueryTime(text string) (time.Time, error) {
	return time.Parse(time.RFC3339, strings.Replace(text, " ", "+", 1))
}

// contains reports whether a time is in the window. The zero time means that the event has not happened yet; a window
// with a bound does not contain it.
func (w timeWindow) contains(t time.Time) bool {
	if w.from == nil && w.to == nil {
		return true
	}
	return !t.IsZero() && (w.from == nil || !t.Before(*w.from)) && (w.to == nil || !t.After(*w.to))
}
