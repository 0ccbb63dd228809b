package workerapi

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// renewalsFixture is a member that keeps workers, each of which says what it is asked, or nothing.
type renewalsFixture struct {
	*renewals
	t    *testing.T
	now  time.Time
	says map[string]*wire.Heartbeat // by address
	told chan struct{}
}

func newRenewalsFixture(t *testing.T) *renewalsFixture {
	w := &renewalsFixture{t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), says: map[string]*wire.Heartbeat{}, told: make(chan struct{}, 64)}
	w.renewals = newRenewals(10*time.Second, 0, func(_ context.Context, addr string) (wire.Heartbeat, bool) {
		defer func() { w.told <- struct{}{} }()
		if rep := w.says[addr]; rep != nil {
			rep.Seq++
			return *rep, true
		}
		return wire.Heartbeat{}, false
	})
	return w
}

// report tells whether a worker is kept, and lets what it was asked be known.
func (w *renewalsFixture) report(rep *wire.Heartbeat) bool {
	w.t.Helper()
	ok := w.allow(w.t.Context(), rep, w.now)
	for {
		w.mu.Lock()
		asking := w.workers[rep.Machine].queried
		w.mu.Unlock()
		if !asking {
			return ok
		}
		<-w.told
		for { // until what it said is taken in
			w.mu.Lock()
			done := !w.workers[rep.Machine].queried
			w.mu.Unlock()
			if done {
				break
			}
		}
	}
}

func worker(seq, token uint64) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Address: "a:1", Type: "g8", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: token,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}}
}

// Guards against a dead machine that counts as kept for as long as copies of its reports come: its tasks were not started
// elsewhere. Its first copy cannot be told from a report; the next ones can.
func TestCopiesKeepNoDeadMachine(t *testing.T) {
	w := newRenewalsFixture(t)
	if !w.report(worker(5, 3)) {
		t.Error("a worker in a cut waits to be asked")
	}
	for seq := uint64(6); seq < 20; seq++ { // a stream of copies, each newer than the one before
		w.now = w.now.Add(time.Second)
		if w.report(worker(seq, 3)) {
			t.Fatal("kept though it does not answer")
		}
	}
	w = newRenewalsFixture(t)
	live := worker(5, 3)
	w.says["a:1"] = live
	w.report(worker(5, 3))
	w.now = w.now.Add(time.Second)
	if w.report(worker(5, 3)) || w.report(worker(4, 3)) {
		t.Error("a copy is answered")
	}
	for seq := uint64(10); seq < 30; seq += 2 {
		w.now = w.now.Add(time.Second)
		live.Seq = seq
		if !w.report(worker(seq, 3)) {
			t.Fatal("a worker that is there is not kept")
		}
	}
}

// Guards against a worker that is shut out as a copy since its machine was started anew.
func TestAWorkerThatWasStartedAnewIsKept(t *testing.T) {
	w := newRenewalsFixture(t)
	w.says["a:1"] = worker(500, 3)
	w.report(worker(500, 3))
	w.now = w.now.Add(time.Second)
	w.says["a:1"] = worker(2, 3)
	if w.report(worker(2, 3)) {
		t.Error("what looks older is answered before the worker was asked")
	}
	w.now = w.now.Add(time.Second)
	if !w.report(worker(4, 3)) {
		t.Error("shut out though it said that it was started anew")
	}
}

// Guards against workers that stay with a controller which has lost the state service and all others, and so hear no
// command, while a leader reaches them: the higher token that it gave them tells. One that comes back found nobody.
func TestAWorkerThatALeaderReachesIsSentOn(t *testing.T) {
	for _, leaseS := range []float64{10, 18, 26.5, 42} {
		w := newRenewalsFixture(t)
		w.lease = time.Duration(leaseS * float64(time.Second))
		live := worker(1, 3)
		w.says["a:1"] = live
		for seq := uint64(2); seq < 12; seq += 2 {
			live.Seq = seq
			if !w.report(worker(seq, 3)) {
				t.Fatal("a worker that nobody else reaches is sent on")
			}
			w.now = w.now.Add(w.lease / 6)
		}
		live.Seq = 20
		if w.report(worker(20, 4)) {
			t.Errorf("lease %v: kept though a leader gave it a token meanwhile", w.lease)
		}
		w.now = w.now.Add(w.lease / 3)
		live.Seq = 30
		if !w.report(worker(30, 4)) {
			t.Errorf("lease %v: not kept though it found nobody", w.lease)
		}
	}
	// One that comes with a token that this member has not heard of may come from anywhere.
	w := newRenewalsFixture(t)
	w.says["a:1"] = worker(1, 9)
	if !w.report(worker(2, 9)) {
		t.Error("a worker that was not kept before is sent on")
	}
}

