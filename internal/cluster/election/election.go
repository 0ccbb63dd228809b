// Package election decides which controller leads: the one on whose lease the
// leader key in the state service hangs. Each leadership has a term that only
// grows; workers take it as a fencing token.
//
// What keeps two members from acting at a time is argued in docs/design.md, "Why
// the rules hold". In short, and by file:
//
//   - campaign.go: a member takes the leader key in a transaction that fails if
//     the key is held, the term has moved on, or a leader has fenced it off.
//   - term.go: a leader acts until its lease ends, counted by its own clock from
//     before the request that gave the lease its time.
//   - votes.go: in an outage of the state service it acts on as long as every
//     other member votes, that is, undertakes neither to campaign nor to confirm
//     for a while.
//   - fencing.go: one silent member may lack among those that vote if a fencing
//     lease keeps it from campaigning.
//   - confirmation.go: a member that is fenced off campaigns only on another
//     member's confirmation that the last term is over.
//   - knowledge.go: what a member knows of who leads and of terms that are over.
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
	keyHolder = "lead/holder" // attached to the leader's lease
	keyTerm   = "lead/term"   // never deleted: terms only grow
)

// Store is what an election needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResult, error)
}

// Peers asks the other members. Nothing is known of one that cannot be reached:
// it may be doing anything.
type Peers interface {
	// RequestVotes asks them for their votes, for the leader of a term.
	RequestVotes(ctx context.Context, term uint64) Votes
	// NobodyLeads asks whether none of them leads; each must have said so.
	NobodyLeads(ctx context.Context) bool
	// ConfirmTermOver reports whether one of them confirms that no leader of this term or
	// an earlier one can count on its vote any more. There may be none to ask; then it is true.
	ConfirmTermOver(ctx context.Context, term uint64) bool
	// EndLease has one of them revoke a lease.
	EndLease(ctx context.Context, lease uint64)
	// Silent names those that do not answer of late.
	Silent() []string
}

// Leadership is one term of office. Its guard makes a transaction fail once the
// term is over, however late the transaction is applied.
type Leadership struct {
	Term  uint64
	Guard wire.Condition
}

type termRecord struct {
	Term uint64 `json:"term"`
}

type holder struct {
	Member string `json:"member"`
	Term   uint64 `json:"term"`
	Lease  uint64 `json:"lease"`
}

// Elector campaigns for the leadership, keeps it, and answers the other members'
// questions about it. It is safe for concurrent use; Run is called once.
type Elector struct {
	store  Store
	peers  Peers
	member string
	clock  clockwork.Clock
	log    *slog.Logger

	// When a confirmation that an earlier process of this member gave is acted on no more. It never changes.
	earlierConfirmationsUntil time.Time

	mu sync.Mutex

	// Our own term of office.
	ownTerm                 uint64        // 0: we do not lead
	validUntil              time.Time     // we may act until then, by the local steady clock
	lease                   uint64        // that the leader key hangs on
	resigned                chan struct{} // closed when the term was given up
	failedRenewals          int           // in a row
	failuresWhenOtherServed int           // how many there were when another member was first seen to be served; 0: none was
	voteRound               uint64        // the current request for votes; a newer one voids it
	fencing                 fencingLease  // that we hold on a silent member

	// What we know of others' terms.
	leader      string    // the member that leads; "" if unknown
	leaderTerm  uint64    // its term
	endedTerm   uint64    // this term and the earlier ones are over
	leadingTerm uint64    // the last term that was read as leading after earlierConfirmationsUntil
	vacantSince time.Time // since when the leader key names nobody; zero: it named somebody when it was read last

	// What we have bound ourselves to.
	campaigning       bool      // a campaign is on its way on whose success we would act
	boundUntil        time.Time // by our vote: neither to campaign nor to confirm before
	earlierVotesUntil time.Time // until then a vote of an earlier process of this member may bind us
	confirmedOverTerm uint64    // we confirmed that this term is over: no vote for it or an earlier one
	standAsideUntil   time.Time // the leadership is left to others before, unless none takes it
}

// New makes an elector for a member.
//
// How an earlier process of this member voted and what it confirmed is not
// known. That process ended before this one began, so its votes end within
// tuning.VoteFor, and what it confirmed is acted on within
// tuning.ConfirmationFor.
func New(store Store, peers Peers, member string, clock clockwork.Clock, log *slog.Logger) *Elector {
	e := &Elector{store: store, peers: peers, member: member, clock: clock, log: log}
	e.earlierVotesUntil = clock.Now().Add(voteKeptFor)
	e.boundUntil = e.earlierVotesUntil
	e.earlierConfirmationsUntil = clock.Now().Add(stretch(tuning.ConfirmationFor, tuning.ClockDrift))
	return e
}

// stretch lengthens a time by a share of it, or shortens it by a negative one.
// Who is bound by a time waits for it with drift; who relies on it takes the drift off.
func stretch(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share))
}

func (e *Elector) pause(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, e.clock, d)
}
