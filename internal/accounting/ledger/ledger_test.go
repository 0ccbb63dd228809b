package ledger

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testutil"
)

func TestMain(m *testing.M) { os.Exit(testutil.FixedSeed(m)) }

func jobArray(id string, tasks int) wire.Job {
	return wire.Job{ID: id, Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, Image: "img", EstimateS: 10}
}

// onlyCharge gives the one charge of an attempt.
func (w *testLeader) onlyCharge(k attemptID) charge.Charge {
	w.t.Helper()
	stored, _ := w.storedCharges()
	if len(stored[k]) != 1 {
		w.t.Fatalf("%v has the charges %+v", k, stored[k])
	}
	return stored[k][0]
}

func TestHowAttemptsEndAndWhatTheyTake(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(w *testLeader, p *jobs.Allocation)
		how  charge.Outcome
		flag charge.Flag
	}{
		{"done", func(w *testLeader, p *jobs.Allocation) { w.end(p, wire.ExitDone, false) }, charge.Done, 0},
		{"failed", func(w *testLeader, p *jobs.Allocation) { w.end(p, wire.ExitError, false) }, charge.Failed, 0},
		{"its machine is taken back or its session ends", func(w *testLeader, p *jobs.Allocation) { w.end(p, wire.ExitStopped, true) }, charge.Lost, charge.UpperBound},
		{"drained", func(w *testLeader, p *jobs.Allocation) {
			p.Stop = &jobs.StopRequest{Reason: charge.Drained}
			w.end(p, wire.ExitStopped, false)
		}, charge.Drained, 0},
		{"stopped for others", func(w *testLeader, p *jobs.Allocation) {
			p.Stop = &jobs.StopRequest{Reason: charge.Preempted}
			w.end(p, wire.ExitStopped, false)
		}, charge.Preempted, 0},
		{"its job is cancelled", func(w *testLeader, p *jobs.Allocation) {
			w.store.Cancel(p.Job, func(wire.JobState) {})
			w.commitAll()
			w.end(p, wire.ExitStopped, false)
		}, charge.Cancelled, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestLeader(t)
			w.submit(jobArray("job-1", 1))
			p := w.allocateAndRun("job-1")
			w.clock.Advance(30 * time.Second)
			c.end(w, p)
			w.checkAgainstTruth()
			got := w.onlyCharge(attemptIDOf(p))
			if got.Outcome != c.how || got.Flags != c.flag || got.Run != 30_000 {
				t.Errorf("charged %+v", got)
			}
			// Half of its processors and half of its memory, at 0.8 an hour, for 30 s.
			if want := int64(3333); got.Money != want { // 0.8 / 2 * 30 / 3600
				t.Errorf("costs %d, want %d", got.Money, want)
			}
			w.rollUpAll()
			w.checkAgainstTruth()
		})
	}
}

// Guards against charges that are lost or doubled when a leader dies between an
// attempt's end and its charge, between the charge and its roll-up, or after a
// transaction that was applied and never answered.
func TestALeaderDiesAnywhere(t *testing.T) {
	steps := []func(*testLeader){
		func(w *testLeader) { w.commitBatch(true) },
		func(w *testLeader) { w.commitBatch(false); w.newTerm() },
		func(w *testLeader) { w.newTerm() },
		func(w *testLeader) { w.ledger.detachedSince = time.Time{}; w.commitLedgerWrite(true) },
		func(w *testLeader) {
			w.ledger.detachedSince = time.Time{}
			if w.commitLedgerWrite(false) {
				w.newTerm()
			}
		},
	}
	// All orders of four of them, after each of which the job has ended.
	n := len(steps)
	for order := range n * n * n * n {
		w := newTestLeader(t)
		w.submit(jobArray("job-1", 2))
		a, b := w.allocateAndRun("job-1"), w.allocateAndRun("job-1")
		w.clock.Advance(20 * time.Second)
		w.end(a, wire.ExitError, false) // and is repeated
		w.end(b, wire.ExitDone, false)
		for o, i := order, 0; i < 4; o, i = o/n, i+1 {
			steps[o%n](w)
			w.clock.Advance(time.Second)
		}
		w.commitAll()
		again := w.allocateAndRun("job-1")
		w.clock.Advance(20 * time.Second)
		w.end(again, wire.ExitDone, false)
		for o, i := order, 0; i < 4; o, i = o/n, i+1 {
			steps[n-1-o%n](w)
		}
		w.checkAgainstTruth()
		w.rollUpAll()
		w.checkAgainstTruth()
		if stored, _ := w.storedCharges(); len(stored) != 3 {
			t.Fatalf("order %d: %d attempts are charged, want 3", order, len(stored))
		}
		if len(w.itemsWithPrefix(jobs.PrefixProgress))+len(w.itemsWithPrefix(jobs.PrefixDetached)) != 0 {
			t.Fatalf("order %d: records of a job that is over and rolled up are left", order)
		}
	}
}

