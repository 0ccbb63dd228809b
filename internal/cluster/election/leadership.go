// Package election decides which controller leads: the one whose lease the
// leader key in the state service hangs on. Each leadership has a term that
// only grows; it is the token that workers obey.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

const (
	keyHolder = "lead/holder" // attached to the leader's lease
	keyTerm   = "lead/term"   // never deleted: terms only grow
)

// Store is what leadership needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, t wire.Txn) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResult, error)
}

// Leadership is one leadership. Its guard makes a transaction fail once the
// leadership is over, however late it is applied.
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

// Elector campaigns for the leadership and keeps it.
type Elector struct {
	store  Store
	peers  Peers
	member string
	clock  clockwork.Clock
	log    *slog.Logger

	mu         sync.Mutex
	ownTerm    uint64    // of our own tenure; 0: we do not lead
	validUntil time.Time // our right to act ends here, by the local steady clock
	lease      uint64
	resigned   chan struct{} // closed when our own tenure was given up
	leader     string        // the member that leads, as far as we know
	leaderTerm uint64        // its term
	endedTerm  uint64        // this term and the earlier ones are over, as far as we know

	campaigning               bool         // a campaign is on its way on whose success we would act
	boundUntil                time.Time    // we promised neither to campaign nor to vouch before
	earlierVotesUntil         time.Time    // until then, an earlier process of this member may have promised
	earlierConfirmationsUntil time.Time    // until then, one may have vouched
	leadingTerm               uint64       // the last term that was read as leading since then
	confirmedOverTerm         uint64       // we vouched that this term is over; no promise for it or an earlier one
	voteRound                 uint64       // of asking the peers for promises; a newer one voids it
	failedRenewals            int          // renewals in a row without success
	failuresWhenOtherServed   int          // how many there were when another member was first seen to be served
	fencing                   fencingLease // that our own tenure has set
	standAsideUntil           time.Time    // until then the leadership is left to others, unless none takes it
	vacantSince               time.Time    // since when the leader key was found vacant; zero: it was held
}

// New makes an elector for a member.
func New(store Store, peers Peers, member string, clock clockwork.Clock, log *slog.Logger) *Elector {
	e := &Elector{store: store, peers: peers, member: member, clock: clock, log: log}
	// What an earlier process of this member promised or vouched for is not
	// known. It ended before this one began, so its promises end within
	// PromiseFor, and what it vouched for is acted on within VoucherFor.
	e.earlierVotesUntil = clock.Now().Add(voteKeptFor)
	e.boundUntil = e.earlierVotesUntil
	e.earlierConfirmationsUntil = clock.Now().Add(stretch(tuning.ConfirmationFor, tuning.ClockDrift))
	return e
}

func stretch(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share))
}

// Valid tells whether this controller may act as the leader of the term now.
func (e *Elector) Valid(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return term != 0 && e.ownTerm == term && e.clock.Now().Before(e.validUntil)
}

// Leader names the leading member, as far as this one knows; "" if unknown.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Holder names the leading member and its term, as far as this one knows.
func (e *Elector) Holder() (name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leaderTerm
}

func (e *Elector) noteHolder(name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case name != "":
		e.vacantSince = time.Time{}
	case e.vacantSince.IsZero():
		e.vacantSince = e.clock.Now()
	}
	if name == "" {
		e.endedTerm = max(e.endedTerm, e.leaderTerm)
	}
	e.leader, e.leaderTerm = name, term
}

// StandAside leaves the leadership to others for a while: this member cannot do its work, though its lease holds. It
// campaigns all the same once the leader key was vacant for long enough that no other takes it.
func (e *Elector) StandAside(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standAsideUntil = e.clock.Now().Add(d)
}

// NoteLeader takes in who leads by another member's knowledge: the state service may
// refuse us alone, and workers that come here must find the leader all the
// same. No right to act hangs on it.
func (e *Elector) NoteLeader(name string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name != "" && term > e.leaderTerm && term > e.endedTerm {
		e.leader, e.leaderTerm = name, term
	}
	if e.ownTerm != 0 && e.knowsLaterTerm(e.ownTerm) {
		e.resignLocked() // our lease is over, though the state service does not tell us
	}
}

// beginTerm sets our own right to act, in a tenure that begins. sent is when the
// request that gained the lease was sent: the lease cannot have begun earlier,
// and our clock may run fast or slow.
func (e *Elector) beginTerm(term, lease uint64, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownTerm, e.lease, e.resigned = term, lease, make(chan struct{})
	e.campaigning, e.fencing = false, fencingLease{}
	e.extendByRenewal(sent)
}

