// Package userapi is the HTTP handler for users: submissions, polls and cancellations.
package userapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// Handler answers users. It is safe for concurrent use.
type Handler struct {
	settings     *config.Settings
	clock        clockwork.Clock
	log          *slog.Logger
	store        *statestore.Client
	peers        *peers.Peers
	teams        map[string]config.Team
	finalStates  *jobs.FinalStates
	types        func() []wire.MachineType
	leader       func() *leader.Loop
	statusReader *statusReader
	memoryFull   func() bool // this process has no memory for more jobs; nil: it always has
	accounts     bool        // charges are kept: jobs may name an account
	isolated     func() bool // neither the state service nor any other member answers this one
}

// New makes the handler. current gives the leader's loop while this member has
// the right to act, nil otherwise; alone tells that neither the state service nor any other member answers
// this one; the rest is what that loop finds as well.
func New(env *leader.Env, p *peers.Peers, current func() *leader.Loop, alone func() bool) *Handler {
	d := &Handler{
		settings: env.Settings, clock: env.Clock, log: env.Log, store: env.Store, peers: p,
		teams: env.Teams, finalStates: env.FinalStates, types: env.Types, leader: current, memoryFull: env.MemoryFull, accounts: env.Accounts, isolated: alone,
	}
	d.statusReader = newStatusReader(d)
	return d
}

// ServeHealth answers the load balancer. The node can take requests once it
// knows the machine types. Whether the state service answers is not weighed by itself,
// since in its outages all nodes would leave the balance for minutes; but one that no other member
// answers either can serve nobody, and its users had better ask another.
func (d *Handler) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	if d.isolated() {
		httpjson.WriteUnavailable(w, "neither the state service nor any other controller answers")
		return
	}
	if d.types() == nil {
		httpjson.WriteUnavailable(w, "the machine types are not known yet")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeStatus answers a poll.
func (d *Handler) ServeStatus(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		httpjson.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	if d.refuseIfIsolated(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollWait)
	defer cancel()
	status, s := d.status(ctx, id, d.statusReader.read)
	switch status {
	case http.StatusOK:
		httpjson.Write(w, status, s)
	case http.StatusNotFound:
		httpjson.WriteError(w, status, "no such job")
	default:
		httpjson.WriteUnavailable(w, "the job's state cannot be read now")
	}
}

// refuseIfIsolated answers a user of a member that can serve nobody at once, and closes the connection: through the load balancer the
// user finds another, which an open connection keeps it from. Its polls otherwise failed here for as long as that lasts.
func (d *Handler) refuseIfIsolated(w http.ResponseWriter) bool {
	if !d.isolated() {
		return false
	}
	w.Header().Set("Connection", "close")
	httpjson.WriteUnavailable(w, "this controller is cut off from all others")
	return true
}

// read finds a job's state: 200, 404, or 503 when it cannot be told now. It
// comes from a final state, from the leader's memory within its right, or
// from a fresh read of the state service.
func (d *Handler) status(ctx context.Context, id string, read func(context.Context, string) (int, wire.JobStatus)) (int, wire.JobStatus) {
	if s, ok := d.statusInMemory(ctx, id); ok {
		return http.StatusOK, s
	}
	if d.leader() == nil {
		if resp, ok := d.peers.Relay(ctx, peerrpc.Request{Verb: peerrpc.JobStatus, Job: id}); ok {
			resp.Job.ID = id
			if resp.Status == http.StatusOK {
				d.rememberFinal(resp.Job)
			}
			return resp.Status, resp.Job
		}
	}
	return read(ctx, id)
}

// statusInMemory gives a job's state if this member may tell it without reading: a final state, which never changes, before what the
// leader's memory says within its right.
func (d *Handler) statusInMemory(ctx context.Context, id string) (wire.JobStatus, bool) {
	if s, ok := d.finalStates.Get(id); ok {
		return s, true
	}
	if l := d.leader(); l != nil {
		return l.Status(ctx, id)
	}
	return wire.JobStatus{}, false
}

func (d *Handler) rememberFinal(s wire.JobStatus) {
	if s.State.Final() {
		d.finalStates.Add(s)
	}
}

// storedStatus reads a job's state from the state service. The order matters:
// a job's record is dropped in the transaction that stores its end, so a job
// that has no record when it is read either ended before or was never accepted.
func (d *Handler) storedStatus(ctx context.Context, id string, store *statestore.Client) (int, wire.JobStatus) {
	item, live, err := store.Get(ctx, jobs.KeyJob(id))
	if err != nil {
		d.log.Debug("state unreadable", "job", id, "err", err)
		return http.StatusServiceUnavailable, wire.JobStatus{ID: id}
	}
	if live {
		return http.StatusOK, liveStatus(item)
	}
	return d.storedFinalStatus(ctx, id, d.store)
}

// storedFinalStatus reads the final state of a job that had no record a moment before.
func (d *Handler) storedFinalStatus(ctx context.Context, id string, store *statestore.Client) (int, wire.JobStatus) {
	s := wire.JobStatus{ID: id}
	end, live, err := store.Get(ctx, jobs.KeyFinalState(id))
	if err != nil {
		d.log.Debug("state unreadable", "job", id, "err", err)
		return http.StatusServiceUnavailable, s
	}
	if !live {
		return http.StatusNotFound, s
	}
	var e jobs.FinalState
	if err := json.Unmarshal(end.Value, &e); err != nil || !e.State.Final() {
		d.log.Error("end record is malformed", "job", id)
		return http.StatusServiceUnavailable, s
	}
	s = e.Status(id)
	d.rememberFinal(s)
	return http.StatusOK, s
}

// ServeCancel cancels a job. Only the leader writes that.
func (d *Handler) ServeCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		httpjson.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	if d.refuseIfIsolated(w) {
		return
	}
	status, s := d.cancel(r.Context(), id)
	if status < 0 {
		if resp, ok := d.peers.Relay(r.Context(), peerrpc.Request{Verb: peerrpc.CancelJob, Job: id}); ok {
			status, s = resp.Status, resp.Job
			s.ID = id
		}
	}
	switch {
	case status == http.StatusOK && s.State.Final():
		d.rememberFinal(s)
		httpjson.Write(w, status, wire.Accepted{ID: id, State: s.State})
	case status == http.StatusNotFound:
		httpjson.WriteError(w, status, "no such job")
	default:
		httpjson.WriteUnavailable(w, "the cancellation is not confirmed yet: tasks of the job may still run, or nobody can store it now; ask again")
	}
}

