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

// renewalsFixture is a member that renews the leases of workers, each of which answers queries with its heartbeat, or not at all.
type renewalsFixture struct {
	*renewals
	t        *testing.T
	now      time.Time
	answers  map[string]*wire.Heartbeat // by address
	answered chan struct{}
}

func newRenewalsFixture(t *testing.T) *renewalsFixture {
	t.Helper()
	f := &renewalsFixture{t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), answers: map[string]*wire.Heartbeat{}, answered: make(chan struct{}, 64)}
	f.renewals = newRenewals(10*time.Second, 0, func(_ context.Context, addr string) (wire.Heartbeat, bool) {
		defer func() { f.answered <- struct{}{} }()
		if hb := f.answers[addr]; hb != nil {
			hb.Seq++
			return *hb, true
		}
		return wire.Heartbeat{}, false
	})
	return f
}

// heartbeat reports whether a worker's lease is renewed, and waits for the answer to a query that was sent meanwhile.
func (f *renewalsFixture) heartbeat(hb *wire.Heartbeat) bool {
	f.t.Helper()
	ok := f.allow(f.t.Context(), hb, f.now)
	for {
		f.mu.Lock()
		queried := f.workers[hb.Machine].queried
		f.mu.Unlock()
		if !queried {
			return ok
		}
		<-f.answered
		for { // until the answer is noted
			f.mu.Lock()
			done := !f.workers[hb.Machine].queried
			f.mu.Unlock()
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

// Guards against a dead machine that counts as alive for as long as copies of its heartbeats come: its tasks were not started
// elsewhere. Its first copy cannot be told from a heartbeat; the next ones can.
func TestCopiedHeartbeatsDoNotRenewADeadMachinesLease(t *testing.T) {
	f := newRenewalsFixture(t)
	if !f.heartbeat(worker(5, 3)) {
		t.Error("a worker in a partition waits to be asked")
	}
	for seq := uint64(6); seq < 20; seq++ { // a stream of copies, each newer than the one before
		f.now = f.now.Add(time.Second)
		if f.heartbeat(worker(seq, 3)) {
			t.Fatal("renewed though it does not answer")
		}
	}
	f = newRenewalsFixture(t)
	live := worker(5, 3)
	f.answers["a:1"] = live
	f.heartbeat(worker(5, 3))
	f.now = f.now.Add(time.Second)
	if f.heartbeat(worker(5, 3)) || f.heartbeat(worker(4, 3)) {
		t.Error("a copy is answered")
	}
	for seq := uint64(10); seq < 30; seq += 2 {
		f.now = f.now.Add(time.Second)
		live.Seq = seq
		if !f.heartbeat(worker(seq, 3)) {
			t.Fatal("a worker that is there is not renewed")
		}
	}
}

// Guards against a worker that is shut out as a copy since its machine was started anew.
func TestARestartedWorkersLeaseIsRenewed(t *testing.T) {
	f := newRenewalsFixture(t)
	f.answers["a:1"] = worker(500, 3)
	f.heartbeat(worker(500, 3))
	f.now = f.now.Add(time.Second)
	f.answers["a:1"] = worker(2, 3)
	if f.heartbeat(worker(2, 3)) {
		t.Error("what looks older is answered before the worker was asked")
	}
	f.now = f.now.Add(time.Second)
	if !f.heartbeat(worker(4, 3)) {
		t.Error("shut out though it said that it was started anew")
	}
}

// Guards against workers that stay with a controller which has lost the state service and all others, and so hear no
// command, while a leader reaches them: the higher fencing token that it gave them tells. One that comes back found nobody.
func TestALeaseIsNotRenewedWhileALeaderReachesTheWorker(t *testing.T) {
	for _, leaseS := range []float64{10, 18, 26.5, 42} {
		f := newRenewalsFixture(t)
		f.lease = time.Duration(leaseS * float64(time.Second))
		live := worker(1, 3)
		f.answers["a:1"] = live
		for seq := uint64(2); seq < 12; seq += 2 {
			live.Seq = seq
			if !f.heartbeat(worker(seq, 3)) {
				t.Fatal("a worker that nobody else reaches is sent on")
			}
			f.now = f.now.Add(f.lease / 6)
		}
		live.Seq = 20
		if f.heartbeat(worker(20, 4)) {
			t.Errorf("lease %v: renewed though a leader gave it a fencing token meanwhile", f.lease)
		}
		f.now = f.now.Add(f.lease / 3)
		live.Seq = 30
		if !f.heartbeat(worker(30, 4)) {
			t.Errorf("lease %v: not renewed though it found nobody", f.lease)
		}
	}
	// One that comes with a fencing token that this member has not heard of may come from anywhere.
	f := newRenewalsFixture(t)
	f.answers["a:1"] = worker(1, 9)
	if !f.heartbeat(worker(2, 9)) {
		t.Error("a worker that was not renewed before is sent on")
	}
}

func (r *renewals) queriesInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// Guards against a fixed rate of queries: at 40 a second 4,000 workers took 100 s, and a copy of a dead one's heartbeat
// could count as the worker's own for all of its lease.
func TestEveryRenewedWorkerIsQueriedWithinALease(t *testing.T) {
	const heartbeatsInALease, maxQueries = 5, 400
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
			r := newRenewals(c.lease, maxQueries, func(_ context.Context, addr string) (wire.Heartbeat, bool) {
				hb := worker(1<<32, 3)
				hb.Machine = addr
				return *hb, true
			})
			begun := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			heartbeats := heartbeatsInALease * c.machines
			for i := range heartbeats {
				hb := worker(1<<32+uint64(i/c.machines), 3)
				hb.Machine = fmt.Sprintf("n-%06d", i%c.machines)
				hb.Address = hb.Machine
				r.allow(t.Context(), hb, begun.Add(c.lease*time.Duration(i)/time.Duration(heartbeats)))
				for r.queriesInFlight() > 0 { // each answers before the next heartbeat
					runtime.Gosched()
				}
			}
			unasked := 0
			for _, w := range r.workers {
				if w.confirmedAt.IsZero() {
					unasked++
				}
			}
			if len(r.workers) != c.machines || unasked > 0 {
				t.Errorf("%d of %d workers were not asked within a lease", unasked, len(r.workers))
			}
		})
	}
}