// noteRenewal takes in that the lease was renewed; false when the tenure was given
// up meanwhile.
func (e *Elector) noteRenewal(term uint64, sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownTerm != term {
		return false
	}
	e.extendByRenewal(sent)
	return true
}

// extendByRenewal counts the lease's time; the caller holds the lock.
func (e *Elector) extendByRenewal(sent time.Time) {
	e.failedRenewals, e.failuresWhenOtherServed = 0, 0
	e.validUntil = sent.Add(stretch(tuning.LeaseTTL, -tuning.ClockDrift))
}

func (e *Elector) resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignLocked()
}

// resignLocked ends our own tenure; the caller holds the lock.
func (e *Elector) resignLocked() {
	if e.ownTerm == 0 {
		return
	}
	e.endedTerm = max(e.endedTerm, e.ownTerm)
	if e.leaderTerm <= e.ownTerm {
		e.leader = "" // unless we heard of a later one
	}
	e.ownTerm, e.failedRenewals, e.failuresWhenOtherServed = 0, 0, 0
	e.voteRound++
	close(e.resigned)
}

// mayCampaign tells whether a campaign may begin, and marks that it does.
func (e *Elector) mayCampaign(ctx context.Context) bool {
	e.mu.Lock()
	now := e.clock.Now()
	ask := now.Before(e.boundUntil) && e.boundUntil.Equal(e.earlierVotesUntil)
	e.mu.Unlock()
	// Only a leader relies on promises. If nobody leads, those that an
	// earlier process may have given bind no more.
	free := ask && e.peers.NobodyLeads(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if free && e.boundUntil.Equal(e.earlierVotesUntil) {
		e.boundUntil = time.Time{}
	}
	now = e.clock.Now()
	if now.Before(e.boundUntil) || now.Before(e.standAsideUntil) && now.Sub(e.vacantSince) < tuning.YieldVacantAfter {
		return false
	}
	e.campaigning = true
	return true
}

func (e *Elector) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaigning = false
}

// Run campaigns until ctx ends. It calls lead in a goroutine of its own for
// each tenure; lead's context ends when the tenure is lost, and Run waits for it.
func (e *Elector) Run(ctx context.Context, lead func(context.Context, Leadership)) {
	for ctx.Err() == nil {
		// The term is read first: if the key is vacant after that, all terms up
		// to this one are over.
		sent := e.clock.Now()
		last, version, err := e.readTerm(ctx)
		var h holder
		var revision uint64
		var held bool
		if err == nil {
			h, revision, held, err = e.readHolder(ctx)
		}
		if err != nil {
			e.log.Debug("leader key unreadable", "err", err)
			e.pause(ctx, tuning.RetryLeader)
			continue
		}
		if held {
			if h.Member == e.member {
				e.revokePreviousLease(ctx, h)
				continue
			}
			e.noteHolder(h.Member, h.Term)
			e.noteStillLeading(h.Term, sent)
			e.waitForChange(ctx, revision)
			continue
		}
		e.noteHolder("", 0)
		if !e.mayCampaign(ctx) {
			e.pause(ctx, tuning.RetryCampaign)
			continue
		}
		leave, ok := e.checkEligibility(ctx, last)
		if !ok {
			e.endCampaign()
			e.pause(ctx, tuning.RetryCampaign)
			continue
		}
		tenure, ok := e.campaign(ctx, last, version, leave)
		if !ok {
			e.endCampaign()
			e.pause(ctx, time.Duration(rand.Int64N(int64(tuning.RetryLeader))))
			continue
		}
		e.lead(ctx, tenure, lead)
	}
}

func (e *Elector) pause(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, e.clock, d)
}

func (e *Elector) readHolder(ctx context.Context) (h holder, revision uint64, held bool, err error) {
	item, ok, err := e.store.Get(ctx, keyHolder)
	if err != nil || !ok {
		return h, 0, false, err
	}
	if err := json.Unmarshal(item.Value, &h); err != nil {
		// Held by something that we cannot read: still held.
		return holder{}, item.Version, true, nil
	}
	return h, item.Version, true, nil
}

// readTerm reads the last term that was begun, 0 if none was.
func (e *Elector) readTerm(ctx context.Context) (term, version uint64, err error) {
	var last termRecord
	item, known, err := e.store.Get(ctx, keyTerm)
	if err == nil && known {
		err = json.Unmarshal(item.Value, &last)
	}
	if err != nil {
		return 0, 0, fmt.Errorf("term: %w", err)
	}
	return last.Term, item.Version, nil
}

