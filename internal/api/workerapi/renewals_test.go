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

// renewalsFixture is a member that renews the leases of workers. A worker answers a query with its heartbeat, or
// not at all.
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

// heartbeat reports whether a worker's lease is renewed. It first waits for the answer to a query that was sent
// meanwhile.
func (f *renewalsFixture) heartbeat(hb *wire.Heartbeat) bool {
	f.t.Helper()
	ok := f.allow(f.t.Context(), hb, f.now)
	for {
		f.mu.Lock()
		queryPending := f.workers[hb.Machine].queryPending
		f.mu.Unlock()
		if !queryPending {
			return ok
		}
		<-f.answered
		for { // until queryDone has handled the answer
			f.mu.Lock()
			done := !f.workers[hb.Machine].queryPending
			f.mu.Unlock()
			if done {
				break
			}
		}
	}
}

// newHeartbeat makes a heartbeat of machine n-1, which runs a task.
func newHeartbeat(seq, token uint64) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Address: "a:1", Type: "g8", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: token,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}}
}

// Guards against a dead machine that counts as alive for as long as copies of its heartbeats arrive: its tasks were
// not started elsewhere. The first copy cannot be distinguished from a heartbeat; the later ones can.
func TestCopiedHeartbeatsDoNotRenewADeadMachinesLease(t *testing.T) {
	f := newRenewalsFixture(t)
	if !f.heartbeat(newHeartbeat(5, 3)) {
		t.Error("the first reply to a worker waits for a query")
	}
	for seq := uint64(6); seq < 20; seq++ { // a stream of copies, each newer than the one before
		f.now = f.now.Add(time.Second)
		if f.heartbeat(newHeartbeat(seq, 3)) {
			t.Fatal("renewed though the worker does not answer queries")
		}
	}
	f = newRenewalsFixture(t)
	live := newHeartbeat(5, 3)
	f.answers["a:1"] = live
	f.heartbeat(newHeartbeat(5, 3))
	f.now = f.now.Add(time.Second)
	if f.heartbeat(newHeartbeat(5, 3)) || f.heartbeat(newHeartbeat(4, 3)) {
		t.Error("renewed for a copy of a heartbeat")
	}
	for seq := uint64(10); seq < 30; seq += 2 {
		f.now = f.now.Add(time.Second)
		live.Seq = seq
		if !f.heartbeat(newHeartbeat(seq, 3)) {
			t.Fatal("not renewed though the worker is alive")
		}
	}
}

// Guards against a restarted worker whose lease is not renewed because its heartbeats, whose sequence numbers are lower
// than before, are taken for delayed copies.
func TestARestartedWorkersLeaseIsRenewed(t *testing.T) {
	f := newRenewalsFixture(t)
	f.answers["a:1"] = newHeartbeat(500, 3)
	f.heartbeat(newHeartbeat(500, 3))
	f.now = f.now.Add(time.Second)
	f.answers["a:1"] = newHeartbeat(2, 3)
	if f.heartbeat(newHeartbeat(2, 3)) {
		t.Error("renewed for a heartbeat that looks older before the worker was queried")
	}
	f.now = f.now.Add(time.Second)
	if !f.heartbeat(newHeartbeat(4, 3)) {
		t.Error("not renewed though the worker's answer showed that it was restarted")
	}
}

