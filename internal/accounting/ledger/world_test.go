package ledger

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/scheduler/machines"
)

// testLeader is a leader's book and ledger over a store in memory, with workers that the
// test drives. It knows when each attempt really ran.
type testLeader struct {
	t        testing.TB
	clock    *clockwork.FakeClock
	items    map[string]wire.Item
	revision uint64
	txnOps   int
	settings *budget.Settings

	store           *jobs.Store
	ledger          *Ledger
	allocations     map[attemptID]*jobs.Allocation // as the present leader knows them
	attempts        map[attemptID]*attemptTruth
	writtenChanges  int // put and deleted so far
	longestTxnBytes int // bytes of a transaction
}

type attemptID struct {
	job     string
	task    int
	attempt uint64
}

// attemptTruth is what really happened to an attempt that was started.
type attemptTruth struct {
	began, ended time.Time       // zero: not yet
	reason       wire.ExitReason // as its worker reports it
	lost         bool            // its machine is gone
}

var (
	smallType = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.8, SpotPrice: 0.4}
	testStart = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

func newTestLeader(t testing.TB) *testLeader {
	w := &testLeader{
		t: t, clock: clockwork.NewFakeClockAt(testStart), items: map[string]wire.Item{}, txnOps: 12, settings: &budget.Settings{},
		attempts: map[attemptID]*attemptTruth{},
	}
	w.newTerm()
	return w
}

func (w *testLeader) now() time.Time { return w.clock.Now() }

// apply does what the state service does with a transaction; every condition must
// hold, since only one leader writes.
func (w *testLeader) apply(txn wire.Txn) uint64 {
	for _, c := range txn.If {
		if w.items[c.Key].Version != c.Version {
			w.t.Fatalf("condition on %s: version %d, want %d", c.Key, w.items[c.Key].Version, c.Version)
		}
	}
	if len(txn.Then) > w.txnOps || len(txn.If) >= 4*w.txnOps {
		w.t.Fatalf("a transaction has %d changes and %d conditions", len(txn.Then), len(txn.If))
	}
	w.revision++
	w.writtenChanges += len(txn.Then)
	raw := wire.EncodeRecord(txn)
	if w.longestTxnBytes = max(w.longestTxnBytes, len(raw)); len(raw) > 64<<10 {
		w.t.Fatalf("a transaction has %d bytes", len(raw))
	}
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(w.items, c.Delete)
			continue
		}
		if len(c.Value) > 16<<10 {
			w.t.Fatalf("%s has %d bytes", c.Put, len(c.Value))
		}
		w.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: w.revision}
	}
	return w.revision
}

func (w *testLeader) itemsWithPrefix(prefix string) []wire.Item {
	var out []wire.Item
	for _, key := range slices.Sorted(maps.Keys(w.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, w.items[key])
		}
	}
	return out
}

