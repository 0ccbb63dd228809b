package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"poppypass/internal/fleet"
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

// serveSubmit accepts a job: it is accepted once it is stored. Any member may
// store it, so that accepting goes on while nobody leads.
func (c *Controller) serveSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, wire.MaxBody)
	if err != nil {
		fail(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	begun := c.clock.Now()
	// One deadline covers all that is tried, however many members there are.
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTotal)
	defer cancel()
	status, a, text := c.accept(ctx, body)
	c.log.Debug("submission answered", "status", status, "job", a.ID, "took_ms", c.clock.Since(begun).Milliseconds())
	if status >= http.StatusBadRequest {
		fail(w, status, text)
		return
	}
	httpjson.Write(w, status, a)
}

// accept has this member store a submission and, when that fails or takes
// long, another one: the state service may refuse this member alone or not
// answer it, or its share of the limits is used up. Whoever is second finds the
// job stored.
func (c *Controller) accept(ctx context.Context, body []byte) (int, wire.Accepted, string) {
	type answer struct {
		status int
		a      wire.Accepted
		text   string
	}
	own, peer := make(chan answer, 1), make(chan answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.SubmitWait)
		defer cancel()
		status, a, text := c.submit(ctx, body)
		own <- answer{status, a, text}
	}()
	var first answer
	waiting := 1
	ask := func() {
		waiting++
		go func() {
			status, a, text, ok := c.relaySubmission(ctx, body)
			if !ok {
				status = http.StatusServiceUnavailable
			}
			peer <- answer{status, a, text}
		}()
	}
	var late <-chan time.Time // never, for a single controller
	if len(c.endpoint) > 0 {
		timer := c.clock.NewTimer(tuning.SubmitHedge)
		defer timer.Stop()
		late = timer.Chan()
	}
	for asked := false; waiting > 0; {
		var got answer
		select {
		case <-late:
			late, asked = nil, true
			ask()
			continue
		case got = <-own:
			first = got
			if got.status == http.StatusServiceUnavailable && !asked && len(c.endpoint) > 0 {
				late, asked = nil, true
				ask()
			}
		case got = <-peer:
		}
		waiting--
		if got.status != http.StatusServiceUnavailable {
			return got.status, got.a, got.text
		}
	}
	return first.status, first.a, first.text
}

