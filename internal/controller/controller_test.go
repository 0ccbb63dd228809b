package controller

import (
	"strings"
	"sync/atomic"
	"testing"

	"poppypass/internal/clients/instancetypes"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

func TestAJobFromSubmissionToDone(t *testing.T) {
	h := newHarness(t)
	h.submit("job-1", 4)
	if s := h.jobState("job-1"); s != "pending" {
		t.Errorf("job-1 is %q before any worker runs it, want pending", s)
	}
	worker := h.worker("n-000001", "a")
	h.until("three tasks run", func() bool { worker.heartbeat(); return worker.running() == 3 })
	worker.heartbeat()
	if s := h.jobState("job-1"); s != "running" {
		t.Errorf("job-1 is %q while its tasks run, want running", s)
	}
	// The fourth task would exceed the team's limit of 12 CPUs.
	for range 20 {
		if worker.heartbeat(); worker.running() > 3 {
			t.Fatal("more tasks run than the team's limit of CPUs allows")
		}
	}
	h.until("done", func() bool { worker.heartbeat(); worker.finish(); return h.jobState("job-1") == "done" })
	for task, n := range worker.starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
	if len(worker.starts) != 4 {
		t.Errorf("started %v", worker.starts)
	}
	h.until("the worker has forgotten all tasks", func() bool { worker.heartbeat(); return len(worker.hb.Tasks) == 0 })
	// A submission that is repeated after the end of the job is answered with the final state and never refused.
	if status, out := h.call("POST", "/v2/runs", job("job-1", 4)); status != 200 || out["status"] != "done" {
		t.Errorf("repeated submission of a job that is over: %d %v", status, out)
	}
}

func TestARestartedControllerContinuesItsJobs(t *testing.T) {
	h := newHarness(t)
	h.submit("job-1", 2)
	worker := h.worker("n-000001", "a")
	h.until("both run", func() bool { worker.heartbeat(); return worker.running() == 2 })
	h.submit("job-2", 1)
	h.stop() // like a kill: the lease is not revoked but expires
	h.clock.Advance(2 * tuning.LeaderLeaseTTL)
	h.state.Expire()
	h.boot()
	oldToken := worker.hb.FencingToken
	h.until("the new leader answers", func() bool { return worker.heartbeat() == 200 && worker.hb.FencingToken > oldToken })
	if s := h.jobState("job-1"); s != "running" && s != "pending" {
		t.Errorf("job-1 is %q after the restart, want running or pending", s)
	}
	h.until("the third task runs too", func() bool { worker.heartbeat(); return worker.running() == 3 })
	h.until("done", func() bool {
		worker.heartbeat()
		worker.finish()
		return h.jobState("job-1") == "done" && h.jobState("job-2") == "done"
	})
	for task, n := range worker.starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

// Guards against a leader that treats a transaction without an answer as one that failed, or repeats it as a different
// transaction: tasks would start twice. Every transaction that stores progress or final states loses its answer.
func TestACommitWithoutAnAnswerStartsNothingTwice(t *testing.T) {
	h := newHarness(t)
	var unanswered atomic.Int32
	h.state.LoseAnswers(func(txn wire.Txn) bool {
		for _, c := range txn.Then {
			if strings.HasPrefix(c.Put, jobs.PrefixProgress) || strings.HasPrefix(c.Put, jobs.PrefixFinalState) {
				unanswered.Add(1)
				return true
			}
		}
		return false
	})
	h.submit("job-1", 2)
	worker := h.worker("n-000001", "a")
	retried := int32(0)
	h.until("done", func() bool {
		worker.heartbeat()
		worker.finish()
		if retried < unanswered.Load() {
			retried++
			h.advanceWhenCallPauses(tuning.StateRetryPause) // the pause before the transaction is retried
		}
		return h.jobState("job-1") == "done"
	})
	for task, n := range worker.starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

func TestACancellationStopsTasksAndCanBeRepeated(t *testing.T) {
	h := newHarness(t)
	h.submit("job-1", 2)
	worker := h.worker("n-000001", "a")
	h.until("both run", func() bool { worker.heartbeat(); return worker.running() == 2 })
	cancel := func(id string) (int, map[string]any) { return h.call("POST", "/v2/runs/"+id+"/cancel", nil) }
	answered := make(chan int, 1)
	go func() { status, _ := cancel("job-1"); answered <- status }()
	h.until("the replies to heartbeats stop the tasks", func() bool { worker.heartbeat(); return worker.running() == 0 })
	h.until("the cancellation is confirmed", func() bool {
		worker.heartbeat()
		status, out := cancel("job-1")
		return status == 200 && out["status"] == "withdrawn"
	})
	if status := <-answered; status != 200 && status != 503 {
		t.Errorf("first cancellation: status %d, want 200 or 503", status)
	}
	if s := h.jobState("job-1"); s != "withdrawn" {
		t.Errorf("job-1 is %q after its cancellation, want withdrawn", s)
	}
	h.until("the worker has forgotten all tasks", func() bool { worker.heartbeat(); return len(worker.hb.Tasks) == 0 })
	if status, out := cancel("job-1"); status != 200 || out["status"] != "withdrawn" {
		t.Errorf("repeated cancellation: %d %v", status, out)
	}
	if status, _ := cancel("job-2"); status != 404 {
		t.Errorf("cancellation of a job that nobody submitted: %d", status)
	}
}

// Guards against the answer that a job does not exist while the job's state cannot be read: a failed read does not
// prove that there is no such job.
func TestAFailedReadIsNoProofThatAJobDoesNotExist(t *testing.T) {
	h := newHarness(t)
	if s := h.jobState("job-9"); s != "Not Found" {
		t.Errorf("a job that nobody submitted: %q", s)
	}
	h.submit("job-1", 1)
	h.state.Refuse(true)
	for _, id := range []string{"job-9"} {
		if s := h.jobState(id); s != "Service Unavailable" {
			t.Errorf("%s: %q", id, s)
		}
	}
	if status, _ := h.call("POST", "/v2/runs", job("job-3", 1)); status != 503 {
		t.Errorf("a submission that cannot be stored: %d", status)
	}
	// Once its lease has expired, the leader may not answer workers.
	h.clock.Advance(tuning.LeaderLeaseTTL)
	if status := h.worker("n-000001", "a").heartbeat(); status != 503 && status != 421 {
		t.Errorf("a heartbeat after the leader's lease expired: %d", status)
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	h := newHarness(t)
	jobWith := func(field string, v any) map[string]any {
		j := job("job-1", 1)
		j[field] = v
		return j
	}
	service := jobWith("shape", "service")
	service["seats"] = 4
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"not JSON", "POST", "/v2/runs", "{", 400},
		{"too long", "POST", "/v2/runs", jobWith("x", strings.Repeat("x", wire.MaxBody)), 400},
		{"unknown team", "POST", "/v2/runs", jobWith("desk", "nobody"), 422},
		{"fits no type", "POST", "/v2/runs", jobWith("mem_gb", 65), 422},
		{"one task beyond the limit", "POST", "/v2/runs", jobWith("cpus", 13), 422},
		{"a service beyond the limit", "POST", "/v2/runs", service, 422},
		{"no such path", "GET", "/v3/runs", nil, 404},
		{"wrong method", "PUT", "/v2/runs", job("job-1", 1), 405},
		{"not an id", "GET", "/v2/runs/x", nil, 404},
		{"malformed heartbeat", "POST", wire.PathHeartbeat, `{"stall":3}`, 400},
		{"heartbeat without an incarnation", "POST", wire.PathHeartbeat, `{"stall":"n-1","address":"x:1","build":"g8","yard":"a"}`, 400},
	} {
		h.until("there is a leader", func() bool { return h.c.leader() != nil })
		if status, out := h.call(c.method, c.path, c.body); status != c.want {
			t.Errorf("%s: %d %v, want %d", c.name, status, out, c.want)
		}
	}
	// A job that was accepted once is never refused, even if the submission now breaks the rules.
	h.submit("job-5", 1)
	refused := jobWith("cpus", 13)
	refused["ref"] = "job-5"
	if status, _ := h.call("POST", "/v2/runs", refused); status != 200 {
		t.Errorf("an accepted job, submitted again with another description: %d", status)
	}
}

// Guards against renting a machine twice: a rental without an answer is repeated with the same request name.
func TestARentalWithoutAnAnswerIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.cloud.LoseRentAnswers(2)
	h.submit("job-1", 2)
	for n := 1; n < 3; n++ {
		h.until("the cloud has got the rental request", func() bool { return len(h.cloud.RentRequests()) >= n })
		h.advanceWhenCallPauses(tuning.CloudRetryPause)
	}
	h.until("the cloud has got the request that it answers", func() bool { return len(h.cloud.RentRequests()) >= 3 })
	names := map[string]bool{}
	for _, r := range h.cloud.RentRequests() {
		names[r.Request] = true
	}
	if len(names) != 1 || len(h.cloud.Machines()) != 1 {
		t.Errorf("request names %v, machines %v; want one of each", names, h.cloud.Machines())
	}
}

// Guards against controllers that cannot schedule after a restart in an outage of the cloud: they load the machine
// types from the state service and continue to use the rented machines.
func TestAfterARestartInACloudOutageKnownMachinesAreUsed(t *testing.T) {
	h := newHarness(t)
	h.until("the machine types are stored", func() bool { _, ok := h.state.Value(instancetypes.Key); return ok })
	h.stop()
	h.clock.Advance(2 * tuning.LeaderLeaseTTL)
	h.state.Expire()
	h.cloud.RefuseMachineTypes(true)
	h.boot()
	h.submit("job-1", 1)
	worker := h.worker("n-000001", "a")
	h.until("done", func() bool { worker.heartbeat(); worker.finish(); return h.jobState("job-1") == "done" })
}
