package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"poppypass/internal/leadership"
	"poppypass/internal/mesh"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

func yesOrNo(yes bool) mesh.Response {
	if yes {
		return mesh.Response{Status: http.StatusOK}
	}
	return mesh.Response{Status: http.StatusConflict}
}

// peerAnswer is a member's answer: its status, 0 if it gave none.
type peerAnswer struct {
	name   string
	status int
}

// ask asks every other member at once and hands on each answer.
func (c *Controller) ask(ctx context.Context, req mesh.Request) <-chan peerAnswer {
	answers := make(chan peerAnswer, len(c.endpoint))
	for name, addr := range c.endpoint {
		go func() {
			r, err := c.peers.Call(ctx, addr, req)
			if err != nil {
				r.Status = 0
			}
			answers <- peerAnswer{name, r.Status}
		}()
	}
	return answers
}

// anyOf tells whether a member answers 200.
func (c *Controller) anyOf(ctx context.Context, req mesh.Request) bool {
	answers := c.ask(ctx, req)
	for range c.endpoint {
		if (<-answers).status == http.StatusOK {
			return true
		}
	}
	return false
}

// Promise asks all other members neither to campaign nor to vouch for a while.
func (c *Controller) Promise(ctx context.Context, term uint64) (p leadership.Promises) {
	answers := c.ask(ctx, mesh.Request{Verb: mesh.Promise, Number: term})
	for range c.endpoint {
		switch a := <-answers; a.status {
		case http.StatusOK:
		case http.StatusAccepted:
			p.Forgetful++
		case 0:
			p.Silent = append(p.Silent, a.name)
		default:
			p.Refused++
		}
	}
	return p
}

// NobodyLeads asks all other members whether they do not lead.
func (c *Controller) NobodyLeads(ctx context.Context) bool {
	answers := c.ask(ctx, mesh.Request{Verb: mesh.NotLeading})
	for range c.endpoint {
		if (<-answers).status != http.StatusOK {
			return false
		}
	}
	return true
}

// Vouch asks all other members whether one vouches that a term is over.
func (c *Controller) Vouch(ctx context.Context, term uint64) bool {
	return len(c.endpoint) == 0 || c.anyOf(ctx, mesh.Request{Verb: mesh.Vouch, Number: term})
}

// Yield has the other members end the lease of this one, which gave up its right.
func (c *Controller) Yield(ctx context.Context, lease uint64) {
	c.anyOf(ctx, mesh.Request{Verb: mesh.Yield, Number: lease})
}

// Silent names the members that do not answer of late.
func (c *Controller) Silent() []string {
	var names []string
	for name, addr := range c.endpoint {
		if c.peers.Silent(addr) {
			names = append(names, name)
		}
	}
	return names
}

// servePromise answers a leader that asks for our promise.
func (c *Controller) servePromise(ctx context.Context, term uint64) mesh.Response {
	switch c.elector.Promise(ctx, term) {
	case leadership.Promised:
		return mesh.Response{Status: http.StatusOK}
	case leadership.Forgetful:
		return mesh.Response{Status: http.StatusAccepted}
	}
	return mesh.Response{Status: http.StatusConflict}
}

// reach tells whether the leader is cut off from this member: it does not
// answer at all. A refused connection is no cut: a process that ended refuses,
// and so may a packet filter between controllers while workers pass.
type reach struct {
	mu     sync.Mutex
	leader string
	missed int // pings in a row without any answer
}

func (r *reach) note(leader string, missed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader != r.leader || !missed {
		r.leader, r.missed = leader, 0
	}
	if missed {
		r.missed++
	}
}

// cut tells whether the leader has not answered for a while.
func (r *reach) cut(leader string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return leader == r.leader && r.missed >= tuning.ReachMissed
}

// pingPeers looks again and again whether the leader can be reached, and hears
// from the others who leads.
func (c *Controller) pingPeers(ctx context.Context) {
	for ctx.Err() == nil {
		leader := c.elector.Leader()
		var wg sync.WaitGroup
		for name, addr := range c.endpoint {
			wg.Go(func() {
				r, err := c.peers.Call(ctx, addr, mesh.Request{Verb: mesh.Ping})
				if err == nil {
					c.elector.Hint(r.Leader, r.Term)
				}
				if name == leader {
					c.reach.note(leader, unanswered(err))
				}
			})
		}
		wg.Wait()
		c.sleep(ctx, tuning.ReachEvery)
	}
}

// servePing answers a ping.
func (c *Controller) servePing() mesh.Response {
	name, term := c.elector.Holder()
	return mesh.Response{Status: http.StatusOK, Leader: name, Term: term}
}

// unanswered tells whether a call ended because nothing at all came back.
func unanswered(err error) bool {
	var ne net.Error
	return errors.Is(err, mesh.ErrSilent) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// wayBack is how long a worker takes at most that is sent to the leader, does
// not reach it nor any other controller, and comes back here.
func (c *Controller) wayBack() time.Duration {
	return time.Duration(len(c.settings.Members)) * tuning.WorkerTry
}

// mayProbe tells whether a worker whose leader does not answer us may be sent
// to it: only if it would be back well within its lease.
func (c *Controller) mayProbe() bool {
	return c.wayBack() < time.Duration(float64(c.keeper.workerLease())*tuning.ProbeLeaseShare)
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
		a := c.submit(ctx, req.Payload)
		return mesh.Response{Status: a.status, Job: wire.JobStatus{State: a.job.State}, Payload: []byte(a.text)}
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
