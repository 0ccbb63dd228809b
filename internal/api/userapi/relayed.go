package userapi

import (
	"context"
	"encoding/json"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// AnswerRelayed answers a poll or a cancellation that another member relays to the leader.
func (h *Handler) AnswerRelayed(ctx context.Context, req peerrpc.Request) peerrpc.Response {
	if !wire.ValidJobID(req.Job) || h.leader() == nil {
		return peerrpc.Response{Status: http.StatusServiceUnavailable}
	}
	var s wire.JobStatus
	var err error
	switch req.Verb {
	case peerrpc.JobStatus:
		s, err = h.statusOrRead(ctx, req.Job)
	case peerrpc.CancelJob:
		s, err = h.cancel(ctx, req.Job)
	default:
		return peerrpc.Response{Status: http.StatusBadRequest}
	}
	return peerrpc.Response{Status: statusCode(err), Job: s}
}

// statusOrRead finds a job's state without asking another member.
func (h *Handler) statusOrRead(ctx context.Context, id string) (wire.JobStatus, error) {
	if s, err := h.statusInMemory(ctx, id); err == nil {
		return s, nil
	}
	return h.statusReader.read(ctx, id)
}

// AnswerRelayedSubmission accepts a job that another member could not store.
func (h *Handler) AnswerRelayedSubmission(ctx context.Context, body []byte) peerrpc.Response {
	a := h.submit(ctx, body)
	return peerrpc.Response{Status: a.status, Job: wire.JobStatus{State: a.job.State}, Payload: []byte(a.text)}
}

// AnswerRelayedQuery answers a query that another member relays to the leader.
func (h *Handler) AnswerRelayedQuery(ctx context.Context, uri string) peerrpc.Response {
	return h.answerAsLeader(func(l *leader.Loop) (int, json.RawMessage) { return queryLoop(ctx, l, uri) })
}

// AnswerRelayedCommand carries out a command that another member relays to the leader.
func (h *Handler) AnswerRelayedCommand(ctx context.Context, payload []byte) peerrpc.Response {
	var c leader.Command
	if json.Unmarshal(payload, &c) != nil {
		return notLeading()
	}
	return h.answerAsLeader(func(l *leader.Loop) (int, json.RawMessage) { return commandLoop(ctx, l, c) })
}

// answerAsLeader answers another member, if this one leads.
func (h *Handler) answerAsLeader(answer func(*leader.Loop) (int, json.RawMessage)) peerrpc.Response {
	l := h.leader()
	if l == nil {
		return notLeading()
	}
	status, body := answer(l)
	return peerrpc.Response{Status: status, Payload: body}
}

func notLeading() peerrpc.Response {
	return peerrpc.Response{Status: http.StatusServiceUnavailable, Payload: errorBody(errNotLeading.Error())}
}
