package workerapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/peers"
	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// grantingLeases is a LeaseAcquirer that permits every answer, and a ZoneLease that permits none.
type grantingLeases struct{}

func (grantingLeases) Acquire(context.Context, string) error { return nil }

func (grantingLeases) TryRenew(string, string) bool { return false }
func (grantingLeases) Isolated() bool               { return false }

// newFollower makes the handler of a member that does not lead.
func newFollower(clock clockwork.Clock, p *peers.Peers, leases interface {
	LeaseAcquirer
	ZoneLease
}) *Handler {
	return New(Options{Member: "m1", Clock: clock, Peers: p, Leases: leases, ZoneLease: leases, Leader: func() *leader.Loop { return nil }})
}

func TestAWorkerThatComesBackHasLostTheLeader(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := newRedirects()
	fresh := &wire.Heartbeat{Machine: "n-1", FencingToken: 3}
	if r.lostLeader(fresh, 4, now) {
		t.Error("a worker that has not reported to this leader counts as having lost it, and is not redirected to it first")
	}
	if !r.lostLeader(fresh, 4, now.Add(5*time.Second)) {
		t.Error("a worker that returns after its redirect does not count as having lost the leader")
	}
	if r.lostLeader(&wire.Heartbeat{Machine: "n-1", FencingToken: 3}, 4, now.Add(5*time.Second+2*tuning.RedirectMemory)) {
		t.Error("a redirect long ago counts")
	}
	if !r.lostLeader(&wire.Heartbeat{Machine: "n-2", FencingToken: 4}, 4, now) {
		t.Error("a worker that has seen the leader's token does not count as having lost it")
	}
	// A worker whose lease is renewed here tries the leader again from time to time.
	if r.retryLeader("n-2", now) || r.retryLeader("n-2", now.Add(tuning.LeaderRedirectAfter/2)) || !r.retryLeader("n-2", now.Add(tuning.LeaderRedirectAfter)) {
		t.Error("a worker whose lease is renewed tries the leader at the wrong times")
	}
}

// Guards against workers of an isolated zone whose leases expire while they search. Of five controllers they
// reached one, which redirected them to a leader that they could not reach. They then tried the others for 5 s each
// before they returned. 400 tasks were lost this way.
func TestALeaseIsRenewedWhileTheLeaderDoesNotAnswer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	// newPeers makes the given number of other members, all of which refuse connections. Workers try each
	// controller for 5 s, and their leases last 10 s.
	newPeers := func(others int) *peers.Peers {
		s := &config.Settings{Cluster: config.Cluster{Workers: config.Workers{LeaseS: 10}}}
		for i := range others {
			s.Members = append(s.Members, config.Member{Name: fmt.Sprint("m", 2*i), Endpoint: "127.0.0.1:1"})
		}
		return peers.New(s, clock, slog.New(slog.DiscardHandler))
	}
	p := newPeers(4)
	h := newFollower(clock, p, grantingLeases{})
	hb := &wire.Heartbeat{Machine: "n-1", Incarnation: 1, FencingToken: 3, Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}}
	for range tuning.LeaderPingsMissedMin {
		if p.LeaderUnreachable("m0") {
			t.Error("fewer missed pings than LeaderPingsMissed count as a partition")
		}
		p.NotePing("m0", true)
	}
	if p.LeaderUnreachable("m2") {
		t.Error("a leader that was not pinged yet counts as unreachable")
	}
	renewed := func() bool {
		hb.Seq++
		_, err := h.answerWithoutLeader(t.Context(), nil, hb, "m0")
		return err == nil
	}
	for range 2 {
		if !renewed() {
			t.Error("redirected to a leader that does not answer")
		}
		clock.Advance(tuning.LeaderRedirectAfter)
	}
	h.peers = newPeers(1)
	for range tuning.LeaderPingsMissedMin {
		h.peers.NotePing("m0", true)
	}
	if !renewed() {
		t.Error("redirected to the leader at once")
	}
	clock.Advance(tuning.LeaderRedirectAfter)
	if renewed() {
		t.Error("not redirected to the leader, though the worker would be back in time")
	}
	p.NotePing("m0", false)
	if p.LeaderUnreachable("m0") {
		t.Error("an answer does not end the partition")
	}
}

