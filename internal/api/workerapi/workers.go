// Package workerapi is the HTTP handler for workers: it answers their reports, sends
// them to the leader, or helps them when they have lost it.
package workerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
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

// LeaseAcquirer gives the right to answer a machine now in the leader's stead.
type LeaseAcquirer interface {
	Acquire(ctx context.Context, machine string) bool
}

// ZoneLease gives it without the state service, for machines of the own zone.
type ZoneLease interface {
	MayRenew(machine, zone string) bool
	// Alone tells that the state service does not answer us either.
	Isolated() bool
}

// Handler answers workers. It is safe for concurrent use.
type Handler struct {
	member    string
	clock     clockwork.Clock
	elector   *election.Elector
	peers     *peers.Peers
	leases    LeaseAcquirer
	zone      ZoneLease
	leader    func() *leader.Loop
	redirects redirects
	grace     electionGrace
	renewals  *renewals
}

// New makes the handler of a member. current gives the leader's loop while this
// member has the right to act, nil otherwise; show asks a worker for its report, at most maxQueries workers at a time.
func New(member string, w config.Workers, clock clockwork.Clock, e *election.Elector, p *peers.Peers, k LeaseAcquirer, z ZoneLease, current func() *leader.Loop, mostAsks int, show FetchHeartbeat) *Handler {
	return &Handler{
		member: member, clock: clock, elector: e, peers: p, leases: k, zone: z, leader: current, redirects: newRedirects(), grace: electionGrace{length: graceLength(w)},
		renewals: newRenewals(time.Duration(w.LeaseS*float64(time.Second)), mostAsks, show),
	}
}

// ServeHeartbeat takes a worker's report. A leader within its right answers it.
// A follower names the leader; a worker that has evidently lost the leader, or
// comes while the leader does not answer us either, is helped instead.
func (d *Handler) ServeHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, tuning.MaxHeartbeat)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	var rep wire.Heartbeat
	if err := json.Unmarshal(body, &rep); err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(fmt.Errorf("malformed report: %w", err)))
		return
	}
	if err := rep.Check(); err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if d.leader() != nil {
		if a, ok := d.answerAsLeader(r.Context(), &rep); ok {
			httpjson.Write(w, http.StatusOK, a)
			return
		}
		httpjson.WriteUnavailable(w, "the report cannot be answered now")
		return
	}
	name, term := d.elector.Holder()
	if name == "" || name == d.member {
		if a, ok := d.renew(r.Context(), &rep); ok {
			httpjson.Write(w, http.StatusOK, a)
			return
		}
		httpjson.WriteUnavailable(w, "nobody leads")
		return
	}
	if d.redirects.lostLeader(&rep, term, d.clock.Now()) || d.peers.LeaderUnreachable(name) {
		a, ok, leads := d.answerWithoutLeader(r.Context(), body, &rep, name)
		switch {
		case ok:
			httpjson.Write(w, http.StatusOK, a)
			return
		case !leads:
			// The worker tries the next controller. Sent to one that does not lead it never came to that of its zone.
			httpjson.WriteUnavailable(w, "nobody leads")
			return
		}
	}
	httpjson.Write(w, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: name})
}

// answerAsLeader has the leader's loop answer a report; ok is false when this
// member may not answer it.
func (d *Handler) answerAsLeader(ctx context.Context, rep *wire.Heartbeat) (wire.HeartbeatReply, bool) {
	l := d.leader()
	if l == nil {
		return wire.HeartbeatReply{}, false
	}
	term := l.Leadership().Term
	commands, err := l.Heartbeat(ctx, rep)
	// The right to act is checked again now that the answer is ready.
	if err != nil || !d.elector.Valid(term) {
		return wire.HeartbeatReply{}, false
	}
	if commands == nil {
		commands = []wire.Command{}
	}
	return wire.HeartbeatReply{FencingToken: term, Commands: commands}, true
}

// answerWithoutLeader answers a worker that cannot reach the leader: by asking the leader
// through the mesh, or, when that cannot be reached from here either, by
// keeping the worker's lease without any commands. leads is false if the one that is named said that it does not lead.
func (d *Handler) answerWithoutLeader(ctx context.Context, body []byte, rep *wire.Heartbeat, lead string) (a wire.HeartbeatReply, ok, leads bool) {
	if !d.peers.Known(lead) {
		return a, false, true
	}
	cut := d.peers.LeaderUnreachable(lead)
	if !cut {
		resp, err := d.peers.Call(ctx, lead, peerrpc.Request{Verb: peerrpc.Heartbeat, Payload: body})
		if err == nil {
			switch {
			case resp.Status == http.StatusMisdirectedRequest:
				// It does not lead, though nothing better is known: it was started anew, and the leader key, which names its former
				// life, cannot be read. Members sent the workers to it, and it sent them on, until their leases were over.
				a, ok = d.renew(ctx, rep)
				return a, ok, false
			case resp.Status != http.StatusOK || json.Unmarshal(resp.Payload, &a) != nil:
				return a, false, true
			}
			return a, true, true
		}
		cut = peers.Unanswered(err)
	}
	// A cut between us and the leader is probably one between those two, too.
	// With five controllers, two of which can be reached, a worker that was
	// sent on took 30 s to come back, and its lease of 18 s was over.
	// If the state service does not answer us either, it is we who are cut off, and our
	// zone's workers with us.
	if (!cut || d.peers.MayTryLeader() && !d.zone.Isolated()) && d.redirects.retryLeader(rep.Machine, d.clock.Now()) {
		return a, false, true
	}
	a, ok = d.renew(ctx, rep)
	return a, ok, true
}

