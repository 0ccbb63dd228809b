package userapi

import (
	"context"
	"encoding/json"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// Query passes a query to the leader's subsystems and returns the HTTP status and JSON body of the answer. uri is the
// query: a path and query string that are not part of the user protocol. If this member does not lead, it relays the
// query to the leader.
func (h *Handler) Query(ctx context.Context, uri string) (status int, body json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PollTimeout)
	defer cancel()
	return h.askLeader(ctx, peerrpc.Request{Verb: peerrpc.SubsystemQuery, Payload: []byte(uri)}, "the leader cannot be asked now",
		func(l *leader.Loop) (int, json.RawMessage) { return queryLoop(ctx, l, uri) })
}

// Command has the leader's subsystems execute a command. It returns the HTTP status and JSON body of the answer.
func (h *Handler) Command(ctx context.Context, c leader.Command) (status int, body json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, tuning.UserCommandTimeout)
	defer cancel()
	raw, err := json.Marshal(c)
	if err != nil {
		return http.StatusBadRequest, errorBody("the command is not JSON")
	}
	return h.askLeader(ctx, peerrpc.Request{Verb: peerrpc.SubsystemCommand, Payload: raw}, "the leader cannot be asked now; ask again",
		func(l *leader.Loop) (int, json.RawMessage) { return commandLoop(ctx, l, c) })
}

// askLeader returns the leader's answer. If this member leads, it calls answer; otherwise it sends req to the leader.
// If neither gives an answer, the status is 503 and unavailable is the error text.
func (h *Handler) askLeader(ctx context.Context, req peerrpc.Request, unavailable string, answer func(*leader.Loop) (int, json.RawMessage)) (int, json.RawMessage) {
	if l := h.leader(); l != nil {
		return answer(l)
	}
	if lead := h.peers.Leader(); lead != "" {
		if r, err := h.peers.Call(ctx, lead, req); err == nil && r.Status > 0 {
			return r.Status, r.Payload
		}
	}
	return http.StatusServiceUnavailable, errorBody(unavailable)
}

// commandLoop has the leader's loop execute a command.
func commandLoop(ctx context.Context, l *leader.Loop, c leader.Command) (int, json.RawMessage) {
	return encodeAnswer(l.Command(ctx, c))
}

// queryLoop has the leader's loop answer a query.
func queryLoop(ctx context.Context, l *leader.Loop, uri string) (int, json.RawMessage) {
	return encodeAnswer(l.Query(ctx, uri))
}

// encodeAnswer returns the status and the JSON of a subsystem's answer. If the JSON is longer than
// tuning.QueryResponseMaxBytes bytes and so might not fit into a message between members, it returns status 413 and an
// error text instead.
func encodeAnswer(a leader.Answer, err error) (int, json.RawMessage) {
	if err != nil {
		return http.StatusServiceUnavailable, errorBody("the leader cannot be asked now")
	}
	body, err := json.MarshalIndent(a.Body, "", " ")
	switch {
	case err != nil:
		return http.StatusInternalServerError, errorBody("the answer cannot be written")
	case len(body) > tuning.QueryResponseMaxBytes:
		return http.StatusRequestEntityTooLarge, errorBody("the answer is too long; ask for less")
	}
	return a.Status, body
}

// errorBody returns the JSON of an error text.
func errorBody(text string) json.RawMessage {
	raw, _ := json.Marshal(wire.Error{Error: text}) // encoding a string cannot fail
	return raw
}

// ServeExplanation answers with the reasons why a job waits.
func (h *Handler) ServeExplanation(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		writeNoSuchJob(w)
		return
	}
	status, body := h.Query(r.Context(), r.URL.Path)
	if status == http.StatusNotFound {
		// The leader's memory holds live jobs only. A job that is over waits for nothing.
		if s, err := h.status(r.Context(), id, h.statusReader.read); err == nil {
			status = http.StatusOK
			body, _ = json.MarshalIndent(wire.Explanation{JobStatus: s, Reasons: []string{}}, "", " ") // encoding plain data cannot fail
		}
	}
	httpjson.WriteRaw(w, status, body)
}
