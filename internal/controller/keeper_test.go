package controller

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/config"
	"poppypass/internal/standin"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

type keeperWorld struct {
	t     *testing.T
	clock *clockwork.FakeClock
	state *standin.State
	*keeper
}

func newKeeperWorld(t *testing.T) *keeperWorld {
	clock := clockwork.NewFakeClock()
	state := standin.NewState(clock)
	t.Cleanup(state.Close)
	c := New(&config.Settings{
		Member: "m1", Outside: config.Outside{State: state.Addr(), Cloud: "127.0.0.1:1"},
		Cluster: config.Cluster{
			Workers: config.Workers{LeaseS: 10}, State: config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 1},
		},
	}, tuning.Defaults(), clock, slog.New(slog.DiscardHandler))
	return &keeperWorld{t, clock, state, c.keeper}
}

func (w *keeperWorld) ask(machine string) bool {
	r := keepRequest{machine, make(chan bool, 1)}
	w.serve(w.t.Context(), []keepRequest{r})
	return <-r.kept
}

// recorded is what a leader would read.
func (w *keeperWorld) recorded(machine string) bool {
	w.t.Helper()
	kept, err := readKept(w.t.Context(), w.c.store)
	if err != nil {
		w.t.Fatal(err)
	}
	return kept[machine]
}

func TestAMachineIsRecordedBeforeItIsAnswered(t *testing.T) {
	w := newKeeperWorld(t)
	if !w.ask("n-1") || !w.recorded("n-1") || w.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", w.recorded("n-1"), w.recorded("n-2"))
	}
	w.state.Refuse(true)
	if w.ask("n-2") {
		t.Error("answers a machine that it could not record")
	}
	if !w.ask("n-1") {
		t.Error("does not answer the one that is recorded")
	}
}

// Guards against a record that ends before a lease that was given under it:
// the leader would place the tasks anew while they still run.
func TestTheRecordOutlivesEveryAnswer(t *testing.T) {
	w := newKeeperWorld(t)
	w.ask("n-1")
	var last time.Time
	for w.clock.Since(w.sent) < w.life() { // never renewed
		if w.ask("n-1") {
			last = w.clock.Now()
		}
		w.clock.Advance(100 * time.Millisecond)
		w.state.Expire()
		if !last.IsZero() && !w.recorded("n-1") && w.clock.Since(last) < w.workerLease() {
			t.Fatalf("the record ended %v after an answer", w.clock.Since(last))
		}
	}
	if w.ask("n-1") {
		t.Error("answers after its record's end")
	}
}

func TestAMachineLeavesTheRecordALeaseAfterItsLastAnswer(t *testing.T) {
	w := newKeeperWorld(t)
	w.ask("n-1")
	w.clock.Advance(w.workerLease())
	w.ask("n-2")
	if w.renew(t.Context()); !w.recorded("n-1") {
		t.Error("taken out while its lease may run")
	}
	w.clock.Advance(time.Second)
	if w.renew(t.Context()); w.recorded("n-1") || !w.recorded("n-2") {
		t.Errorf("recorded: n-1 %v, n-2 %v", w.recorded("n-1"), w.recorded("n-2"))
	}
}

// Guards against a write without an answer that is applied later and takes a
// name out again: nothing more is written under its key.
func TestAWriteWithoutAnAnswerEndsTheRecord(t *testing.T) {
	w := newKeeperWorld(t)
	w.ask("n-1")
	first := w.lease
	w.state.Mute(func(wire.Txn) bool { return true })
	if w.ask("n-2") {
		t.Error("answers a machine whose record has no answer")
	}
	w.state.Mute(nil)
	if !w.ask("n-3") || w.lease == first {
		t.Error("goes on under the same key")
	}
	if !w.recorded("n-1") {
		t.Error("the old record does not live on")
	}
}

func TestLostWorkers(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := redirects{sent: map[string]time.Time{}, kept: map[string]time.Time{}}
	fresh := &wire.Report{Machine: "n-1", Token: 3}
	if r.lost(fresh, 4, now) {
		t.Error("a worker that has not met this leader is sent to it first")
	}
	if !r.lost(fresh, 4, now.Add(5*time.Second)) {
		t.Error("one that comes back did not find it")
	}
	if r.lost(&wire.Report{Machine: "n-1", Token: 3}, 4, now.Add(5*time.Second+2*tuning.RedirectMemory)) {
		t.Error("what was long ago tells nothing")
	}
	if !r.lost(&wire.Report{Machine: "n-2", Token: 4}, 4, now) {
		t.Error("one that has seen the leader's token has lost it")
	}
	// A kept worker tries the leader again now and then.
	if r.probe("n-2", now) || r.probe("n-2", now.Add(tuning.KeepProbe/2)) || !r.probe("n-2", now.Add(tuning.KeepProbe)) {
		t.Error("a kept worker tries the leader at the wrong times")
	}
}

// Guards against workers of a cut zone that lose their leases on the way: of
// five controllers they reached one, which sent them to a leader that they did
// not reach, and they tried the others for 5 s each before they came back. On
// a hunted day 400 tasks were lost so.
func TestAWorkerIsKeptWhileTheLeaderDoesNotAnswer(t *testing.T) {
	w := newKeeperWorld(t)
	ctx := t.Context()
	go func() {
		for {
			select {
			case r := <-w.requests:
				if w.lease != 0 {
					w.renew(ctx)
				}
				w.serve(ctx, []keepRequest{r})
			case <-ctx.Done():
				return
			}
		}
	}()
	w.c.endpoint["m0"] = "127.0.0.1:1" // refuses, if it is called
	rep := &wire.Report{Machine: "n-1", Token: 3, Tasks: []wire.TaskReport{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}}
	for range tuning.ReachMissed {
		if w.c.reach.cut("m0") {
			t.Error("one missed ping is no cut")
		}
		w.c.reach.note("m0", true)
	}
	if w.c.reach.cut("m2") {
		t.Error("another leader was not asked yet")
	}
	kept := func() bool { _, ok := w.c.help(ctx, nil, rep, "m0"); return ok }
	w.c.settings.Members = make([]config.Member, 4) // 20 s for all of them, with a lease of 10 s
	for range 2 {
		if !kept() {
			t.Error("sent to a leader that does not answer")
		}
		w.clock.Advance(tuning.KeepProbe)
	}
	w.c.settings.Members = w.c.settings.Members[:1]
	if !kept() {
		t.Error("sent to the leader at once")
	}
	w.clock.Advance(tuning.KeepProbe)
	if kept() {
		t.Error("never tries the leader again, though it would be back in time")
	}
	w.c.reach.note("m0", false)
	if w.c.reach.cut("m0") {
		t.Error("an answer does not end the cut")
	}
}
