// Package workerapi is the HTTP handler for workers. It answers their heartbeats while this member leads and
// redirects them to the leader otherwise. When the leader is out of reach, it renews the workers' leases without
// the leader.
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

// LeaseAcquirer permits renewals of a machine's lease on behalf of the leader. It records the machine in the state
// service first.
type LeaseAcquirer interface {
	// Acquire returns nil if this member may answer the machine now, workerlease.ErrNotRecorded otherwise.
	Acquire(ctx context.Context, machine string) error
}

// ZoneLease permits renewals on behalf of the leader without the state service, for machines of this member's own
// zone.
type ZoneLease interface {
	// TryRenew reports whether this member may answer a machine of a zone now. If so, it notes the machine as answered.
	TryRenew(machine, zone string) bool
	// Isolated reports whether the state service has not answered this member for a while.
	Isolated() bool
}

// Options are the dependencies and settings of a Handler.
type Options struct {
	Member    string // the name of this member
	Workers   config.Workers
	Clock     clockwork.Clock
	Elector   *election.Elector
	Peers     *peers.Peers
	Leases    LeaseAcquirer
	ZoneLease ZoneLease
	// Leader returns the leader's loop while this member may act as the leader, nil otherwise.
	Leader func() *leader.Loop
	// FetchHeartbeat asks a worker for its heartbeat; nil: workers are not queried.
	FetchHeartbeat FetchHeartbeat
	// MaxQueries is how many workers may be queried at a time.
	MaxQueries int
}

// Handler answers workers. It is safe for concurrent use.
type Handler struct {
	member    string
	clock     clockwork.Clock
	elector   *election.Elector
	peers     *peers.Peers
	leases    LeaseAcquirer
	zoneLease ZoneLease
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
		zoneLease: o.ZoneLease,
		leader:    o.Leader,
		redirects: newRedirects(),
		grace:     electionGrace{length: graceLength(o.Workers)},
		renewals:  newRenewals(lease, o.MaxQueries, o.FetchHeartbeat),
	}
}

// Why a heartbeat gets no reply from this member. The HTTP answers contain these texts.
var (
	// errNotAnswered means that this member leads but may not answer now or did not accept the heartbeat.
	errNotAnswered = errors.New("the report cannot be answered now")
	// errNobodyLeads means that no member is known to lead and that this one may not renew the worker's lease.
	// The worker tries the next controller.
	errNobodyLeads = errors.New("nobody leads")
)

// redirectError means that the worker is to report to the leader.
type redirectError struct{ leader string }

// Error implements error.
func (e *redirectError) Error() string { return "the worker is to report to " + e.leader }

// ServeHeartbeat answers a worker's heartbeat: with a reply, with the name of the leader, or with 503 if the worker
// should try the next controller.
func (h *Handler) ServeHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, tuning.MaxHeartbeatBytes)
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
		writeRedirectOrUnavailable(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, reply)
}

// writeRedirectOrUnavailable answers a heartbeat that gets no reply here: with the name of the leader, or with 503.
func writeRedirectOrUnavailable(w http.ResponseWriter, err error) {
	var redirect *redirectError
	if errors.As(err, &redirect) {
		httpjson.Write(w, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: redirect.leader})
		return
	}
	httpjson.WriteUnavailable(w, err.Error())
}

// AnswerRelayedHeartbeat answers a heartbeat that a follower relays to the leader. The status is 421 if this member
// does not lead, and 503 if it leads but does not answer the heartbeat.
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

// parseHeartbeat decodes and checks a heartbeat.
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

// reply answers a heartbeat. A leader that may act replies with commands. A follower names the leader. If the
// worker evidently cannot reach the leader, or the leader does not answer this member, the follower relays the
// heartbeat or renews the worker's lease without commands. It also renews the lease if no member is known to lead.
func (h *Handler) reply(ctx context.Context, body []byte, hb *wire.Heartbeat) (wire.HeartbeatReply, error) {
	if h.leader() != nil {
		return h.answerAsLeader(ctx, hb)
	}
	leaderName, term := h.elector.LeaderAndTerm()
	if leaderName == "" || leaderName == h.member {
		if reply, ok := h.renew(ctx, hb); ok {
			return reply, nil
		}
		return wire.HeartbeatReply{}, errNobodyLeads
	}
	if h.redirects.lostLeader(hb, term, h.clock.Now()) || h.peers.LeaderUnreachable(leaderName) {
		return h.answerWithoutLeader(ctx, body, hb, leaderName)
	}
	return wire.HeartbeatReply{}, &redirectError{leaderName}
}

// answerAsLeader has the leader's loop answer a heartbeat. The error is errNotAnswered if this member may not
// answer it or the loop does not accept it.
func (h *Handler) answerAsLeader(ctx context.Context, hb *wire.Heartbeat) (wire.HeartbeatReply, error) {
	loop := h.leader()
	if loop == nil {
		return wire.HeartbeatReply{}, errNotAnswered
	}
	reply, err := loop.Heartbeat(ctx, hb)
	// The term may have become invalid while the loop prepared the reply, so its validity is checked again.
	if err != nil || !h.elector.MayAct(loop.Leadership().Term) {
		return wire.HeartbeatReply{}, errNotAnswered
	}
	return reply, nil
}
