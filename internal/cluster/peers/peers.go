// Package peers is what a member asks of the other controllers: promises and
// vouchers, who leads, and to hand on what only the leader can answer.
package peers

import (
	"cmp"
	"context"
	"errors"
	"iter"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// Peers are the other members. It is safe for concurrent use.
type Peers struct {
	client       *peerrpc.Client
	endpoints    map[string]string // mesh addresses by member
	member       string
	members      int
	workerLease  time.Duration // a worker's
	clock        clockwork.Clock
	log          *slog.Logger
	elector      *election.Elector
	leaderHealth leaderHealth
	leaderFull   atomic.Bool // the leader has no memory for more jobs

	zoneLease  ZoneLease
	mu         sync.Mutex
	lastAnswer time.Time         // when any other member answered a ping last, or this one began
	claims     map[string][]byte // what each other member said last of its zone's right
}

// ZoneLease is this member's right to answer its zone. Its claim goes with pings, so that others remember it for the next
// life of this process, which asks for it by its own pings.
type ZoneLease interface {
	// Claim is what the others are to remember; nil: nothing.
	Claim() []byte
	// Inherit takes in what another remembers.
	Inherit(claim []byte)
}

// New makes the peers that the settings name. Follow must be called before
// anything but what an elector asks.
func New(s *config.Settings, clock clockwork.Clock, log *slog.Logger) *Peers {
	p := &Peers{
		client: peerrpc.NewClient(), endpoints: map[string]string{}, members: len(s.Members),
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)), clock: clock, log: log, claims: map[string][]byte{}, member: s.Member,
	}
	for _, m := range s.Members {
		p.endpoints[m.Name] = m.Endpoint
	}
	return p
}

// SetElector has the peers know this member's elector.
func (p *Peers) SetElector(e *election.Elector) { p.elector = e }

// ShareZoneLease has the others remember a right. It must be called before Run.
func (p *Peers) ShareZoneLease(r ZoneLease) { p.zoneLease = r }

// ExchangeClaim takes in what a member claims, nil if nothing, and gives what is remembered of it.
func (p *Peers) ExchangeClaim(name string, claim []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(claim) > 0 && p.Known(name) {
		p.claims[name] = claim
	}
	return p.claims[name]
}

// Alone tells whether there are no other members.
func (p *Peers) Alone() bool { return len(p.endpoints) == 0 }

// Known tells whether a member is among the others.
func (p *Peers) Known(name string) bool { return p.endpoints[name] != "" }

// Others names the other members, the leader first.
func (p *Peers) Others() []string {
	leader := p.elector.Leader()
	return slices.SortedFunc(maps.Keys(p.endpoints), func(x, y string) int {
		if (x == leader) != (y == leader) {
			if x == leader {
				return -1
			}
			return 1
		}
		return cmp.Compare(x, y)
	})
}

// Leader names the leading member if it is another one, as far as known.
func (p *Peers) Leader() string {
	if name := p.elector.Leader(); p.Known(name) {
		return name
	}
	return ""
}

// Call asks one member.
func (p *Peers) Call(ctx context.Context, name string, req peerrpc.Request) (peerrpc.Response, error) {
	return p.client.Call(ctx, p.endpoints[name], req)
}

// Relay asks the leader; ok is false when it gives no usable answer.
func (p *Peers) Relay(ctx context.Context, req peerrpc.Request) (peerrpc.Response, bool) {
	leader := p.Leader()
	if leader == "" {
		return peerrpc.Response{}, false
	}
	resp, err := p.Call(ctx, leader, req)
	if err != nil {
		p.log.Debug("relay", "job", req.Job, "err", err)
		return resp, false
	}
	return resp, resp.Status == http.StatusOK || resp.Status == http.StatusNotFound
}

// peerAnswer is a member's answer: its status, 0 if it gave none.
type peerAnswer struct {
	name   string
	status int
}

// askAll asks every other member at once and hands on each answer.
func (p *Peers) askAll(ctx context.Context, req peerrpc.Request) <-chan peerAnswer {
	answers := make(chan peerAnswer, len(p.endpoints))
	for name, addr := range p.endpoints {
		go func() {
			r, err := p.client.Call(ctx, addr, req)
			if err != nil {
				r.Status = 0
			}
			answers <- peerAnswer{name, r.Status}
		}()
	}
	return answers
}

// anyAccepts tells whether a member answers 200.
func (p *Peers) anyAccepts(ctx context.Context, req peerrpc.Request) bool {
	answers := p.askAll(ctx, req)
	for range p.endpoints {
		if (<-answers).status == http.StatusOK {
			return true
		}
	}
	return false
}

// RequestVotes asks all other members neither to campaign nor to vouch for a while.
func (p *Peers) RequestVotes(ctx context.Context, term uint64) (got election.Votes) {
	answers := p.askAll(ctx, peerrpc.Request{Verb: peerrpc.RequestVote, Number: term})
	for range p.endpoints {
		switch a := <-answers; a.status {
		case http.StatusOK:
		case http.StatusAccepted:
			got.WithoutMemory++
		case 0:
			got.Silent = append(got.Silent, a.name)
		default:
			got.Refused++
		}
	}
	return got
}

// NobodyLeads asks all other members whether they do not lead.
func (p *Peers) NobodyLeads(ctx context.Context) bool {
	answers := p.askAll(ctx, peerrpc.Request{Verb: peerrpc.NotLeading})
	for range p.endpoints {
		if (<-answers).status != http.StatusOK {
			return false
		}
	}
	return true
}

