package leader

import (
	"encoding/json"
	"errors"
	"testing"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// Guards against records that a former leader writes when another member leads already. Each transaction is guarded
// on the leader key as it was when the term began.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	l, clock := newTestLoop(t)
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	l.store = statestore.New(state.Addr(), 1e6, 1e6)
	writeLeaderKey := func() uint64 {
		revision, err := l.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: "lead/holder", Value: json.RawMessage("1")}}})
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	l.leadership.Guard = wire.Condition{Key: "lead/holder", Version: writeLeaderKey()}
	txn := wire.Txn{Then: []wire.Change{{Put: "run/x", Value: json.RawMessage("1")}}}
	if _, err := l.commit(txn, nil); err != nil {
		t.Fatal(err)
	}
	writeLeaderKey() // another member leads from now on
	txn.Then[0].Put = "run/y"
	if _, err := l.commit(txn, nil); !errors.Is(err, errDeposed) {
		t.Errorf("commit of a former leader: got error %v, want errDeposed", err)
	}
	if _, ok := state.Value("run/y"); ok {
		t.Error("the record of a former leader is stored")
	}
}
