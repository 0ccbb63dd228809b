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

// Guards against a leader that reports an older state of a job than another member has reported. The transaction that
// stores the final state is executed, but its answer is late or lost. Another member that cannot reach the leader
// reads the final state from the state service, and then the leader answers from its memory. The time in which this
// happens is short; random histories of requests hit it. In an outage, in which no transaction is executed, the leader
// does answer from memory.
func TestALeaderDoesNotAnswerWhileAnEndMayBeStored(t *testing.T) {
	h := newHarness(t)
	h.submit("job-1", 1)
	h.submit("job-2", 1)
	worker := h.worker("n-000001", "a")
	h.until("both run", func() bool { worker.heartbeat(); return worker.running() == 2 })
	finish := func(job string) {
		for i := range worker.hb.Tasks {
			if fakes.JobOf(worker.hb.Tasks[i].Task) == job {
				worker.hb.Tasks[i].State, worker.hb.Tasks[i].Reason = wire.TaskExited, wire.ExitDone
			}
		}
		worker.heartbeat()
	}
	h.state.LoseAnswers(func(txn wire.Txn) bool {
		return slices.ContainsFunc(txn.Then, func(c wire.Change) bool { return c.Put == jobs.KeyFinalState("job-1") })
	})
	finish("job-1")
	h.until("the final state is stored", func() bool { _, ok := h.state.Value(jobs.KeyFinalState("job-1")); return ok })
	if s := h.jobState("job-1"); s != "done" {
		t.Errorf("job-1 is reported as %s although its final state is stored as done", s)
	}
	h.state.LoseAnswers(nil)
	h.until("the leader knows the final state and has the worker forget the task", func() bool {
		h.clock.Advance(tuning.StateRetryPause)
		worker.heartbeat()
		return len(worker.hb.Tasks) == 1
	})
	h.state.Refuse(true)
	refused := h.state.RefusedTransactions()
	finish("job-2")
	h.until("the state service has refused the final state", func() bool { return h.state.RefusedTransactions() > refused })
	h.until("the leader answers polls of job-2", func() bool { return h.jobState("job-2") != "Service Unavailable" })
	if s := h.jobState("job-2"); s != "running" && s != "pending" {
		t.Errorf("job-2 is reported as %s in the outage, want running or pending", s)
	}
}

// Guards against a job that runs again after its end: its first submission had no answer, and its transaction is
// executed only after the job is over.
func TestALateSubmissionDoesNotRevertAJobThatIsOver(t *testing.T) {
	h := newHarness(t)
	h.until("there is a leader", func() bool { return h.c.leader() != nil })
	h.state.DelayTransactions(func(txn wire.Txn) bool { return txn.Then[0].Put == jobs.KeyJob("job-1") })
	if status, _ := h.call("POST", "/v2/runs", job("job-1", 1)); status != http.StatusServiceUnavailable || h.state.UndeliveredRequests() != 1 {
		t.Fatalf("the submission got status %d, and %d transactions are delayed; want 503 and 1", status, h.state.UndeliveredRequests())
	}
	h.state.DelayTransactions(nil)
	h.submit("job-1", 1)
	worker := h.worker("n-000001", "a")
	h.until("done", func() bool { worker.heartbeat(); worker.finish(); return h.jobState("job-1") == "done" })
	if late := h.state.Deliver(); len(late) != 0 {
		t.Error("the late transaction stored the job again")
	}
	for range 20 {
		worker.heartbeat()
	}
	if s := h.jobState("job-1"); s != "done" || worker.running() != 0 || worker.starts["job-1/0"] != 1 {
		t.Errorf("job-1 is %s and its task was started %d times; want done and 1", s, worker.starts["job-1/0"])
	}
}

// pausingObserver calls a function when the reply to a heartbeat is ready but not sent yet.
type pausingObserver struct {
	*metrics.Metrics
	onReply atomic.Pointer[func()]
}

func (p *pausingObserver) HeartbeatHandled(took time.Duration) {
	p.Metrics.HeartbeatHandled(took)
	if fn := p.onReply.Load(); fn != nil {
		(*fn)()
	}
}

// Guards against a reply to a heartbeat that a leader sends after its lease expired: the process paused between the
// check of the lease and the reply.
func TestAReplyThatIsReadyAfterTheLeaseExpiredIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.stop()
	observer := &pausingObserver{Metrics: metrics.New(1)}
	h.observer = observer
	h.boot()
	worker := h.worker("n-000001", "a")
	h.until("heartbeats are answered", func() bool { return worker.heartbeat() == http.StatusOK })
	h.state.DelayRequests(func() time.Duration { return time.Hour }) // no renewal is answered
	stall := func() { h.clock.Advance(tuning.LeaderLeaseTTL) }
	observer.onReply.Store(&stall)
	if status := worker.heartbeat(); status != http.StatusServiceUnavailable {
		t.Errorf("the heartbeat got status %d after the leader's lease expired, want 503", status)
	}
	observer.onReply.Store(nil)
	h.state.DelayRequests(nil)
	h.clock.Advance(time.Hour)
	h.until("heartbeats are answered again", func() bool { return worker.heartbeat() == http.StatusOK })
}
