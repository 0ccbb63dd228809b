package userapi

import (
	"context"
	"encoding/json"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// AnswerRelayedJobRequest answers a poll or a cancellation that another member relays to the leader. The status is
// 503 if this member does not lead or if no job can have the given ID, and 400 if the verb is neither JobStatus nor
// CancelJob.
func (h *Handler) AnswerRelayedJobRequest(ctx context.Context, req peerrpc.Request) peerrpc.Response {
	if !wire.ValidJobID(req.Job) || h.leader() == nil {
		return peerrpc.Response{Status: http.StatusServiceUnavailable}
	}
	var s wire.JobStatus
	var err error
	switch req.Verb {
	case peerrpc.JobStatus:
		s, err = h.statusWithoutRelay(ctx, req.Job)
	case peerrpc.CancelJob:
		s, err = h.cancel(ctx, req.Job)
	default:
		return peerrpc.Response{Status: http.StatusBadRequest}
	}
	return peerrpc.Response{Status: statusCode(err), Job: s}
}

// statusWithoutRelay returns a job's state from memory or from the state service, without relaying to another member.
func (h *Handler) statusWithoutRelay(ctx context.Context, id string) (wire.JobStatus, error) {
	if s, err := h.statusInMemory(ctx, id); err == nil {
		return s, nil
	}
	return h.statusReader.read(ctx, id)
}

// AnswerRelayedSubmission accepts a job that another member could not store.
func (h *Handler) AnswerRelayedSubmission(ctx context.Context, body []byte) peerrpc.Response {
	answer := h.submit(ctx, body)
	return peerrpc.Response{Status: answer.status, Job: wire.JobStatus{State: answer.job.State}, Payload: []byte(answer.errorText)}
}

// AnswerRelayedQuery answers a query that another member relays to the leader.
func (h *Handler) AnswerRelayedQuery(ctx context.Context, uri string) peerrpc.Response {
	return h.answerAsLeader(func(l *leader.Loop) (int, json.RawMessage) { return queryLoop(ctx, l, uri) })
}

// AnswerRelayedCommand executes a command that another member relays to the leader. A command that cannot be decoded
// gets the answer of a member that does not lead.
func (h *Handler) AnswerRelayedCommand(ctx context.Context, payload []byte) peerrpc.Response {
	var c leader.Command
	if json.Unmarshal(payload, &c) != nil {
		return notLeadingResponse()
	}
	return h.answerAsLeader(func(l *leader.Loop) (int, json.RawMessage) { return commandLoop(ctx, l, c) })
}

// answerAsLeader returns the answer of this member's leader loop, or 503 if this member does not lead.
func (h *Handler) answerAsLeader(answer func(*leader.Loop) (int, json.RawMessage)) peerrpc.Response {
	l := h.leader()
	if l == nil {
		return notLeadingResponse()
	}
	status, body := answer(l)
	return peerrpc.Response{Status: status, Payload: body}
}

// notLeadingResponse returns the response of a member that does not lead.
func notLeadingResponse() peerrpc.Response {
	return peerrpc.Response{Status: http.StatusServiceUnavailable, Payload: errorBody(errNotLeading.Error())}
}
