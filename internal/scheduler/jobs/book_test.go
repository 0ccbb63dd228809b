package jobs

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

var (
	t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	// later is when what is lazy wants to be written.
	later = t0.Add(tuning.LazyFlush)
)

// store applies a book's transactions like the state service, conditions included.
type store struct {
	t        *testing.T
	revision uint64
	items    map[string]wire.Item
}

func newStore(t *testing.T) *store { return &store{t: t, items: map[string]wire.Item{}} }

func (s *store) accept(id string, tasks int) {
	s.revision++
	rec := JobRecord{Job: wire.Job{ID: id, Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 1}, AtMS: t0.UnixMilli()}
	s.items[KeyJob(id)] = wire.Item{Key: KeyJob(id), Value: wire.EncodeRecord(rec), Version: s.revision}
}

func (s *store) apply(txn wire.Txn) uint64 {
	s.t.Helper()
	for _, c := range txn.If {
		if s.items[c.Key].Version != c.Version {
			s.t.Fatalf("condition on %s: version %d, want %d", c.Key, s.items[c.Key].Version, c.Version)
		}
	}
	s.revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(s.items, c.Delete)
			continue
		}
		s.items[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.revision}
	}
	return s.revision
}

// flush writes all that is pending, and gives what may start and what is over.
func (s *store) flush(b *Store) (start []*Allocation, over []FinishedJob) {
	s.t.Helper()
	for w := b.NextBatch(later, WriteBudget{Spare: 1000}); w != nil; w = b.NextBatch(later, WriteBudget{Spare: 1000}) {
		st, ov := b.MarkCommitted(w, s.apply(w.Txn))
		start, over = append(start, st...), append(over, ov...)
	}
	return start, over
}

