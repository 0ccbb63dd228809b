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
		t.Errorf("state %q", s)
	}
	k := h.worker("n-000001", "a")
	h.until("three tasks run", func() bool { k.heartbeat(); return k.running() == 3 })
	k.heartbeat()
	if s := h.jobState("job-1"); s != "running" {
		t.Errorf("state %q", s)
	}
	// The fourth would be beyond the team's limit of 12 CPUs.
	for range 20 {
		if k.heartbeat(); k.running() > 3 {
			t.Fatal("beyond the team's limit")
		}
	}
	h.until("done", func() bool { k.heartbeat(); k.finish(); return h.jobState("job-1") == "done" })
	for task, n := range k.starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
	if len(k.starts) != 4 {
		t.Errorf("started %v", k.starts)
	}
	h.until("all forgotten", func() bool { k.heartbeat(); return len(k.hb.Tasks) == 0 })
	// A submission that is repeated after the end gets the state, never a refusal.
	if status, out := h.call("POST", "/v2/runs", job("job-1", 4)); status != 200 || out["status"] != "done" {
		t.Errorf("repeated: %d %v", status, out)
	}
}

func TestARestartedControllerContinuesItsJobs(t *testing.T) {
	h := newHarness(t)
	h.submit("job-1", 2)
	k := h.worker("n-000001", "a")
	h.until("both run", func() bool { k.heartbeat(); return k.running() == 2 })
	h.submit("job-2", 1)
	h.stop() // killed; its lease runs out
	h.clock.Advance(2 * tuning.LeaseTTL)
	h.state.Expire()
	h.boot()
	old := k.hb.FencingToken
	h.until("the new leader answers", func() bool { return k.heartbeat() == 200 && k.hb.FencingToken > old })
	if s := h.jobState("job-1"); s != "running" && s != "pending" {
		t.Errorf("state %q", s)
	}
	h.until("the third task runs too", func() bool { k.heartbeat(); return k.running() == 3 })
	h.until("done", func() bool {
		k.heartbeat()
		k.finish()
		return h.jobState("job-1") == "done" && h.jobState("job-2") == "done"
	})
	for task, n := range k.starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

// Guards against a leader that takes a transaction without an answer for one
// that failed, or repeats it as another.
func TestACommitWithoutAnAnswerStartsNothingTwice(t *testing.T) {
	h := newHarness(t)
	var muted atomic.Int32
	h.state.LoseAnswers(func(txn wire.Txn) bool {
		for _, c := range txn.Then {
			if strings.HasPrefix(c.Put, jobs.PrefixProgress) || strings.HasPrefix(c.Put, jobs.PrefixFinalState) {
				muted.Add(1)
				return true
			}
		}
		return false
	})
	h.submit("job-1", 2)
	k := h.worker("n-000001", "a")
	passed := int32(0)
	h.until("done", func() bool {
		k.heartbeat()
		k.finish()
		if passed < muted.Load() {
			passed++
			h.advanceWhenIdle(tuning.StateRetry) // the pause before a repetition
		}
		return h.jobState("job-1") == "done"
	})
	for task, n := range k.starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

func TestACancellationStopsTasksAndCanBeRepeated(t *testing.T) {
	h := newHarness(t)
	h.submit("job-1", 2)
	k := h.worker("n-000001", "a")
	h.until("both run", func() bool { k.heartbeat(); return k.running() == 2 })
	cancel := func(id string) (int, map[string]any) { return h.call("POST", "/v2/runs/"+id+"/cancel", nil) }
	answered := make(chan int, 1)
	go func() { status, _ := cancel("job-1"); answered <- status }()
	h.until("the replies to heartbeats stop the tasks", func() bool { k.heartbeat(); return k.running() == 0 })
	h.until("cancelled", func() bool {
		k.heartbeat()
		status, out := cancel("job-1")
		return status == 200 && out["status"] == "withdrawn"
	})
	if status := <-answered; status != 200 && status != 503 {
		t.Errorf("the first request: %d", status)
	}
	if s := h.jobState("job-1"); s != "withdrawn" {
		t.Errorf("state %q", s)
	}
	h.until("all forgotten", func() bool { k.heartbeat(); return len(k.hb.Tasks) == 0 })
	if status, out := cancel("job-1"); status != 200 || out["status"] != "withdrawn" {
		t.Errorf("repeated: %d %v", status, out)
	}
	if status, _ := cancel("job-2"); status != 404 {
		t.Errorf("a job that nobody submitted: %d", status)
	}
}

// Guards against an answer that says less than is known: a failed look-up is
// no proof that a job does not exist.
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
	// Past its lease the leader has no right to answer workers.
	h.clock.Advance(tuning.LeaseTTL)
	if status := h.worker("n-000001", "a").heartbeat(); status != 503 && status != 421 {
		t.Errorf("a heartbeat past the lease: %d", status)
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	h := newHarness(t)
	with := func(field string, v any) map[string]any {
		j := job("job-1", 1)
		j[field] = v
		return j
	}
	service := with("shape", "service")
	service["seats"] = 4
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"not JSON", "POST", "/v2/runs", "{", 400},
		{"too long", "POST", "/v2/runs", with("x", strings.Repeat("x", wire.MaxBody)), 400},
		{"unknown team", "POST", "/v2/runs", with("desk", "nobody"), 422},
		{"fits no type", "POST", "/v2/runs", with("mem_gb", 65), 422},
		{"one task beyond the limit", "POST", "/v2/runs", with("cpus", 13), 422},
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
	// A job that was accepted once is never refused, whatever the rules say now.
	h.submit("job-5", 1)
	refused := with("cpus", 13)
	refused["ref"] = "job-5"
	if status, _ := h.call("POST", "/v2/runs", refused); status != 200 {
		t.Errorf("an accepted job, submitted again with another description: %d", status)
	}
}

// Guards against renting twice: a rental without an answer is repeated under
// the same name.
func TestARentalWithoutAnAnswerIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.cloud.LoseRentAnswers(2)
	h.submit("job-1", 2)
	for n := 1; n < 3; n++ {
		h.until("asked", func() bool { return len(h.cloud.Rents()) >= n })
		h.advanceWhenIdle(tuning.CloudRetry)
	}
	h.until("answered", func() bool { return len(h.cloud.Rents()) >= 3 })
	names := map[string]bool{}
	for _, r := range h.cloud.Rents() {
		names[r.Request] = true
	}
	if len(names) != 1 || len(h.cloud.Machines()) != 1 {
		t.Errorf("requests %v, machines %v", names, h.cloud.Machines())
	}
}

// Guards against controllers that are useless after a restart in an outage of
// the cloud: the machines that are there go on being used.
func TestAfterARestartInACloudOutageKnownMachinesAreUsed(t *testing.T) {
	h := newHarness(t)
	h.until("the types are stored", func() bool { _, ok := h.state.Value(instancetypes.Key); return ok })
	h.stop()
	h.clock.Advance(2 * tuning.LeaseTTL)
	h.state.Expire()
	h.cloud.Refuse(true)
	h.boot()
	h.submit("job-1", 1)
	k := h.worker("n-000001", "a")
	h.until("done", func() bool { k.heartbeat(); k.finish(); return h.jobState("job-1") == "done" })
}
