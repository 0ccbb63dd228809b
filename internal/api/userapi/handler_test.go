package userapi

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/sim/fakes"
)

// handlerWith makes a handler of a member that does not lead, with a state service and other members.
func handlerWith(t *testing.T, state string, members ...config.Member) (*Handler, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.DiscardHandler)
	s := &config.Settings{Member: "m0", Members: members, Cluster: config.Cluster{State: config.State{ValueKB: 16, TxnOps: 12}}}
	store := statestore.New(state, 1e6, 1e6)
	p := peers.New(s, clock, log)
	p.SetElector(election.New(store, p, s.Member, clock, log))
	types := []wire.MachineType{{Name: "g8", CPUs: 16, MemoryGB: 64, Zones: []string{"a"}}}
	return New(&leader.Env{
		Settings: s, Clock: clock, Log: log, Store: store, FinalStates: jobs.NewFinalStates(8),
		Teams:        map[string]config.Team{"t": {Name: "t", CPUsMax: 100}},
		MachineTypes: func() []wire.MachineType { return types },
	}, p, func() *leader.Loop { return nil }, func() bool { return false }), clock
}

// newHandlerWithStore makes a handler of a member that does not lead and is alone, with a fake state service.
func newHandlerWithStore(t *testing.T) (*Handler, *fakes.Store) {
	t.Helper()
	state := fakes.NewStore(clockwork.NewFakeClock())
	t.Cleanup(state.Close)
	h, _ := handlerWith(t, state.Addr())
	return h, state
}

var body = []byte(`{"ref":"job-7","lane":"l","desk":"t","shape":"array","urgency":"standard","seats":1,"cpus":4,"gpus":0,"mem_gb":1,
	"bundle":"img","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":10,"stub_s":0,"stamp_s":0}`)

// Guards against answers that come after the user has given up: members that
// do not answer were asked one after the other, each for its own time, and
// with five of them that took longer than the 5 s that a user waits.
func TestASubmissionAsksNobodyPastItsDeadline(t *testing.T) {
	ctx, deadline := context.WithCancel(t.Context())
	defer deadline()
	var asked atomic.Int32
	var members []config.Member
	for i := range 8 {
		peer, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		members = append(members, config.Member{Name: fmt.Sprintf("m%d", i), Endpoint: peer.Addr().String()})
		go func() {
			for {
				conn, err := peer.Accept() // and never answers
				if err != nil {
					return
				}
				t.Cleanup(func() { conn.Close() })
				asked.Add(1)
				deadline()
			}
		}()
	}
	h, _ := handlerWith(t, "127.0.0.1:1", members...)
	if h.relaySubmission(ctx, body).conclusive() {
		t.Error("an answer, though no member gave one")
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d members were asked, want the one that was asked in time", n)
	}
}

// Guards against submissions that wait for a state service which does not
// answer this member, while another member could store them at once.
func TestASubmissionThatTakesLongIsTriedElsewhere(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go peerrpc.Serve(ctx, peer, func(_ context.Context, r peerrpc.Request) peerrpc.Response {
		return peerrpc.Response{Status: http.StatusCreated, Job: wire.JobStatus{State: wire.StateQueued}}
	}, slog.New(slog.DiscardHandler))
	h, clock := handlerWith(t, silent.Addr().String(), config.Member{Name: "m1", Endpoint: peer.Addr().String()})
	done := make(chan int, 1)
	go func() { done <- h.submitAnywhere(ctx, body).status }()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(tuning.SubmitHedge)
	if status := <-done; status != http.StatusCreated {
		t.Errorf("answered %d", status)
	}
}

// Guards against a controller that is ended by the kernel with all that it does: what it
// has no memory for is refused at once, with when to come back.
func TestWithoutMemoryASubmissionIsRefusedAtOnce(t *testing.T) {
	h, state := newHandlerWithStore(t)
	full := true
	h.memoryFull = func() bool { return full }
	submit := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeSubmit(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs, bytes.NewReader(body)))
		return w
	}
	if w := submit(); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(state.Applied()) != 0 {
		t.Errorf("answered %d, come back after %q, %d written", w.Code, w.Header().Get("Retry-After"), len(state.Applied()))
	}
	full = false
	if w := submit(); w.Code != http.StatusCreated {
		t.Errorf("with memory: %d", w.Code)
	}
}

// Guards against users that stay with a controller which has lost the state service and all others: their polls failed for
// as long as that lasted. It says at once that it serves nobody, and has them ask another.
func TestAnIsolatedMemberRefusesUsersAndClosesTheirConnections(t *testing.T) {
	h, _ := newHandlerWithStore(t)
	alone := true
	h.isolated = func() bool { return alone }
	status := func(serve http.HandlerFunc, method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(body))
		r.SetPathValue("id", "job-7")
		serve(w, r)
		return w
	}
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
	}{{"poll", h.ServeStatus}, {"submission", h.ServeSubmit}, {"cancellation", h.ServeCancel}} {
		if w := status(c.serve, http.MethodPost, "/"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d, connection %q", c.name, w.Code, w.Header().Get("Connection"))
		}
	}
	if w := status(h.ServeHealth, http.MethodGet, "/up"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("healthy: %d", w.Code)
	}
	alone = false
	if w := status(h.ServeHealth, http.MethodGet, "/up"); w.Code != http.StatusOK {
		t.Errorf("not healthy at once: %d", w.Code)
	}
	if w := status(h.ServeStatus, http.MethodGet, "/"); w.Code != http.StatusNotFound {
		t.Errorf("poll: %d", w.Code)
	}
}
