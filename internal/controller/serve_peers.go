package controller

import (
	"context"
	"net/http"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// servePeer answers another member.
func (c *Controller) servePeer(ctx context.Context, req peerrpc.Request) peerrpc.Response {
	wait := tuning.RelayTimeout
	if req.Verb == peerrpc.SubsystemCommand {
		wait = tuning.CommandWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	switch req.Verb {
	case peerrpc.RequestVote:
		return c.servePromise(ctx, req.Number)
	case peerrpc.ConfirmTermOver:
		return yesOrNo(c.elector.ConfirmTermOver(req.Number))
	case peerrpc.EndLease:
		return yesOrNo(c.store.Urgent().RevokeLease(ctx, req.Number) == nil)
	case peerrpc.Ping:
		return c.servePing(req)
	case peerrpc.NotLeading:
		return yesOrNo(c.elector.NotLeading())
	case peerrpc.MayHaveRenewed:
		return c.serveKept(req.Names)
	case peerrpc.ProbeWorkers:
		return yesOrNo(c.reaches(ctx, req.Names))
	case peerrpc.Heartbeat:
		return c.reports.AnswerRelayedHeartbeat(ctx, req.Payload)
	case peerrpc.SubsystemQuery:
		return c.users.AnswerRelayedQuery(ctx, string(req.Payload))
	case peerrpc.SubsystemCommand:
		return c.users.AnswerRelayedCommand(ctx, req.Payload)
	case peerrpc.SubmitJob:
		return c.users.AnswerRelayedSubmission(ctx, req.Payload)
	}
	return c.users.AnswerRelayed(ctx, req)
}

// show asks a worker for its report.
func (c *Controller) show(ctx context.Context, addr string) (rep wire.Heartbeat, ok bool) {
	status, err := httpjson.Call(ctx, c.env.Workers, http.MethodGet, "http://"+addr+wire.PathWorkerHeartbeat, nil, httpjson.IfOK(&rep))
	return rep, err == nil && status == http.StatusOK && rep.Check() == nil
}

// reaches tells whether one of some workers, by their addresses, answers this member.
func (c *Controller) reaches(ctx context.Context, addrs []string) bool {
	answers := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() {
			_, ok := c.show(ctx, addr)
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

// servePromise answers a leader that asks for our promise.
func (c *Controller) servePromise(ctx context.Context, term uint64) peerrpc.Response {
	switch c.elector.Vote(ctx, term) {
	case election.Granted:
		return peerrpc.Response{Status: http.StatusOK}
	case election.GrantedWithoutMemory:
		return peerrpc.Response{Status: http.StatusAccepted}
	}
	return peerrpc.Response{Status: http.StatusConflict}
}

// serveKept tells a leader which machines this member may have answered by its zone's right.
func (c *Controller) serveKept(names []string) peerrpc.Response {
	kept, sure := c.zone.MayHaveRenewed(names)
	r := yesOrNo(sure)
	r.Names = kept
	return r
}

// servePing answers a ping, and tells whether this member has no memory for more jobs and what it remembers of the other's right for
// its zone. Members from before that send no name.
func (c *Controller) servePing(req peerrpc.Request) peerrpc.Response {
	name, term := c.elector.Holder()
	status := http.StatusOK
	if c.env.MemoryFull() {
		status = http.StatusInsufficientStorage
	}
	return peerrpc.Response{Status: status, Leader: name, Term: term, Payload: c.peers.ExchangeClaim(req.Job, req.Payload)}
}

func yesOrNo(yes bool) peerrpc.Response {
	if yes {
		return peerrpc.Response{Status: http.StatusOK}
	}
	return peerrpc.Response{Status: http.StatusConflict}
}
