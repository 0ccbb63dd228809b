package ledger

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Roll-ups spread rows of the same key over several pages. Compaction merges them later, and folding replaces old days by
// months. Neither changes the totals.
func TestCompactionAndFoldingKeepTheTotals(t *testing.T) {
	tl := newTestLeader(t)
	for i := range 400 {
		j := arrayJob(fmt.Sprintf("job-%d", i), 1)
		j.Account = fmt.Sprintf("an account with a long name, number %d", i%150)
		tl.submit(j)
		a := tl.allocateAndRun(j.ID)
		tl.clock.Advance(time.Minute)
		tl.end(a, wire.ExitDone, false)
		tl.commitAll()
		if i%8 == 7 {
			tl.ledger.Tick(tl.now())
			tl.ledger.detachedSince = time.Time{}
			for len(tl.ledger.detached) > 0 && tl.commitLedgerWrite(true) {
			}
		}
	}
	tl.checkAgainstTruth()
	before := len(tl.itemsWithPrefix(PrefixPage))
	tl.ledger.nextCompactCheck = time.Time{}
	tl.rollUpAll()
	tl.checkAgainstTruth()
	if after := len(tl.itemsWithPrefix(PrefixPage)); after >= before {
		t.Errorf("compaction turned %d pages into %d, want fewer pages", before, after)
	}
	if len(tl.ledger.closedPages) >= tuning.CompactAfterPages { // below that number, pages are not compacted
		tl.checkEachKeyIsInOneClosedPage()
	}
	tl.clock.Advance((tuning.MonthlyTotalsAfterDays + 40) * 24 * time.Hour)
	tl.ledger.nextCompactCheck = time.Time{}
	tl.rollUpAll()
	tl.newTerm()
	tl.checkAgainstTruth()
	for _, p := range tl.ledger.closedPages {
		for key := range p.rows {
			if len(key.Day) != len("2026-12") {
				t.Fatalf("the row of %v is not folded into its month", key)
			}
		}
	}
}

func (tl *testLeader) checkEachKeyIsInOneClosedPage() {
	tl.t.Helper()
	pages := map[RowKey]int{}
	for _, p := range tl.ledger.closedPages {
		for key := range p.rows {
			if pages[key]++; pages[key] > 1 {
				tl.t.Fatalf("two closed pages still have rows with the key %v", key)
			}
		}
	}
}