// waitForChange returns when the leader key may have changed.
func (e *Elector) waitForChange(ctx context.Context, revision uint64) {
	wait := tuning.LeaderWatch
	if unsure := e.earlierConfirmationsUntil.Sub(e.clock.Now()); unsure >= 0 && unsure < wait {
		wait = unsure + time.Millisecond // read again once that tells something
	}
	r, err := e.store.Watch(ctx, keyHolder, revision, wait)
	if err != nil {
		e.pause(ctx, tuning.RetryLeader)
		return
	}
	e.log.Debug("leader key watched", "events", len(r.Events))
}

// campaign tries once to become the leader. When the outcome of its
// transaction is unknown it gives the lease back and reports failure: a late
// success then holds a dead lease, and nobody acts on it. Nor does anybody
// once the leave is over: whoever vouched for us may not remember it after that.
func (e *Elector) campaign(ctx context.Context, last, version uint64, leave eligibility) (t Leadership, ok bool) {
	sent := e.clock.Now()
	lease, err := e.store.GrantLease(ctx, tuning.LeaseTTL)
	if err != nil {
		e.log.Debug("no lease granted", "err", err)
		return t, false
	}
	term := last + 1
	termValue, err := json.Marshal(termRecord{Term: term})
	if err != nil {
		return t, false
	}
	holderValue, err := json.Marshal(holder{Member: e.member, Term: term, Lease: lease})
	if err != nil {
		return t, false
	}
	revision, err := e.store.Commit(ctx, wire.Txn{
		If: append([]wire.Condition{{Key: keyHolder}, {Key: keyTerm, Version: version}}, leave.guards...),
		Then: []wire.Change{
			{Put: keyHolder, Value: holderValue, Lease: lease},
			{Put: keyTerm, Value: termValue},
		},
	})
	if err == nil && !leave.until.IsZero() && !e.clock.Now().Before(leave.until) {
		err = errors.New("the voucher is too old")
	}
	if err != nil {
		e.log.Debug("campaign failed", "err", err)
		e.revokeLease(ctx, lease)
		return t, false
	}
	e.beginTerm(term, lease, sent)
	e.noteHolder(e.member, term)
	return Leadership{Term: term, Guard: wire.Condition{Key: keyHolder, Version: revision}}, true
}

// revokePreviousLease ends a tenure that the leader key gives to this member, which does not lead: that of an earlier process of it,
// which is gone, since its addresses are ours; or of a campaign that had no answer, on which nobody acts. Both
// otherwise keep the key until the lease runs out, 4 s more without a leader for a process that is back at once.
func (e *Elector) revokePreviousLease(ctx context.Context, h holder) {
	e.log.Info("ending the tenure of an earlier process", "term", h.Term)
	if err := e.store.RevokeLease(ctx, h.Lease); err != nil {
		e.log.Debug("its lease is not ended", "err", err)
	}
	e.pause(ctx, tuning.RetryCampaign)
}

func (e *Elector) revokeLease(ctx context.Context, lease uint64) {
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.Debug("lease not given back", "err", err)
	}
}

// lead keeps the lease until it is lost. While the state service does not
// answer, the right to act runs out by the local clock (unless the peers'
// promises extend it), but the leadership is kept: after an outage the lease
// has its full time again, nobody else can have written anything, and a
// renewal brings the right back.
func (e *Elector) lead(ctx context.Context, t Leadership, lead func(context.Context, Leadership)) {
	e.log.Info("leading", "term", t.Term)
	e.mu.Lock()
	lease, yielded := e.lease, e.resigned
	e.mu.Unlock()
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leadCtx, t)
	}()
	var helpers sync.WaitGroup
	helpers.Go(func() { e.requestVotes(leadCtx, t.Term) })
	helpers.Go(func() { e.maintainFencing(leadCtx, t) })
	defer func() {
		e.resign()
		stop()
		<-done
		helpers.Wait()
		e.log.Info("no longer leading", "term", t.Term)
	}()
	// wait tells whether the tenure goes on after a while.
	wait := func(d time.Duration) bool {
		timer := e.clock.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-done:
			// The leader's work ended by itself: let another lead.
			e.revokeLease(ctx, lease)
			return false
		case <-yielded:
			return false
		case <-timer.Chan():
			return true
		}
	}
	for {
		if !wait(tuning.RenewEvery) {
			return
		}
		for ctx.Err() == nil {
			sent := e.clock.Now()
			err := e.store.RenewLease(ctx, lease)
			if err == nil {
				if !e.noteRenewal(t.Term, sent) {
					return
				}
				break
			}
			if errors.Is(err, statestore.ErrLeaseNotFound) {
				return
			}
			e.noteFailedRenewal()
			e.log.Debug("lease not renewed", "err", err)
			if !wait(tuning.RetryLeader) {
				return
			}
		}
	}
}
