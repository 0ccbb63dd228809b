package election

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

func TestNextLeaderIsElectedWhenTheLeaseExpires(t *testing.T) {
	clock, s := newState(t)
	a := start(t, "a", s, unreachablePeers, clock)
	first := <-a.terms
	if !a.Valid(first.Term) || a.Leader() != "a" {
		t.Fatalf("valid %v, leader %q", a.Valid(first.Term), a.Leader())
	}
	b := start(t, "b", s, unreachablePeers, clock)
	a.stop() // killed: it revokes nothing
	<-a.ended
	clock.Advance(2 * tuning.LeaseTTL)
	s.Expire()
	second := <-b.terms
	if second.Term <= first.Term || a.Valid(first.Term) || !b.Valid(second.Term) || b.Valid(first.Term) {
		t.Errorf("terms %d, %d", first.Term, second.Term)
	}
	// Whatever the first leader still sends fails on its guard.
	_, err := statestore.New(s.Addr(), 1e6, 1e6).Commit(t.Context(), wire.Txn{
		If: []wire.Condition{first.Guard}, Then: []wire.Change{{Put: "run/x", Value: json.RawMessage("1")}},
	})
	if err == nil {
		t.Error("a late transaction of the first leader was applied")
	}
}

// Guards against two leaders after a campaign of unknown outcome: nobody acts
// on it, and when its lease is over the next campaign has a higher term.
func TestCampaignOfUnknownOutcomeIsNotActedOn(t *testing.T) {
	clock, s := newState(t)
	muted := 0
	s.LoseAnswers(func(txn wire.Txn) bool {
		if strings.HasPrefix(txn.Then[0].Put, "lead/") {
			muted++
		}
		return muted == 1
	})
	a := start(t, "a", s, unreachablePeers, clock)
	var leadership Leadership
	until(t, s, clock, following, "a term of office", func() bool {
		select {
		case leadership = <-a.terms:
			return true
		default:
			return false
		}
	})
	if leadership.Term != 2 {
		t.Errorf("term %d; the campaign without an answer had term 1", leadership.Term)
	}
}

// A member that stands aside leaves the leadership to others, and takes it when none does.
func TestMemberStandsAsideUnlessNobodyElseLeads(t *testing.T) {
	clock, s := newState(t)
	a, _ := startProcess(t, s, clock, 0, false)
	a.StandAside(tuning.YieldFor)
	begun := clock.Now()
	passUntil(t, s, clock, a, a.terms)
	if took := clock.Since(begun); took < tuning.YieldVacantAfter || took > tuning.YieldVacantAfter+time.Second {
		t.Errorf("led after %v, though it stands aside and nobody else is there", took)
	}
}

// Guards against a campaign beside a leader whose key this member cannot read.
func TestUnreadableLeaderKeyCountsAsHeld(t *testing.T) {
	clock, s := newState(t)
	store := statestore.New(s.Addr(), 1e6, 1e6)
	if _, err := store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: keyHolder, Value: json.RawMessage("[]")}}}); err != nil {
		t.Fatal(err)
	}
	e := newElector(store, unreachablePeers, "a", clock)
	seen, err := e.readLeaderKey(t.Context())
	if err != nil || !seen.held || seen.holder != (holder{}) || seen.revision == 0 {
		t.Errorf("read as %+v, %v", seen, err)
	}
}