// The property: whatever happens, in whatever order, each attempt is charged once,
// and the totals are the sum of the charges.
func TestTheLedgerEqualsWhatRan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestLeader(t)
		next := 0
		pick := func() *jobs.Allocation {
			var live []*jobs.Allocation
			for _, k := range w.sortedAttempts() {
				p := w.allocations[k]
				if tr := w.attempts[attemptIDOf(p)]; tr != nil && tr.ended.IsZero() && !p.Removed {
					live = append(live, p)
				}
			}
			if len(live) == 0 {
				return nil
			}
			return live[rapid.IntRange(0, len(live)-1).Draw(rt, "place")]
		}
		actions := map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				next++
				j := jobArray(fmt.Sprintf("job-%d", next), rapid.SampledFrom([]int{1, 3, 70, 200}).Draw(rt, "tasks"))
				j.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "account")
				w.submit(j)
			},
			"place": func(rt *rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(w.store.Jobs)) {
					for range rapid.IntRange(1, 40).Draw(rt, "count") {
						w.allocate(id)
					}
				}
			},
			"run": func(*rapid.T) {
				if p := pick(); p != nil {
					w.run(p)
				}
			},
			"finish many": func(rt *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(rt, "count") {
					if p := pick(); p != nil {
						w.run(p)
						w.end(p, rapid.SampledFrom([]wire.ExitReason{wire.ExitDone, wire.ExitError, wire.ExitStopped}).Draw(rt, "why"), false)
					}
				}
			},
			"refuse": func(*rapid.T) {
				if p := pick(); p != nil && w.attempts[attemptIDOf(p)].began.IsZero() {
					w.end(p, wire.ExitNoRoom, false)
				}
			},
			"lose": func(*rapid.T) {
				if p := pick(); p != nil {
					w.end(p, wire.ExitStopped, true)
				}
			},
			"cancel": func(*rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(w.store.Jobs)) {
					w.store.Cancel(w.store.Jobs[id], func(wire.JobState) {})
					return
				}
			},
			"commit":        func(*rapid.T) { w.commitBatch(true) },
			"commit unsure": func(*rapid.T) { w.commitBatch(false); w.newTerm() },
			"new leader":    func(*rapid.T) { w.newTerm() },
			"roll up": func(*rapid.T) {
				w.ledger.detachedSince = time.Time{}
				w.ledger.nextCompactCheck = time.Time{}
				w.commitLedgerWrite(true)
			},
			"roll up unsure": func(*rapid.T) {
				if w.ledger.detachedSince = (time.Time{}); w.commitLedgerWrite(false) {
					w.newTerm()
				}
			},
			"seconds": func(rt *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 90_000).Draw(rt, "ms")) * time.Millisecond)
			},
			"hours": func(rt *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(rt, "hours")) * time.Hour)
				w.ledger.Tick(w.now())
				w.commitAll() // the book writes what is due within seconds
			},
			"": func(*rapid.T) {},
		}
		rt.Repeat(actions)
		w.checkAgainstTruth()
		w.rollUpAll()
		w.checkAgainstTruth()
		w.newTerm()
		w.checkAgainstTruth()
	})
}

