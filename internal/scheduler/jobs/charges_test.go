package jobs

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// chargeAtNewPrices allocates every waiting task of a job, each at a price that no other allocation has, ends the
// attempts of those for which ends returns true, and charges them.
func chargeAtNewPrices(s *Store, j *Job, price *int64, now time.Time, ends func() bool) {
	for i := range j.Tasks {
		if j.Tasks[i].State == Waiting {
			a := s.Allocate(j, i, fmt.Sprintf("n-%06d-long-name", i), "a-zone-with-a-name", 1<<30, now)
			*price++
			a.Kind = charge.Kind{Type: "a-machine-type-16", Zone: "a-zone-with-a-name", Spot: true, Rate: 1_000_000_000 + *price}
			a.AllocatedAt, a.ChargedFrom = now, now
		}
		if a := j.Tasks[i].Allocation; a != nil && ends() {
			s.AddCharges(a, []charge.Charge{{Task: i, Attempt: j.Tasks[i].Attempt, StartMS: now.UnixMilli(), RunMS: 60_000, Money: a.Kind.Rate}}, now)
			s.MarkLost(a, now)
		}
	}
}

// storedMoney returns the sum of all stored charges, and checks that each has the price of its machine kind.
func storedMoney(t rapid.TB, kv *kvStore) (money int64) {
	t.Helper()
	for _, item := range kv.items {
		pack, err := DecodeCharges(item)
		if err != nil {
			t.Fatal(err)
		}
		if pack == nil {
			continue
		}
		for _, c := range pack.Charges {
			if rate := pack.Kinds[c.KindIndex].Rate; rate != c.Money {
				t.Fatalf("a charge at price %d is stored with price %d", c.Money, rate)
			}
			money += c.Money
		}
	}
	return money
}

// Guards against a job whose charges end every leader's term: each price of a machine was kept in the job's progress
// record for good, so a job that failed for hours while spot prices moved made the record too long. Property: no record
// and no transaction exceeds its limit, and no charge is lost or changed, whenever leaders change.
func TestChargesAtEverNewPricesFitTheirRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kv := newKVStore(t)
		kv.accept("job-1", rapid.IntRange(1, 2*tuning.TasksPerChunk).Draw(rt, "tasks"))
		s, _ := kv.load(12)
		s.Metered = true
		price, now := int64(0), t0
		charged := int64(0)
		for range rapid.IntRange(1, 40).Draw(rt, "rounds") {
			j, ending := s.Jobs["job-1"], rapid.IntRange(1, 4).Draw(rt, "ending")
			count := 0
			chargeAtNewPrices(s, j, &price, now, func() bool { count++; return count%ending == 0 })
			if rapid.IntRange(0, 3).Draw(rt, "written") > 0 {
				writeWithinLimits(rt, kv, s)
			}
			if rapid.IntRange(0, 9).Draw(rt, "leader changes") == 0 {
				writeWithinLimits(rt, kv, s)
				s, _ = kv.load(12)
				s.Metered = true
			}
		}
		for i, j := 0, s.Jobs["job-1"]; i < len(j.Tasks); i++ {
			if a := j.Tasks[i].Allocation; a != nil {
				s.AddCharges(a, []charge.Charge{{Task: i, Attempt: j.Tasks[i].Attempt, StartMS: now.UnixMilli(), Money: a.Kind.Rate}}, now)
				s.MarkLost(a, now)
			}
		}
		for p := int64(1); p <= price; p++ {
			charged += 1_000_000_000 + p
		}
		writeWithinLimits(rt, kv, s)
		if stored := storedMoney(rt, kv); stored != charged {
			rt.Fatalf("charges of %d are stored, want %d", stored, charged)
		}
		s.Cancel(s.Jobs["job-1"], func(wire.JobState) {})
		writeWithinLimits(rt, kv, s)
		if stored := storedMoney(rt, kv); stored != charged {
			rt.Fatalf("after the job's end charges of %d are stored, want %d", stored, charged)
		}
	})
}

// writeWithinLimits writes all pending changes, and checks that the state service accepts their sizes.
func writeWithinLimits(t rapid.TB, kv *kvStore, s *Store) {
	t.Helper()
	for batch := s.NextBatch(later, WriteBudget{Spare: 1000}); batch != nil; batch = s.NextBatch(later, WriteBudget{Spare: 1000}) {
		for _, c := range batch.Txn.Then {
			if len(c.Value) > 16<<10 {
				t.Fatalf("record %s has %d bytes, want at most 16 KiB", c.Put, len(c.Value))
			}
		}
		if n := len(wire.EncodeRecord(batch.Txn)); n > 64<<10 {
			t.Fatalf("a transaction has %d bytes, want at most 64 KiB", n)
		}
		s.MarkCommitted(batch, kv.apply(batch.Txn))
	}
}
