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

// world is a leader's book and ledger over a store in memory, with workers that the
// test drives. It knows when each attempt really ran.
type world struct {
	t        testing.TB
	clock    *clockwork.FakeClock
	items    map[string]wire.Item
	revision uint64
	txnOps   int
	settings *budget.Settings

	book     *jobs.Store
	ledger   *Ledger
	places   map[attempt]*jobs.Allocation // as the present leader knows them
	attempts map[attempt]*truth
	changes  int // put and deleted so far
	longest  int // bytes of a transaction
}

type attempt struct {
	job     string
	task    int
	attempt uint64
}

// truth is what really happened to an attempt that was started.
type truth struct {
	began, ended time.Time       // zero: not yet
	why          wire.ExitReason // as its worker reports it
	lost         bool            // its machine is gone
}

var (
	small = wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.8, SpotPrice: 0.4}
	begin = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

func newWorld(t testing.TB) *world {
	w := &world{
		t: t, clock: clockwork.NewFakeClockAt(begin), items: map[string]wire.Item{}, txnOps: 12, settings: &budget.Settings{},
		attempts: map[attempt]*truth{},
	}
	w.lead()
	return w
}

func (w *world) now() time.Time { return w.clock.Now() }

// apply does what the state service does with a transaction; every condition must
// hold, since only one leader writes.
func (w *world) apply(txn wire.Txn) uint64 {
	for _, c := range txn.If {
		if w.items[c.Key].Version != c.Version {
			w.t.Fatalf("condition on %s: version %d, want %d", c.Key, w.items[c.Key].Version, c.Version)
		}
	}
	if len(txn.Then) > w.txnOps || len(txn.If) >= 4*w.txnOps {
		w.t.Fatalf("a transaction has %d changes and %d conditions", len(txn.Then), len(txn.If))
	}
	w.revision++
	w.changes += len(txn.Then)
	raw := wire.EncodeRecord(txn)
	if w.longest = max(w.longest, len(raw)); len(raw) > 64<<10 {
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

func (w *world) with(prefix string) []wire.Item {
	var out []wire.Item
	for _, key := range slices.Sorted(maps.Keys(w.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, w.items[key])
		}
	}
	return out
}

// lead begins with a new leader, which knows what is stored and hears from the workers.
func (w *world) lead() {
	w.t.Helper()
	now := w.now()
	w.book, w.places = jobs.NewStore(w.txnOps), map[attempt]*jobs.Allocation{}
	var err error
	if w.ledger, err = New(Config{
		Clock: w.clock, MaxTxnOps: w.txnOps, MaxValueKB: 16, MachineTypes: func() []wire.MachineType { return []wire.MachineType{small} },
		Budgets: func() *budget.Settings { return w.settings },
	}, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
	for _, item := range w.with(jobs.PrefixJob) {
		if _, err := w.book.LoadJob(item, now, now); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, item := range w.with(jobs.PrefixProgress) {
		places, err := w.book.LoadProgress(item, now)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, p := range places {
			w.places[keyOf(p)] = p
			if p.Job.Cancelled() {
				p.Stop = &jobs.StopRequest{Reason: charge.Cancelled}
			}
		}
	}
	for _, item := range w.with(jobs.PrefixDetached) {
		w.book.LoadDetached(item)
	}
	w.book.FinishLoading()
	if errs := w.book.TakeDamaged(); len(errs) > 0 {
		w.t.Fatal(errs)
	}
	w.ledger.Loaded(w.book, now)
	var last *wire.Item
	if segments := w.with(PrefixSegment); len(segments) > 0 {
		last = &segments[len(segments)-1]
	}
	if err := w.ledger.take(w.with(PrefixPage), last); err != nil {
		w.t.Fatal(err)
	}
	w.report()
}

func keyOf(p *jobs.Allocation) attempt { return attempt{p.Job.ID, p.Index, p.Attempt} }

// submit stores a job.
func (w *world) submit(j wire.Job) *jobs.Job {
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
	out, err := w.book.LoadJob(w.items[jobs.KeyJob(j.ID)], w.now(), w.now())
	if err != nil {
		w.t.Fatal(err)
	}
	return out
}

// place decides on the next waiting task of a job; nil: none waits.
func (w *world) place(id string) *jobs.Allocation {
	j := w.book.Jobs[id]
	if j == nil || !j.CanStart() {
		return nil
	}
	i := j.NextWaiting(0)
	if n, _ := w.ledger.Admit(j, w.now()); i < 0 || n <= 0 {
		return nil
	}
	p := w.book.Allocate(j, i, "a-machine-000001", "mombasa-port", 1, w.now())
	w.ledger.Placed(p, false, &small, w.now())
	return p
}

// start places a task, stores that and has it run.
func (w *world) start(id string) *jobs.Allocation {
	w.t.Helper()
	p := w.place(id)
	if p == nil {
		w.t.Fatalf("nothing of %s may start", id)
	}
	w.flush()
	w.clock.Advance(time.Second) // the image is fetched
	w.run(p)
	return p
}

// run has a started task begin to run.
func (w *world) run(p *jobs.Allocation) {
	if tr := w.attempts[keyOf(p)]; tr != nil && tr.began.IsZero() && tr.ended.IsZero() {
		tr.began = w.now()
	}
	w.report()
}

// end has an attempt end at its worker.
func (w *world) end(p *jobs.Allocation, why wire.ExitReason, lost bool) {
	if tr := w.attempts[keyOf(p)]; tr != nil && tr.ended.IsZero() {
		tr.ended, tr.why, tr.lost = w.now(), why, lost
	}
	w.report()
}

// sorted gives the places in an order that is the same every time.
func (w *world) sorted() []attempt {
	return slices.SortedFunc(maps.Keys(w.places), func(a, b attempt) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// report has the leader hear what each worker knows, as the loop would.
func (w *world) report() {
	now := w.now()
	for _, k := range w.sorted() {
		p, tr := w.places[k], w.attempts[k]
		if p.Removed {
			delete(w.places, k)
			continue
		}
		if tr == nil {
			continue
		}
		if !tr.began.IsZero() && tr.ended.IsZero() && p.State == "" {
			p.State = wire.TaskRunning
			w.book.MarkRunning(p, now)
		}
		if tr.ended.IsZero() {
			continue
		}
		w.ledger.Ended(machines.Outcome{Allocation: p, Reason: tr.why, Lost: tr.lost}, now)
		if tr.why == wire.ExitDone {
			w.book.MarkDone(p, now)
		} else {
			w.book.MarkLost(p, now)
		}
	}
}

// commit stores one of the book's transactions, and tells whether there was one.
func (w *world) commit(answered bool) bool {
	w.book.WriteDue(w.now())
	batch := w.book.NextBatch(w.now().Add(time.Hour), jobs.WriteBudget{Spare: 1000})
	if batch == nil {
		return false
	}
	revision := w.apply(batch.Txn)
	for _, j := range w.book.Jobs {
		for i := range j.Tasks {
			if p := j.Tasks[i].Allocation; p != nil {
				w.places[keyOf(p)] = p
			}
		}
	}
	// What is stored is started, even if this leader never learns of it.
	for _, item := range w.with(jobs.PrefixProgress) {
		w.started(item)
	}
	if answered {
		w.book.MarkCommitted(batch, revision)
	}
	return true
}

// started notes the attempts that a progress record names: they are on their machine.
func (w *world) started(item wire.Item) {
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
		if k := (attempt{id, e.I, e.A}); e.M != "" && w.attempts[k] == nil {
			w.attempts[k] = &truth{}
		}
	}
}

// flush stores all that waits.
func (w *world) flush() {
	for w.commit(true) {
	}
}

// next does one of the ledger's own transactions.
func (w *world) next(answered bool) bool {
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

// roll rolls up all there is.
func (w *world) roll() {
	w.flush()
	w.ledger.Tick(w.now())
	for {
		w.ledger.leftSince = time.Time{} // what lies apart lies there for long
		if !w.next(true) {
			return
		}
	}
}

// stored gives all charges that are stored, wherever they lie, by attempt.
func (w *world) stored() (map[attempt][]charge.Charge, charge.Amounts) {
	w.t.Helper()
	out := map[attempt][]charge.Charge{}
	var sum charge.Amounts
	take := func(p *charge.Pack) {
		for i := range p.Charges {
			c := &p.Charges[i]
			k := attempt{p.Job, c.Task, c.Attempt}
			out[k] = append(out[k], *c)
			sum.Add(p.Brief.AmountsOf(c))
		}
	}
	for _, item := range append(w.with(jobs.PrefixProgress), w.with(jobs.PrefixDetached)...) {
		p, err := jobs.DecodeCharges(item)
		if err != nil {
			w.t.Fatal(err)
		}
		if p != nil {
			take(p)
		}
	}
	for _, item := range w.with(PrefixSegment) {
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

// check compares what is stored with what happened: each attempt whose end is
// stored is charged once, to the millisecond or as an upper bound that says so.
func (w *world) check() {
	w.t.Helper()
	w.flush()
	stored, sum := w.stored()
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