// newTerm begins with a new leader, which knows what is stored and hears from the workers.
func (w *testLeader) newTerm() {
	w.t.Helper()
	now := w.now()
	w.store, w.allocations = jobs.NewStore(w.txnOps), map[attemptID]*jobs.Allocation{}
	var err error
	if w.ledger, err = New(Config{
		Clock: w.clock, MaxTxnOps: w.txnOps, MaxValueKB: 16, MachineTypes: func() []wire.MachineType { return []wire.MachineType{smallType} },
		Budgets: func() *budget.Settings { return w.settings },
	}, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
	for _, item := range w.itemsWithPrefix(jobs.PrefixJob) {
		if _, err := w.store.LoadJob(item, now, now); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, item := range w.itemsWithPrefix(jobs.PrefixProgress) {
		places, err := w.store.LoadProgress(item, now)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, p := range places {
			w.allocations[attemptIDOf(p)] = p
			if p.Job.Cancelled() {
				p.Stop = &jobs.StopRequest{Reason: charge.Cancelled}
			}
		}
	}
	for _, item := range w.itemsWithPrefix(jobs.PrefixDetached) {
		w.store.LoadDetached(item)
	}
	w.store.FinishLoading()
	if errs := w.store.TakeDamaged(); len(errs) > 0 {
		w.t.Fatal(errs)
	}
	w.ledger.Loaded(w.store, now)
	var last *wire.Item
	if segments := w.itemsWithPrefix(PrefixSegment); len(segments) > 0 {
		last = &segments[len(segments)-1]
	}
	if err := w.ledger.load(w.itemsWithPrefix(PrefixPage), last); err != nil {
		w.t.Fatal(err)
	}
	w.heartbeat()
}

func attemptIDOf(p *jobs.Allocation) attemptID { return attemptID{p.Job.ID, p.Index, p.Attempt} }

// submit stores a job.
func (w *testLeader) submit(j wire.Job) *jobs.Job {
	w.t.Helper()
	if j.Team == "" {
		j.Team = "t"
	}
	if j.CPUs == 0 {
		j.CPUs, j.MemoryGB = 2, 8
	}
	value, err := json.Marshal(jobs.JobRecord{Job: j, AtMS: w.now().UnixMilli()})
	if err != nil {
		w.t.Fatal(err)
	}
	w.apply(wire.Txn{If: []wire.Condition{{Key: jobs.KeyFinalState(j.ID)}}, Then: []wire.Change{{Put: jobs.KeyJob(j.ID), Value: value}}})
	out, err := w.store.LoadJob(w.items[jobs.KeyJob(j.ID)], w.now(), w.now())
	if err != nil {
		w.t.Fatal(err)
	}
	return out
}

// allocate decides on the next waiting task of a job; nil: none waits.
func (w *testLeader) allocate(id string) *jobs.Allocation {
	j := w.store.Jobs[id]
	if j == nil || !j.CanStart() {
		return nil
	}
	i := j.NextWaiting(0)
	if n, _ := w.ledger.Admit(j, w.now()); i < 0 || n <= 0 {
		return nil
	}
	p := w.store.Allocate(j, i, "a-machine-000001", "mombasa-port", 1, w.now())
	w.ledger.Placed(p, false, &smallType, w.now())
	return p
}

// allocateAndRun places a task, stores that and has it run.
func (w *testLeader) allocateAndRun(id string) *jobs.Allocation {
	w.t.Helper()
	p := w.allocate(id)
	if p == nil {
		w.t.Fatalf("nothing of %s may start", id)
	}
	w.commitAll()
	w.clock.Advance(time.Second) // the image is fetched
	w.run(p)
	return p
}

// run has a started task begin to run.
func (w *testLeader) run(p *jobs.Allocation) {
	if tr := w.attempts[attemptIDOf(p)]; tr != nil && tr.began.IsZero() && tr.ended.IsZero() {
		tr.began = w.now()
	}
	w.heartbeat()
}

// end has an attempt end at its worker.
func (w *testLeader) end(p *jobs.Allocation, why wire.ExitReason, lost bool) {
	if tr := w.attempts[attemptIDOf(p)]; tr != nil && tr.ended.IsZero() {
		tr.ended, tr.reason, tr.lost = w.now(), why, lost
	}
	w.heartbeat()
}

// sortedAttempts gives the places in an order that is the same every time.
func (w *testLeader) sortedAttempts() []attemptID {
	return slices.SortedFunc(maps.Keys(w.allocations), func(a, b attemptID) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// heartbeat has the leader hear what each worker knows, as the loop would.
func (w *testLeader) heartbeat() {
	now := w.now()
	for _, k := range w.sortedAttempts() {
		p, tr := w.allocations[k], w.attempts[k]
		if p.Removed {
			delete(w.allocations, k)
			continue
		}
		if tr == nil {
			continue
		}
		if !tr.began.IsZero() && tr.ended.IsZero() && p.State == "" {
			p.State = wire.TaskRunning
			w.store.MarkRunning(p, now)
		}
		if tr.ended.IsZero() {
			continue
		}
		w.ledger.Ended(machines.Outcome{Allocation: p, Reason: tr.reason, Lost: tr.lost}, now)
		if tr.reason == wire.ExitDone {
			w.store.MarkDone(p, now)
		} else {
			w.store.MarkLost(p, now)
		}
	}
}

// commitBatch stores one of the book's transactions, and tells whether there was one.
func (w *testLeader) commitBatch(answered bool) bool {
	w.store.WriteDue(w.now())
	batch := w.store.NextBatch(w.now().Add(time.Hour), jobs.WriteBudget{Spare: 1000})
	if batch == nil {
		return false
	}
	revision := w.apply(batch.Txn)
	for _, j := range w.store.Jobs {
		for i := range j.Tasks {
			if p := j.Tasks[i].Allocation; p != nil {
				w.allocations[attemptIDOf(p)] = p
			}
		}
	}
	// What is stored is started, even if this leader never learns of it.
	for _, item := range w.itemsWithPrefix(jobs.PrefixProgress) {
		w.noteStarted(item)
	}
	if answered {
		w.store.MarkCommitted(batch, revision)
	}
	return true
}

// noteStarted notes the attempts that a progress record names: they are on their machine.
func (w *testLeader) noteStarted(item wire.Item) {
	var r struct {
		Tasks []struct {
			I int
			A uint64
			M string
		} `json:"t"`
	}
	if err := json.Unmarshal(item.Value, &r); err != nil {
		w.t.Fatal(err)
	}
	id := strings.Split(item.Key, "/")[1]
	for _, e := range r.Tasks {
		if k := (attemptID{id, e.I, e.A}); e.M != "" && w.attempts[k] == nil {
			w.attempts[k] = &attemptTruth{}
		}
	}
}

// commitAll stores all that waits.
func (w *testLeader) commitAll() {
	for w.commitBatch(true) {
	}
}

// commitLedgerWrite does one of the ledger's own transactions.
func (w *testLeader) commitLedgerWrite(answered bool) bool {
	w.ledger.Tick(w.now())
	var write *leader.SubsystemWrite
	if write = w.ledger.NextWrite(w.now(), 1000); write == nil {
		return false
	}
	if revision := w.apply(write.Txn); answered {
		write.Done(revision)
	}
	return true
}

// rollUpAll rolls up all there is.
func (w *testLeader) rollUpAll() {
	w.commitAll()
	w.ledger.Tick(w.now())
	for {
		w.ledger.detachedSince = time.Time{} // what lies apart lies there for long
		if !w.commitLedgerWrite(true) {
			return
		}
	}
}

// storedCharges gives all charges that are stored, wherever they lie, by attempt.
func (w *testLeader) storedCharges() (map[attemptID][]charge.Charge, charge.Amounts) {
	w.t.Helper()
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
	for _, item := range append(w.itemsWithPrefix(jobs.PrefixProgress), w.itemsWithPrefix(jobs.PrefixDetached)...) {
		p, err := jobs.DecodeCharges(item)
		if err != nil {
			w.t.Fatal(err)
		}
		if p != nil {
			take(p)
		}
	}
	for _, item := range w.itemsWithPrefix(PrefixSegment) {
		packs, err := ReadSegment(w.ledger.codec, item)
		if err != nil {
			w.t.Fatal(err)
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
func (w *testLeader) checkAgainstTruth() {
	w.t.Helper()
	w.commitAll()
	stored, sum := w.storedCharges()
	for k, parts := range stored {
		tr := w.attempts[k]
		if tr == nil {
			w.t.Fatalf("%v was never started and is charged", k)
		}
		run, bound := int64(0), false
		for i, c := range parts {
			if c.Part != i {
				w.t.Fatalf("%v: part %d stands where %d is expected", k, c.Part, i)
			}
			if last := i == len(parts)-1; last && !tr.ended.IsZero() == (c.Outcome == charge.Continues) || !last && c.Outcome != charge.Continues {
				w.t.Fatalf("%v: part %d of %d ended as %v", k, i, len(parts), c.Outcome)
			}
			if i > 0 && parts[i-1].End() != c.Start {
				w.t.Fatalf("%v: a gap before part %d", k, i)
			}
			if charge.DayOf(c.Start, time.UTC) != charge.DayOf(max(c.Start, c.End()-1), time.UTC) {
				w.t.Fatalf("%v: part %d lies in two days", k, i)
			}
			run += c.Run
			bound = bound || c.Flags&charge.UpperBound != 0
		}
		if tr.ended.IsZero() {
			continue
		}
		want := int64(0)
		if !tr.began.IsZero() {
			want = tr.ended.Sub(tr.began).Milliseconds()
		}
		if run != want && !bound || run < want {
			w.t.Fatalf("%v ran %d ms and is charged for %d (bound %v)", k, want, run, bound)
		}
	}
	for k, tr := range w.attempts {
		if !tr.ended.IsZero() && len(stored[k]) == 0 {
			w.t.Fatalf("%v ended and is not charged", k)
		}
	}
	totals := w.ledger.totals(Query{By: []string{"team"}}, w.now())
	if totals.Sum.CoreMicroS != sum.Core || totals.Sum.MoneyMicro != sum.Money || totals.Sum.Attempts != sum.Attempts() {
		w.t.Fatalf("totals %+v, the charges make %+v", totals.Sum, sum)
	}
	var used budget.Usage
	for _, b := range w.ledger.budgets.TeamUsage("t") {
		used.Add(b)
	}
	if used.Core != sum.Core || used.Money != sum.Money {
		w.t.Fatalf("budgets count %+v, the charges make %+v", used, sum)
	}
}
