package peers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/tuning"
)

// health is what pings have shown about the other members.
type health struct {
	mu               sync.Mutex
	leader           string    // the member whose missed pings are counted
	missedPings      int       // consecutive pings of that member without any answer
	leaderMemoryFull bool      // the leader's answer to the last ping said that it has no memory for more jobs
	lastAnswerAt     time.Time // when any other member last answered a ping, or when Run began; zero: Run has not begun
}

// Run pings the other members until ctx ends, to learn whether the leader can be reached and which member they know
// as the leader.
func (p *Peers) Run(ctx context.Context) {
	p.noteAnswer()
	for ctx.Err() == nil {
		p.pingAll(ctx)
		clock.Sleep(ctx, p.clock, tuning.LeaderPingEvery)
	}
}

func (p *Peers) pingAll(ctx context.Context) {
	leader := p.elector.Leader()
	if !p.Known(leader) {
		p.noteLeaderMemoryFull(false)
	}
	var wg sync.WaitGroup
	for name, addr := range p.endpoints {
		wg.Go(func() {
			resp, err := p.ping(ctx, addr)
			if name == leader {
				p.NotePing(leader, Unanswered(err))
				p.noteLeaderMemoryFull(err == nil && resp.Status == http.StatusInsufficientStorage)
			}
		})
	}
	wg.Wait()
}

// ping pings another member and sends it this member's claim to its zone lease. From the answer it adopts the claim
// that the other member remembers, and which member leads.
func (p *Peers) ping(ctx context.Context, addr string) (peerrpc.Response, error) {
	resp, err := p.client.Call(ctx, addr, peerrpc.Request{Verb: peerrpc.Ping, Job: p.member, Payload: p.zoneLease.Claim()})
	if err == nil {
		p.zoneLease.Inherit(resp.Payload)
		p.elector.NoteLeader(resp.Leader, resp.Term)
		p.noteAnswer()
	}
	return resp, err
}

// NotePing records the result of a ping of the leader. missed is true if no answer at all arrived.
func (p *Peers) NotePing(leader string, missed bool) {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	if leader != p.health.leader || !missed {
		p.health.leader, p.health.missedPings = leader, 0
	}
	if missed {
		p.health.missedPings++
	}
}

// LeaderUnreachable reports whether no answer at all arrived to the last tuning.LeaderPingsMissedMin pings of the
// leader. The leader then counts as cut off from this member. A refused connection does not count as a partition: a
// process that ended refuses connections, and a packet filter may refuse those between controllers while it lets
// workers' connections pass.
func (p *Peers) LeaderUnreachable(leader string) bool {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	return leader == p.health.leader && p.health.missedPings >= tuning.LeaderPingsMissedMin
}

func (p *Peers) noteLeaderMemoryFull(full bool) {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	p.health.leaderMemoryFull = full
}

// LeaderMemoryFull reports whether the leader's answer to the last ping said that it has no memory for more jobs.
func (p *Peers) LeaderMemoryFull() bool {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	return p.health.leaderMemoryFull
}

func (p *Peers) noteAnswer() {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	p.health.lastAnswerAt = p.clock.Now()
}

// Isolated reports whether there are other members and none of them has answered for longer than
// tuning.IsolatedAfter.
func (p *Peers) Isolated() bool {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	return !p.health.lastAnswerAt.IsZero() && p.clock.Since(p.health.lastAnswerAt) > tuning.IsolatedAfter
}

// Unanswered reports whether a call failed because no answer at all arrived.
func Unanswered(err error) bool {
	var netErr net.Error
	return errors.Is(err, peerrpc.ErrSilent) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// workerReturnTime returns the longest time that a worker needs if it is redirected to the leader, reaches neither
// the leader nor any other controller, and returns to this member.
func (p *Peers) workerReturnTime() time.Duration {
	return time.Duration(p.otherMemberCount) * tuning.WorkerTryTime
}

// MayTryLeader reports whether a worker may be redirected to a leader that does not answer this member. That is
// allowed if the worker would return within the share tuning.RedirectLeaseShare of its lease's duration.
func (p *Peers) MayTryLeader() bool {
	return p.workerReturnTime() < time.Duration(float64(p.workerLease)*tuning.RedirectLeaseShare)
}