// renew answers a worker without commands, so that its lease goes on: while
// the leader is out of reach, or between two leaders. The answer bears the
// worker's own token: it claims no right that the worker does not know. A
// worker without tasks has nothing to lose.
func (d *Handler) renew(ctx context.Context, rep *wire.Heartbeat) (a wire.HeartbeatReply, ok bool) {
	if rep.FencingToken == 0 || len(rep.Tasks) == 0 || d.grace.active(d.clock.Now()) {
		return a, false
	}
	if !d.renewals.allow(ctx, rep, d.clock.Now()) {
		return a, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.FollowerLeaseWait)
	defer cancel()
	if !d.zone.MayRenew(rep.Machine, rep.Zone) && !d.leases.Acquire(ctx, rep.Machine) {
		return a, false
	}
	return wire.HeartbeatReply{FencingToken: rep.FencingToken, Commands: []wire.Command{}}, true
}

// redirects tells which workers have lost the leader: one that has seen the
// leader's token had found it before, and one that was sent to the leader and
// comes back did not find it.
type redirects struct {
	mu      sync.Mutex
	sent    recentWorkers // when a worker was sent to the leader
	renewed recentWorkers // since when a worker is kept without commands
}

func newRedirects() redirects {
	return redirects{
		sent:    recentWorkers{at: map[string]time.Time{}, ttl: tuning.RedirectMemory},
		renewed: recentWorkers{at: map[string]time.Time{}, ttl: tuning.LeaderRetryHint + tuning.RedirectMemory},
	}
}

// retryLeader tells whether a worker that was kept for long shall try the leader
// again: the cut between us and the leader need not be one between those two.
func (r *redirects) retryLeader(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.renewed.notedAt(machine, now)
	if !ok {
		r.renewed.note(machine, now)
		return false
	}
	if now.Sub(since) < tuning.LeaderRetryHint {
		return false
	}
	delete(r.renewed.at, machine)
	return true
}

func (r *redirects) lostLeader(rep *wire.Heartbeat, term uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep.FencingToken >= term {
		return true
	}
	_, again := r.sent.notedAt(rep.Machine, now)
	if !again {
		r.sent.note(rep.Machine, now)
	}
	return again
}

// recentWorkers is when something was noted of each worker. What is older than it lasts is
// forgotten, so it holds no more than come in that time, however many there are.
type recentWorkers struct {
	at      map[string]time.Time
	ttl     time.Duration
	sweepAt int // how many there must be before the old ones are looked for
}

func (m *recentWorkers) notedAt(machine string, now time.Time) (time.Time, bool) {
	at, ok := m.at[machine]
	return at, ok && now.Sub(at) <= m.ttl
}

func (m *recentWorkers) note(machine string, now time.Time) {
	sweep(m.at, &m.sweepAt, func(at time.Time) bool { return now.Sub(at) > m.ttl })
	m.at[machine] = now
}

// sweep drops what is old of a memory of workers, once there are next of them; then there may be twice as many as were left.
func sweep[V any](by map[string]V, next *int, old func(V) bool) {
	if len(by) < *next {
		return
	}
	maps.DeleteFunc(by, func(_ string, v V) bool { return old(v) })
	*next = max(tuning.RedirectsMin, 2*len(by))
}

// AnswerRelayedHeartbeat answers a report that a follower hands on: with 421 if this member does not lead, 503 if the leader does not
// answer that report.
func (d *Handler) AnswerRelayedHeartbeat(ctx context.Context, body []byte) peerrpc.Response {
	var rep wire.Heartbeat
	if json.Unmarshal(body, &rep) != nil || rep.Check() != nil {
		return peerrpc.Response{Status: http.StatusBadRequest}
	}
	if d.leader() == nil {
		return peerrpc.Response{Status: http.StatusMisdirectedRequest}
	}
	a, ok := d.answerAsLeader(ctx, &rep)
	if !ok {
		return peerrpc.Response{Status: http.StatusServiceUnavailable}
	}
	out, err := json.Marshal(a)
	if err != nil {
		return peerrpc.Response{Status: http.StatusInternalServerError}
	}
	return peerrpc.Response{Status: http.StatusOK, Payload: out}
}
