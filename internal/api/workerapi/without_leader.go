package workerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Why a relay to the leader failed.
var (
	// errNotLeading means that the member that is named as the leader answers that it does not lead.
	errNotLeading = errors.New("the member that is named as the leader does not lead")
	// errLeaderRefused means that the leader was reached but did not answer the heartbeat.
	errLeaderRefused = errors.New("the leader did not answer the heartbeat")
	// errLeaderUnreachable means that the leader cannot be reached from this member.
	errLeaderUnreachable = errors.New("the leader cannot be reached")
)

// answerWithoutLeader answers a worker that cannot reach the leader. It relays the heartbeat to the leader or, if
// this member cannot reach the leader either, renews the worker's lease without commands. The error is a
// redirectError, or errNobodyLeads if the member that is named as the leader answered that it does not lead.
func (h *Handler) answerWithoutLeader(ctx context.Context, body []byte, hb *wire.Heartbeat, leaderName string) (wire.HeartbeatReply, error) {
	redirect := &redirectError{leaderName}
	if !h.peers.Known(leaderName) {
		return wire.HeartbeatReply{}, redirect
	}
	reply, err := h.relay(ctx, body, leaderName)
	switch {
	case err == nil:
		return reply, nil
	case errors.Is(err, errNotLeading):
		// The named member does not lead, but no other leader is known: the named member was restarted, and the leader
		// key, which names its earlier process, cannot be read. If members redirected workers to the named member, it
		// would redirect them again until their leases expire, and they would never reach the member of their own
		// zone. So the worker is not redirected here.
		if reply, ok := h.renew(ctx, hb); ok {
			return reply, nil
		}
		return wire.HeartbeatReply{}, errNobodyLeads
	case errors.Is(err, errLeaderRefused):
		return wire.HeartbeatReply{}, redirect
	}
	if h.mayTryLeader(err) && h.redirects.retryLeader(hb.Machine, h.clock.Now()) {
		return wire.HeartbeatReply{}, redirect
	}
	if reply, ok := h.renew(ctx, hb); ok {
		return reply, nil
	}
	return wire.HeartbeatReply{}, redirect
}

// relay has the leader answer a heartbeat through the peer transport. The error is errNotLeading,
// errLeaderRefused or errLeaderUnreachable, or that of a failed call if the leader may still be reachable.
func (h *Handler) relay(ctx context.Context, body []byte, leaderName string) (reply wire.HeartbeatReply, err error) {
	if h.peers.LeaderUnreachable(leaderName) {
		return reply, errLeaderUnreachable
	}
	resp, err := h.peers.Call(ctx, leaderName, peerrpc.Request{Verb: peerrpc.Heartbeat, Payload: body})
	switch {
	case err != nil && peers.Unanswered(err):
		return reply, errLeaderUnreachable
	case err != nil:
		return reply, err
	case resp.Status == http.StatusMisdirectedRequest:
		return reply, errNotLeading
	case resp.Status != http.StatusOK || json.Unmarshal(resp.Payload, &reply) != nil:
		return reply, errLeaderRefused
	}
	return reply, nil
}

// mayTryLeader reports whether a worker whose heartbeat could not be relayed, because of relayErr, may be
// redirected to the leader. A partition between this member and the leader probably separates the worker from the
// leader, too. A worker that is redirected in vain may return only after its lease has expired: with five
// controllers, of which the worker can reach two, it returns after 30 s, and its lease lasts 18 s. If the state
// service does not answer this member either, this member is the one that is cut off, and the workers of its zone
// with it.
func (h *Handler) mayTryLeader(relayErr error) bool {
	if !errors.Is(relayErr, errLeaderUnreachable) {
		return true
	}
	return h.peers.MayTryLeader() && !h.zoneLease.Isolated()
}

// renew replies to a worker without commands, so that its lease is renewed while the leader is out of reach or
// between two leaders. The reply repeats the worker's own fencing token, so it claims no term that the worker does
// not already know. A worker without tasks gets no renewal: it has nothing to lose. ok is false if this member may
// not renew the lease now.
func (h *Handler) renew(ctx context.Context, hb *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	if hb.FencingToken == 0 || len(hb.Tasks) == 0 || h.grace.active(h.clock.Now()) {
		return reply, false
	}
	if !h.renewals.allow(ctx, hb, h.clock.Now()) {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.FollowerLeaseTimeout)
	defer cancel()
	if !h.zoneLease.TryRenew(hb.Machine, hb.Zone) {
		if err := h.leases.Acquire(ctx, hb.Machine); err != nil {
			return reply, false
		}
	}
	return wire.HeartbeatReply{FencingToken: hb.FencingToken, Commands: []wire.Command{}}, true
}
