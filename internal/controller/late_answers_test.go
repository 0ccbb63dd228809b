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
	h := newHarness(t)
	h.submit("job-1", 1)
	h.submit("job-2", 1)
	k := h.worker("n-000001", "a")
	h.until("both run", func() bool { k.heartbeat(); return k.running() == 2 })
	finish := func(job string) {
		for i := range k.hb.Tasks {
			if fakes.JobOf(k.hb.Tasks[i].Task) == job {
				k.hb.Tasks[i].State, k.hb.Tasks[i].Reason = wire.TaskExited, wire.ExitDone
			}
		}
		k.heartbeat()
	}
	h.state.LoseAnswers(func(txn wire.Txn) bool {
		return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return c.Put == jobs.KeyFinalState("job-1") })
	})
	finish("job-1")
	h.until("the end is stored", func() bool { _, ok := h.state.Value(jobs.KeyFinalState("job-1")); return ok })
	if s := h.jobState("job-1"); s != "done" {
		t.Errorf("called %s though it is stored as done", s)
	}
	h.state.LoseAnswers(nil)
	h.until("the leader knows it, and has the worker forget the task", func() bool {
		h.clock.Advance(tuning.StateRetry)
		k.heartbeat()
		return len(k.hb.Tasks) == 1
	})
	h.state.Refuse(true)
	refused := h.state.Refused()
	finish("job-2")
	h.until("the end is refused", func() bool { return h.state.Refused() > refused })
	h.until("the leader answers", func() bool { return h.jobState("job-2") != "Service Unavailable" })
	if s := h.jobState("job-2"); s != "running" && s != "pending" {
		t.Errorf("in an outage the leader says %s", s)
	}
}

// Guards against a job that is there again after its end: its first submission had no answer and is carried out once it is over.
func TestALateSubmissionDoesNotRevertAJobThatIsOver(t *testing.T) {
	h := newHarness(t)
	h.until("there is a leader", func() bool { return h.c.leader() != nil })
	h.state.DelayTransactions(func(txn wire.Txn) bool { return txn.Then[0].Put == jobs.KeyJob("job-1") })
	if status, _ := h.call("POST", "/v2/runs", job("job-1", 1)); status != http.StatusServiceUnavailable || h.state.HeldTransactions() != 1 {
		t.Fatalf("told %d, %d held", status, h.state.HeldTransactions())
	}
	h.state.DelayTransactions(nil)
	h.submit("job-1", 1)
	k := h.worker("n-000001", "a")
	h.until("done", func() bool { k.heartbeat(); k.finish(); return h.jobState("job-1") == "done" })
	if late := h.state.Deliver(); len(late) != 0 {
		t.Error("the job was stored once more")
	}
	for range 20 {
		k.heartbeat()
	}
	if s := h.jobState("job-1"); s != "done" || k.running() != 0 || k.starts["job-1/0"] != 1 {
		t.Errorf("called %s, started %d times", s, k.starts["job-1/0"])
	}
}

// pausingObserver has something happen as the reply to a heartbeat is ready.
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

// Guards against a reply of a leader whose right ended as it was made: the process stood still between the look at the right and the reply.
func TestAReplyThatIsReadyAfterTheRightEndedIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.stop()
	hears := &pausingObserver{Metrics: metrics.New(1)}
	h.observer = hears
	h.boot()
	k := h.worker("n-000001", "a")
	h.until("heartbeats are answered", func() bool { return k.heartbeat() == http.StatusOK })
	h.state.DelayAnswers(func() time.Duration { return time.Hour }) // no renewal is answered
	stall := func() { h.clock.Advance(tuning.LeaseTTL) }
	hears.then.Store(&stall)
	if status := k.heartbeat(); status != http.StatusServiceUnavailable {
		t.Errorf("answered %d after the end of its right", status)
	}
	hears.then.Store(nil)
	h.state.DelayAnswers(nil)
	h.clock.Advance(time.Hour)
	h.until("heartbeats are answered again", func() bool { return k.heartbeat() == http.StatusOK })
}
