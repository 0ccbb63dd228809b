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

// Why a job's state is not known.
var (
	// errNoSuchJob means that the job was never accepted.
	errNoSuchJob = errors.New("no such job")
	// errStatusUnknown means that the state cannot be read now.
	errStatusUnknown = errors.New("the job's state cannot be read now")
)

// statusCode is the HTTP status that tells an outcome.
func statusCode(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, errNoSuchJob):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// readStatus reads a job's state from the state service. The error is errNoSuchJob or errStatusUnknown.
type readStatus func(ctx context.Context, id string) (wire.JobStatus, error)

// ServeStatus answers a poll of a job's state.
func (h *Handler) ServeStatus(w http.ResponseWriter, r *http.Request) {
	id, ok := h.requestedJob(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollWait)
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

// status finds a job's state. It comes from a final state, from the leader's memory within its right, or from a fresh read of
// the state service. The error is errNoSuchJob or errStatusUnknown.
func (h *Handler) status(ctx context.Context, id string, read readStatus) (wire.JobStatus, error) {
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

// relayedStatus is what the leader told of a job; Peers.Relay passes 200 and 404 only.
func (h *Handler) relayedStatus(id string, resp peerrpc.Response) (wire.JobStatus, error) {
	if resp.Status != http.StatusOK {
		return wire.JobStatus{}, errNoSuchJob
	}
	s := resp.Job
	s.ID = id
	h.rememberFinal(s)
	return s, nil
}

// statusInMemory returns a job's state if this member may tell it without reading: a final state, which never changes, before
// what the leader's memory says within its right. The error is errNotLeading or that of leader.Loop.Status.
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

func (h *Handler) rememberFinal(s wire.JobStatus) {
	if s.State.Final() {
		h.finalStates.Add(s)
	}
}

// storedStatus reads a job's state from the state service. The order matters: a job's record is dropped in the transaction that
// stores its end, so a job that has no record when it is read either ended before or was never accepted.
func (h *Handler) storedStatus(ctx context.Context, id string, store *statestore.Client) (wire.JobStatus, error) {
	item, live, err := store.Get(ctx, jobs.KeyJob(id))
	if err != nil {
		h.log.Debug("state unreadable", "job", id, "err", err)
		return wire.JobStatus{}, errStatusUnknown
	}
	if live {
		return liveStatus(item), nil
	}
	return h.storedFinalStatus(ctx, id, h.store)
}

// storedFinalStatus reads the final state of a job that had no record a moment before.
func (h *Handler) storedFinalStatus(ctx context.Context, id string, store *statestore.Client) (wire.JobStatus, error) {
	item, found, err := store.Get(ctx, jobs.KeyFinalState(id))
	if err != nil {
		h.log.Debug("state unreadable", "job", id, "err", err)
		return wire.JobStatus{}, errStatusUnknown
	}
	if !found {
		return wire.JobStatus{}, errNoSuchJob
	}
	var final jobs.FinalState
	if err := json.Unmarshal(item.Value, &final); err != nil || !final.State.Final() {
		h.log.Error("end record is malformed", "job", id)
		return wire.JobStatus{}, errStatusUnknown
	}
	s := final.Status(id)
	h.rememberFinal(s)
	return s, nil
}

// liveStatus is what a stored job's record tells its user.
func liveStatus(item wire.Item) wire.JobStatus {
	s := wire.JobStatus{ID: item.Key[len(jobs.PrefixJob):], State: wire.StateQueued}
	var rec jobs.JobRecord
	if err := json.Unmarshal(item.Value, &rec); err == nil && rec.Cancelled {
		s.State = wire.StateCancelled
	}
	return s
}
