package leader

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// Guards against a transaction of a subsystem that had no answer, was repeated, and is then executed once more
// after newer transactions of the same leader: a definition that was deleted and registered again lost its parts,
// and a run that was deleted existed again.
func TestLateDuplicateOfSubsystemTransactionChangesNothing(t *testing.T) {
	put := func(key, value string) wire.Change { return wire.Change{Put: key, Value: json.RawMessage(value)} }
	for _, c := range []struct {
		name         string
		before, late wire.Txn // late has no answer at first
		after        wire.Txn
		key, want    string // want is empty if the record must not exist
	}{
		{"deleted without a condition, and created again", wire.Txn{Then: []wire.Change{put("g/1", "1")}}, wire.Txn{Then: []wire.Change{{Delete: "g/1"}}},
			wire.Txn{Then: []wire.Change{put("g/1", "2")}}, "g/1", "2"},
		{"created, and deleted again", wire.Txn{Then: []wire.Change{put("g/0", "1")}}, wire.Txn{If: []wire.Condition{{Key: "g/2"}}, Then: []wire.Change{put("g/2", "1")}},
			wire.Txn{Then: []wire.Change{{Delete: "g/2"}}}, "g/2", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			state := fakes.NewStore(clock)
			t.Cleanup(state.Close)
			l.store = statestore.New(state.Addr(), 1e6, 1e6)
			lostAnswers := 0 // number of transactions whose first answer was lost
			state.DelayTransactions(func(txn wire.Txn) bool {
				if txn.Then[len(txn.Then)-1].Delete+txn.Then[len(txn.Then)-1].Put != c.key || lostAnswers > 0 {
					return false
				}
				lostAnswers++
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
					clock.Advance(tuning.StateRetryPause)
				}
				if err := <-done; err != nil {
					t.Fatalf("committing a chained transaction: %v", err)
				}
			}
			lostAnswers = 1 // so that the answer to c.before is not lost
			write(c.before, false)
			lostAnswers = 0
			write(c.late, true)
			if lostAnswers != 1 || state.UndeliveredRequests() != 1 {
				t.Fatalf("%d transactions lost their answers, want one that the state service holds", lostAnswers)
			}
			write(c.after, false)
			if late := state.Deliver(); len(late) != 0 {
				t.Errorf("late duplicates were executed: %v", late)
			}
			item, ok := state.Value(c.key)
			if ok != (c.want != "") || string(item.Value) != c.want {
				t.Errorf("the value of %s is %q", c.key, item.Value)
			}
		})
	}
}

// Guards against a subsystem that always has something to write and blocks the others, and against one whose
// records cannot be stored and stops them all.
func TestSubsystemsTakeTurns(t *testing.T) {
	l, clock := newTestLoop(t)
	a, b := &busySubsystem{name: "a"}, &busySubsystem{name: "b"}
	l.subsystems.active = []Subsystem{a, b}
	for range 10 {
		if _, w := l.subsystems.nextWrite(clock.Now(), 10); w == nil {
			t.Fatal("nothing to write")
		}
	}
	if a.nextWriteCalls != 5 || b.nextWriteCalls != 5 {
		t.Errorf("the subsystems were asked %d and %d times, want 5 each", a.nextWriteCalls, b.nextWriteCalls)
	}
	l.subsystems.writes.failed[a] = true
	for range 4 {
		if s, _ := l.subsystems.nextWrite(clock.Now(), 10); s != b {
			t.Fatal("nextWrite chose the subsystem whose records could not be stored")
		}
	}
}
