package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"poppypass/internal/httpjson"
	"poppypass/internal/jobs"
	"poppypass/internal/mesh"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

func fail(w http.ResponseWriter, status int, text string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	}
	httpjson.Write(w, status, wire.Error{Error: text})
}

func unavailable(w http.ResponseWriter, text string) { fail(w, http.StatusServiceUnavailable, text) }

// serveHealth answers the load balancer. The node can take requests once it
// knows the machine types; whether the state service answers is not weighed,
// since in its outages all nodes would leave the balance for minutes.
func (c *Controller) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if c.machineTypes() == nil {
		unavailable(w, "the machine types are not known yet")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveGet answers a poll.
func (c *Controller) serveGet(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		fail(w, http.StatusNotFound, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollWait)
	defer cancel()
	status, s := c.status(ctx, id, c.polls.status)
	switch status {
	case http.StatusOK:
		httpjson.Write(w, status, s)
	case http.StatusNotFound:
		fail(w, status, "no such job")
	default:
		unavailable(w, "the job's state cannot be read now")
	}
}

// status finds a job's state: 200, 404, or 503 when it cannot be told now. It
// comes from a final state, from the leader's memory within its right, or
// from a fresh read of the state service.
func (c *Controller) status(ctx context.Context, id string, read func(context.Context, string) (int, wire.JobStatus)) (int, wire.JobStatus) {
	if s, ok := c.finals.get(id); ok {
		return http.StatusOK, s
	}
	if l := c.leader(); l != nil {
		if s, ok := l.status(ctx, id); ok {
			return http.StatusOK, s
		}
	} else if resp, ok := c.relay(ctx, mesh.Request{Verb: mesh.Query, Job: id}); ok {
		resp.Job.ID = id
		if resp.Status == http.StatusOK {
			c.learn(resp.Job)
		}
		return resp.Status, resp.Job
	}
	return read(ctx, id)
}

func (c *Controller) learn(s wire.JobStatus) {
	if s.State.Final() {
		c.finals.add(s)
	}
}

// storedStatus reads a job's state from the state service. The order matters:
// a job's record is dropped in the transaction that stores its end, so a job
// that has no record when it is read either ended before or was never accepted.
func (c *Controller) storedStatus(ctx context.Context, id string, store *statestore.Client) (int, wire.JobStatus) {
	item, live, err := store.Get(ctx, jobs.KeyJob(id))
	if err != nil {
		c.log.Debug("state unreadable", "job", id, "err", err)
		return http.StatusServiceUnavailable, wire.JobStatus{ID: id}
	}
	if live {
		return http.StatusOK, liveStatus(item)
	}
	return c.endStatus(ctx, id, c.store)
}

// endStatus reads the final state of a job that had no record a moment before.
func (c *Controller) endStatus(ctx context.Context, id string, store *statestore.Client) (int, wire.JobStatus) {
	s := wire.JobStatus{ID: id}
	end, live, err := store.Get(ctx, jobs.KeyEnd(id))
	if err != nil {
		c.log.Debug("state unreadable", "job", id, "err", err)
		return http.StatusServiceUnavailable, s
	}
	if !live {
		return http.StatusNotFound, s
	}
	var e jobs.End
	if err := json.Unmarshal(end.Value, &e); err != nil || !e.State.Final() {
		c.log.Error("end record is malformed", "job", id)
		return http.StatusServiceUnavailable, s
	}
	s = e.Status(id)
	c.learn(s)
	return http.StatusOK, s
}

// relay asks the leader; ok is false when it gives no usable answer.
func (c *Controller) relay(ctx context.Context, req mesh.Request) (mesh.Response, bool) {
	addr := c.endpoint[c.elector.Leader()]
	if addr == "" {
		return mesh.Response{}, false
	}
	resp, err := c.peers.Call(ctx, addr, req)
	if err != nil {
		c.log.Debug("relay", "job", req.Job, "err", err)
		return resp, false
	}
	return resp, resp.Status == http.StatusOK || resp.Status == http.StatusNotFound
}

// serveCancel cancels a job. Only the leader writes that.
func (c *Controller) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		fail(w, http.StatusNotFound, "no such job")
		return
	}
	status, s := c.cancel(r.Context(), id)
	if status < 0 {
		if resp, ok := c.relay(r.Context(), mesh.Request{Verb: mesh.Cancel, Job: id}); ok {
			status, s = resp.Status, resp.Job
			s.ID = id
		}
	}
	switch {
	case status == http.StatusOK && s.State.Final():
		c.learn(s)
		httpjson.Write(w, status, wire.Accepted{ID: id, State: s.State})
	case status == http.StatusNotFound:
		fail(w, status, "no such job")
	default:
		unavailable(w, "the job cannot be cancelled now; ask again")
	}
}

// cancel cancels a job if this member leads; the status is -1 if it does not.
func (c *Controller) cancel(ctx context.Context, id string) (int, wire.JobStatus) {
	if s, ok := c.finals.get(id); ok {
		return http.StatusOK, s
	}
	l := c.leader()
	if l == nil {
		return -1, wire.JobStatus{}
	}
	state, known, err := l.cancel(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, wire.JobStatus{}
	case known:
		return http.StatusOK, wire.JobStatus{ID: id, State: state}
	}
	// The leader learns of accepted jobs a moment late: one that is stored
	// but unknown to it is asked for again.
	status, s := c.storedStatus(ctx, id, c.store)
	if status == http.StatusOK && !s.State.Final() {
		status = http.StatusServiceUnavailable
	}
	return status, s
}
