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

// servePeer answers a request of another member. Polls and cancellations of jobs are handled by the user API, which
// rejects unknown verbs.
func (c *Controller) servePeer(ctx context.Context, req peerrpc.Request) peerrpc.Response {
	wait := tuning.RelayTimeout
	if req.Verb == peerrpc.SubsystemCommand {
		wait = tuning.UserCommandTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	switch req.Verb {
	case peerrpc.RequestVote:
		return peers.VoteResponse(c.elector.Vote(ctx, req.TermOrLease))
	case peerrpc.ConfirmTermOver:
		return okOrConflict(c.elector.ConfirmTermOver(req.TermOrLease))
	case peerrpc.EndLease:
		return okOrConflict(c.store.Urgent().RevokeLease(ctx, req.TermOrLease) == nil)
	case peerrpc.Ping:
		return c.servePing(req)
	case peerrpc.ConfirmNotLeading:
		return okOrConflict(c.elector.ConfirmNotLeading())
	case peerrpc.MayHaveRenewed:
		return c.serveMayHaveRenewed(req.Names)
	case peerrpc.ProbeWorkers:
		return okOrConflict(c.anyWorkerAnswers(ctx, req.Names))
	case peerrpc.Heartbeat:
		return c.workerAPI.AnswerRelayedHeartbeat(ctx, req.Payload)
	case peerrpc.SubsystemQuery:
		return c.userAPI.AnswerRelayedQuery(ctx, string(req.Payload))
	case peerrpc.SubsystemCommand:
		return c.userAPI.AnswerRelayedCommand(ctx, req.Payload)
	case peerrpc.SubmitJob:
		return c.userAPI.AnswerRelayedSubmission(ctx, req.Payload)
	}
	return c.userAPI.AnswerRelayedJobRequest(ctx, req)
}

// fetchHeartbeat requests a worker's heartbeat. ok is false if the worker does not answer with a well-formed one.
func (c *Controller) fetchHeartbeat(ctx context.Context, addr string) (hb wire.Heartbeat, ok bool) {
	status, err := httpjson.Call(ctx, c.env.Workers, http.MethodGet, "http://"+addr+wire.PathWorkerHeartbeat, nil, httpjson.IfOK(&hb))
	return hb, err == nil && status == http.StatusOK && hb.Check() == nil
}

// anyWorkerAnswers reports whether any of the workers at these addresses answers this member. It returns at the first
// answer; the other calls end with ctx.
func (c *Controller) anyWorkerAnswers(ctx context.Context, addrs []string) bool {
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

// serveMayHaveRenewed answers a leader that asks which machines this member may have answered under its zone lease. The
// status is 409 if this member cannot tell.
func (c *Controller) serveMayHaveRenewed(names []string) peerrpc.Response {
	renewed, err := c.zoneLease.MayHaveRenewed(names)
	r := okOrConflict(err == nil)
	r.Names = renewed
	return r
}

// servePing answers a ping. If the ping contains the sender's claim to its zone lease, this member remembers the claim
// first. The response contains the leader that this member knows of and the sender's last claim that this member
// remembers. The status is 507 if this member has no memory for more jobs, and 200 otherwise. The sender's name is in
// req.Job; members of earlier versions send no name.
func (c *Controller) servePing(req peerrpc.Request) peerrpc.Response {
	name, term := c.elector.LeaderAndTerm()
	status := http.StatusOK
	if c.env.MemoryFull() {
		status = http.StatusInsufficientStorage
	}
	return peerrpc.Response{Status: status, Leader: name, Term: term, Payload: c.peers.ExchangeClaim(req.Job, req.Payload)}
}

// okOrConflict returns the response to a yes-or-no question: status 200 for yes, 409 for no.
func okOrConflict(ok bool) peerrpc.Response {
	if ok {
		return peerrpc.Response{Status: http.StatusOK}
	}
	return peerrpc.Response{Status: http.StatusConflict}
}
