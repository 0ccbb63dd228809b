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
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			state := fakes.NewStore(clock)
			t.Cleanup(state.Close)
			l.store = statestore.New(state.Addr(), 1e6, 1e6)
			lost := 0 // answers
			state.DelayTransactions(func(txn wire.Txn) bool {
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
					t.Fatalf("%v", err)
				}
			}
			lost = 1
			write(c.before, false)
			lost = 0
			write(c.late, true)
			if lost != 1 || state.HeldTransactions() != 1 {
				t.Fatalf("%d transactions lost their answers", lost)
			}
			write(c.after, false)
			if late := state.Deliver(); len(late) != 0 {
				t.Errorf("carried out late: %v", late)
			}
			item, ok := state.Value(c.key)
			if ok != (c.want != "") || string(item.Value) != c.want {
				t.Errorf("%s is %q", c.key, item.Value)
			}
		})
	}
}

// Guards against a subsystem that always has something to write and holds up the others, and
// against one whose records cannot be stored and stops them all.
func TestSubsystemsTakeTurns(t *testing.T) {
	l, clock := newTestLoop(t)
	a, b := &busySubsystem{name: "a"}, &busySubsystem{name: "b"}
	l.subsystems.joined = []Subsystem{a, b}
	for range 10 {
		if _, w := l.subsystems.nextWrite(clock.Now(), 10); w == nil {
			t.Fatal("nothing to write")
		}
	}
	if a.asked != 5 || b.asked != 5 {
		t.Errorf("asked %d and %d times", a.asked, b.asked)
	}
	l.subsystems.writes.failed[a] = true
	for range 4 {
		if s, _ := l.subsystems.nextWrite(clock.Now(), 10); s != b {
			t.Fatal("not the one whose records can be stored")
		}
	}
}
