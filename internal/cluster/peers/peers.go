// Package peers makes a member's calls to the other controllers. It requests their votes and confirmations in
// elections, and asks them who leads and which machines they answered under their zone leases. It relays to the
// leader the requests that only the leader can answer. It also monitors which of the controllers can be reached.
package peers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/config"
)

// Peers calls the other members and holds what this member knows of them. It is safe for concurrent use once
// SetElector and ShareZoneLease have been called.
type Peers struct {
	client           *peerrpc.Client
	endpoints        map[string]string // addresses for peer calls, by the other members' names
	member           string
	otherMemberCount int
	workerLease      time.Duration // how long a worker's lease lasts after a reply
	clock            clockwork.Clock
	log              *slog.Logger
	elector          *election.Elector
	zoneLease        ZoneLease
	health           health
	claims           claims
}

// New makes the Peers for the other members that the settings name. Before SetElector is called, only the methods that
// an elector calls (election.Peers) may be used. ShareZoneLease must be called before Run.
func New(s *config.Settings, clock clockwork.Clock, log *slog.Logger) *Peers {
	p := &Peers{
		client: peerrpc.NewClient(), endpoints: map[string]string{}, member: s.Member, otherMemberCount: len(s.Members),
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)), clock: clock, log: log,
		claims: claims{byMember: map[string][]byte{}},
	}
	for _, m := range s.Members {
		p.endpoints[m.Name] = m.Endpoint
	}
	return p
}

// SetElector sets this member's elector. The elector is created with the Peers, so it cannot be an argument of New.
func (p *Peers) SetElector(e *election.Elector) { p.elector = e }

// Alone reports whether there are no other members.
func (p *Peers) Alone() bool { return len(p.endpoints) == 0 }

// Known reports whether a member is among the others.
func (p *Peers) Known(name string) bool { return p.endpoints[name] != "" }

// Others returns the names of the other members, the leader first.
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

// Leader returns the name of the leading member, or "" if none is known to lead or this member itself does.
func (p *Peers) Leader() string {
	if name := p.elector.Leader(); p.Known(name) {
		return name
	}
	return ""
}

// Call sends a request to one member and returns its response.
func (p *Peers) Call(ctx context.Context, name string, req peerrpc.Request) (peerrpc.Response, error) {
	return p.client.Call(ctx, p.endpoints[name], req)
}

// Why a request that was relayed to the leader has no result. Any other error is that of the call.
var (
	// ErrNoLeader means that no other member is known to lead.
	ErrNoLeader = errors.New("no other member is known to lead")
	// ErrNotAnswered means that the member that is named as the leader was reached but did not answer the request.
	ErrNotAnswered = errors.New("the leader did not answer the request")
)

// Relay sends a request to the leader. Without an error, the response's status is 200 or 404.
func (p *Peers) Relay(ctx context.Context, req peerrpc.Request) (peerrpc.Response, error) {
	leader := p.Leader()
	if leader == "" {
		return peerrpc.Response{}, ErrNoLeader
	}
	resp, err := p.Call(ctx, leader, req)
	if err != nil {
		p.log.Debug("call to the leader failed; the relayed request has no answer", "job", req.Job, "err", err)
		return peerrpc.Response{}, fmt.Errorf("asking the leader %s: %w", leader, err)
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusNotFound {
		return peerrpc.Response{}, fmt.Errorf("asking the leader %s: status %d: %w", leader, resp.Status, ErrNotAnswered)
	}
	return resp, nil
}

// peerAnswer is the status that a member answered; 0 if it gave no answer.
type peerAnswer struct {
	name   string
	status int
}

// askAll sends a request to every other member at once. The channel receives one answer for each member. It has
// room for all of them, so the caller need not receive every answer.
func (p *Peers) askAll(ctx context.Context, req peerrpc.Request) <-chan peerAnswer {
	answers := make(chan peerAnswer, len(p.endpoints))
	for name, addr := range p.endpoints {
		go func() {
			resp, err := p.client.Call(ctx, addr, req)
			if err != nil {
				resp.Status = 0
			}
			answers <- peerAnswer{name, resp.Status}
		}()
	}
	return answers
}

// anyAccepts reports whether any other member answers 200. It returns at the first such answer.
func (p *Peers) anyAccepts(ctx context.Context, req peerrpc.Request) bool {
	answers := p.askAll(ctx, req)
	for range p.endpoints {
		if (<-answers).status == http.StatusOK {
			return true
		}
	}
	return false
}
