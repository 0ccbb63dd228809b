package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// The errors of storeJob.
var (
	errJobKnown   = errors.New("the job is stored already, or over")
	errMemoryFull = errors.New("there is no memory for more jobs now; submit it again")
	errTooLong    = errors.New("the job's description is too long")
	errNotStored  = errors.New("the job could not be stored; submit it again")
)

// submit has this member store a job. If the job is not accepted, the answer holds the reason.
func (h *Handler) submit(ctx context.Context, body []byte) submitAnswer {
	job, err := h.parseSubmission(body)
	if err != nil {
		return refused(http.StatusBadRequest, httpjson.OneLine(err))
	}
	if s, ok := h.finalStates.Get(job.ID); ok {
		return accepted(http.StatusOK, s.ID, s.State)
	}
	machineTypes := h.machineTypes()
	if machineTypes == nil {
		return refused(http.StatusServiceUnavailable, "the machine types are not known yet")
	}
	reason := h.infeasible(job, machineTypes)
	if reason != "" {
		return h.answerKnownJob(ctx, job.ID, reason)
	}
	err = h.storeJob(ctx, job)
	switch {
	case err == nil:
		h.log.Debug("job stored; accepting it", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
		return accepted(http.StatusCreated, job.ID, wire.StateQueued)
	case errors.Is(err, errJobKnown):
		return h.answerKnownJob(ctx, job.ID, "")
	case errors.Is(err, errTooLong):
		return refused(http.StatusBadRequest, err.Error())
	}
	return refused(http.StatusServiceUnavailable, err.Error())
}

// parseSubmission decodes a job, including its account if charges are recorded.
func (h *Handler) parseSubmission(body []byte) (*wire.Job, error) {
	job, err := wire.ParseJob(body)
	if err != nil {
		return nil, err
	}
	if h.accountsEnabled {
		if err := job.ReadAccount(body); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// storeJob stores a job in one transaction, on the condition that neither its job record nor its final state is
// stored. The error is errJobKnown, errMemoryFull, errTooLong or errNotStored.
func (h *Handler) storeJob(ctx context.Context, job *wire.Job) error {
	if h.peers.LeaderMemoryFull() || h.memoryFull != nil && h.memoryFull() {
		return errMemoryFull
	}
	value, err := json.Marshal(jobs.JobRecord{Job: *job, AcceptedAtMS: h.clock.Now().UnixMilli()})
	if limit := int(h.settings.Cluster.State.MaxValueKiB * 1024); err != nil || len(value) > limit {
		return fmt.Errorf("%w: its record would have %d bytes; %d are allowed", errTooLong, len(value), limit)
	}
	_, err = h.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: jobs.KeyJob(job.ID)}, {Key: jobs.KeyFinalState(job.ID)}},
		Then: []wire.Change{{Put: jobs.KeyJob(job.ID), Value: value}},
	})
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return errJobKnown
	}
	h.log.Debug("submission not stored; telling the user to submit it again", "job", job.ID, "err", err)
	return errNotStored
}

// answerKnownJob answers a submission of a job that is stored or over, or that can never run for the given reason. A
// job that was accepted before must never be refused, even if it fits none of the present machine types. So a job
// that can never run is refused only once its absence is proven, and answered with 503 while its state cannot be
// read.
func (h *Handler) answerKnownJob(ctx context.Context, id, reason string) submitAnswer {
	s, err := h.status(ctx, id, func(ctx context.Context, id string) (wire.JobStatus, error) {
		return h.storedStatus(ctx, id, h.store)
	})
	switch {
	case err == nil:
		return accepted(http.StatusOK, s.ID, s.State)
	case errors.Is(err, errNoSuchJob) && reason != "":
		return refused(http.StatusUnprocessableEntity, reason)
	}
	return refused(http.StatusServiceUnavailable, errStatusUnknown.Error())
}
