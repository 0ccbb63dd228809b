package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// The errors of a request for a job's state.
var (
	// errNoSuchJob means that the job is known never to have been accepted.
	errNoSuchJob = errors.New("no such job")
	// errStatusUnknown means that the state cannot be read now; the job may exist.
	errStatusUnknown = errors.New("the job's state cannot be read now")
)

// statusCode returns the HTTP status for the outcome of a request: only a proven absence of the job is a 404.
func statusCode(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, errNoSuchJob):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// statusReadFunc reads a job's state from the state service. Its error is errNoSuchJob or errStatusUnknown.
type statusReadFunc func(ctx context.Context, id string) (wire.JobStatus, error)

// ServeStatus answers a poll of a job's state.
func (h *Handler) ServeStatus(w http.ResponseWriter, r *http.Request) {
	id, ok := h.requestedJob(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollTimeout)
	defer cancel()
	s, err := h.status(ctx, id, h.statusReader.read)
	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, s)
	case errors.Is(err, errNoSuchJob):
		writeNoSuchJob(w)
	default:
		httpjson.WriteUnavailable(w, errStatusUnknown.Error())
	}
}

// status returns a job's state from the first of these sources that has an answer: a remembered final state; the
// memory of this member, if it may act as the leader, or else the other member that leads; a new read of the state
// service. The error is errNoSuchJob or errStatusUnknown.
func (h *Handler) status(ctx context.Context, id string, read statusReadFunc) (wire.JobStatus, error) {
	if s, err := h.statusInMemory(ctx, id); err == nil {
		return s, nil
	}
	if h.leader() == nil {
		if resp, err := h.peers.Relay(ctx, peerrpc.Request{Verb: peerrpc.JobStatus, Job: id}); err == nil {
			return h.relayedStatus(id, resp)
		}
	}
	return read(ctx, id)
}

// relayedStatus returns a job's state from the leader's response to Peers.Relay, whose status is 200 or 404.
func (h *Handler) relayedStatus(id string, resp peerrpc.Response) (wire.JobStatus, error) {
	if resp.Status != http.StatusOK {
		return wire.JobStatus{}, errNoSuchJob
	}
	s := resp.Job
	s.ID = id
	h.rememberFinal(s)
	return s, nil
}

// statusInMemory returns a job's state if this member may report it without reading the state service: a remembered
// final state, which never changes, or else the state in the leader's memory, if this member may act as the leader.
// The error is errNotLeading or that of leader.Loop.Status.
func (h *Handler) statusInMemory(ctx context.Context, id string) (wire.JobStatus, error) {
	if s, ok := h.finalStates.Get(id); ok {
		return s, nil
	}
	l := h.leader()
	if l == nil {
		return wire.JobStatus{}, errNotLeading
	}
	return l.Status(ctx, id)
}

// rememberFinal stores a status in the cache of final states if it is final.
func (h *Handler) rememberFinal(s wire.JobStatus) {
	if s.State.Final() {
		h.finalStates.Add(s)
	}
}

// storedStatus reads a job's state from the state service: first its job record, then its final state. The order
// matters. The job record is deleted in the transaction that stores the final state, so a job without a job record
// has either ended before that read, and its final state is stored, or was never accepted. The error is errNoSuchJob
// or errStatusUnknown.
func (h *Handler) storedStatus(ctx context.Context, id string, store *statestore.Client) (wire.JobStatus, error) {
	item, live, err := store.Get(ctx, jobs.KeyJob(id))
	if err != nil {
		h.log.Debug("job record not read; the job's state stays unknown", "job", id, "err", err)
		return wire.JobStatus{}, errStatusUnknown
	}
	if live {
		return liveStatus(item), nil
	}
	return h.storedFinalStatus(ctx, id, h.store)
}

// storedFinalStatus reads the final state of a job. The caller must have found before that the job has no job record:
// only then a missing final state proves that the job was never accepted. The error is errNoSuchJob or
// errStatusUnknown.
func (h *Handler) storedFinalStatus(ctx context.Context, id string, store *statestore.Client) (wire.JobStatus, error) {
	item, found, err := store.Get(ctx, jobs.KeyFinalState(id))
	if err != nil {
		h.log.Debug("final state not read; the job's state stays unknown", "job", id, "err", err)
		return wire.JobStatus{}, errStatusUnknown
	}
	if !found {
		return wire.JobStatus{}, errNoSuchJob
	}
	var final jobs.FinalState
	if err := json.Unmarshal(item.Value, &final); err != nil || !final.State.Final() {
		h.log.Error("stored final state is malformed; the job's state stays unknown", "job", id)
		return wire.JobStatus{}, errStatusUnknown
	}
	s := final.Status(id)
	h.rememberFinal(s)
	return s, nil
}

// liveStatus returns the status that a job record shows to the user: cancelled if the record says so, queued
// otherwise. The record does not say whether tasks run.
func liveStatus(item wire.Item) wire.JobStatus {
	s := wire.JobStatus{ID: item.Key[len(jobs.PrefixJob):], State: wire.StateQueued}
	var rec jobs.JobRecord
	if err := json.Unmarshal(item.Value, &rec); err == nil && rec.Cancelled {
		s.State = wire.StateCancelled
	}
	return s
}