// ConfirmTermOver asks all other members whether one vouches that a term is over.
func (p *Peers) ConfirmTermOver(ctx context.Context, term uint64) bool {
	return len(p.endpoints) == 0 || p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.ConfirmTermOver, Number: term})
}

// MayHaveRenewed asks a member which of some machines it may have answered by its zone's right
// within a worker's lease; sure is false when it cannot tell or does not answer.
func (p *Peers) MayHaveRenewed(ctx context.Context, name string, names []string) (kept []string, sure bool) {
	for part := range questions(names) {
		r, err := p.Call(ctx, name, peerrpc.Request{Verb: peerrpc.MayHaveRenewed, Names: part})
		if err != nil || r.Status != http.StatusOK {
			return nil, false
		}
		kept = append(kept, r.Names...)
	}
	return kept, true
}

// questions divides the names of machines into those that one question each can hold.
func questions(names []string) iter.Seq[[]string] {
	return func(yield func([]string) bool) {
		begin, size := 0, 0
		for i, name := range names {
			cost := len(name) + tuning.NameBytes
			if i > begin && size+cost > tuning.RenewedNamesBytes {
				if !yield(names[begin:i]) {
					return
				}
				begin, size = i, 0
			}
			size += cost
		}
		if begin < len(names) {
			yield(names[begin:])
		}
	}
}

// ProbeWorkers asks the other members whether one of them gets an answer from one of some workers, by their addresses.
func (p *Peers) ProbeWorkers(ctx context.Context, addrs []string) bool {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	return p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.ProbeWorkers, Names: addrs})
}

// EndLease has the other members end the lease of this one, which gave up its right.
func (p *Peers) EndLease(ctx context.Context, lease uint64) {
	p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.EndLease, Number: lease})
}

// Silent names the members that do not answer of late.
func (p *Peers) Silent() []string {
	var names []string
	for name, addr := range p.endpoints {
		if p.client.Silent(addr) {
			names = append(names, name)
		}
	}
	return names
}

// NotePing takes in how a ping of the leader went: missed tells that nothing came back.
func (p *Peers) NotePing(leader string, missed bool) { p.leaderHealth.notePing(leader, missed) }

// LeaderFull tells whether the leader said, when it was last asked, that it has no memory for more jobs.
func (p *Peers) LeaderFull() bool { return p.leaderFull.Load() }

// LeaderUnreachable tells whether the leader has not answered for a while: it is cut off.
func (p *Peers) LeaderUnreachable(leader string) bool { return p.leaderHealth.unreachable(leader) }

// leaderHealth tells whether the leader is cut off from this member: it does not
// answer at all. A refused connection is no cut: a process that ended refuses,
// and so may a packet filter between controllers while workers pass.
type leaderHealth struct {
	mu          sync.Mutex
	leader      string
	missedPings int // pings in a row without any answer
}

func (r *leaderHealth) notePing(leader string, missed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader != r.leader || !missed {
		r.leader, r.missedPings = leader, 0
	}
	if missed {
		r.missedPings++
	}
}

// unreachable tells whether the leader has not answered for a while.
func (r *leaderHealth) unreachable(leader string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return leader == r.leader && r.missedPings >= tuning.LeaderPingsMissed
}

func (p *Peers) noteAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = p.clock.Now()
}

// Isolated tells whether there are other members, and none of them has answered for a while.
func (p *Peers) Isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastAnswer.IsZero() && p.clock.Since(p.lastAnswer) > tuning.IsolatedFor
}

// Run looks again and again whether the leader can be reached, and hears
// from the others who leads.
func (p *Peers) Run(ctx context.Context) {
	p.noteAnswer()
	for ctx.Err() == nil {
		leader := p.elector.Leader()
		if !p.Known(leader) {
			p.leaderFull.Store(false)
		}
		var wg sync.WaitGroup
		for name, addr := range p.endpoints {
			wg.Go(func() {
				r, err := p.client.Call(ctx, addr, peerrpc.Request{Verb: peerrpc.Ping, Job: p.member, Payload: p.zoneLease.Claim()})
				if err == nil {
					p.zoneLease.Inherit(r.Payload)
					p.elector.NoteLeader(r.Leader, r.Term)
					p.noteAnswer()
				}
				if name == leader {
					p.NotePing(leader, Unanswered(err))
					p.leaderFull.Store(err == nil && r.Status == http.StatusInsufficientStorage)
				}
			})
		}
		wg.Wait()
		clock.Sleep(ctx, p.clock, tuning.LeaderPingEvery)
	}
}

// Unanswered tells whether a call ended because nothing at all came back.
func Unanswered(err error) bool {
	var ne net.Error
	return errors.Is(err, peerrpc.ErrSilent) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}

// workerReturnTime is how long a worker takes at most that is sent to the leader, does
// not reach it nor any other controller, and comes back here.
func (p *Peers) workerReturnTime() time.Duration {
	return time.Duration(p.members) * tuning.WorkerTry
}

// MayTryLeader tells whether a worker whose leader does not answer us may be sent
// to it: only if it would be back well within its lease.
func (p *Peers) MayTryLeader() bool {
	return p.workerReturnTime() < time.Duration(float64(p.workerLease)*tuning.ProbeLeaseShare)
}
