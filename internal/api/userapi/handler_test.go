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

// newHandler returns the handler of a member that does not lead, with the address of a state service and other members.
func newHandler(t *testing.T, state string, members ...config.Member) (*Handler, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.DiscardHandler)
	s := &config.Settings{Member: "m0", Members: members, Cluster: config.Cluster{State: config.StateLimits{MaxValueKiB: 16, MaxTxnOps: 12}}}
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

// newHandlerWithStore returns the handler of a member that does not lead and has no peers, with a fake state service.
func newHandlerWithStore(t *testing.T) (*Handler, *fakes.Store) {
	t.Helper()
	state := fakes.NewStore(clockwork.NewFakeClock())
	t.Cleanup(state.Close)
	h, _ := newHandler(t, state.Addr())
	return h, state
}

// submissionBody is a valid submission.
var submissionBody = []byte(`{"ref":"job-7","lane":"l","desk":"t","shape":"array","urgency":"standard","seats":1,"cpus":4,"gpus":0,"mem_gb":1,
	"bundle":"img","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":10,"stub_s":0,"stamp_s":0}`)

// Guards against an answer after the user has given up: members that do not answer were asked one after the other,
// each with a timeout of its own. With five such members that took longer than the 5 s that a user waits.
func TestASubmissionAsksNobodyPastItsDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
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
				conn, err := peer.Accept() // no request is ever answered
				if err != nil {
					return
				}
				t.Cleanup(func() { conn.Close() })
				asked.Add(1)
				cancel()
			}
		}()
	}
	h, _ := newHandler(t, "127.0.0.1:1", members...)
	if h.relaySubmission(ctx, submissionBody).conclusive() {
		t.Error("conclusive answer although no member answered")
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d members were asked, want only the one that was asked before the deadline", n)
	}
}

// Guards against submissions that wait for a state service which does not answer this member, while another member
// could store them at once.
func TestASlowSubmissionIsAlsoSentToAnotherMember(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
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
	h, clock := newHandler(t, silent.Addr().String(), config.Member{Name: "m1", Endpoint: peer.Addr().String()})
	done := make(chan int, 1)
	go func() { done <- h.submitAnywhere(ctx, submissionBody).status }()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(tuning.SubmitHedgeDelay)
	if status := <-done; status != http.StatusCreated {
		t.Errorf("the submission got status %d, want 201", status)
	}
}

// Guards against a controller that the kernel kills for lack of memory: a submission for which there is no memory is
// refused at once with a Retry-After header, and nothing is stored.
func TestWithoutMemoryASubmissionIsRefusedAtOnce(t *testing.T) {
	h, state := newHandlerWithStore(t)
	full := true
	h.memoryFull = func() bool { return full }
	submit := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeSubmit(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs, bytes.NewReader(submissionBody)))
		return w
	}
	if w := submit(); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(state.Applied()) != 0 {
		t.Errorf("without memory: status %d, Retry-After %q, %d transactions applied", w.Code, w.Header().Get("Retry-After"), len(state.Applied()))
	}
	full = false
	if w := submit(); w.Code != http.StatusCreated {
		t.Errorf("with memory: status %d, want 201", w.Code)
	}
}

// Guards against users that stay with a controller which reaches neither the state service nor another member: their
// polls failed for as long as the isolation lasted. The controller answers with 503 at once and closes the
// connection, so that they reach another member.
func TestAnIsolatedMemberRefusesUsersAndClosesTheirConnections(t *testing.T) {
	h, _ := newHandlerWithStore(t)
	isolated := true
	h.isolated = func() bool { return isolated }
	serveRequest := func(serve http.HandlerFunc, method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(submissionBody))
		r.SetPathValue("id", "job-7")
		serve(w, r)
		return w
	}
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
	}{{"poll", h.ServeStatus}, {"submission", h.ServeSubmit}, {"cancellation", h.ServeCancel}} {
		if w := serveRequest(c.serve, http.MethodPost, "/"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d, connection %q", c.name, w.Code, w.Header().Get("Connection"))
		}
	}
	if w := serveRequest(h.ServeHealth, http.MethodGet, "/up"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("health check of an isolated member: %d", w.Code)
	}
	isolated = false
	if w := serveRequest(h.ServeHealth, http.MethodGet, "/up"); w.Code != http.StatusOK {
		t.Errorf("health check right after the isolation: %d", w.Code)
	}
	if w := serveRequest(h.ServeStatus, http.MethodGet, "/"); w.Code != http.StatusNotFound {
		t.Errorf("poll after the isolation: %d", w.Code)
	}
}
