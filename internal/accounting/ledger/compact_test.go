package ledger

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Rows of one name are spread over pages as they come, and brought together later;
// days of long ago become months. The totals are the same all the time.
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
	names := map[RowKey]int{}
	for _, p := range tl.ledger.closedPages {
		if len(tl.ledger.closedPages) < tuning.CompactPages {
			break // so few are left as they are
		}
		for n := range p.rows {
			if names[n]++; names[n] > 1 {
				t.Fatalf("%v still stands in two closed pages", n)
			}
		}
	}
	tl.clock.Advance((tuning.MonthlyTotalsAfterDays + 40) * 24 * time.Hour)
	tl.ledger.nextCompactCheck = time.Time{}
	tl.rollUpAll()
	tl.newTerm()
	tl.checkAgainstTruth()
	for _, p := range tl.ledger.closedPages {
		for n := range p.rows {
			if len(n.Day) != len("2026-12") {
				t.Fatalf("%v is not folded", n)
			}
		}
	}
}
