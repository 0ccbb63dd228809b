package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// apply applies a transaction as the state service does, with the same kinds of limits, and returns its revision. Every
// condition must hold, because only one leader writes.
func (tl *testLeader) apply(txn wire.Txn) uint64 {
	for _, c := range txn.If {
		if tl.items[c.Key].Version != c.Version {
			tl.t.Fatalf("a condition does not hold: %s has version %d, want %d", c.Key, tl.items[c.Key].Version, c.Version)
		}
	}
	if len(txn.Then) > tl.maxTxnChanges || len(txn.If) >= 4*tl.maxTxnChanges {
		tl.t.Fatalf("a transaction has %d changes and %d conditions", len(txn.Then), len(txn.If))
	}
	tl.revision++
	tl.writtenChanges += len(txn.Then)
	raw := wire.EncodeRecord(txn)
	if tl.longestTxnBytes = max(tl.longestTxnBytes, len(raw)); len(raw) > 64<<10 {
		tl.t.Fatalf("a transaction has %d bytes", len(raw))
	}
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(tl.items, c.Delete)
			continue
		}
		if len(c.Value) > 16<<10 {
			tl.t.Fatalf("%s has %d bytes", c.Put, len(c.Value))
		}
		tl.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: tl.revision}
	}
	return tl.revision
}

// itemsWithPrefix returns the stored records whose keys have a prefix, ordered by key.
func (tl *testLeader) itemsWithPrefix(prefix string) []wire.Item {
	var out []wire.Item
	for _, key := range slices.Sorted(maps.Keys(tl.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, tl.items[key])
		}
	}
	return out
}

// commitBatch commits the job store's next transaction, and reports whether there was one. If answered is false, the
// answer is lost, so the leader does not learn that the transaction was committed.
func (tl *testLeader) commitBatch(answered bool) bool {
	tl.store.WriteDue(tl.now())
	batch := tl.store.NextBatch(tl.now().Add(time.Hour), jobs.WriteBudget{Spare: 1000})
	if batch == nil {
		return false
	}
	revision := tl.apply(batch.Txn)
	for _, j := range tl.store.Jobs {
		for i := range j.Tasks {
			if a := j.Tasks[i].Allocation; a != nil {
				tl.allocations[attemptIDOf(a)] = a
			}
		}
	}
	// Stored allocations are started, even if this leader never learns that they are stored.
	for _, item := range tl.itemsWithPrefix(jobs.PrefixProgress) {
		tl.noteStarted(item)
	}
	if answered {
		tl.store.MarkCommitted(batch, revision)
	}
	return true
}

// noteStarted records the attempts in a progress record as started on their machines.
func (tl *testLeader) noteStarted(item wire.Item) {
	var r struct {
		Tasks []struct {
			I int
			A uint64
			M string
		} `json:"t"`
	}
	if err := json.Unmarshal(item.Value, &r); err != nil {
		tl.t.Fatal(err)
	}
	id := strings.Split(item.Key, "/")[1]
	for _, entry := range r.Tasks {
		if attempt := (attemptID{id, entry.I, entry.A}); entry.M != "" && tl.attempts[attempt] == nil {
			tl.attempts[attempt] = &attemptTruth{}
		}
	}
}

// commitAll commits everything that waits in the job store to be written.
func (tl *testLeader) commitAll() {
	for tl.commitBatch(true) {
	}
}

// commitLedgerWrite commits the ledger's next transaction, and reports whether there was one. If answered is false, the
// answer is lost, so the ledger does not learn that the transaction was committed.
func (tl *testLeader) commitLedgerWrite(answered bool) bool {
	tl.ledger.Tick(tl.now())
	write := tl.ledger.NextWrite(tl.now(), 1000)
	if write == nil {
		return false
	}
	if revision := tl.apply(write.Txn); answered {
		write.Done(revision)
	}
	return true
}

// rollUpAll rolls up all charges and commits all other transactions of the ledger that are due.
func (tl *testLeader) rollUpAll() {
	tl.commitAll()
	tl.ledger.Tick(tl.now())
	for {
		tl.ledger.detachedSince = time.Time{} // so that a roll-up is due
		if !tl.commitLedgerWrite(true) {
			return
		}
	}
}