// Guards against queries that take the sockets which workers need.
func TestQueriesStayWithinTheMembersSockets(t *testing.T) {
	const machines, maxQueries = 6000, 56
	block := make(chan struct{})
	defer close(block)
	r := newRenewals(10*time.Second, maxQueries, func(context.Context, string) (wire.Heartbeat, bool) { <-block; return wire.Heartbeat{}, false })
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for i := range machines {
		hb := worker(1, 3)
		hb.Machine = fmt.Sprintf("n-%06d", i)
		r.allow(t.Context(), hb, now.Add(time.Duration(i)*time.Millisecond))
	}
	if n := r.queriesInFlight(); n != maxQueries {
		t.Errorf("%d queries are in flight", n)
	}
}

// What is asked is bounded: hundreds of workers come together in a partition.
func TestRenewedWorkersAreQueriedAFewAtATime(t *testing.T) {
	block := make(chan struct{})
	r := newRenewals(10*time.Second, 0, func(context.Context, string) (wire.Heartbeat, bool) { <-block; return wire.Heartbeat{}, false })
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for i := range 500 {
		hb := worker(1, 3)
		hb.Machine = "n-" + time.Duration(i).String()
		if !r.allow(t.Context(), hb, now) {
			t.Fatal("not renewed because too many queries are in flight")
		}
	}
	if n := r.queriesInFlight(); n > tuning.RenewedQueriesLeast {
		t.Errorf("%d are asked", n)
	}
	close(block)
	// What is known of them is dropped after their leases.
	for i := range 4 * tuning.RedirectsMin {
		hb := worker(1, 3)
		hb.Machine = "m-" + time.Duration(i).String()
		r.allow(t.Context(), hb, now.Add(time.Duration(i)*time.Second))
	}
	if len(r.workers) > 3*tuning.RedirectsMin {
		t.Errorf("%d workers are remembered", len(r.workers))
	}
}
