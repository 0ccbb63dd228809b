package ledger

import (
	"slices"
	"time"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/scheduler/jobs"
)

// onlyCharge returns the charge of an attempt that must have exactly one.
func (tl *testLeader) onlyCharge(id attemptID) charge.Charge {
	tl.t.Helper()
	stored, _ := tl.storedCharges()
	if len(stored[id]) != 1 {
		tl.t.Fatalf("%v has the charges %+v, want one", id, stored[id])
	}
	return stored[id][0]
}

// storedCharges returns all stored charges, from progress records, records of detached charges and segments, by attempt
// and ordered by part, and their sum.
func (tl *testLeader) storedCharges() (map[attemptID][]charge.Charge, charge.Amounts) {
	tl.t.Helper()
	charges := map[attemptID][]charge.Charge{}
	var sum charge.Amounts
	add := func(p *charge.Pack) {
		for i := range p.Charges {
			c := &p.Charges[i]
			id := attemptID{p.Job, c.Task, c.Attempt}
			charges[id] = append(charges[id], *c)
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
	for _, parts := range charges {
		slices.SortFunc(parts, func(a, b charge.Charge) int { return a.Part - b.Part })
	}
	return charges, sum
}

// checkAgainstTruth compares the stored charges with the ground truth. Each attempt that ended must be charged once,
// exactly to the millisecond unless the charge is flagged as an upper bound. The totals and the budgets' usage must be the
// sum of the charges.
func (tl *testLeader) checkAgainstTruth() {
	tl.t.Helper()
	tl.commitAll()
	stored, sum := tl.storedCharges()
	for id, parts := range stored {
		truth := tl.attempts[id]
		if truth == nil {
			tl.t.Fatalf("%v was never started but is charged", id)
		}
		tl.checkParts(id, parts, truth)
		tl.checkRunTime(id, parts, truth)
	}
	for id, truth := range tl.attempts {
		if !truth.endedAt.IsZero() && len(stored[id]) == 0 {
			tl.t.Fatalf("%v ended but is not charged", id)
		}
	}
	tl.checkSums(sum)
}

// checkParts checks that the parts of an attempt are contiguous, that each is within one day, and that only the last
// part of an attempt that ended has an outcome.
func (tl *testLeader) checkParts(id attemptID, parts []charge.Charge, truth *attemptTruth) {
	tl.t.Helper()
	for i, c := range parts {
		if c.Part != i {
			tl.t.Fatalf("%v: got part %d, want part %d", id, c.Part, i)
		}
		if last := i == len(parts)-1; last && !truth.endedAt.IsZero() == (c.Outcome == charge.Continues) || !last && c.Outcome != charge.Continues {
			tl.t.Fatalf("%v: part %d of %d has the outcome %v", id, i, len(parts), c.Outcome)
		}
		if i > 0 && parts[i-1].EndMS() != c.StartMS {
			tl.t.Fatalf("%v: part %d does not begin when the previous part ends", id, i)
		}
		if charge.DayOf(c.StartMS, time.UTC) != charge.DayOf(max(c.StartMS, c.EndMS()-1), time.UTC) {
			tl.t.Fatalf("%v: part %d extends over two days", id, i)
		}
	}
}

// checkRunTime checks that an attempt that ended is charged for its run time, or for more if a part is flagged as an upper
// bound.
func (tl *testLeader) checkRunTime(id attemptID, parts []charge.Charge, truth *attemptTruth) {
	tl.t.Helper()
	if truth.endedAt.IsZero() {
		return
	}
	run, upperBound := int64(0), false
	for _, c := range parts {
		run += c.RunMS
		upperBound = upperBound || c.Flags&charge.UpperBound != 0
	}
	want := int64(0)
	if !truth.beganAt.IsZero() {
		want = truth.endedAt.Sub(truth.beganAt).Milliseconds()
	}
	if run != want && !upperBound || run < want {
		tl.t.Fatalf("%v ran %d ms but is charged for %d ms (upper bound: %v)", id, want, run, upperBound)
	}
}

// checkSums checks that the totals and the budgets' usage are the sum of all charges.
func (tl *testLeader) checkSums(sum charge.Amounts) {
	tl.t.Helper()
	totals := tl.ledger.totals(Query{By: []string{"team"}}, tl.now())
	if totals.Sum.CoreMicroS != sum.Core || totals.Sum.MoneyMicro != sum.Money || totals.Sum.Attempts != sum.Attempts() {
		tl.t.Fatalf("the totals are %+v, but the charges sum to %+v", totals.Sum, sum)
	}
	var used budget.Usage
	for _, u := range tl.ledger.budgets.TeamUsage("t") {
		used.Add(u)
	}
	if used.Core != sum.Core || used.Money != sum.Money {
		tl.t.Fatalf("the budgets' usage is %+v, but the charges sum to %+v", used, sum)
	}
}
