package peers

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/cluster/election"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/config"
)

// newPeersAnswering makes the Peers of a member whose only other member, m0, answers every request with the given
// status.
func newPeersAnswering(t *testing.T, status int) *Peers {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go peerrpc.Serve(t.Context(), l, func(_ context.Context, r peerrpc.Request) peerrpc.Response {
		return peerrpc.Response{Status: status, Names: r.Names}
	}, slog.New(slog.DiscardHandler))
	return newPeersAt(l.Addr().String())
}

// newPeersAt makes the peers of m1, whose only other member is m0 at addr. No member is known to lead yet.
func newPeersAt(addr string) *Peers {
	clock, log := clockwork.NewFakeClock(), slog.New(slog.DiscardHandler)
	p := New(&config.Settings{Member: "m1", Members: []config.Member{{Name: "m0", Endpoint: addr}}}, clock, log)
	p.SetElector(election.New(nil, p, "m1", clock, log))
	return p
}

// Guards against a request that counts as answered although the member's response only says that the member cannot
// answer.
func TestRelayReturnsOnlyAnswersOfTheLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		err    error
	}{
		{"the job is known", http.StatusOK, nil},
		{"the job is unknown", http.StatusNotFound, nil},
		{"the member does not lead", http.StatusMisdirectedRequest, ErrNotAnswered},
		{"the leader cannot answer now", http.StatusServiceUnavailable, ErrNotAnswered},
		{"the request is refused", http.StatusConflict, ErrNotAnswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPeersAnswering(t, c.status)
			p.elector.NoteLeader("m0", 3)
			resp, err := p.Relay(t.Context(), peerrpc.Request{Verb: peerrpc.JobStatus, Job: "job-1"})
			if !errors.Is(err, c.err) || err == nil && resp.Status != c.status {
				t.Errorf("the member answered %d: Relay returned status %d and error %v, want error %v", c.status, resp.Status, err, c.err)
			}
		})
	}
}

func TestRelayWithoutAKnownLeaderAsksNobody(t *testing.T) {
	p := newPeersAnswering(t, http.StatusOK)
	if _, err := p.Relay(t.Context(), peerrpc.Request{Verb: peerrpc.JobStatus, Job: "job-1"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v, want %v", err, ErrNoLeader)
	}
}

func TestRelayToALeaderThatCannotBeReachedFails(t *testing.T) {
	p := newPeersAt("127.0.0.1:1")
	p.elector.NoteLeader("m0", 3)
	_, err := p.Relay(t.Context(), peerrpc.Request{Verb: peerrpc.JobStatus, Job: "job-1"})
	if err == nil || errors.Is(err, ErrNoLeader) || errors.Is(err, ErrNotAnswered) {
		t.Errorf("error %v, want that of the call", err)
	}
}
