package ledger

import (
	"slices"
	"time"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/scheduler/jobs"
)

// onlyCharge returns the one charge of an attempt.
func (tl *testLeader) onlyCharge(id attemptID) charge.Charge {
	tl.t.Helper()
	stored, _ := tl.storedCharges()
	if len(stored[id]) != 1 {
		tl.t.Fatalf("%v has the charges %+v", id, stored[id])
	}
	return stored[id][0]
}

// storedCharges returns all charges that are stored, wherever they are, by attempt and in
// the order of their parts, and their sum.
func (tl *testLeader) storedCharges() (map[attemptID][]charge.Charge, charge.Amounts) {
	tl.t.Helper()
	out := map[attemptID][]charge.Charge{}
	var sum charge.Amounts
	add := func(p *charge.Pack) {
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
			add(p)
		}
	}
	for _, item := range tl.itemsWithPrefix(PrefixSegment) {
		packs, err := ReadSegment(tl.ledger.codec, item)
		if err != nil {
			tl.t.Fatal(err)
		}
		for i := range packs {
			add(&packs[i])
		}
	}
	for _, parts := range out {
		slices.SortFunc(parts, func(a, b charge.Charge) int { return a.Part - b.Part })
	}
	return out, sum
}

// checkAgainstTruth compares what is stored with what happened: each attempt whose end is
// stored is charged once, to the millisecond or as an upper bound that says so; and the
// totals and what the budgets count are the sum of the charges.
func (tl *testLeader) checkAgainstTruth() {
	tl.t.Helper()
	tl.commitAll()
	stored, sum := tl.storedCharges()
	for id, parts := range stored {
		truth := tl.attempts[id]
		if truth == nil {
			tl.t.Fatalf("%v was never started and is charged", id)
		}
		tl.checkParts(id, parts, truth)
		tl.checkRunTime(id, parts, truth)
	}
	for id, truth := range tl.attempts {
		if !truth.ended.IsZero() && len(stored[id]) == 0 {
			tl.t.Fatalf("%v ended and is not charged", id)
		}
	}
	tl.checkSums(sum)
}

// checkParts checks that an attempt's parts follow each other without a gap, each in one
// day, and that only the last one of an attempt that ended has an outcome.
func (tl *testLeader) checkParts(id attemptID, parts []charge.Charge, truth *attemptTruth) {
	tl.t.Helper()
	for i, c := range parts {
		if c.Part != i {
			tl.t.Fatalf("%v: part %d stands where %d is expected", id, c.Part, i)
		}
		if last := i == len(parts)-1; last && !truth.ended.IsZero() == (c.Outcome == charge.Continues) || !last && c.Outcome != charge.Continues {
			tl.t.Fatalf("%v: part %d of %d ended as %v", id, i, len(parts), c.Outcome)
		}
		if i > 0 && parts[i-1].End() != c.Start {
			tl.t.Fatalf("%v: a gap before part %d", id, i)
		}
		if charge.DayOf(c.Start, time.UTC) != charge.DayOf(max(c.Start, c.End()-1), time.UTC) {
			tl.t.Fatalf("%v: part %d lies in two days", id, i)
		}
	}
}

// checkRunTime checks that an attempt that ended is charged for the time that it ran, or
// for more if a part says that it is an upper bound.
func (tl *testLeader) checkRunTime(id attemptID, parts []charge.Charge, truth *attemptTruth) {
	tl.t.Helper()
	if truth.ended.IsZero() {
		return
	}
	run, bound := int64(0), false
	for _, c := range parts {
		run += c.Run
		bound = bound || c.Flags&charge.UpperBound != 0
	}
	want := int64(0)
	if !truth.began.IsZero() {
		want = truth.ended.Sub(truth.began).Milliseconds()
	}
	if run != want && !bound || run < want {
		tl.t.Fatalf("%v ran %d ms and is charged for %d (bound %v)", id, want, run, bound)
	}
}

// checkSums checks that the totals and what the budgets count are the sum of all charges.
func (tl *testLeader) checkSums(sum charge.Amounts) {
	tl.t.Helper()
	totals := tl.ledger.totals(Query{By: []string{"team"}}, tl.now())
	if totals.Sum.CoreMicroS != sum.Core || totals.Sum.MoneyMicro != sum.Money || totals.Sum.Attempts != sum.Attempts() {
		tl.t.Fatalf("totals %+v, the charges make %+v", totals.Sum, sum)
	}
	var used budget.Usage
	for _, u := range tl.ledger.budgets.TeamUsage("t") {
		used.Add(u)
	}
	if used.Core != sum.Core || used.Money != sum.Money {
		tl.t.Fatalf("budgets count %+v, the charges make %+v", used, sum)
	}
}
