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

// health is what pings tell of the other members.
type health struct {
	mu          sync.Mutex
	leader      string    // whose pings missedPings counts
	missedPings int       // in a row without any answer
	leaderFull  bool      // the leader has no memory for more jobs
	lastAnswer  time.Time // when any other member answered a ping last, or Run began; zero: Run has not begun
}

// Run pings the other members until ctx ends: whether the leader can be reached, and who leads by
// their knowledge.
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
		p.noteLeaderFull(false)
	}
	var wg sync.WaitGroup
	for name, addr := range p.endpoints {
		wg.Go(func() {
			r, err := p.ping(ctx, addr)
			if name == leader {
				p.NotePing(leader, Unanswered(err))
				p.noteLeaderFull(err == nil && r.Status == http.StatusInsufficientStorage)
			}
		})
	}
	wg.Wait()
}

// ping tells a member what this one claims of its zone lease, and takes over what the answer tells: what the member remembers
// of that, and who leads.
func (p *Peers) ping(ctx context.Context, addr string) (peerrpc.Response, error) {
	r, err := p.client.Call(ctx, addr, peerrpc.Request{Verb: peerrpc.Ping, Job: p.member, Payload: p.zoneLease.Claim()})
	if err == nil {
		p.zoneLease.Inherit(r.Payload)
		p.elector.NoteLeader(r.Leader, r.Term)
		p.noteAnswer()
	}
	return r, err
}

// NotePing notes how a ping of the leader went: missed tells that nothing came back.
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

// LeaderUnreachable reports whether the leader has not answered for a while: it is cut off from this member, since it does
// not answer at all. A refused connection is no partition: a process that ended refuses,
// and so may a packet filter between controllers while workers pass.
func (p *Peers) LeaderUnreachable(leader string) bool {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	return leader == p.health.leader && p.health.missedPings >= tuning.LeaderPingsMissed
}

func (p *Peers) noteLeaderFull(full bool) {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	p.health.leaderFull = full
}

// LeaderFull reports whether the leader said, when it was last asked, that it has no memory for more jobs.
func (p *Peers) LeaderFull() bool {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	return p.health.leaderFull
}

func (p *Peers) noteAnswer() {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	p.health.lastAnswer = p.clock.Now()
}

// Isolated reports whether there are other members, and none of them has answered for a while.
func (p *Peers) Isolated() bool {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	return !p.health.lastAnswer.IsZero() && p.clock.Since(p.health.lastAnswer) > tuning.IsolatedFor
}

// Unanswered reports whether a call ended because nothing at all came back.
func Unanswered(err error) bool {
	var ne net.Error
	return errors.Is(err, peerrpc.ErrSilent) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// workerReturnTime is how long a worker takes at most that is sent to the leader, does
// not reach it nor any other controller, and comes back here.
func (p *Peers) workerReturnTime() time.Duration {
	return time.Duration(p.members) * tuning.WorkerTry
}

// MayTryLeader reports whether a worker whose leader does not answer us may be sent
// to it: only if it would be back well within its lease.
func (p *Peers) MayTryLeader() bool {
	return p.workerReturnTime() < time.Duration(float64(p.workerLease)*tuning.ProbeLeaseShare)
}
