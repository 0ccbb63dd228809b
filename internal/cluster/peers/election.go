package peers

import (
	"context"
	"net/http"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
)

var _ election.Peers = (*Peers)(nil)

// The statuses of a vote on the wire. Members of different versions exchange them.
const (
	statusGranted              = http.StatusOK
	statusGrantedWithoutMemory = http.StatusAccepted
	statusRefused              = http.StatusConflict
)

// VoteResponse is how a vote is answered to the member that asked for it by RequestVotes.
func VoteResponse(v election.Vote) peerrpc.Response {
	switch v {
	case election.Granted:
		return peerrpc.Response{Status: statusGranted}
	case election.GrantedWithoutMemory:
		return peerrpc.Response{Status: statusGrantedWithoutMemory}
	}
	return peerrpc.Response{Status: statusRefused}
}

// voteOf is the vote that a status stands for. One that VoteResponse does not give grants nothing.
func voteOf(status int) election.Vote {
	switch status {
	case statusGranted:
		return election.Granted
	case statusGrantedWithoutMemory:
		return election.GrantedWithoutMemory
	}
	return election.Refused
}

// RequestVotes asks all other members for their votes: neither to campaign nor to confirm that the term is over for a while.
func (p *Peers) RequestVotes(ctx context.Context, term uint64) (votes election.Votes) {
	answers := p.askAll(ctx, peerrpc.Request{Verb: peerrpc.RequestVote, Number: term})
	for range p.endpoints {
		a := <-answers
		if a.status == 0 {
			votes.Silent = append(votes.Silent, a.name)
			continue
		}
		switch voteOf(a.status) {
		case election.GrantedWithoutMemory:
			votes.WithoutMemory++
		case election.Refused:
			votes.Refused++
		}
	}
	return votes
}

// NobodyLeads asks all other members whether they do not lead; each must have said so.
func (p *Peers) NobodyLeads(ctx context.Context) bool {
	answers := p.askAll(ctx, peerrpc.Request{Verb: peerrpc.NotLeading})
	for range p.endpoints {
		if (<-answers).status != http.StatusOK {
			return false
		}
	}
	return true
}

// ConfirmTermOver asks all other members whether one confirms that a term is over; true if there are no others.
func (p *Peers) ConfirmTermOver(ctx context.Context, term uint64) bool {
	return len(p.endpoints) == 0 || p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.ConfirmTermOver, Number: term})
}

// EndLease has the other members revoke the lease of this one, which has resigned.
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
