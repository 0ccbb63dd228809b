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

// How a relay to the leader can fail.
var (
	// errNamedNotLeading means that the member that is named as the leader says that it does not lead.
	errNamedNotLeading = errors.New("the member that is named does not lead")
	// errLeaderRefused means that the leader was reached and did not answer the heartbeat.
	errLeaderRefused = errors.New("the leader did not answer the report")
	// errLeaderUnreachable means that the leader cannot be reached from here.
	errLeaderUnreachable = errors.New("the leader cannot be reached")
)

// answerWithoutLeader answers a worker that cannot reach the leader: by a relay to the leader, or, when the leader cannot be
// reached from here either, by renewing the worker's lease without any commands. The error is a redirectError, or
// errNobodyLeads if the member that is named as the leader said that it does not lead.
func (h *Handler) answerWithoutLeader(ctx context.Context, body []byte, hb *wire.Heartbeat, lead string) (wire.HeartbeatReply, error) {
	redirect := &redirectError{lead}
	if !h.peers.Known(lead) {
		return wire.HeartbeatReply{}, redirect
	}
	reply, err := h.relay(ctx, body, lead)
	switch {
	case err == nil:
		return reply, nil
	case errors.Is(err, errNamedNotLeading):
		// It does not lead, though nothing better is known: it was started anew, and the leader key, which names its former
		// incarnation, cannot be read. Members sent the workers to it, and it redirected them again, until their leases expired.
		// A worker that was sent to a member that does not lead never came to the one of its own zone, so it is not redirected.
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

// relay has the leader answer a heartbeat through the peer transport. The error is one of those above, or that of a call that
// failed although the leader may be reachable.
func (h *Handler) relay(ctx context.Context, body []byte, lead string) (reply wire.HeartbeatReply, err error) {
	if h.peers.LeaderUnreachable(lead) {
		return reply, errLeaderUnreachable
	}
	resp, err := h.peers.Call(ctx, lead, peerrpc.Request{Verb: peerrpc.Heartbeat, Payload: body})
	switch {
	case err != nil && peers.Unanswered(err):
		return reply, errLeaderUnreachable
	case err != nil:
		return reply, err
	case resp.Status == http.StatusMisdirectedRequest:
		return reply, errNamedNotLeading
	case resp.Status != http.StatusOK || json.Unmarshal(resp.Payload, &reply) != nil:
		return reply, errLeaderRefused
	}
	return reply, nil
}

// mayTryLeader reports whether a worker that this member could not relay for, by the relay's error, may be sent to the leader.
// A partition between this member and the leader is probably one between the worker and the leader, too: with five controllers,
// two of which could be reached, a worker that was redirected took 30 s to come back, and its lease of 18 s had expired. If the
// state service does not answer this member either, it is this member that is cut off, and its zone's workers with it.
func (h *Handler) mayTryLeader(relayErr error) bool {
	if !errors.Is(relayErr, errLeaderUnreachable) {
		return true
	}
	return h.peers.MayTryLeader() && !h.zone.Isolated()
}

// renew replies to a worker without commands, so that its lease goes on: while the leader is out of reach, or between two
// leaders. The reply bears the worker's own fencing token: it claims no right that the worker does not know. A worker without
// tasks has nothing to lose. ok is false when this member may not renew the lease now.
func (h *Handler) renew(ctx context.Context, hb *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	if hb.FencingToken == 0 || len(hb.Tasks) == 0 || h.grace.active(h.clock.Now()) {
		return reply, false
	}
	if !h.renewals.allow(ctx, hb, h.clock.Now()) {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.FollowerLeaseWait)
	defer cancel()
	if !h.zone.MayRenew(hb.Machine, hb.Zone) {
		if err := h.leases.Acquire(ctx, hb.Machine); err != nil {
			return reply, false
		}
	}
	return wire.HeartbeatReply{FencingToken: hb.FencingToken, Commands: []wire.Command{}}, true
}
