package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testutil"
)

// harness is a controller with fakes of all that is outside. Its clock stands still unless a test moves it, so no lease expires
// by itself; a test waits by asking again until the answer comes.
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
	t.Helper()
	clock := clockwork.NewFakeClock()
	h := &harness{t: t, clock: clock, state: fakes.NewStore(clock), cloud: fakes.NewCloud(10, wire.MachineType{
		Name: "g8", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"a", "b"},
	})}
	h.boot()
	t.Cleanup(func() {
		h.stop()
		h.closeFakes()
	})
	return h
}

// closeFakes ends the fakes. A request that the state service holds back by the clock may have begun to wait after a test last
// moved the clock, and the service closes once it is answered, so time goes on meanwhile.
func (h *harness) closeFakes() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		h.state.Close()
		h.cloud.Close()
	}()
	for {
		select {
		case <-closed:
			return
		case <-time.After(time.Millisecond):
			h.clock.Advance(time.Hour)
		}
	}
}

// boot starts the controller, as a process with no memory of an earlier one, and waits until it is healthy. A port that was free
// may be another process's by the time it is bound; then others are tried.
func (h *harness) boot() {
	h.t.Helper()
	for tries := 1; ; tries++ {
		err := h.start()
		if err == nil {
			return
		}
		if !errors.Is(err, syscall.EADDRINUSE) || tries == 5 {
			h.t.Fatalf("the controller did not start: %v", err)
		}
	}
}

// start starts the controller at addresses of its own. The error is that with which it ended before it was healthy.
func (h *harness) start() error {
	h.t.Helper()
	h.addr = testutil.FreeAddr(h.t)
	s := &config.Settings{
		Member: "m0", Bind: h.addr, MeshAddr: testutil.FreeAddr(h.t), Outside: config.Outside{Cloud: h.cloud.Addr(), State: h.state.Addr()},
		Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "t", CPUs: 8, CPUsMax: 12}},
			Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
			State:   config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 1e6},
		},
	}
	var err error
	if h.c, err = New(s, h.operatorSettings(), h.clock, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	if h.observer != nil {
		h.c.env.Observer = h.observer
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.c.Run(ctx) }()
	h.stop = func() {
		stop()
		if err := <-done; err != nil {
			h.t.Errorf("the controller ended: %v", err)
		}
	}
	var ended error
	h.until("healthy", func() bool {
		select {
		case ended = <-done:
			if ended == nil {
				ended = errors.New("the controller ended before it was healthy")
			}
			done <- nil // it is over, and nobody need hear of it again
			return true
		default:
		}
		status, _ := h.call("GET", "/up", nil)
		return status == 200
	})
	return ended
}

// operatorSettings are the operators' settings.
func (h *harness) operatorSettings() *config.OperatorSettingsWatcher {
	own, err := config.LoadProperties(h.properties)
	if err != nil {
		h.t.Fatal(err)
	}
	return config.Watch(h.properties, nil, own)
}

// until waits until a condition holds. On a starved machine a call may time out,
// and is repeated after a pause of the clock that stands still: that goes on a
// little then.
func (h *harness) until(what string, holds func() bool) {
	h.t.Helper()
	begun := time.Now()
	for stalled := 1; !holds(); {
		waited := time.Since(begun)
		if waited > waitLimit {
			h.t.Fatalf("never happened: %s", what)
		}
		if waited > time.Duration(stalled)*waitLimit/12 {
			stalled++
			h.clock.Advance(tuning.RetryLeader)
		}
	}
}

// advanceWhenIdle lets time pass once a call that is to be repeated waits for that,
// beside the six that always wait: the leader's tick, the renewal of its lease,
// its next request for votes, its next look at the fencing lease, the next reading
// of the machine types and the next comparison with the stored jobs.
func (h *harness) advanceWhenIdle(d time.Duration) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), waitLimit)
	defer cancel()
	if err := h.clock.BlockUntilContext(ctx, 7); err != nil {
		h.t.Fatal("nothing waits to be repeated")
	}
	h.clock.Advance(d)
}

func (h *harness) call(method, path string, body any) (int, map[string]any) {
	var in io.Reader
	switch b := body.(type) {
	case nil:
	case string:
		in = strings.NewReader(b)
	default:
		raw, err := json.Marshal(b)
		if err != nil {
			h.t.Fatal(err)
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(h.t.Context(), method, "http://"+h.addr+path, in)
	if err != nil {
		h.t.Fatal(err)
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

func (h *harness) submit(id string, tasks int) {
	h.t.Helper()
	h.until("accepted", func() bool {
		status, _ := h.call("POST", "/v2/runs", job(id, tasks))
		return status == 201 || status == 200
	})
}

func (h *harness) jobState(id string) string {
	status, out := h.call("GET", "/v2/runs/"+id, nil)
	if status != 200 {
		return http.StatusText(status)
	}
	return out["status"].(string)
}

// worker is a scripted worker: the test has it send heartbeats, and it obeys.
type worker struct {
	h      *harness
	hb     wire.Heartbeat
	starts map[string]int // starts of each task that had an effect
	saves  bool           // its tasks save when they are given time to
}

func (h *harness) worker(name, zone string) *worker {
	return &worker{h: h, starts: map[string]int{}, hb: wire.Heartbeat{
		Machine: name, Address: "127.0.0.1:1", Type: "g8", Zone: zone, Incarnation: 1,
	}}
}

// heartbeat sends one heartbeat, carries out the commands of the reply, and returns its status.
func (k *worker) heartbeat() int {
	k.hb.Seq++
	k.h.t.Helper()
	raw, err := json.Marshal(k.hb)
	if err != nil {
		k.h.t.Fatal(err)
	}
	resp, err := http.Post("http://"+k.h.addr+wire.PathHeartbeat, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var a wire.HeartbeatReply
	if resp.StatusCode != 200 {
		return resp.StatusCode
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		k.h.t.Fatal(err)
	}
	k.hb.FencingToken = max(k.hb.FencingToken, a.FencingToken)
	for _, c := range a.Commands {
		i := -1
		for n, t := range k.hb.Tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				i = n
			}
		}
		switch {
		case c.Op == wire.OpStart && i < 0:
			k.starts[c.Task]++
			k.hb.Tasks = append(k.hb.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		case c.Op == wire.OpStop && i >= 0 && k.hb.Tasks[i].State != wire.TaskExited:
			k.hb.Tasks[i].State, k.hb.Tasks[i].Reason = wire.TaskExited, wire.ExitStopped
			k.hb.Tasks[i].Saved = k.saves && c.GraceS != nil && *c.GraceS > 0
		case c.Op == wire.OpForget && i >= 0:
			k.hb.Tasks = append(k.hb.Tasks[:i:i], k.hb.Tasks[i+1:]...)
		}
	}
	return 200
}

func (k *worker) running() int {
	n := 0
	for _, t := range k.hb.Tasks {
		if t.State == wire.TaskRunning {
			n++
		}
	}
	return n
}

func (k *worker) finish() {
	for i := range k.hb.Tasks {
		if k.hb.Tasks[i].State == wire.TaskRunning {
			k.hb.Tasks[i].State, k.hb.Tasks[i].Reason = wire.TaskExited, wire.ExitDone
		}
	}
}
