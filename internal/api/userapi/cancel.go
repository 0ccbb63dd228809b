package userapi

import (
	"context"
	"errors"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// The errors of cancel, besides errNoSuchJob and errStatusUnknown.
var (
	// errNotLeading means that this member does not lead.
	errNotLeading = errors.New("this member does not lead")
	// errCancelUnconfirmed means that tasks of the job may still run, or that no member can store the cancellation now.
	errCancelUnconfirmed = errors.New("the cancellation is not confirmed yet: tasks of the job may still run, or nobody can store it now; ask again")
)

// ServeCancel cancels a job. Only the leader stores a cancellation, so another member relays the request to it. The
// answer is 200 only for a job that is over or whose cancellation is stored, 404 for one that is known not to exist,
// 503 otherwise.
func (h *Handler) ServeCancel(w http.ResponseWriter, r *http.Request) {
	id, ok := h.requestedJob(w, r)
	if !ok {
		return
	}
	status, err := h.cancel(r.Context(), id)
	if errors.Is(err, errNotLeading) {
		status, err = h.relayCancellation(r.Context(), id)
	}
	switch {
	case err == nil && status.State.Final():
		h.rememberFinal(status)
		httpjson.Write(w, http.StatusOK, wire.Accepted{ID: id, State: status.State})
	case errors.Is(err, errNoSuchJob):
		writeNoSuchJob(w)
	default:
		httpjson.WriteUnavailable(w, errCancelUnconfirmed.Error())
	}
}

// relayCancellation has the leader cancel a job. The error is errNoSuchJob, or errNotLeading if no leader gives an
// answer.
func (h *Handler) relayCancellation(ctx context.Context, id string) (wire.JobStatus, error) {
	resp, err := h.peers.Relay(ctx, peerrpc.Request{Verb: peerrpc.CancelJob, Job: id})
	switch {
	case err != nil:
		return wire.JobStatus{}, errNotLeading
	case resp.Status != http.StatusOK: // Relay returns no other status than 200 and 404
		return wire.JobStatus{}, errNoSuchJob
	}
	resp.Job.ID = id
	return resp.Job, nil
}

// cancel cancels a job if this member leads. The error is errNotLeading, errNoSuchJob, errCancelUnconfirmed or
// errStatusUnknown.
func (h *Handler) cancel(ctx context.Context, id string) (wire.JobStatus, error) {
	if s, ok := h.finalStates.Get(id); ok {
		return s, nil
	}
	l := h.leader()
	if l == nil {
		return wire.JobStatus{}, errNotLeading
	}
	state, err := l.Cancel(ctx, id)
	switch {
	case err == nil:
		return wire.JobStatus{ID: id, State: state}, nil
	case !errors.Is(err, leader.ErrUnknownJob) && !errors.Is(err, leader.ErrLoading):
		return wire.JobStatus{}, errCancelUnconfirmed
	}
	// The leader's memory does not hold the job. The leader learns of accepted jobs with a short delay, so a job that
	// is stored but unknown to the leader is not cancelled yet, and the user has to ask again.
	s, err := h.storedStatus(ctx, id, h.store)
	if err == nil && !s.State.Final() {
		err = errCancelUnconfirmed
	}
	return s, err
}
