package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/instancetypes"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testutil"
)

// harness is a controller with stand-ins of all that is outside. Its clock
// stands still unless a test moves it, so no lease ends by itself; a test
// waits by asking again until the answer comes.
type harness struct {
	t          *testing.T
	clock      *clockwork.FakeClock
	state      *fakes.Store
	cloud      *fakes.Cloud
	addr       string
	c          *Controller
	stop       func()
	properties string          // path of the operators' properties
	observer   leader.Observer // nil: nobody
}

// waitLimit turns a test that would hang into a failure; what a test waits for
// takes milliseconds.
const waitLimit = time.Minute

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewFakeClock()
	w := &harness{t: t, clock: clock, state: fakes.NewStore(clock), cloud: fakes.NewCloud(10, wire.MachineType{
		Name: "g8", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"a", "b"},
	})}
	w.boot()
	t.Cleanup(func() {
		w.stop()
		w.state.Close()
		w.cloud.Close()
	})
	return w
}

// boot starts the controller, as a process with no memory of an earlier one.
func (w *harness) boot() {
	w.addr = testutil.FreeAddr(w.t)
	s := &config.Settings{
		Member: "m0", Bind: w.addr, MeshAddr: testutil.FreeAddr(w.t), Outside: config.Outside{Cloud: w.cloud.Addr(), State: w.state.Addr()},
		Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "t", CPUs: 8, CPUsMax: 12}},
			Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
			State:   config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 1e6},
		},
	}
	var err error
	if w.c, err = New(s, w.operatorSettings(), w.clock, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
	if w.observer != nil {
		w.c.env.Observer = w.observer
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.c.Run(ctx) }()
	w.stop = func() {
		stop()
		if err := <-done; err != nil {
			w.t.Errorf("the controller ended: %v", err)
		}
	}
	w.until("healthy", func() bool { status, _ := w.call("GET", "/up", nil); return status == 200 })
}

// operatorSettings are the operators' settings.
func (w *harness) operatorSettings() *config.OperatorSettingsWatcher {
	own, err := config.LoadProperties(w.properties)
	if err != nil {
		w.t.Fatal(err)
	}
	return config.Watch(w.properties, nil, own)
}

// until waits until a condition holds. On a starved machine a call may time out,
// and is repeated after a pause of the clock that stands still: that goes on a
// little then.
func (w *harness) until(what string, holds func() bool) {
	w.t.Helper()
	begun := time.Now()
	for stalled := 1; !holds(); {
		waited := time.Since(begun)
		if waited > waitLimit {
			w.t.Fatalf("never happened: %s", what)
		}
		if waited > time.Duration(stalled)*waitLimit/12 {
			stalled++
			w.clock.Advance(tuning.RetryLeader)
		}
	}
}

// advanceWhenIdle lets time pass once a call that is to be repeated waits for that,
// beside the six that always wait: the leader's tick, the renewal of its lease,
// its next asking for promises, its next look at the fence, the next reading
// of the machine types and the next comparison with the stored jobs.
func (w *harness) advanceWhenIdle(d time.Duration) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), waitLimit)
	defer cancel()
	if err := w.clock.BlockUntilContext(ctx, 7); err != nil {
		w.t.Fatal("nothing waits to be repeated")
	}
	w.clock.Advance(d)
}

func (w *harness) call(method, path string, body any) (int, map[string]any) {
	var in io.Reader
	switch b := body.(type) {
	case nil:
	case string:
		in = strings.NewReader(b)
	default:
		raw, err := json.Marshal(b)
		if err != nil {
			w.t.Fatal(err)
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+w.addr+path, in)
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var out map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&out) // some answers have no JSON body
	return resp.StatusCode, out
}

func job(id string, tasks int) map[string]any {
	return map[string]any{
		"ref": id, "lane": "l", "desk": "t", "shape": "array", "urgency": "standard", "seats": tasks,
		"cpus": 4.0, "gpus": 0.0, "mem_gb": 1.0, "bundle": "img", "image_gb": 1.0, "same_place": false, "apart": false,
		"standby": true, "ride_s": 10.0, "stub_s": 0.0, "stamp_s": 0.0,
	}
}

func (w *harness) submit(id string, tasks int) {
	w.t.Helper()
	w.until("accepted", func() bool {
		status, _ := w.call("POST", "/v2/runs", job(id, tasks))
		return status == 201 || status == 200
	})
}

func (w *harness) jobState(id string) string {
	status, out := w.call("GET", "/v2/runs/"+id, nil)
	if status != 200 {
		return http.StatusText(status)
	}
	return out["status"].(string)
}

// worker is a scripted worker: the test has it report, and it obeys.
type worker struct {
	w     *harness
	rep   wire.Heartbeat
	start map[string]int // starts of each task that had an effect
	saves bool           // its tasks save when they are given time to
}

