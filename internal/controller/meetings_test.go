package controller

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"poppypass/internal/platform/metrics"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
)

// Guards against a leader that tells a user less than another member told: the transaction that ends a job is carried out, its answer is
// slow or lost, another member that does not reach the leader reads the end from the state service, and the leader answers from
// memory. A random history found it, in a moment between the two. In an outage, where nothing is carried out, it does answer.
func TestALeaderDoesNotAnswerWhileAnEndMayBeStored(t *testing.T) {
	w := newHarness(t)
	w.submit("job-1", 1)
	w.submit("job-2", 1)
	k := w.worker("n-000001", "a")
	w.until("both run", func() bool { k.beat(); return k.running() == 2 })
	finish := func(job string) {
		for i := range k.rep.Tasks {
			if fakes.JobOf(k.rep.Tasks[i].Task) == job {
				k.rep.Tasks[i].State, k.rep.Tasks[i].Reason = wire.TaskExited, wire.ExitDone
			}
		}
		k.beat()
	}
	w.state.LoseAnswers(func(txn wire.Txn) bool {
		return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return c.Put == jobs.KeyFinalState("job-1") })
	})
	finish("job-1")
	w.until("the end is stored", func() bool { _, ok := w.state.Value(jobs.KeyFinalState("job-1")); return ok })
	if s := w.jobState("job-1"); s != "done" {
		t.Errorf("called %s though it is stored as done", s)
	}
	w.state.LoseAnswers(nil)
	w.until("the leader knows it, and has the worker forget the task", func() bool {
		w.clock.Advance(tuning.StateRetry)
		k.beat()
		return len(k.rep.Tasks) == 1
	})
	w.state.Refuse(true)
	refused := w.state.Refused()
	finish("job-2")
	w.until("the end is refused", func() bool { return w.state.Refused() > refused })
	w.until("the leader answers", func() bool { return w.jobState("job-2") != "Service Unavailable" })
	if s := w.jobState("job-2"); s != "running" && s != "pending" {
		t.Errorf("in an outage the leader says %s", s)
	}
}

// Guards against a job that is there again after its end: its first submission had no answer and is carried out once it is over.
func TestALateSubmissionOfAJobThatIsOver(t *testing.T) {
	w := newHarness(t)
	w.until("there is a leader", func() bool { return w.c.leader() != nil })
	w.state.DelayTransactions(func(txn wire.Txn) bool { return txn.Then[0].Put == jobs.KeyJob("job-1") })
	if status, _ := w.call("POST", "/v2/runs", job("job-1", 1)); status != http.StatusServiceUnavailable || w.state.HeldTransactions() != 1 {
		t.Fatalf("told %d, %d held", status, w.state.HeldTransactions())
	}
	w.state.DelayTransactions(nil)
	w.submit("job-1", 1)
	k := w.worker("n-000001", "a")
	w.until("done", func() bool { k.beat(); k.finish(); return w.jobState("job-1") == "done" })
	if late := w.state.Deliver(); len(late) != 0 {
		t.Error("the job was stored once more")
	}
	for range 20 {
		k.beat()
	}
	if s := w.jobState("job-1"); s != "done" || k.running() != 0 || k.start["job-1/0"] != 1 {
		t.Errorf("called %s, started %d times", s, k.start["job-1/0"])
	}
}

// pausingObserver has something happen as the answer to a report is ready.
type pausingObserver struct {
	*metrics.Metrics
	then atomic.Pointer[func()]
}

func (p *pausingObserver) HeartbeatHandled(took time.Duration) {
	p.Metrics.HeartbeatHandled(took)
	if fn := p.then.Load(); fn != nil {
		(*fn)()
	}
}

// Guards against an answer of a leader whose right ended as it was made: the process stood still between the look at the right and the answer.
func TestAnAnswerThatIsReadyAfterTheRightIsOver(t *testing.T) {
	w := newHarness(t)
	w.stop()
	hears := &pausingObserver{Metrics: metrics.New(1)}
	w.observer = hears
	w.boot()
	k := w.worker("n-000001", "a")
	w.until("reports are answered", func() bool { return k.beat() == http.StatusOK })
	w.state.DelayAnswers(func() time.Duration { return time.Hour }) // no renewal is answered
	stall := func() { w.clock.Advance(tuning.LeaseTTL) }
	hears.then.Store(&stall)
	if status := k.beat(); status != http.StatusServiceUnavailable {
		t.Errorf("answered %d after the end of its right", status)
	}
	hears.then.Store(nil)
	w.state.DelayAnswers(nil)
	w.clock.Advance(time.Hour)
	w.until("reports are answered again", func() bool { return k.beat() == http.StatusOK })
}