// Guards against workers that stay with a controller that has lost the state service and all other members, and so get
// no commands although a leader reaches them. The controller recognizes this by the higher fencing token that the
// leader gave the worker, and does not renew the lease. A worker that returns after that has found no leader, so its
// lease is renewed.
func TestALeaseIsNotRenewedWhileALeaderReachesTheWorker(t *testing.T) {
	for _, leaseS := range []float64{10, 18, 26.5, 42} {
		f := newRenewalsFixture(t)
		f.lease = time.Duration(leaseS * float64(time.Second))
		live := newHeartbeat(1, 3)
		f.answers["a:1"] = live
		for seq := uint64(2); seq < 12; seq += 2 {
			live.Seq = seq
			if !f.heartbeat(newHeartbeat(seq, 3)) {
				t.Fatal("not renewed though no leader reaches the worker")
			}
			f.now = f.now.Add(f.lease / 6)
		}
		live.Seq = 20
		if f.heartbeat(newHeartbeat(20, 4)) {
			t.Errorf("lease %v: renewed though a leader gave the worker a fencing token meanwhile", f.lease)
		}
		f.now = f.now.Add(f.lease / 3)
		live.Seq = 30
		if !f.heartbeat(newHeartbeat(30, 4)) {
			t.Errorf("lease %v: not renewed though the worker found no leader", f.lease)
		}
	}
	// A worker that is new here may report any fencing token, also one that this member does not know.
	f := newRenewalsFixture(t)
	f.answers["a:1"] = newHeartbeat(1, 9)
	if !f.heartbeat(newHeartbeat(2, 9)) {
		t.Error("not renewed though its lease was not renewed here before")
	}
}

// queriesInFlight returns how many queries have no answer yet.
func (r *renewals) queriesInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// Guards against a fixed rate of queries: at 40 a second, the queries of 4,000 workers take 100 s, and a copy of a dead
// worker's heartbeat could count as the worker's own for the whole lease.
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
				hb := newHeartbeat(1<<32, 3)
				hb.Machine = addr
				return *hb, true
			})
			start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			heartbeats := heartbeatsInALease * c.machines
			for i := range heartbeats {
				hb := newHeartbeat(1<<32+uint64(i/c.machines), 3)
				hb.Machine = fmt.Sprintf("n-%06d", i%c.machines)
				hb.Address = hb.Machine
				r.allow(t.Context(), hb, start.Add(c.lease*time.Duration(i)/time.Duration(heartbeats)))
				for r.queriesInFlight() > 0 { // each query is answered before the next heartbeat
					runtime.Gosched()
				}
			}
			notQueried := 0
			for _, w := range r.workers {
				if w.confirmedAt.IsZero() {
					notQueried++
				}
			}
			if len(r.workers) != c.machines || notQueried > 0 {
				t.Errorf("%d of %d workers were not queried within a lease", notQueried, len(r.workers))
			}
		})
	}
}

// Guards against queries that use up the sockets that workers need.
func TestQueriesStayWithinTheMembersSockets(t *testing.T) {
	const machines, maxQueries = 6000, 56
	block := make(chan struct{})
	defer close(block)
	r := newRenewals(10*time.Second, maxQueries, func(context.Context, string) (wire.Heartbeat, bool) { <-block; return wire.Heartbeat{}, false })
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for i := range machines {
		hb := newHeartbeat(1, 3)
		hb.Machine = fmt.Sprintf("n-%06d", i)
		r.allow(t.Context(), hb, now.Add(time.Duration(i)*time.Millisecond))
	}
	if n := r.queriesInFlight(); n != maxQueries {
		t.Errorf("%d queries are in flight", n)
	}
}

// The number of queries in flight is bounded: in a partition, hundreds of workers report at the same time.
func TestRenewedWorkersAreQueriedAFewAtATime(t *testing.T) {
	block := make(chan struct{})
	r := newRenewals(10*time.Second, 0, func(context.Context, string) (wire.Heartbeat, bool) { <-block; return wire.Heartbeat{}, false })
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for i := range 500 {
		hb := newHeartbeat(1, 3)
		hb.Machine = "n-" + time.Duration(i).String()
		if !r.allow(t.Context(), hb, now) {
			t.Fatal("not renewed because too many queries are in flight")
		}
	}
	if n := r.queriesInFlight(); n > tuning.RenewedQueriesInFlightMin {
		t.Errorf("%d queries are in flight", n)
	}
	close(block)
	// A worker is forgotten some time after its lease has expired.
	for i := range 4 * tuning.RedirectsSweepMin {
		hb := newHeartbeat(1, 3)
		hb.Machine = "m-" + time.Duration(i).String()
		r.allow(t.Context(), hb, now.Add(time.Duration(i)*time.Second))
	}
	if len(r.workers) > 3*tuning.RedirectsSweepMin {
		t.Errorf("%d workers are remembered", len(r.workers))
	}
}