// A period that turns over while a task runs: its seconds are split, and the bill
// of the day before is whole although the task runs on.
func TestADayTurnsWhileATaskRuns(t *testing.T) {
	w := newTestLeader(t)
	w.submit(jobArray("job-1", 1))
	p := w.allocateAndRun("job-1")
	w.clock.Advance(13*time.Hour - time.Second) // from noon to one in the night
	w.ledger.Tick(w.now())
	w.rollUpAll()
	day := func(day string) int64 {
		return w.ledger.totals(Query{From: day, To: day, By: []string{"day"}}, w.now()).Sum.RunMS
	}
	if got := day("2026-12-01"); got != 12*3600_000-1000 {
		t.Errorf("the first day has %d ms", got)
	}
	if got := day("2026-12-02"); got != 0 {
		t.Errorf("the second day has %d ms while the task runs", got)
	}
	w.newTerm() // the new leader goes on from the turn
	w.clock.Advance(time.Hour)
	w.end(w.allocations[attemptIDOf(p)], wire.ExitDone, false)
	w.checkAgainstTruth()
	if got := day("2026-12-02"); got != 2*3600_000 {
		t.Errorf("the second day has %d ms", got)
	}
	if got := w.ledger.totals(Query{By: []string{"day"}}, w.now()).Sum.Attempts; got != 1 {
		t.Errorf("%d attempts are counted", got)
	}
}

// A change of leaders loses no seconds: when a task began is stored once it has run
// for a while.
func TestTheStartSurvivesALeader(t *testing.T) {
	w := newTestLeader(t)
	w.submit(jobArray("job-1", 1))
	p := w.allocate("job-1")
	w.commitAll()
	w.clock.Advance(5 * time.Second) // the image is fetched
	w.run(p)
	w.clock.Advance(tuning.BeganAfter)
	w.commitAll()
	w.newTerm()
	w.clock.Advance(10 * time.Second)
	p = w.allocations[attemptIDOf(p)]
	w.end(p, wire.ExitDone, false)
	w.checkAgainstTruth()
	if c := w.onlyCharge(attemptIDOf(p)); c.Run != 20_000 || c.Flags != 0 {
		t.Errorf("charged %+v", c)
	}
}

// A job of very many tasks ends although its charges fit no transaction, and a task
// that fails again and again does not outgrow its record.
func TestManyChargesFitTheStore(t *testing.T) {
	w := newTestLeader(t)
	w.submit(jobArray("job-1", 40*tuning.ChunkTasks))
	for w.allocate("job-1") != nil {
	}
	w.commitAll()
	for _, p := range w.allocations {
		w.attempts[attemptIDOf(p)].began = w.now()
	}
	w.heartbeat()
	w.clock.Advance(time.Minute)
	for _, p := range w.allocations {
		w.attempts[attemptIDOf(p)].ended, w.attempts[attemptIDOf(p)].reason = w.now(), wire.ExitDone
	}
	w.heartbeat()
	w.checkAgainstTruth()
	if _, over := w.items[jobs.KeyFinalState("job-1")]; !over {
		t.Fatal("the job does not end")
	}
	w.submit(jobArray("job-2", 1))
	for range 3 * tuning.DetachCharges {
		p := w.allocateAndRun("job-2")
		w.clock.Advance(time.Second)
		w.end(p, wire.ExitError, false)
	}
	w.checkAgainstTruth()
	w.rollUpAll()
	w.checkAgainstTruth()
	if n := len(w.itemsWithPrefix(jobs.PrefixDetached)); n != 0 {
		t.Errorf("%d records are left", n)
	}
}

// A transaction stays within what the service takes when many jobs with long records end
// at once. A leader whose write is refused as malformed gives up, and so would the next.
func TestManyJobsThatEndTogetherFitTheirTransactions(t *testing.T) {
	w := newTestLeader(t)
	w.txnOps = 40
	w.newTerm()
	for i := range 30 {
		j := jobArray(fmt.Sprintf("job-%d", i), 2*tuning.ChunkTasks)
		j.Class = strings.Repeat("a long name of a class ", 8)
		w.submit(j)
	}
	for round := range 3 {
		for i := range 30 {
			for w.allocate(fmt.Sprintf("job-%d", i)) != nil {
			}
		}
		w.commitAll()
		w.heartbeat() // what is gone from its place is no longer looked at
		w.clock.Advance(time.Second)
		for _, k := range w.sortedAttempts() {
			w.attempts[k].began = w.now()
		}
		w.heartbeat()
		w.clock.Advance(time.Minute)
		for _, k := range w.sortedAttempts() {
			if w.attempts[k].ended, w.attempts[k].reason = w.now(), wire.ExitDone; round < 2 && k.task%8 < 5 {
				w.attempts[k].reason = wire.ExitStopped
			}
		}
		w.heartbeat()
	}
	w.checkAgainstTruth() // whose store refuses what is too long
	t.Logf("the longest transaction has %d bytes", w.longestTxnBytes)
	if len(w.store.Jobs) != 0 {
		t.Errorf("%d jobs do not end", len(w.store.Jobs))
	}
}