// load is what a new leader does.
func (s *store) load(txnOps int) (*Store, []*Allocation) {
	s.t.Helper()
	b := NewStore(txnOps)
	var places []*Allocation
	for key, item := range s.items {
		if strings.HasPrefix(key, PrefixJob) {
			if _, err := b.LoadJob(item, t0, t0); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	for key, item := range s.items {
		if strings.HasPrefix(key, PrefixProgress) {
			p, err := b.LoadProgress(item, t0)
			if err != nil {
				s.t.Fatal(err)
			}
			places = append(places, p...)
		}
	}
	b.FinishLoading()
	return b, places
}

func TestStartOnlyAfterTheRecord(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 2)
	b, _ := s.load(12)
	p := b.Allocate(b.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	if p.Committed {
		t.Fatal("a place counts as stored before it is")
	}
	start, _ := s.flush(b)
	if len(start) != 1 || start[0] != p || !p.Committed {
		t.Fatalf("to start: %v", start)
	}
	// A new leader finds the place, with all that it needs to count it.
	_, places := s.load(12)
	if len(places) != 1 || places[0].Machine != "n-1" || places[0].Incarnation != 1 || places[0].Attempt != 1 || places[0].Zone != "a" || !places[0].Committed {
		t.Fatalf("found again: %+v", places)
	}
}

// Guards against workers that forget a job's last task while its end is on its way to the
// state service: after an outage in which the leader changed, it ran again.
func TestTheLastTaskIsRememberedUntilTheEndIsStored(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	j := b.Jobs["job-1"]
	p := b.Allocate(j, 0, "n-1", "a", 1, t0)
	s.flush(b)
	b.MarkDone(p, t0)
	w := b.NextBatch(later, WriteBudget{Spare: 1000})
	if b.Persisted(j, 0) {
		t.Error("its worker may forget it before its end is stored")
	}
	if _, over := b.MarkCommitted(w, s.apply(w.Txn)); len(over) != 1 || b.Jobs["job-1"] != nil {
		t.Errorf("over are %v", over)
	}
}

func TestGoneBeforeTheRecordIsNotStarted(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	p := b.Allocate(b.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	w := b.NextBatch(later, WriteBudget{Spare: 1000})
	b.MarkLost(p, t0) // its machine's session ended while the record was on its way
	if start, _ := b.MarkCommitted(w, s.apply(w.Txn)); len(start) != 0 {
		t.Fatalf("to start: %v", start)
	}
}

// Guards against a new leader that begins with all tasks of a job that has
// only ever failed, on as many machines.
func TestTriesInVainAreStored(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 2*tuning.ChunkTasks)
	b, _ := s.load(12)
	j := b.Jobs["job-1"]
	for i := range 3 { // each a try, since the pause of the one before is over
		now := t0.Add(time.Duration(i) * time.Hour)
		p := b.Allocate(j, tuning.ChunkTasks+1, "n-1", "a", 1, now)
		b.MarkLost(p, now)
		b.MarkFailed(j, now)
		b.MarkFailed(j, now) // another of the same wave
	}
	s.flush(b)
	b, _ = s.load(12)
	if j := b.Jobs["job-1"]; j.FailedWaves != 3 || j.BackoffUntil.Sub(t0) != 4*tuning.ErrorPause {
		t.Errorf("%d tries and a pause of %v are known", j.FailedWaves, j.BackoffUntil.Sub(t0))
	}
	b.MarkWorking(b.Jobs["job-1"], t0)
	b.scheduleFlush(t0)
	s.flush(b)
	if b, _ = s.load(12); b.Jobs["job-1"].FailedWaves != 0 {
		t.Error("a job that worked is on trial again")
	}
}

// Guards against starts of urgent work that wait behind tiny jobs of low
// priority, and a cancellation that waits behind either.
func TestWritesGoByPriority(t *testing.T) {
	s := newStore(t)
	for i := range 8 {
		s.accept(fmt.Sprintf("job-%d", i), 1)
	}
	b, _ := s.load(4) // three ops for an end, and one more
	for i := range 8 {
		b.Jobs[fmt.Sprintf("job-%d", i)].Priority = wire.PriorityLow
	}
	place := func(i int) *Allocation {
		return b.Allocate(b.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0)
	}
	done := place(0)
	s.flush(b)
	b.MarkDone(done, t0)
	for i := 1; i < 6; i++ {
		place(i)
	}
	b.Jobs["job-6"].Priority = wire.PriorityProduction
	urgent := place(6)
	b.Cancel(b.Jobs["job-7"], func(wire.JobState) {})
	w := b.NextBatch(t0, WriteBudget{Spare: 0})
	if w.Txn.Then[0].Put != keyProgress("job-6", 0) || w.Txn.Then[1].Put != KeyFinalState("job-7") || len(w.Txn.Then) != 4 {
		t.Errorf("the first transaction writes %+v", w.Txn.Then)
	}
	if b.MarkCommitted(w, s.apply(w.Txn)); !urgent.Committed {
		t.Error("the urgent start waits")
	}
	for w = b.NextBatch(t0, WriteBudget{Spare: 0}); w != nil && w.Txn.Then[0].Put != KeyFinalState("job-0"); w = b.NextBatch(t0, WriteBudget{Spare: 0}) {
		b.MarkCommitted(w, s.apply(w.Txn))
	}
	if w == nil || b.Jobs["job-5"].Tasks[0].Allocation.Committed != true {
		t.Error("an end goes before the starts of its priority")
	}
}

// Guards against a start that was undone before it was written, of a job that
// is dropped in the same transaction.
func TestADroppedJobIsNotWritten(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	j := b.Jobs["job-1"]
	first := b.Allocate(j, 0, "n-1", "a", 1, t0)
	s.flush(b)
	b.MarkLost(first, t0)
	p := b.Allocate(j, 0, "n-2", "a", 1, t0)
	b.Cancel(j, func(wire.JobState) {})
	w := b.NextBatch(t0, WriteBudget{Spare: 0})
	b.MarkLost(p, t0) // the machine is lost while that is on its way
	b.markUrgent(j, 0)
	b.MarkCommitted(w, s.apply(w.Txn))
	s.flush(b)
	for key := range s.items {
		if key != KeyFinalState("job-1") {
			t.Errorf("%s is left", key)
		}
	}
}

// Guards against an attempt that is used twice: a worker that knows an attempt
// ignores its start, and one that forgot it would run the task again.
func TestAttemptsNeverRepeat(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	seen := map[uint64]bool{}
	for range 5 {
		b, places := s.load(12) // a new leader each time
		for _, p := range places {
			b.MarkLost(p, t0)
		}
		p := b.Allocate(b.Jobs["job-1"], 0, "n-1", "a", 1, t0)
		if seen[p.Attempt] {
			t.Fatalf("attempt %d again", p.Attempt)
		}
		seen[p.Attempt] = true
		s.flush(b)
		b.MarkLost(p, t0)
		s.flush(b)
	}
}

func TestDoneIsStoredBeforeItIsSaid(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	j := b.Jobs["job-1"]
	p := b.Allocate(j, 0, "n-1", "a", 1, t0)
	s.flush(b)
	b.MarkDone(p, t0)
	if st := j.Status(); st.State.Final() {
		t.Fatalf("said %v before it is stored", st)
	}
	if b.Persisted(j, 0) {
		t.Error("the attempt could be forgotten before its end is stored")
	}
	_, over := s.flush(b)
	if len(over) != 1 || over[0].State != wire.StateDone {
		t.Fatalf("over: %v", over)
	}
	if _, live := s.items[KeyJob("job-1")]; live || len(s.items) != 1 || s.items[KeyFinalState("job-1")].Key == "" {
		t.Errorf("left in the store: %v", s.items)
	}
}

// Guards against a user who is told that a job is cancelled while a task of it runs in a
// zone that is cut off, and may go on there for longer than users wait for its end.
func TestACancellationIsStoredOnceAllTasksAreGone(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 3)
	b, _ := s.load(12)
	j := b.Jobs["job-1"]
	p := b.Allocate(j, 0, "n-1", "a", 1, t0)
	s.flush(b)
	var told []wire.JobState
	tell := func(st wire.JobState) { told = append(told, st) }
	b.Cancel(j, tell)
	b.Cancel(j, tell) // the request is repeated meanwhile
	s.flush(b)
	if j.CanStart() || len(told) != 0 || s.items[KeyFinalState("job-1")].Key != "" {
		t.Fatalf("open %v, told %v while a task may run", j.CanStart(), told)
	}
	b.MarkLost(p, t0)
	if len(told) != 0 {
		t.Fatal("told before it is stored")
	}
	s.flush(b)
	if !reflect.DeepEqual(told, []wire.JobState{wire.StateCancelled, wire.StateCancelled}) {
		t.Fatalf("told %v", told)
	}
	if len(s.items) != 1 || s.items[KeyFinalState("job-1")].Key == "" {
		t.Errorf("left in the store: %v", s.items)
	}
}

// A former version stored the cancellation first, and dropped the records later.
func TestACancellationOfAFormerVersionIsFinished(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	b.Allocate(b.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	s.flush(b)
	item := s.items[KeyJob("job-1")]
	item.Value = wire.EncodeRecord(JobRecord{Job: b.Jobs["job-1"].Job, Cancelled: true})
	s.items[item.Key] = item
	s.items[KeyFinalState("job-1")] = wire.Item{Key: KeyFinalState("job-1"), Value: wire.EncodeRecord(FinalState{State: wire.StateCancelled})}
	b, places := s.load(12)
	if b.Jobs["job-1"].CanStart() || len(places) != 1 {
		t.Fatalf("found open %v, places %v", b.Jobs["job-1"].CanStart(), places)
	}
	b.MarkLost(places[0], t0)
	if _, over := s.flush(b); len(s.items) != 1 || s.items[KeyFinalState("job-1")].Key == "" || len(over) != 0 {
		t.Errorf("left in the store: %v; over: %v", s.items, over)
	}
}

// Guards against a cancellation that overtakes the last task's end: whatever
// is stored first is what everybody is told.
func TestCancelOfAJobWhoseEndIsBeingStored(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	j := b.Jobs["job-1"]
	p := b.Allocate(j, 0, "n-1", "a", 1, t0)
	s.flush(b)
	b.MarkDone(p, t0)
	w := b.NextBatch(later, WriteBudget{Spare: 1000})
	var told wire.JobState
	b.Cancel(j, func(st wire.JobState) { told = st })
	if _, over := b.MarkCommitted(w, s.apply(w.Txn)); told != wire.StateDone || over[0].State != wire.StateDone {
		t.Errorf("told %q, over %v", told, over)
	}
}

func TestVeryManyTasksFitTheStore(t *testing.T) {
	const ops = 12
	s := newStore(t)
	s.accept("job-7", wire.MaxTasks)
	b, _ := s.load(ops)
	j := b.Jobs["job-7"]
	var places []*Allocation
	for i := range 20 * tuning.ChunkTasks {
		places = append(places, b.Allocate(j, i, fmt.Sprintf("n-%06d-with-a-long-name", i), "a-zone-with-a-long-name", 1<<40, t0))
	}
	for w := b.NextBatch(later, WriteBudget{Spare: 1000}); w != nil; w = b.NextBatch(later, WriteBudget{Spare: 1000}) {
		size := 0
		for _, c := range w.Txn.Then {
			if len(c.Value) > tuning.MinValueKB<<10 {
				t.Fatalf("a record has %d bytes", len(c.Value))
			}
			size += len(c.Value)
		}
		if len(w.Txn.Then) > ops || len(w.Txn.If) > 4*ops-1 || size > 60<<10 {
			t.Fatalf("a transaction has %d changes, %d conditions and %d bytes", len(w.Txn.Then), len(w.Txn.If), size)
		}
		b.MarkCommitted(w, s.apply(w.Txn))
	}
	for _, p := range places {
		b.MarkDone(p, t0)
	}
	s.flush(b)
	nb, _ := s.load(ops)
	nj := nb.Jobs["job-7"]
	if nj.Done != len(places) || nj.NextWaiting(0) != len(places) {
		t.Fatalf("a new leader finds %d done and %d waiting first", nj.Done, nj.NextWaiting(0))
	}
	// Its end drops more records than one transaction can; none stays behind.
	nb.Cancel(nj, func(wire.JobState) {})
	s.flush(nb)
	if len(s.items) != 1 {
		t.Errorf("%d keys left", len(s.items))
	}
}

// Guards against records that a leader could not drop before it died.
func TestOrphanedProgressIsDropped(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 1)
	b, _ := s.load(12)
	b.Allocate(b.Jobs["job-1"], 0, "n-1", "a", 1, t0)
	s.flush(b)
	delete(s.items, KeyJob("job-1"))
	b, places := s.load(12)
	s.flush(b)
	if len(places) != 0 || len(s.items) != 0 {
		t.Errorf("places %v, keys %v", places, s.items)
	}
}

func TestRanges(t *testing.T) {
	for _, c := range []struct {
		idx  []int
		text string
	}{{nil, ""}, {[]int{3}, "3"}, {[]int{0, 1, 2, 5, 7, 8}, "0-2,5,7-8"}} {
		got, err := decodeRanges(c.text)
		if encodeRanges(c.idx) != c.text || err != nil || !reflect.DeepEqual(got, c.idx) {
			t.Errorf("%v: %q, back %v, %v", c.idx, encodeRanges(c.idx), got, err)
		}
	}
	for _, bad := range []string{"x", "3-1", "-1", "0-100000", "1,,2"} {
		if _, err := decodeRanges(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// Guards against starts that wait behind progress that nobody waits for: with
// a hundred large arrays their finished tasks alone exceed the limit on writes.
func TestStartsAreWrittenBeforeFinishedTasks(t *testing.T) {
	s := newStore(t)
	const n = 8
	for i := range n {
		s.accept(fmt.Sprintf("job-%d", i), 2)
	}
	b, _ := s.load(4)
	var placed []*Allocation
	for i := range n {
		placed = append(placed, b.Allocate(b.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0))
	}
	s.flush(b)
	for _, p := range placed {
		b.MarkDone(p, t0)
	}
	last := b.Jobs[fmt.Sprintf("job-%d", n-1)]
	p := b.Allocate(last, 1, "n-1", "a", 1, t0)
	w := b.NextBatch(later, WriteBudget{Spare: 0})
	if w == nil || len(w.Txn.Then) != 1 {
		t.Fatalf("the first transaction is %+v, want the start alone", w)
	}
	if start, _ := b.MarkCommitted(w, s.apply(w.Txn)); len(start) != 1 || start[0] != p {
		t.Fatalf("may start %v", start)
	}
	if w := b.NextBatch(later, WriteBudget{Spare: 0}); w != nil {
		t.Errorf("without room to spare %d changes are written", len(w.Txn.Then))
	}
	// They do not wait for ever.
	if w := b.NextBatch(later.Add(tuning.LazyMax), WriteBudget{Overdue: 2}); w == nil || len(w.Txn.Then) != 2 {
		t.Errorf("written at last: %+v", w)
	}
}

// Guards against a transaction that is put together long before it may be sent: a production start that comes
// meanwhile waits behind all of it.
func TestATransactionTakesNoMoreThanMayBeSent(t *testing.T) {
	s := newStore(t)
	for i := range 9 {
		s.accept(fmt.Sprintf("job-%d", i), 2)
	}
	b, _ := s.load(24)
	for i := range 8 {
		b.Allocate(b.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0)
	}
	w := b.NextBatch(t0, WriteBudget{Changes: 3})
	if len(w.Txn.Then) != 3 {
		t.Fatalf("%d changes, of which three may be sent", len(w.Txn.Then))
	}
	late := b.Jobs["job-8"]
	late.Priority = wire.PriorityProduction
	p := b.Allocate(late, 0, "n-1", "a", 1, t0)
	b.MarkCommitted(w, s.apply(w.Txn))
	w = b.NextBatch(t0, WriteBudget{Changes: 3})
	if b.MarkCommitted(w, s.apply(w.Txn)); !p.Committed {
		t.Error("a production start waits behind starts that came before")
	}
}

// Guards against progress that uses up the limit: it goes by each record's own age, within what is given for it.
func TestOverdueProgressKeepsToItsShare(t *testing.T) {
	s := newStore(t)
	for i := range 6 {
		s.accept(fmt.Sprintf("job-%d", i), 2)
	}
	b, _ := s.load(24)
	var places []*Allocation
	for i := range 6 {
		places = append(places, b.Allocate(b.Jobs[fmt.Sprintf("job-%d", i)], 0, "n-1", "a", 1, t0))
	}
	s.flush(b)
	for i, p := range places {
		b.MarkDone(p, t0.Add(time.Duration(i)*time.Second))
	}
	at := t0.Add(tuning.LazyMax + 2500*time.Millisecond) // three of them are overdue
	if w := b.NextBatch(at, WriteBudget{Overdue: 2}); w == nil || len(w.Txn.Then) != 2 {
		t.Fatalf("with a share of two: %+v", w)
	} else {
		b.MarkCommitted(w, s.apply(w.Txn))
	}
	if w := b.NextBatch(at, WriteBudget{Overdue: 9}); w == nil || len(w.Txn.Then) != 1 {
		t.Fatalf("one more is overdue: %+v", w)
	} else {
		b.MarkCommitted(w, s.apply(w.Txn))
	}
	if w := b.NextBatch(at, WriteBudget{Spare: 9}); w == nil || len(w.Txn.Then) != 3 || w.Counts.Progress != 3 {
		t.Errorf("with room to spare: %+v", w)
	}
}

// Guards against records of a job that is over which are there again: whatever transaction of it had no answer, carried out once more
// after the others it changes nothing.
func TestNoTransactionOfABookIsCarriedOutTwice(t *testing.T) {
	s := newStore(t)
	s.accept("job-1", 2)
	b, _ := s.load(12)
	var sent []wire.Txn
	flush := func() {
		for w := b.NextBatch(later, WriteBudget{Spare: 1000}); w != nil; w = b.NextBatch(later, WriteBudget{Spare: 1000}) {
			sent = append(sent, w.Txn)
			b.MarkCommitted(w, s.apply(w.Txn))
		}
	}
	j := b.Jobs["job-1"]
	for i := range 2 {
		p := b.Allocate(j, i, "n-1", "a", 1, t0)
		flush()
		b.MarkDone(p, t0)
		flush()
	}
	if len(sent) < 4 || b.Jobs["job-1"] != nil {
		t.Fatalf("%d transactions, the job is over: %v", len(sent), b.Jobs["job-1"] == nil)
	}
	for n, txn := range sent {
		holds := !slices.ContainsFunc(txn.If, func(c wire.Condition) bool { return s.items[c.Key].Version != c.Version })
		if holds {
			t.Errorf("transaction %d would be carried out again: %+v", n, txn)
		}
	}
}
