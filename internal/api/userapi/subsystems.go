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

// Query has the leader's subsystems answer a query: a path and query string beside the protocol's. It returns the HTTP status
// and JSON body of the answer, wherever it was made.
func (h *Handler) Query(ctx context.Context, uri string) (status int, body json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PollWait)
	defer cancel()
	return h.askLeader(ctx, peerrpc.Request{Verb: peerrpc.SubsystemQuery, Payload: []byte(uri)}, "the leader cannot be asked now",
		func(l *leader.Loop) (int, json.RawMessage) { return queryLoop(ctx, l, uri) })
}

// Command has the leader's subsystems carry out a command. It returns the HTTP status and JSON body of the answer.
func (h *Handler) Command(ctx context.Context, c leader.Command) (status int, body json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandWait)
	defer cancel()
	raw, err := json.Marshal(c)
	if err != nil {
		return http.StatusBadRequest, errorBody("the command is not JSON")
	}
	return h.askLeader(ctx, peerrpc.Request{Verb: peerrpc.SubsystemCommand, Payload: raw}, "the leader cannot be asked now; ask again",
		func(l *leader.Loop) (int, json.RawMessage) { return commandLoop(ctx, l, c) })
}

// askLeader has the leader answer: this member, by answer, or the one that leads, by a request; unavailable is the text of the
// answer if neither can.
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

func commandLoop(ctx context.Context, l *leader.Loop, c leader.Command) (int, json.RawMessage) {
	return encodeAnswer(l.Command(ctx, c))
}

func queryLoop(ctx context.Context, l *leader.Loop, uri string) (int, json.RawMessage) {
	return encodeAnswer(l.Query(ctx, uri))
}

// encodeAnswer is what a subsystem answered, as JSON that fits a message between members.
func encodeAnswer(a leader.Answer, err error) (int, json.RawMessage) {
	if err != nil {
		return http.StatusServiceUnavailable, errorBody("the leader cannot be asked now")
	}
	body, err := json.MarshalIndent(a.Body, "", " ")
	switch {
	case err != nil:
		return http.StatusInternalServerError, errorBody("the answer cannot be written")
	case len(body) > tuning.QueryResponseMax:
		return http.StatusRequestEntityTooLarge, errorBody("the answer is too long; ask for less")
	}
	return a.Status, body
}

func errorBody(text string) json.RawMessage {
	raw, _ := json.Marshal(wire.Error{Error: text}) // a string is always encodable
	return raw
}

// ServeExplanation says what a job waits for.
func (h *Handler) ServeExplanation(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		writeNoSuchJob(w)
		return
	}
	status, body := h.Query(r.Context(), r.URL.Path)
	if status == http.StatusNotFound {
		// The leader knows live jobs only; one that is over waits for nothing.
		if s, err := h.status(r.Context(), id, h.statusReader.read); err == nil {
			status = http.StatusOK
			body, _ = json.MarshalIndent(wire.Explanation{JobStatus: s, Reasons: []string{}}, "", " ") // plain data
		}
	}
	httpjson.WriteRaw(w, status, body)
}
