package leader

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// Guards against a subsystem's transaction that had no answer, was repeated, and is carried out once more after newer ones of the same
// leader: a definition that was dropped and registered again lost its parts, a run that was deleted was there again.
func TestLateDuplicateOfSubsystemTransactionChangesNothing(t *testing.T) {
	put := func(key, value string) wire.Change { return wire.Change{Put: key, Value: json.RawMessage(value)} }
	for _, c := range []struct {
		name         string
		before, late wire.Txn // late has no answer at first
		after        wire.Txn
		key, want    string // empty: it is not there
	}{
		{"dropped whatever it holds, and made again", wire.Txn{Then: []wire.Change{put("g/1", "1")}}, wire.Txn{Then: []wire.Change{{Delete: "g/1"}}},
			wire.Txn{Then: []wire.Change{put("g/1", "2")}}, "g/1", "2"},
		{"made, and dropped again", wire.Txn{Then: []wire.Change{put("g/0", "1")}}, wire.Txn{If: []wire.Condition{{Key: "g/2"}}, Then: []wire.Change{put("g/2", "1")}},
			wire.Txn{Then: []wire.Change{{Delete: "g/2"}}}, "g/2", ""},
	} {
		l, clock := newTestLoop(t)
		state := fakes.NewState(clock)
		t.Cleanup(state.Close)
		l.store = statestore.New(state.Addr(), 1e6, 1e6)
		lost := 0 // answers
		state.Late(func(txn wire.Txn) bool {
			if txn.Then[len(txn.Then)-1].Delete+txn.Then[len(txn.Then)-1].Put != c.key || lost > 0 {
				return false
			}
			lost++
			return true
		})
		write := func(txn wire.Txn, repeated bool) {
			t.Helper()
			done := make(chan error, 1)
			go func() { _, err := l.commitChained(txn); done <- err }()
			if repeated {
				ctx, stop := context.WithTimeout(t.Context(), time.Minute) // a hang is a failure
				defer stop()
				if err := clock.BlockUntilContext(ctx, 1); err != nil {
					t.Fatal(err)
				}
				clock.Advance(tuning.StateRetry)
			}
			if err := <-done; err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
		}
		lost = 1
		write(c.before, false)
		lost = 0
		write(c.late, true)
		if lost != 1 || state.Held() != 1 {
			t.Fatalf("%s: %d transactions lost their answers", c.name, lost)
		}
		write(c.after, false)
		if late := state.Deliver(); len(late) != 0 {
			t.Errorf("%s: carried out late: %v", c.name, late)
		}
		item, ok := state.Value(c.key)
		if ok != (c.want != "") || string(item.Value) != c.want {
			t.Errorf("%s: %s is %q", c.name, c.key, item.Value)
		}
	}
}

// Guards against records that a former leader writes once another leads: each transaction is guarded on the leader key as it was when
// the tenure began.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	l, clock := newTestLoop(t)
	state := fakes.NewState(clock)
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

// Guards against an answer from memory by a leader whose right ended while it was being given.
func TestStatusNeedsTheRightToAct(t *testing.T) {
	l, _ := newTestLoop(t)
	l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1})
	for _, valid := range []bool{true, false} {
		l.env.Valid = func(uint64) bool { return valid }
		got := make(chan bool, 1)
		go func() { _, ok := l.Status(t.Context(), "job-1"); got <- ok }()
		(<-l.inbox)()
		if ok := <-got; ok != valid {
			t.Errorf("answers %v with a right that is %v", ok, valid)
		}
	}
}
