package ledger

import (
	"slices"
	"time"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/scheduler/jobs"
)

// onlyCharge gives the one charge of an attempt.
func (tl *testLeader) onlyCharge(k attemptID) charge.Charge {
	tl.t.Helper()
	stored, _ := tl.storedCharges()
	if len(stored[k]) != 1 {
		tl.t.Fatalf("%v has the charges %+v", k, stored[k])
	}
	return stored[k][0]
}

// storedCharges gives all charges that are stored, wherever they lie, by attempt.
func (tl *testLeader) storedCharges() (map[attemptID][]charge.Charge, charge.Amounts) {
	tl.t.Helper()
	out := map[attemptID][]charge.Charge{}
	var sum charge.Amounts
	take := func(p *charge.Pack) {
		for i := range p.Charges {
			c := &p.Charges[i]
			k := attemptID{p.Job, c.Task, c.Attempt}
			out[k] = append(out[k], *c)
			sum.Add(p.Traits.AmountsOf(c))
		}
	}
	for _, item := range append(tl.itemsWithPrefix(jobs.PrefixProgress), tl.itemsWithPrefix(jobs.PrefixDetached)...) {
		p, err := jobs.DecodeCharges(item)
		if err != nil {
			tl.t.Fatal(err)
		}
		if p != nil {
			take(p)
		}
	}
	for _, item := range tl.itemsWithPrefix(PrefixSegment) {
		packs, err := ReadSegment(tl.ledger.codec, item)
		if err != nil {
			tl.t.Fatal(err)
		}
		for i := range packs {
			take(&packs[i])
		}
	}
	for _, parts := range out {
		slices.SortFunc(parts, func(a, b charge.Charge) int { return a.Part - b.Part })
	}
	return out, sum
}

// checkAgainstTruth compares what is stored with what happened: each attempt whose end is
// stored is charged once, to the millisecond or as an upper bound that says so.
func (tl *testLeader) checkAgainstTruth() {
	tl.t.Helper()
	tl.commitAll()
	stored, sum := tl.storedCharges()
	for k, parts := range stored {
		truth := tl.attempts[k]
		if truth == nil {
			tl.t.Fatalf("%v was never started and is charged", k)
		}
		run, bound := int64(0), false
		for i, c := range parts {
			if c.Part != i {
				tl.t.Fatalf("%v: part %d stands where %d is expected", k, c.Part, i)
			}
			if last := i == len(parts)-1; last && !truth.ended.IsZero() == (c.Outcome == charge.Continues) || !last && c.Outcome != charge.Continues {
				tl.t.Fatalf("%v: part %d of %d ended as %v", k, i, len(parts), c.Outcome)
			}
			if i > 0 && parts[i-1].End() != c.Start {
				tl.t.Fatalf("%v: a gap before part %d", k, i)
			}
			if charge.DayOf(c.Start, time.UTC) != charge.DayOf(max(c.Start, c.End()-1), time.UTC) {
				tl.t.Fatalf("%v: part %d lies in two days", k, i)
			}
			run += c.Run
			bound = bound || c.Flags&charge.UpperBound != 0
		}
		if truth.ended.IsZero() {
			continue
		}
		want := int64(0)
		if !truth.began.IsZero() {
			want = truth.ended.Sub(truth.began).Milliseconds()
		}
		if run != want && !bound || run < want {
			tl.t.Fatalf("%v ran %d ms and is charged for %d (bound %v)", k, want, run, bound)
		}
	}
	for k, truth := range tl.attempts {
		if !truth.ended.IsZero() && len(stored[k]) == 0 {
			tl.t.Fatalf("%v ended and is not charged", k)
		}
	}
	totals := tl.ledger.totals(Query{By: []string{"team"}}, tl.now())
	if totals.Sum.CoreMicroS != sum.Core || totals.Sum.MoneyMicro != sum.Money || totals.Sum.Attempts != sum.Attempts() {
		tl.t.Fatalf("totals %+v, the charges make %+v", totals.Sum, sum)
	}
	var used budget.Usage
	for _, b := range tl.ledger.budgets.TeamUsage("t") {
		used.Add(b)
	}
	if used.Core != sum.Core || used.Money != sum.Money {
		tl.t.Fatalf("budgets count %+v, the charges make %+v", used, sum)
	}
}
