// Package workerapi is the HTTP handler for workers. It answers their heartbeats while this member leads, redirects them to
// the leader otherwise, and renews their leases without the leader when the leader is out of reach.
package workerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// LeaseAcquirer grants the right to renew a machine's lease on behalf of the leader, by way of the state service.
type LeaseAcquirer interface {
	// Acquire returns nil if this member may answer the machine now, workerlease.ErrNotRecorded otherwise.
	Acquire(ctx context.Context, machine string) error
}

// ZoneLease grants that right without the state service, for machines of this member's own zone.
type ZoneLease interface {
	// MayRenew reports whether this member may answer a machine of that zone now.
	MayRenew(machine, zone string) bool
	// Isolated reports that the state service does not answer this member either.
	Isolated() bool
}

// Options are what a Handler works with.
type Options struct {
	Member  string // the name of this member
	Workers config.Workers
	Clock   clockwork.Clock
	Elector *election.Elector
	Peers   *peers.Peers
	Leases  LeaseAcquirer
	Zone    ZoneLease
	// Leader returns the leader's loop while this member has the right to act, nil otherwise.
	Leader func() *leader.Loop
	// Fetch asks a worker for its heartbeat; nil: no worker is asked.
	Fetch FetchHeartbeat
	// MaxQueries is how many workers may be asked at a time.
	MaxQueries int
}

// Handler answers workers. It is safe for concurrent use.
type Handler struct {
	member    string
	clock     clockwork.Clock
	elector   *election.Elector
	peers     *peers.Peers
	leases    LeaseAcquirer
	zone      ZoneLease
	leader    func() *leader.Loop
	redirects redirects
	grace     electionGrace
	renewals  *renewals
}

// New makes the handler of a member.
func New(o Options) *Handler {
	lease := time.Duration(o.Workers.LeaseS * float64(time.Second))
	return &Handler{
		member:    o.Member,
		clock:     o.Clock,
		elector:   o.Elector,
		peers:     o.Peers,
		leases:    o.Leases,
		zone:      o.Zone,
		leader:    o.Leader,
		redirects: newRedirects(),
		grace:     electionGrace{length: graceLength(o.Workers)},
		renewals:  newRenewals(lease, o.MaxQueries, o.Fetch),
	}
}

// Why a heartbeat gets no reply from this member. The texts are those of the answers.
var (
	// errNotAnswered means that this member leads and may not answer now, or did not accept the heartbeat.
	errNotAnswered = errors.New("the report cannot be answered now")
	// errNobodyLeads means that no member is known to lead and that this one may not renew the worker's lease. The worker
	// tries the next controller.
	errNobodyLeads = errors.New("nobody leads")
)

// redirectError means that the worker is to try the leader.
type redirectError struct{ leader string }

// Error implements error.
func (e *redirectError) Error() string { return "the worker is to report to " + e.leader }

// ServeHeartbeat answers a worker's heartbeat: with a reply, with the name of the leader, or with 503 if the worker had better
// try the next controller.
func (h *Handler) ServeHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, tuning.MaxHeartbeat)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	hb, err := parseHeartbeat(body)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	reply, err := h.reply(r.Context(), body, hb)
	if err != nil {
		writeNoReply(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, reply)
}

// writeNoReply answers a worker that gets no reply here: with the name of the leader, or with 503.
func writeNoReply(w http.ResponseWriter, err error) {
	var redirect *redirectError
	if errors.As(err, &redirect) {
		httpjson.Write(w, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: redirect.leader})
		return
	}
	httpjson.WriteUnavailable(w, err.Error())
}

// AnswerRelayedHeartbeat answers a heartbeat that a follower relays to the leader: with 421 if this member does not lead, 503
// if the leader does not answer that heartbeat.
func (h *Handler) AnswerRelayedHeartbeat(ctx context.Context, body []byte) peerrpc.Response {
	hb, err := parseHeartbeat(body)
	if err != nil {
		return peerrpc.Response{Status: http.StatusBadRequest}
	}
	if h.leader() == nil {
		return peerrpc.Response{Status: http.StatusMisdirectedRequest}
	}
	reply, err := h.answerAsLeader(ctx, hb)
	if err != nil {
		return peerrpc.Response{Status: http.StatusServiceUnavailable}
	}
	out, err := json.Marshal(reply)
	if err != nil {
		return peerrpc.Response{Status: http.StatusInternalServerError}
	}
	return peerrpc.Response{Status: http.StatusOK, Payload: out}
}

// parseHeartbeat reads and checks a heartbeat.
func parseHeartbeat(body []byte) (*wire.Heartbeat, error) {
	var hb wire.Heartbeat
	if err := json.Unmarshal(body, &hb); err != nil {
		return nil, fmt.Errorf("malformed report: %w", err)
	}
	if err := hb.Check(); err != nil {
		return nil, err
	}
	return &hb, nil
}

// reply answers a heartbeat. A leader within its right replies with commands. A follower names the leader; a worker that has
// evidently lost the leader, or comes while the leader does not answer this member either, gets its lease renewed here instead.
func (h *Handler) reply(ctx context.Context, body []byte, hb *wire.Heartbeat) (wire.HeartbeatReply, error) {
	if h.leader() != nil {
		return h.answerAsLeader(ctx, hb)
	}
	name, term := h.elector.Holder()
	if name == "" || name == h.member {
		if reply, ok := h.renew(ctx, hb); ok {
			return reply, nil
		}
		return wire.HeartbeatReply{}, errNobodyLeads
	}
	if h.redirects.lostLeader(hb, term, h.clock.Now()) || h.peers.LeaderUnreachable(name) {
		return h.answerWithoutLeader(ctx, body, hb, name)
	}
	return wire.HeartbeatReply{}, &redirectError{name}
}

// answerAsLeader has the leader's loop answer a heartbeat. The error is errNotAnswered when this member may not answer it.
func (h *Handler) answerAsLeader(ctx context.Context, hb *wire.Heartbeat) (wire.HeartbeatReply, error) {
	l := h.leader()
	if l == nil {
		return wire.HeartbeatReply{}, errNotAnswered
	}
	term := l.Leadership().Term
	commands, err := l.Heartbeat(ctx, hb)
	// The right to act is checked again now that the reply is ready.
	if err != nil || !h.elector.Valid(term) {
		return wire.HeartbeatReply{}, errNotAnswered
	}
	if commands == nil {
		commands = []wire.Command{}
	}
	return wire.HeartbeatReply{FencingToken: term, Commands: commands}, nil
}
