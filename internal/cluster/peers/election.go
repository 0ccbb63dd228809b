package peers

import (
	"context"
	"net/http"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
)

var _ election.Peers = (*Peers)(nil)

// The statuses that represent a vote on the wire. Members of different versions exchange them.
const (
	statusGranted              = http.StatusOK
	statusGrantedWithoutMemory = http.StatusAccepted
	statusRefused              = http.StatusConflict
)

// VoteResponse returns the response that carries a vote to the member that asked for it with RequestVotes.
func VoteResponse(v election.Vote) peerrpc.Response {
	switch v {
	case election.Granted:
		return peerrpc.Response{Status: statusGranted}
	case election.GrantedWithoutMemory:
		return peerrpc.Response{Status: statusGrantedWithoutMemory}
	}
	return peerrpc.Response{Status: statusRefused}
}

// voteFromStatus returns the vote that a status represents. A status that VoteResponse does not produce counts as a
// refusal.
func voteFromStatus(status int) election.Vote {
	switch status {
	case statusGranted:
		return election.Granted
	case statusGrantedWithoutMemory:
		return election.GrantedWithoutMemory
	}
	return election.Refused
}

// RequestVotes asks all other members for their votes. A member that grants its vote does not campaign for a while,
// nor does it confirm for a while that the term is over.
func (p *Peers) RequestVotes(ctx context.Context, term uint64) (votes election.Votes) {
	answers := p.askAll(ctx, peerrpc.Request{Verb: peerrpc.RequestVote, TermOrLease: term})
	for range p.endpoints {
		answer := <-answers
		if answer.status == 0 {
			votes.Silent = append(votes.Silent, answer.name)
			continue
		}
		switch voteFromStatus(answer.status) {
		case election.GrantedWithoutMemory:
			votes.WithoutMemory++
		case election.Refused:
			votes.Refused++
		}
	}
	return votes
}

// NobodyLeads asks all other members whether they do not lead. It is true only if each of them says so.
func (p *Peers) NobodyLeads(ctx context.Context) bool {
	answers := p.askAll(ctx, peerrpc.Request{Verb: peerrpc.ConfirmNotLeading})
	for range p.endpoints {
		if (<-answers).status != http.StatusOK {
			return false
		}
	}
	return true
}

// ConfirmTermOver asks all other members whether a term is over. It is true if at least one confirms it, or if
// there are no others.
func (p *Peers) ConfirmTermOver(ctx context.Context, term uint64) bool {
	return len(p.endpoints) == 0 || p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.ConfirmTermOver, TermOrLease: term})
}

// EndLease asks the other members to revoke the lease of this member, which has resigned. It returns when one of
// them has done so or all have failed.
func (p *Peers) EndLease(ctx context.Context, lease uint64) {
	p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.EndLease, TermOrLease: lease})
}

// Silent returns the names of the members that did not answer recently.
func (p *Peers) Silent() []string {
	var names []string
	for name, addr := range p.endpoints {
		if p.client.Silent(addr) {
			names = append(names, name)
		}
	}
	return names
}