func (w *harness) worker(name, zone string) *worker {
	return &worker{w: w, start: map[string]int{}, rep: wire.Heartbeat{
		Machine: name, Address: "127.0.0.1:1", Type: "g8", Zone: zone, Incarnation: 1,
	}}
}

// beat reports once, executes the answer's commands, and gives its status.
func (k *worker) beat() int {
	k.rep.Seq++
	k.w.t.Helper()
	raw, err := json.Marshal(k.rep)
	if err != nil {
		k.w.t.Fatal(err)
	}
	resp, err := http.Post("http://"+k.w.addr+wire.PathHeartbeat, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var a wire.HeartbeatReply
	if resp.StatusCode != 200 {
		return resp.StatusCode
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		k.w.t.Fatal(err)
	}
	k.rep.FencingToken = max(k.rep.FencingToken, a.FencingToken)
	for _, c := range a.Commands {
		i := -1
		for n, t := range k.rep.Tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				i = n
			}
		}
		switch {
		case c.Op == wire.OpStart && i < 0:
			k.start[c.Task]++
			k.rep.Tasks = append(k.rep.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		case c.Op == wire.OpStop && i >= 0 && k.rep.Tasks[i].State != wire.TaskExited:
			k.rep.Tasks[i].State, k.rep.Tasks[i].Reason = wire.TaskExited, wire.ExitStopped
			k.rep.Tasks[i].Saved = k.saves && c.GraceS != nil && *c.GraceS > 0
		case c.Op == wire.OpForget && i >= 0:
			k.rep.Tasks = append(k.rep.Tasks[:i:i], k.rep.Tasks[i+1:]...)
		}
	}
	return 200
}

func (k *worker) running() int {
	n := 0
	for _, t := range k.rep.Tasks {
		if t.State == wire.TaskRunning {
			n++
		}
	}
	return n
}

func (k *worker) finish() {
	for i := range k.rep.Tasks {
		if k.rep.Tasks[i].State == wire.TaskRunning {
			k.rep.Tasks[i].State, k.rep.Tasks[i].Reason = wire.TaskExited, wire.ExitDone
		}
	}
}