// cancel cancels a job if this member leads; the status is -1 if it does not.
func (d *Handler) cancel(ctx context.Context, id string) (int, wire.JobStatus) {
	if s, ok := d.finalStates.Get(id); ok {
		return http.StatusOK, s
	}
	l := d.leader()
	if l == nil {
		return -1, wire.JobStatus{}
	}
	state, known, err := l.Cancel(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, wire.JobStatus{}
	case known:
		return http.StatusOK, wire.JobStatus{ID: id, State: state}
	}
	// The leader learns of accepted jobs a moment late: one that is stored
	// but unknown to it is asked for again.
	status, s := d.storedStatus(ctx, id, d.store)
	if status == http.StatusOK && !s.State.Final() {
		status = http.StatusServiceUnavailable
	}
	return status, s
}

// AnswerRelayed answers a query or a cancellation that another member hands on to
// the leader.
func (d *Handler) AnswerRelayed(ctx context.Context, req peerrpc.Request) peerrpc.Response {
	if !wire.ValidJobID(req.Job) || d.leader() == nil {
		return peerrpc.Response{Status: http.StatusServiceUnavailable}
	}
	var status int
	var s wire.JobStatus
	switch req.Verb {
	case peerrpc.JobStatus:
		if known, ok := d.statusInMemory(ctx, req.Job); ok {
			return peerrpc.Response{Status: http.StatusOK, Job: known}
		}
		status, s = d.statusReader.read(ctx, req.Job)
	case peerrpc.CancelJob:
		status, s = d.cancel(ctx, req.Job)
	default:
		status = http.StatusBadRequest
	}
	if status < 0 {
		status = http.StatusServiceUnavailable
	}
	return peerrpc.Response{Status: status, Job: s}
}
