package ledger

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Rows of one key are spread over pages as charges come, and compaction brings them together
// later; old days become months. The totals stay the same all the time.
func TestCompactionAndFoldingKeepTheTotals(t *testing.T) {
	tl := newTestLeader(t)
	for i := range 400 {
		j := jobArray(fmt.Sprintf("job-%d", i), 1)
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
		t.Errorf("%d pages are %d after compaction", before, after)
	}
	if len(tl.ledger.closedPages) >= tuning.CompactAfterPages { // fewer are not compacted
		tl.checkRowsAreInOneClosedPage()
	}
	tl.clock.Advance((tuning.MonthlyTotalsAfterDays + 40) * 24 * time.Hour)
	tl.ledger.nextCompactCheck = time.Time{}
	tl.rollUpAll()
	tl.newTerm()
	tl.checkAgainstTruth()
	for _, p := range tl.ledger.closedPages {
		for key := range p.rows {
			if len(key.Day) != len("2026-12") {
				t.Fatalf("%v is not folded", key)
			}
		}
	}
}

func (tl *testLeader) checkRowsAreInOneClosedPage() {
	tl.t.Helper()
	pages := map[RowKey]int{}
	for _, p := range tl.ledger.closedPages {
		for key := range p.rows {
			if pages[key]++; pages[key] > 1 {
				tl.t.Fatalf("%v still stands in two closed pages", key)
			}
		}
	}
}