func TestAJobFromSubmissionToDone(t *testing.T) {
	w := newHarness(t)
	w.submit("job-1", 4)
	if s := w.jobState("job-1"); s != "pending" {
		t.Errorf("state %q", s)
	}
	k := w.worker("n-000001", "a")
	w.until("three tasks run", func() bool { k.beat(); return k.running() == 3 })
	k.beat()
	if s := w.jobState("job-1"); s != "running" {
		t.Errorf("state %q", s)
	}
	// The fourth would be beyond the team's limit of 12 CPUs.
	for range 20 {
		if k.beat(); k.running() > 3 {
			t.Fatal("beyond the team's limit")
		}
	}
	w.until("done", func() bool { k.beat(); k.finish(); return w.jobState("job-1") == "done" })
	for task, n := range k.start {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
	if len(k.start) != 4 {
		t.Errorf("started %v", k.start)
	}
	w.until("all forgotten", func() bool { k.beat(); return len(k.rep.Tasks) == 0 })
	// A submission that is repeated after the end gets the state, never a refusal.
	if status, out := w.call("POST", "/v2/runs", job("job-1", 4)); status != 200 || out["status"] != "done" {
		t.Errorf("repeated: %d %v", status, out)
	}
}

func TestANewControllerGoesOnWhereTheDeadOneWas(t *testing.T) {
	w := newHarness(t)
	w.submit("job-1", 2)
	k := w.worker("n-000001", "a")
	w.until("both run", func() bool { k.beat(); return k.running() == 2 })
	w.submit("job-2", 1)
	w.stop() // killed; its lease runs out
	w.clock.Advance(2 * tuning.LeaseTTL)
	w.state.Expire()
	w.boot()
	old := k.rep.FencingToken
	w.until("the new leader answers", func() bool { return k.beat() == 200 && k.rep.FencingToken > old })
	if s := w.jobState("job-1"); s != "running" && s != "pending" {
		t.Errorf("state %q", s)
	}
	w.until("the third task runs too", func() bool { k.beat(); return k.running() == 3 })
	w.until("done", func() bool {
		k.beat()
		k.finish()
		return w.jobState("job-1") == "done" && w.jobState("job-2") == "done"
	})
	for task, n := range k.start {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

// Guards against a leader that takes a transaction without an answer for one
// that failed, or repeats it as another.
func TestCommitsWithoutAnAnswer(t *testing.T) {
	w := newHarness(t)
	var muted atomic.Int32
	w.state.LoseAnswers(func(txn wire.Txn) bool {
		for _, c := range txn.Then {
			if strings.HasPrefix(c.Put, jobs.PrefixProgress) || strings.HasPrefix(c.Put, jobs.PrefixFinalState) {
				muted.Add(1)
				return true
			}
		}
		return false
	})
	w.submit("job-1", 2)
	k := w.worker("n-000001", "a")
	passed := int32(0)
	w.until("done", func() bool {
		k.beat()
		k.finish()
		if passed < muted.Load() {
			passed++
			w.advanceWhenIdle(tuning.StateRetry) // the pause before a repetition
		}
		return w.jobState("job-1") == "done"
	})
	for task, n := range k.start {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
}

func TestCancel(t *testing.T) {
	w := newHarness(t)
	w.submit("job-1", 2)
	k := w.worker("n-000001", "a")
	w.until("both run", func() bool { k.beat(); return k.running() == 2 })
	cancel := func(id string) (int, map[string]any) { return w.call("POST", "/v2/runs/"+id+"/cancel", nil) }
	answered := make(chan int, 1)
	go func() { status, _ := cancel("job-1"); answered <- status }()
	w.until("the answers to reports stop the tasks", func() bool { k.beat(); return k.running() == 0 })
	w.until("cancelled", func() bool {
		k.beat()
		status, out := cancel("job-1")
		return status == 200 && out["status"] == "withdrawn"
	})
	if status := <-answered; status != 200 && status != 503 {
		t.Errorf("the first request: %d", status)
	}
	if s := w.jobState("job-1"); s != "withdrawn" {
		t.Errorf("state %q", s)
	}
	w.until("all forgotten", func() bool { k.beat(); return len(k.rep.Tasks) == 0 })
	if status, out := cancel("job-1"); status != 200 || out["status"] != "withdrawn" {
		t.Errorf("repeated: %d %v", status, out)
	}
	if status, _ := cancel("job-2"); status != 404 {
		t.Errorf("a job that nobody submitted: %d", status)
	}
}

// Guards against an answer that says less than is known: a failed look-up is
// no proof that a job does not exist.
func TestNoGuessingWithoutTheStateService(t *testing.T) {
	w := newHarness(t)
	if s := w.jobState("job-9"); s != "Not Found" {
		t.Errorf("a job that nobody submitted: %q", s)
	}
	w.submit("job-1", 1)
	w.state.Refuse(true)
	for _, id := range []string{"job-9"} {
		if s := w.jobState(id); s != "Service Unavailable" {
			t.Errorf("%s: %q", id, s)
		}
	}
	if status, _ := w.call("POST", "/v2/runs", job("job-3", 1)); status != 503 {
		t.Errorf("a submission that cannot be stored: %d", status)
	}
	// Past its lease the leader has no right to answer workers.
	w.clock.Advance(tuning.LeaseTTL)
	if status := w.worker("n-000001", "a").beat(); status != 503 && status != 421 {
		t.Errorf("a report past the lease: %d", status)
	}
}

func TestBadInput(t *testing.T) {
	w := newHarness(t)
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
		{"malformed report", "POST", wire.PathHeartbeat, `{"stall":3}`, 400},
		{"report without a session", "POST", wire.PathHeartbeat, `{"stall":"n-1","address":"x:1","build":"g8","yard":"a"}`, 400},
	} {
		w.until("there is a leader", func() bool { return w.c.leader() != nil })
		if status, out := w.call(c.method, c.path, c.body); status != c.want {
			t.Errorf("%s: %d %v, want %d", c.name, status, out, c.want)
		}
	}
	// A job that was accepted once is never refused, whatever the rules say now.
	w.submit("job-5", 1)
	refused := with("cpus", 13)
	refused["ref"] = "job-5"
	if status, _ := w.call("POST", "/v2/runs", refused); status != 200 {
		t.Errorf("an accepted job, submitted again with another description: %d", status)
	}
}

// Guards against renting twice: a rental without an answer is repeated under
// the same name.
func TestARentalWithoutAnAnswerIsRepeated(t *testing.T) {
	w := newHarness(t)
	w.cloud.LoseRentAnswers(2)
	w.submit("job-1", 2)
	for n := 1; n < 3; n++ {
		w.until("asked", func() bool { return len(w.cloud.Rents()) >= n })
		w.advanceWhenIdle(tuning.CloudRetry)
	}
	w.until("answered", func() bool { return len(w.cloud.Rents()) >= 3 })
	names := map[string]bool{}
	for _, r := range w.cloud.Rents() {
		names[r.Request] = true
	}
	if len(names) != 1 || len(w.cloud.Machines()) != 1 {
		t.Errorf("requests %v, machines %v", names, w.cloud.Machines())
	}
}

// Guards against controllers that are useless after a restart in an outage of
// the cloud: the machines that are there go on being used.
func TestARestartWhileTheCloudIsDown(t *testing.T) {
	w := newHarness(t)
	w.until("the types are stored", func() bool { _, ok := w.state.Value(instancetypes.Key); return ok })
	w.stop()
	w.clock.Advance(2 * tuning.LeaseTTL)
	w.state.Expire()
	w.cloud.Refuse(true)
	w.boot()
	w.submit("job-1", 1)
	k := w.worker("n-000001", "a")
	w.until("done", func() bool { k.beat(); k.finish(); return w.jobState("job-1") == "done" })
}
