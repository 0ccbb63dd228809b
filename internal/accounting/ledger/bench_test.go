package ledger

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// BenchmarkRecordCharge measures the time that the loop needs to record one attempt's charge, and by how many bytes the
// charge enlarges its record.
func BenchmarkRecordCharge(b *testing.B) {
	tl := newTestLeader(b)
	tl.submit(arrayJob("job-1", 1))
	a := tl.allocateAndRun("job-1")
	c := charge.Charge{Attempt: 1, StartMS: testStart.UnixMilli(), RunMS: 50_000, Money: 11_111, Outcome: charge.Done}
	b.ReportAllocs()
	for b.Loop() {
		c.Attempt++ // no two charges have the same ID
		tl.ledger.recordCharges(a, []charge.Charge{c}, tl.now())
		if len(tl.store.Jobs) > 0 && tl.ledger.stats.Charges%64 == 0 {
			tl.commitAll()
		}
	}
	pack := charge.Pack{Job: "job-000001", Traits: charge.JobTraits{Team: "fraud-desk-00", Class: "fraud-scoring", Cores: 4000}, Kinds: []charge.Kind{{Type: "scorer-16", Zone: "a"}}}
	empty := len(charge.EncodePack(&pack))
	for i := range 64 {
		c.Task, c.StartMS = i, c.StartMS+int64(i)
		pack.Charges = append(pack.Charges, c)
	}
	b.ReportMetric(float64(len(charge.EncodePack(&pack))-empty)/64, "B/charge")
}

// BenchmarkRollUpOfAMillionCharges rolls up a million charges of 20,000 jobs of 50 teams, and measures their size in the
// state service and the time of the roll-ups.
func BenchmarkRollUpOfAMillionCharges(b *testing.B) {
	const jobCount, chargesPerJob = 20_000, 50
	for b.Loop() {
		tl := newTestLeader(b)
		start := time.Now()
		setupTime := time.Duration(0)
		for i := range jobCount {
			setupTime -= time.Since(start)
			id := fmt.Sprintf("job-%06d", i)
			pack := &charge.Pack{Job: id, Traits: charge.JobTraits{
				Team: fmt.Sprintf("team-%02d", i%50), Account: fmt.Sprintf("owner-%d", i%7), Class: fmt.Sprintf("class-%d", i%4), Cores: 4000, Memory: 12000,
			}, Kinds: []charge.Kind{{Type: "scorer-16", Zone: "nairobi-west", Spot: i%2 == 0, Rate: 90_000}}}
			for k := range chargesPerJob {
				run := int64(30_000 + (i*7919+k*104729)%40_000)
				pack.Charges = append(pack.Charges, charge.Charge{
					Task: k, Attempt: 1, StartMS: testStart.UnixMilli() + int64(i)*4000 + int64(k*37%900), RunMS: run,
					Money: charge.Cost(90_000, time.Duration(run)*time.Millisecond), Outcome: charge.Done,
				})
			}
			item := wire.Item{Key: fmt.Sprintf("left/%s/0.1.0", id), Version: tl.revision + 1, Value: detachedValue(pack)}
			tl.apply(wire.Txn{Then: []wire.Change{{Put: item.Key, Value: item.Value}}})
			tl.store.LoadDetached(tl.items[item.Key])
			setupTime += time.Since(start)
			if i%9 == 8 {
				tl.ledger.Tick(tl.now())
				tl.ledger.detachedSince = time.Time{}
				tl.commitLedgerWrite(true)
			}
		}
		tl.ledger.nextCompactCheck = time.Time{}
		tl.rollUpAll()
		segmentBytes, pageBytes := 0, 0
		for _, item := range tl.itemsWithPrefix(PrefixSegment) {
			segmentBytes += len(item.Value)
		}
		for _, item := range tl.itemsWithPrefix(PrefixPage) {
			pageBytes += len(item.Value)
		}
		b.ReportMetric(float64(segmentBytes)/(jobCount*chargesPerJob), "B/charge-stored")
		b.ReportMetric(float64(pageBytes), "B-of-totals")
		b.ReportMetric(float64(len(tl.itemsWithPrefix(PrefixSegment))), "segments")
		b.ReportMetric(float64(tl.ledger.stats.Changes)/jobCount, "changes/job")
		b.ReportMetric((time.Since(start) - setupTime).Seconds(), "s-rolling")
	}
}

// detachedValue returns the stored form of a record of detached charges.
func detachedValue(p *charge.Pack) []byte {
	return wire.EncodeRecord(struct {
		Charges []byte `json:"c"`
	}{charge.EncodePack(p)})
}