// Guards against workers whose leases expire while members redirect them to a member that does not lead: it ended
// and was restarted while no member could read the leader key, which still named it. 2,809 tasks were lost this way.
func TestALeaseIsRenewedWhileTheNamedLeaderDoesNotLead(t *testing.T) {
	for _, c := range []struct {
		status  int
		renewed bool // otherwise the worker is redirected to the named member
	}{
		{http.StatusMisdirectedRequest, true},
		{http.StatusServiceUnavailable, false}, // the named member leads, but does not answer the heartbeat
	} {
		clock := clockwork.NewFakeClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go peerrpc.Serve(t.Context(), l, func(context.Context, peerrpc.Request) peerrpc.Response { return peerrpc.Response{Status: c.status} }, slog.New(slog.DiscardHandler))
		s := &config.Settings{Members: []config.Member{{Name: "m0", Endpoint: l.Addr().String()}}}
		h := newFollower(clock, peers.New(s, clock, slog.New(slog.DiscardHandler)), grantingLeases{})
		hb := &wire.Heartbeat{Machine: "n-1", Incarnation: 1, Seq: 1, FencingToken: 3, Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, State: wire.TaskRunning}}}
		reply, err := h.answerWithoutLeader(t.Context(), nil, hb, "m0")
		var redirect *redirectError
		if c.renewed && (err != nil || reply.FencingToken != 3 || len(reply.Commands) != 0) || !c.renewed && (!errors.As(err, &redirect) || redirect.leader != "m0") {
			t.Errorf("the named leader answered %d: reply %+v, error %v", c.status, reply, err)
		}
	}
	h := newFollower(clockwork.NewFakeClock(), nil, grantingLeases{})
	if r := h.AnswerRelayedHeartbeat(t.Context(), []byte(`{"stall":"n-1","address":"a:1","build":"g8","yard":"a","shift":1}`)); r.Status != http.StatusMisdirectedRequest {
		t.Errorf("a member that does not lead answers a relayed heartbeat with status %d", r.Status)
	}
}

// refusingLeases refuses every request of Acquire.
type refusingLeases struct{ grantingLeases }

func (refusingLeases) Acquire(context.Context, string) error { return workerlease.ErrNotRecorded }

// Guards against redirects to a member that does not lead. Members that may not renew a worker's lease redirected the
// worker to it, and the worker never reached the member of its own zone, which may renew the lease.
func TestAWorkerIsNotRedirectedToAMemberThatDoesNotLead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := newFollower(clock, nil, refusingLeases{})
	go peerrpc.Serve(t.Context(), l, func(ctx context.Context, r peerrpc.Request) peerrpc.Response {
		return h.AnswerRelayedHeartbeat(ctx, r.Payload)
	}, slog.New(slog.DiscardHandler))
	h.peers = peers.New(&config.Settings{Members: []config.Member{{Name: "m0", Endpoint: l.Addr().String()}}}, clock, slog.New(slog.DiscardHandler))
	h.elector = election.New(nil, h.peers, "m1", clock, slog.New(slog.DiscardHandler))
	h.elector.NoteLeader("m0", 3)
	heartbeat := `{"stall":"n-1","address":"a:1","build":"g8","yard":"a","shift":1,"punch":1,"baton":3,"seats":[{"seat":"job-1/0","boarding":1,"status":"running"}]}`
	w := httptest.NewRecorder()
	h.ServeHeartbeat(w, httptest.NewRequest(http.MethodPost, wire.PathHeartbeat, strings.NewReader(heartbeat)))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("heartbeat answered %d: %s", w.Code, w.Body)
	}
}
