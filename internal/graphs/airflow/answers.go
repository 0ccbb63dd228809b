package airflow

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
)

// internalError is the body of the answer if the intended body cannot be encoded.
const internalError = `{"status":500,"title":"Internal Server Error","type":"about:blank"}`

// response is an answer whose status is not the default of 200 or 204.
type response struct {
	status int
	body   any
}

// writeAnswer answers a request with the value that an endpoint returned.
func writeAnswer(w http.ResponseWriter, body any) {
	switch v := body.(type) {
	case nil:
		w.WriteHeader(http.StatusNoContent)
	case response:
		writeJSON(w, v.status, v.body)
	default:
		writeJSON(w, http.StatusOK, body)
	}
}

// writeJSON writes an answer as indented JSON: the protocol limits the length of a line, so the body has several lines.
func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(internalError)
	}
	httpjson.WriteRaw(w, status, raw)
}

// problem is an error in the form of Airflow's API. Clients receive its text.
type problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	Type   string `json:"type"`
}

func (p *problem) Error() string { return p.Title + ": " + p.Detail }

func newProblem(status int, title, format string, args ...any) *problem {
	return &problem{Status: status, Title: title, Detail: fmt.Sprintf(format, args...), Type: "about:blank"}
}

func badRequest(format string, args ...any) error {
	return newProblem(http.StatusBadRequest, "Bad Request", format, args...)
}

func tooLarge(format string, args ...any) error {
	return newProblem(http.StatusRequestEntityTooLarge, "Payload Too Large", format, args...)
}

func unavailable(format string, args ...any) *problem {
	return newProblem(http.StatusServiceUnavailable, "Service Unavailable", format, args...)
}

// writeError writes an error as the answer. A 503 has a Retry-After header.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	p := h.problemOf(err)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	raw, err := json.Marshal(p)
	if err != nil {
		raw = []byte(internalError)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw) // the client may have disconnected; there is nothing to do about it
}

// problemOf returns the problem that a client receives for an error. A problem is returned unchanged, and runner.ErrNotFound
// becomes a 404. Any other error becomes a 503: it is a failure to read or write stored records or to decode the leader's
// answer.
func (h *Handler) problemOf(err error) *problem {
	var p *problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, runner.ErrNotFound):
		return newProblem(http.StatusNotFound, "Not Found", "it is not known")
	default:
		h.Log.Debug("graph request failed; answering 503", "err", err)
		return unavailable("that cannot be read now; ask again")
	}
}
