// Package election elects the controller that leads: the member whose lease the
// leader key in the state service is attached to. Each leadership has a term
// number, which only increases. It is the first of the term's fencing tokens
// (package fencingtoken), by which workers refuse commands of earlier leaders.
//
// docs/design.md, "Why the rules hold", argues why two members never act as the
// leader at the same time. In short, and by file:
//
//   - campaign.go: a member acquires the leader key in a transaction that fails if
//     the key is held, the term has advanced, or a leader has fenced the member off.
//   - term.go: a leader acts until its lease expires. It counts the lease's duration
//     by its own clock, from before it sent the request that granted or renewed the lease.
//   - votes.go: in an outage of the state service the leader continues to act as long
//     as every other member votes for it. A vote is a promise neither to campaign nor
//     to confirm that the term is over, for a limited time.
//   - fencing.go: the vote of one silent member may be missing if a fencing lease
//     prevents that member from campaigning.
//   - confirmation.go: a member that is fenced off campaigns only if another member
//     confirms that the last term is over.
//   - knowledge.go: what a member knows about who leads and which terms are over.
package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

const (
	keyHolder = "lead/holder" // the leader key; attached to the leader's lease
	keyTerm   = "lead/term"   // the last fencing token of the last term that began; never deleted, so that terms only increase
)

// Store is the part of the state service's client that an election uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResult, error)
}

// Peers asks the other members. A member that does not answer may be in any state:
// it may lead, campaign or be down.
type Peers interface {
	// RequestVotes asks all other members for votes that let this member, the leader of the given term, continue
	// to lead.
	RequestVotes(ctx context.Context, term uint64) Votes
	// NobodyLeads reports whether every other member answered that it does not lead.
	NobodyLeads(ctx context.Context) bool
	// ConfirmTermOver reports whether at least one of the other members confirms that no leader of this
	// term or an earlier one can rely on that member's vote any more. The result is true if there are no
	// other members.
	ConfirmTermOver(ctx context.Context, term uint64) bool
	// EndLease asks the other members to revoke a lease.
	EndLease(ctx context.Context, lease uint64)
	// Silent returns the names of the members that did not answer recently.
	Silent() []string
}

// Leadership is one term as the leader. Guard is the condition of the leader's transactions: it makes
// a transaction fail once the term is over, however late the transaction is applied.
type Leadership struct {
	Term  uint64
	Guard wire.Condition
}

// termRecord is the value of keyTerm. Its field is named for earlier builds, whose terms had one token each.
type termRecord struct {
	Term uint64 `json:"term"`
}

// holder is the value of keyHolder: the leading member, its term, and the lease that the key is attached to.
type holder struct {
	Member string `json:"member"`
	Term   uint64 `json:"term"`
	Lease  uint64 `json:"lease"`
}

// Elector campaigns for the leadership, renews its lease, and answers the other members'
// election requests. It is safe for concurrent use; Run is called once.
type Elector struct {
	store  Store
	peers  Peers
	member string
	clock  clockwork.Clock
	log    *slog.Logger

	// From this time on, no member acts on a confirmation that an earlier process of this member gave. It never changes.
	earlierProcessConfirmationsUntil time.Time

	mu sync.Mutex

	// This member's own term.
	ownTerm                       uint64        // the term in which this member leads; 0: it does not lead
	validUntil                    time.Time     // it may act as the leader before this time of its monotonic clock
	lease                         uint64        // the lease that the leader key is attached to
	resigned                      chan struct{} // closed when this member resigns
	failedRenewals                int           // consecutive failed renewals of the lease
	failedRenewalsWhenOtherServed int           // the value of failedRenewals when the state service was first seen to serve another member; 0: not seen yet
	voteRound                     uint64        // number of the current vote round; a round with an older number is void
	fencing                       fencingLease  // the fencing lease that this leader holds on a silent member

	// What this member knows about the terms of all members.
	leader                  string    // the member that leads; "" if unknown
	leaderTerm              uint64    // the term of leader
	endedTerm               uint64    // this term and all earlier ones are over
	leadingTermSinceRestart uint64    // the highest term that a read sent at or after earlierProcessConfirmationsUntil found in force
	vacantSince             time.Time // when the leader key was first read as naming no member; zero: it named one at the last read

	// Restrictions on this member's votes, confirmations and campaigns. They follow from what this process, or an
	// earlier process of this member, did before.
	campaigning              bool      // a campaign is in progress; if it succeeds, this member leads
	boundByVoteUntil         time.Time // a vote forbids this member to campaign or confirm before this time
	earlierProcessVotesUntil time.Time // a vote of an earlier process of this member may be relied on before this time
	confirmedEndOfTerm       uint64    // the last term whose end this member confirmed; this member votes for no leader of a term up to this one
	deferCampaignUntil       time.Time // no campaign before this time, unless the leader key stays vacant
}

// New returns an elector for a member.
//
// The elector does not know how an earlier process of this member voted, nor what
// it confirmed. That process ended before this one started, so its votes expire
// within tuning.VoteValidity, and other members act on its confirmations only within
// tuning.ConfirmationValidity.
func New(store Store, peers Peers, member string, clock clockwork.Clock, log *slog.Logger) *Elector {
	e := &Elector{store: store, peers: peers, member: member, clock: clock, log: log}
	e.earlierProcessVotesUntil = clock.Now().Add(voteBindsFor)
	e.boundByVoteUntil = e.earlierProcessVotesUntil
	e.earlierProcessConfirmationsUntil = clock.Now().Add(withMargin(tuning.ConfirmationValidity, tuning.ClockDriftShare))
	return e
}

// withMargin lengthens a duration by a fraction of it, or shortens it if the fraction is negative.
// The clocks of two members drift apart. A member that is bound for a duration therefore waits longer by the
// fraction tuning.ClockDriftShare, and a member that relies on the duration stops relying on it earlier by the same
// fraction.
func withMargin(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 + fraction))
}

func (e *Elector) pause(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, e.clock, d)
}
