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

// Query has the leader's subsystems answer a question: a path and query beside the
// protocol's. The answer is a status and JSON.
func (d *Handler) Query(ctx context.Context, uri string) (status int, body json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PollWait)
	defer cancel()
	return d.askLeader(ctx, peerrpc.Request{Verb: peerrpc.SubsystemQuery, Payload: []byte(uri)}, "the leader cannot be asked now",
		func(l *leader.Loop) (int, json.RawMessage) { return queryLoop(ctx, l, uri) })
}

// AnswerRelayedQuery answers a question that another member hands on to the leader.
func (d *Handler) AnswerRelayedQuery(ctx context.Context, uri string) peerrpc.Response {
	return d.answerAsLeader(func(l *leader.Loop) (int, json.RawMessage) { return queryLoop(ctx, l, uri) })
}

// Command has the leader's subsystems carry out a command.
func (d *Handler) Command(ctx context.Context, c leader.Command) (status int, body json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandWait)
	defer cancel()
	raw, err := json.Marshal(c)
	if err != nil {
		return http.StatusBadRequest, errorBody("the command is not JSON")
	}
	return d.askLeader(ctx, peerrpc.Request{Verb: peerrpc.SubsystemCommand, Payload: raw}, "the leader cannot be asked now; ask again",
		func(l *leader.Loop) (int, json.RawMessage) { return commandLoop(ctx, l, c) })
}

// AnswerRelayedCommand carries out a command that another member hands on to the leader.
func (d *Handler) AnswerRelayedCommand(ctx context.Context, payload []byte) peerrpc.Response {
	var c leader.Command
	if json.Unmarshal(payload, &c) != nil {
		return notLeading()
	}
	return d.answerAsLeader(func(l *leader.Loop) (int, json.RawMessage) { return commandLoop(ctx, l, c) })
}

// askLeader has the leader answer: this member, or the one that leads; none is what is said if
// neither can.
func (d *Handler) askLeader(ctx context.Context, req peerrpc.Request, none string, here func(*leader.Loop) (int, json.RawMessage)) (int, json.RawMessage) {
	if l := d.leader(); l != nil {
		return here(l)
	}
	if lead := d.peers.Leader(); lead != "" {
		if r, err := d.peers.Call(ctx, lead, req); err == nil && r.Status > 0 {
			return r.Status, r.Payload
		}
	}
	return http.StatusServiceUnavailable, errorBody(none)
}

// answerAsLeader answers another member, if this one leads.
func (d *Handler) answerAsLeader(here func(*leader.Loop) (int, json.RawMessage)) peerrpc.Response {
	l := d.leader()
	if l == nil {
		return notLeading()
	}
	status, body := here(l)
	return peerrpc.Response{Status: status, Payload: body}
}

func notLeading() peerrpc.Response {
	return peerrpc.Response{Status: http.StatusServiceUnavailable, Payload: errorBody("this member does not lead")}
}

func commandLoop(ctx context.Context, l *leader.Loop, c leader.Command) (int, json.RawMessage) {
	status, v, err := l.Command(ctx, c)
	return encodeAnswer(status, v, err)
}

func queryLoop(ctx context.Context, l *leader.Loop, uri string) (int, json.RawMessage) {
	status, v, err := l.Query(ctx, uri)
	return encodeAnswer(status, v, err)
}

// encodeAnswer is what a subsystem answered, as JSON that fits a message.
func encodeAnswer(status int, v any, err error) (int, json.RawMessage) {
	if err != nil {
		return http.StatusServiceUnavailable, errorBody("the leader cannot be asked now")
	}
	body, err := json.MarshalIndent(v, "", " ")
	switch {
	case err != nil:
		return http.StatusInternalServerError, errorBody("the answer cannot be written")
	case len(body) > tuning.QueryResponseMax:
		return http.StatusRequestEntityTooLarge, errorBody("the answer is too long; ask for less")
	}
	return status, body
}

func errorBody(text string) json.RawMessage {
	raw, _ := json.Marshal(wire.Error{Error: text}) // a string is always encodable
	return raw
}

// ServeExplanation says what a job waits for.
func (d *Handler) ServeExplanation(w http.ResponseWriter, r *http.Request) {
	if id := r.PathValue("id"); !wire.ValidJobID(id) {
		httpjson.WriteRaw(w, http.StatusNotFound, errorBody("no such job"))
		return
	}
	status, body := d.Query(r.Context(), r.URL.Path)
	if status == http.StatusNotFound {
		// The leader knows live jobs only; one that is over waits for nothing.
		if code, s := d.status(r.Context(), r.PathValue("id"), d.statusReader.read); code == http.StatusOK {
			status = code
			body, _ = json.MarshalIndent(wire.Explanation{JobStatus: s, Reasons: []string{}}, "", " ") // plain data
		}
	}
	httpjson.WriteRaw(w, status, body)
}
