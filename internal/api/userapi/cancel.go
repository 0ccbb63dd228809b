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

// Why a cancellation has no result.
var (
	// errNotLeading means that this member does not lead.
	errNotLeading = errors.New("this member does not lead")
	// errUnconfirmed means that the job's tasks may still run, or that nobody can store the cancellation now.
	errUnconfirmed = errors.New("the cancellation is not confirmed yet: tasks of the job may still run, or nobody can store it now; ask again")
)

// ServeCancel cancels a job. Only the leader writes that.
func (h *Handler) ServeCancel(w http.ResponseWriter, r *http.Request) {
	id, ok := h.requestedJob(w, r)
	if !ok {
		return
	}
	s, err := h.cancel(r.Context(), id)
	if errors.Is(err, errNotLeading) {
		s, err = h.relayCancellation(r.Context(), id)
	}
	switch {
	case err == nil && s.State.Final():
		h.rememberFinal(s)
		httpjson.Write(w, http.StatusOK, wire.Accepted{ID: id, State: s.State})
	case errors.Is(err, errNoSuchJob):
		writeNoSuchJob(w)
	default:
		httpjson.WriteUnavailable(w, errUnconfirmed.Error())
	}
}

// relayCancellation has the leader cancel a job. The error is errNoSuchJob, or errNotLeading if no leader answers.
func (h *Handler) relayCancellation(ctx context.Context, id string) (wire.JobStatus, error) {
	resp, err := h.peers.Relay(ctx, peerrpc.Request{Verb: peerrpc.CancelJob, Job: id})
	switch {
	case err != nil:
		return wire.JobStatus{}, errNotLeading
	case resp.Status != http.StatusOK: // Relay passes 200 and 404 only
		return wire.JobStatus{}, errNoSuchJob
	}
	resp.Job.ID = id
	return resp.Job, nil
}

// cancel cancels a job if this member leads. The error is errNotLeading, errNoSuchJob, errUnconfirmed or errStatusUnknown.
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
		return wire.JobStatus{}, errUnconfirmed
	}
	// The leader learns of accepted jobs a moment late: one that is stored but unknown to it is asked for again.
	s, err := h.storedStatus(ctx, id, h.store)
	if err == nil && !s.State.Final() {
		err = errUnconfirmed
	}
	return s, err
}