// Guards against an array that starts past its budget at once: each start reserves
// what it is expected to take, also those of the same pass.
func TestABudgetRunsOutUnderARunningArray(t *testing.T) {
	w := newTestLeader(t)
	w.settings = &budget.Settings{}
	if err := w.settings.Set("budget.t.day.core-hours", "1"); err != nil { // 3,600 core-seconds: 180 tasks of 2 cores for 10 s
		t.Fatal(err)
	}
	w.newTerm()
	w.submit(jobArray("job-1", 10_000))
	var placed []*jobs.Allocation
	for p := w.allocate("job-1"); p != nil; p = w.allocate("job-1") {
		placed = append(placed, p)
	}
	if len(placed) != 180 {
		t.Fatalf("%d tasks start, want 180", len(placed))
	}
	w.commitAll()
	w.clock.Advance(time.Second)
	for _, p := range placed {
		w.run(p)
	}
	w.clock.Advance(20 * time.Second) // twice what was expected
	for _, p := range placed {
		w.end(p, wire.ExitDone, false)
	}
	w.commitAll()
	w.ledger.Tick(w.now())
	if p := w.allocate("job-1"); p != nil {
		t.Error("more starts though the budget is spent")
	}
	n, why := w.ledger.Admit(w.store.Jobs["job-1"], w.now())
	if n != 0 || why == "" {
		t.Errorf("%d may start, since %q", n, why)
	}
	// The overdraft is what the running tasks took beyond their estimates.
	if v := w.ledger.budgets.Views("t")[0]; v.Used != 2 || v.State != "spent" {
		t.Errorf("the budget is %+v", v)
	}
	// It is raised meanwhile; and the tasks are known to take twice their estimate now.
	w.settings = &budget.Settings{}
	if err := w.settings.Set("budget.t.day.core-hours", "3"); err != nil {
		t.Fatal(err)
	}
	w.ledger.Tick(w.now())
	n = 0
	for w.allocate("job-1") != nil {
		n++
	}
	if n < 90 || n > 100 {
		t.Errorf("%d more start, want about 90", n)
	}
	// A new leader counts the same, and the next day begins anew.
	w.commitAll()
	w.newTerm()
	if n, _ := w.ledger.Admit(w.store.Jobs["job-1"], w.now()); n > 90 {
		t.Errorf("a new leader lets %d start", n)
	}
	w.checkAgainstTruth()
}

// Guards against machines that are rented for every job of a team whose budget allows
// a few tasks only: a look at all jobs shares the rest of the budget, in their order.
func TestJobsShareTheRestOfABudget(t *testing.T) {
	w := newTestLeader(t)
	w.settings = &budget.Settings{}
	if err := w.settings.Set("budget.t.day.core-hours", "0.05"); err != nil { // 180 core-seconds: 9 tasks
		t.Fatal(err)
	}
	w.newTerm()
	var waiting []*jobs.Job
	for i, priority := range []wire.Priority{wire.PriorityLow, wire.PriorityNormal, wire.PriorityHigh, wire.PriorityProduction} {
		j := jobArray(fmt.Sprintf("job-%d", i), 4)
		j.Priority = priority
		waiting = append(waiting, w.submit(j))
	}
	for range 2 { // a look leaves no trace
		counts := []int{4, 4, 4, 4}
		w.ledger.LimitTogether(waiting, counts, w.now())
		if !slices.Equal(counts, []int{0, 1, 4, 4}) {
			t.Fatalf("may consider %v", counts)
		}
	}
}

