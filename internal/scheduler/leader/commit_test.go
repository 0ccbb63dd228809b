package leader

import (
	"encoding/json"
	"errors"
	"testing"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// Guards against records that a former leader writes once another leads: each transaction is guarded on the leader key as it was when
// the term began.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	l, clock := newTestLoop(t)
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	l.store = statestore.New(state.Addr(), 1e6, 1e6)
	holder := func() uint64 {
		revision, err := l.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: "lead/holder", Value: json.RawMessage("1")}}})
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	l.leadership.Guard = wire.Condition{Key: "lead/holder", Version: holder()}
	txn := wire.Txn{Then: []wire.Change{{Put: "run/x", Value: json.RawMessage("1")}}}
	if _, err := l.commit(txn, nil); err != nil {
		t.Fatal(err)
	}
	holder() // another leads
	txn.Then[0].Put = "run/y"
	if _, err := l.commit(txn, nil); !errors.Is(err, errDeposed) {
		t.Errorf("told %v", err)
	}
	if _, ok := state.Value("run/y"); ok {
		t.Error("a former leader's record is stored")
	}
}