func (k *renewals) questionsOnWay() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inFlight
}

// Guards against a fixed rate of questions: at 40 a second 4,000 workers took 100 s, and a copy of a dead one's report
// could count as the worker's own for all of its lease.
func TestEveryKeptWorkerIsAskedWithinALease(t *testing.T) {
	const reportsInALease, mostAsks = 5, 400
	for _, c := range []struct {
		name     string
		machines int
		lease    time.Duration
	}{
		{"400 machines", 400, 18 * time.Second},
		{"4,000 machines", 4000, 42 * time.Second},
		{"6,000 machines", 6000, 42 * time.Second},
		{"6,000 machines with short leases", 6000, 18 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newRenewals(c.lease, mostAsks, func(_ context.Context, addr string) (wire.Heartbeat, bool) {
				rep := worker(1<<32, 3)
				rep.Machine = addr
				return *rep, true
			})
			begun := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			reports := reportsInALease * c.machines
			for i := range reports {
				rep := worker(1<<32+uint64(i/c.machines), 3)
				rep.Machine = fmt.Sprintf("n-%06d", i%c.machines)
				rep.Address = rep.Machine
				k.allow(t.Context(), rep, begun.Add(c.lease*time.Duration(i)/time.Duration(reports)))
				for k.questionsOnWay() > 0 { // each answers before the next report
					runtime.Gosched()
				}
			}
			unasked := 0
			for _, w := range k.workers {
				if w.confirmedAt.IsZero() {
					unasked++
				}
			}
			if len(k.workers) != c.machines || unasked > 0 {
				t.Errorf("%d of %d workers were not asked within a lease", unasked, len(k.workers))
			}
		})
	}
}

// Guards against questions that take the sockets which workers need.
func TestQuestionsStayWithinTheMembersSockets(t *testing.T) {
	const machines, mostAsks = 6000, 56
	block := make(chan struct{})
	defer close(block)
	k := newRenewals(10*time.Second, mostAsks, func(context.Context, string) (wire.Heartbeat, bool) { <-block; return wire.Heartbeat{}, false })
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for i := range machines {
		rep := worker(1, 3)
		rep.Machine = fmt.Sprintf("n-%06d", i)
		k.allow(t.Context(), rep, now.Add(time.Duration(i)*time.Millisecond))
	}
	if n := k.questionsOnWay(); n != mostAsks {
		t.Errorf("%d questions are on their way", n)
	}
}

// What is asked is bounded: hundreds of workers come together in a cut.
func TestKeptWorkersAreAskedAFewAtATime(t *testing.T) {
	block := make(chan struct{})
	k := newRenewals(10*time.Second, 0, func(context.Context, string) (wire.Heartbeat, bool) { <-block; return wire.Heartbeat{}, false })
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for i := range 500 {
		rep := worker(1, 3)
		rep.Machine = "n-" + time.Duration(i).String()
		if !k.allow(t.Context(), rep, now) {
			t.Fatal("not kept since there was no room to ask it")
		}
	}
	if n := k.questionsOnWay(); n > tuning.RenewedQueriesLeast {
		t.Errorf("%d are asked", n)
	}
	close(block)
	// Their memory goes with their leases.
	for i := range 4 * tuning.RedirectsMin {
		rep := worker(1, 3)
		rep.Machine = "m-" + time.Duration(i).String()
		k.allow(t.Context(), rep, now.Add(time.Duration(i)*time.Second))
	}
	if len(k.workers) > 3*tuning.RedirectsMin {
		t.Errorf("%d workers are remembered", len(k.workers))
	}
}