func TestTheNextPeriodGoesOn(t *testing.T) {
	w := newTestLeader(t)
	w.settings = &budget.Settings{}
	for key, value := range map[string]string{"budget.t.day.core-hours": "0.01", "budget.t.carry-over": "0.5"} { // 36 core-seconds
		if err := w.settings.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	w.newTerm()
	j := jobArray("job-1", 100)
	j.EstimateS = 3600 // one alone is beyond the budget
	w.submit(j)
	p := w.allocateAndRun("job-1")
	if w.allocate("job-1") != nil {
		t.Error("a second one starts beside it")
	}
	w.clock.Advance(time.Minute)
	w.end(p, wire.ExitDone, false)
	w.commitAll()
	w.ledger.Tick(w.now())
	if w.allocate("job-1") != nil {
		t.Error("another one starts though the budget is spent")
	}
	w.clock.Advance(24 * time.Hour)
	w.ledger.Tick(w.now())
	if w.allocate("job-1") == nil {
		t.Error("nothing starts on the next day")
	}
	w.checkAgainstTruth()
}

func TestWhatRunsIsStoppedAtTheMark(t *testing.T) {
	w := newTestLeader(t)
	w.settings = &budget.Settings{}
	for key, value := range map[string]string{"budget.t.day.core-hours": "0.1", "budget.t.when-spent": "drain", "budget.t.drain-at": "0.5"} {
		if err := w.settings.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	w.newTerm()
	batch := jobArray("job-1", 1)
	batch.EstimateS, batch.CheckpointS, batch.SaveS = 60, 10, 4
	w.submit(batch)
	service := wire.Job{ID: "job-2", Class: "s", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 1}
	w.submit(service)
	p, replica := w.allocateAndRun("job-1"), w.allocateAndRun("job-2")
	if stop := w.ledger.Tick(w.now()); len(stop) != 0 {
		t.Fatal("something is stopped at once")
	}
	w.clock.Advance(time.Minute) // 240 core-seconds of 180
	stop := w.ledger.Tick(w.now())
	if len(stop) != 1 || stop[0] != p || p.Stop.Reason != charge.OverBudget || p.Stop.GraceS < 4 || replica.Stop != nil {
		t.Fatalf("stopped are %v", stop)
	}
	if again := w.ledger.Tick(w.now()); len(again) != 0 {
		t.Error("what stops already is stopped again")
	}
	w.end(p, wire.ExitStopped, false)
	w.checkAgainstTruth()
	if c := w.onlyCharge(attemptIDOf(p)); c.Outcome != charge.OverBudget {
		t.Errorf("charged %+v", c)
	}
}

// Rows of one name are spread over pages as they come, and brought together later;
// days of long ago become months. The totals are the same all the time.
func TestTotalsAreCompactedAndFolded(t *testing.T) {
	w := newTestLeader(t)
	for i := range 400 {
		j := jobArray(fmt.Sprintf("job-%d", i), 1)
		j.Account = fmt.Sprintf("an account with a long name, number %d", i%150)
		w.submit(j)
		p := w.allocateAndRun(j.ID)
		w.clock.Advance(time.Minute)
		w.end(p, wire.ExitDone, false)
		w.commitAll()
		if i%8 == 7 {
			w.ledger.Tick(w.now())
			w.ledger.detachedSince = time.Time{}
			for len(w.ledger.detached) > 0 && w.commitLedgerWrite(true) {
			}
		}
	}
	w.checkAgainstTruth()
	before := len(w.itemsWithPrefix(PrefixPage))
	w.ledger.nextCompactCheck = time.Time{}
	w.rollUpAll()
	w.checkAgainstTruth()
	if after := len(w.itemsWithPrefix(PrefixPage)); after >= before {
		t.Errorf("%d pages are %d after compaction", before, after)
	}
	names := map[RowKey]int{}
	for _, p := range w.ledger.closedPages {
		if len(w.ledger.closedPages) < tuning.CompactPages {
			break // so few are left as they are
		}
		for n := range p.rows {
			if names[n]++; names[n] > 1 {
				t.Fatalf("%v still stands in two closed pages", n)
			}
		}
	}
	w.clock.Advance((tuning.MonthlyTotalsAfterDays + 40) * 24 * time.Hour)
	w.ledger.nextCompactCheck = time.Time{}
	w.rollUpAll()
	w.newTerm()
	w.checkAgainstTruth()
	for _, p := range w.ledger.closedPages {
		for n := range p.rows {
			if len(n.Day) != len("2026-12") {
				t.Fatalf("%v is not folded", n)
			}
		}
	}
}

// Verification finds what is wrong, and says so: a total that was changed, a charge that
// is there twice, a segment that is missing or damaged.
func TestVerifyNamesEachDifference(t *testing.T) {
	w := newTestLeader(t)
	for i := range 60 {
		j := jobArray(fmt.Sprintf("job-%d", i), 1)
		j.Account = fmt.Sprintf("account %d with a long name, so that there are some pages of totals", i)
		w.submit(j)
		p := w.allocateAndRun(j.ID)
		w.clock.Advance(13 * time.Hour) // so that there are parts
		w.ledger.Tick(w.now())
		w.end(w.allocations[attemptIDOf(p)], wire.ExitDone, false)
		if i == 30 {
			w.rollUpAll()
			w.ledger.openSegment.bytes = tuning.SegmentBytes // the next roll-up begins another segment
		}
	}
	w.rollUpAll()
	codec := w.ledger.codec
	verify := func(items map[string]wire.Item) *Verification {
		t.Helper()
		state := fakes.NewStore(w.clock)
		defer state.Close()
		store := statestore.New(state.Addr(), 1e6, 1e6)
		for key, item := range items {
			if _, err := store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: key, Value: item.Value}}}); err != nil {
				t.Fatal(err)
			}
		}
		r, err := NewReader(store)
		if err != nil {
			t.Fatal(err)
		}
		f, err := r.Verify(t.Context(), time.UTC)
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	if f := verify(w.items); len(f.Discrepancies) != 0 || f.Jobs != 60 || f.Charges < 60 {
		t.Fatalf("found %+v", f)
	}
	segment := w.itemsWithPrefix(PrefixSegment)[0]
	for _, c := range []struct {
		name, want string
		change     func(map[string]wire.Item)
	}{
		{"a total", "total of", func(items map[string]wire.Item) {
			item := w.itemsWithPrefix(PrefixPage)[0]
			rows, err := ReadPage(codec, item)
			if err != nil {
				t.Fatal(err)
			}
			rows[0].Sum.Money++
			item.Value = pageValue(codec, rows)
			items[item.Key] = item
		}},
		{"a charge twice", "is charged twice", func(items map[string]wire.Item) {
			packs, err := ReadSegment(codec, segment)
			if err != nil {
				t.Fatal(err)
			}
			item := segment
			item.Value = segmentValue(codec, append(packs, packs[0]))
			items[item.Key] = item
		}},
		{"a part", "do not follow each other", func(items map[string]wire.Item) {
			packs, err := ReadSegment(codec, segment)
			if err != nil {
				t.Fatal(err)
			}
			for i := range packs {
				for k := range packs[i].Charges {
					if packs[i].Charges[k].Part == 1 {
						packs[i].Charges[k].Start += 1000
					}
				}
			}
			item := segment
			item.Value = segmentValue(codec, packs)
			items[item.Key] = item
		}},
		{"a segment", "is not the one that follows", func(items map[string]wire.Item) { delete(items, segment.Key) }},
		{"a flipped bit", "damaged", func(items map[string]wire.Item) {
			item := segment
			item.Value = slices.Clone(item.Value)
			at := len(item.Value) / 2
			if item.Value[at]++; item.Value[at] > 'z' || item.Value[at] < 'A' {
				item.Value[at] = 'A'
			}
			items[item.Key] = item
		}},
	} {
		items := maps.Clone(w.items)
		c.change(items)
		if f := verify(items); len(f.Discrepancies) == 0 || !slices.ContainsFunc(f.Discrepancies, func(s string) bool { return strings.Contains(s, c.want) }) {
			t.Errorf("%s: found %v", c.name, f.Discrepancies)
		}
	}
}