// submit accepts a job here, or says why it is not accepted.
func (c *Controller) submit(ctx context.Context, body []byte) (status int, a wire.Accepted, text string) {
	job, err := wire.ParseJob(body)
	if err != nil {
		return http.StatusBadRequest, a, httpjson.OneLine(err)
	}
	if s, ok := c.finals.get(job.ID); ok {
		return http.StatusOK, wire.Accepted{ID: s.ID, State: s.State}, ""
	}
	types := c.machineTypes()
	if types == nil {
		return http.StatusServiceUnavailable, a, "the machine types are not known yet"
	}
	reason := c.impossible(job, types)
	if reason == "" {
		value, err := json.Marshal(jobs.Record{Job: *job, AtMS: c.clock.Now().UnixMilli()})
		if err != nil || float64(len(value)) > c.settings.Cluster.State.ValueKB*1024 {
			return http.StatusBadRequest, a, "the job's description is too long"
		}
		_, err = c.store.Commit(ctx, wire.Txn{
			If:   []wire.Condition{{Key: jobs.KeyJob(job.ID)}, {Key: jobs.KeyEnd(job.ID)}},
			Then: []wire.Change{{Put: jobs.KeyJob(job.ID), Value: value}},
		})
		if err == nil {
			c.log.Debug("accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
			return http.StatusCreated, wire.Accepted{ID: job.ID, State: wire.StateQueued}, ""
		}
		var conflict *statestore.Conflict
		if !errors.As(err, &conflict) {
			c.log.Debug("submission not stored", "job", job.ID, "err", err)
			return http.StatusServiceUnavailable, a, "the job could not be stored; submit it again"
		}
	}
	// The job is known, or can never run. A job that was accepted before must
	// never be refused, whatever the machine types are by now.
	status, s := c.status(ctx, job.ID, func(ctx context.Context, id string) (int, wire.JobStatus) {
		return c.storedStatus(ctx, id, c.store)
	})
	switch {
	case status == http.StatusOK:
		return status, wire.Accepted{ID: s.ID, State: s.State}, ""
	case status == http.StatusNotFound && reason != "":
		return http.StatusUnprocessableEntity, a, reason
	}
	return http.StatusServiceUnavailable, a, "the job's state cannot be read now"
}

// relaySubmission has another member accept a submission, the leader first.
func (c *Controller) relaySubmission(ctx context.Context, body []byte) (status int, a wire.Accepted, text string, ok bool) {
	leader := c.elector.Leader()
	for _, name := range slices.SortedFunc(maps.Keys(c.endpoint), func(x, y string) int {
		return cmp.Or(cmp.Compare(btoi(y == leader), btoi(x == leader)), cmp.Compare(x, y))
	}) {
		if ctx.Err() != nil {
			break
		}
		r, err := c.peers.Call(ctx, c.endpoint[name], mesh.Request{Verb: mesh.Submit, Payload: body})
		if err == nil && r.Status != http.StatusServiceUnavailable {
			job, err := wire.ParseJob(body)
			if err != nil {
				return 0, a, "", false
			}
			return r.Status, wire.Accepted{ID: job.ID, State: r.Job.State}, string(r.Payload), true
		}
	}
	return 0, a, "", false
}

// serveRelayedReport answers a report that a follower hands on.
func (c *Controller) serveRelayedReport(ctx context.Context, body []byte) mesh.Response {
	var rep wire.Report
	if json.Unmarshal(body, &rep) != nil || rep.Check() != nil {
		return mesh.Response{Status: http.StatusBadRequest}
	}
	a, ok := c.answerReport(ctx, &rep)
	if !ok {
		return mesh.Response{Status: http.StatusServiceUnavailable}
	}
	out, err := json.Marshal(a)
	if err != nil {
		return mesh.Response{Status: http.StatusInternalServerError}
	}
	return mesh.Response{Status: http.StatusOK, Payload: out}
}

// impossible says why a job can never run, or nothing.
func (c *Controller) impossible(j *wire.Job, types []wire.MachineType) string {
	team, ok := c.teams[j.Team]
	if !ok {
		return "the team is unknown"
	}
	n := 1.0
	if j.Kind == wire.KindService {
		n = float64(j.Tasks)
	}
	const slack = 1e-9
	switch {
	case n*j.CPUs > team.CPUsMax+slack || n*j.GPUs > team.GPUsMax+slack:
		return "the job needs more than its team's limit"
	case !fleet.Fits(j, types):
		return "a task fits no allowed machine type"
	}
	return ""
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

// servePeer answers another member.
func (c *Controller) servePeer(ctx context.Context, req mesh.Request) mesh.Response {
	ctx, cancel := context.WithTimeout(ctx, tuning.RelayTimeout)
	defer cancel()
	switch req.Verb {
	case mesh.Promise:
		return c.servePromise(ctx, req.Number)
	case mesh.Vouch:
		return yesOrNo(c.elector.Vouch(req.Number))
	case mesh.Yield:
		return yesOrNo(c.store.Urgent().Revoke(ctx, req.Number) == nil)
	case mesh.Ping:
		return c.servePing()
	case mesh.NotLeading:
		return yesOrNo(c.elector.NotLeading())
	case mesh.Report:
		return c.serveRelayedReport(ctx, req.Payload)
	case mesh.Submit:
		status, a, text := c.submit(ctx, req.Payload)
		return mesh.Response{Status: status, Job: wire.JobStatus{State: a.State}, Payload: []byte(text)}
	}
	if !wire.ValidJobID(req.Job) || c.leader() == nil {
		return mesh.Response{Status: http.StatusServiceUnavailable}
	}
	var status int
	var s wire.JobStatus
	switch req.Verb {
	case mesh.Query:
		if l := c.leader(); l != nil {
			var ok bool
			if s, ok = l.status(ctx, req.Job); ok {
				return mesh.Response{Status: http.StatusOK, Job: s}
			}
		}
		if f, ok := c.finals.get(req.Job); ok {
			return mesh.Response{Status: http.StatusOK, Job: f}
		}
		status, s = c.polls.status(ctx, req.Job)
	case mesh.Cancel:
		status, s = c.cancel(ctx, req.Job)
	default:
		status = http.StatusBadRequest
	}
	if status < 0 {
		status = http.StatusServiceUnavailable
	}
	return mesh.Response{Status: status, Job: s}
}
