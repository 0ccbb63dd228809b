package controller

import (
	"context"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// servePeer answers another member's request.
func (c *Controller) servePeer(ctx context.Context, req peerrpc.Request) peerrpc.Response {
	wait := tuning.RelayTimeout
	if req.Verb == peerrpc.SubsystemCommand {
		wait = tuning.CommandWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	switch req.Verb {
	case peerrpc.RequestVote:
		return peers.VoteResponse(c.elector.Vote(ctx, req.Number))
	case peerrpc.ConfirmTermOver:
		return okOrConflict(c.elector.ConfirmTermOver(req.Number))
	case peerrpc.EndLease:
		return okOrConflict(c.store.Urgent().RevokeLease(ctx, req.Number) == nil)
	case peerrpc.Ping:
		return c.servePing(req)
	case peerrpc.NotLeading:
		return okOrConflict(c.elector.NotLeading())
	case peerrpc.MayHaveRenewed:
		return c.serveMayHaveRenewed(req.Names)
	case peerrpc.ProbeWorkers:
		return okOrConflict(c.reachesAny(ctx, req.Names))
	case peerrpc.Heartbeat:
		return c.workerAPI.AnswerRelayedHeartbeat(ctx, req.Payload)
	case peerrpc.SubsystemQuery:
		return c.userAPI.AnswerRelayedQuery(ctx, string(req.Payload))
	case peerrpc.SubsystemCommand:
		return c.userAPI.AnswerRelayedCommand(ctx, req.Payload)
	case peerrpc.SubmitJob:
		return c.userAPI.AnswerRelayedSubmission(ctx, req.Payload)
	}
	return c.userAPI.AnswerRelayed(ctx, req)
}

// fetchHeartbeat asks a worker for its heartbeat; ok is false when it gives none that is well-formed.
func (c *Controller) fetchHeartbeat(ctx context.Context, addr string) (hb wire.Heartbeat, ok bool) {
	status, err := httpjson.Call(ctx, c.env.Workers, http.MethodGet, "http://"+addr+wire.PathWorkerHeartbeat, nil, httpjson.IfOK(&hb))
	return hb, err == nil && status == http.StatusOK && hb.Check() == nil
}

// reachesAny reports whether one of some workers, by their addresses, answers this member. It returns with the first that does;
// the other calls end with ctx.
func (c *Controller) reachesAny(ctx context.Context, addrs []string) bool {
	answers := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() {
			_, ok := c.fetchHeartbeat(ctx, addr)
			answers <- ok
		}()
	}
	for range addrs {
		if <-answers {
			return true
		}
	}
	return false
}

// serveMayHaveRenewed tells a leader which machines this member may have answered by its zone lease.
func (c *Controller) serveMayHaveRenewed(names []string) peerrpc.Response {
	renewed, err := c.zoneLease.MayHaveRenewed(names)
	r := okOrConflict(err == nil)
	r.Names = renewed
	return r
}

// servePing answers a ping, and says whether this member has no memory for more jobs (507) and what it remembers of the other's
// claim to its zone lease. Members of earlier versions send no name.
func (c *Controller) servePing(req peerrpc.Request) peerrpc.Response {
	name, term := c.elector.Holder()
	status := http.StatusOK
	if c.env.MemoryFull() {
		status = http.StatusInsufficientStorage
	}
	return peerrpc.Response{Status: status, Leader: name, Term: term, Payload: c.peers.ExchangeClaim(req.Job, req.Payload)}
}

// okOrConflict answers a question of yes or no: 200 or 409.
func okOrConflict(ok bool) peerrpc.Response {
	if ok {
		return peerrpc.Response{Status: http.StatusOK}
	}
	return peerrpc.Response{Status: http.StatusConflict}
}
