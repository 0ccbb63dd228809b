package userapi

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/sim/fakes"
)

// newLoop returns a leader's loop that loads its records from the state service at an address. Its term ends with ctx.
func newLoop(ctx context.Context, state string) *leader.Loop {
	clock := clockwork.NewFakeClock()
	l := leader.New(&leader.Env{
		Settings: &config.Settings{Member: "m0", Cluster: config.Cluster{
			Workers: config.Workers{HeartbeatS: 1, LeaseS: 10}, State: config.StateLimits{RPS: 100, WriteRPS: 100, MaxTxnOps: 12, MaxValueKiB: 16},
		}},
		Clock: clock, Log: slog.New(slog.DiscardHandler), Store: statestore.New(state, 1e6, 1e6), FinalStates: jobs.NewFinalStates(8),
		MachineTypes: func() []wire.MachineType { return nil },
		MayAct:       func(uint64) bool { return false },
	}, election.Leadership{Term: 1})
	l.Start(ctx)
	return l
}

// runLoop runs a loop until the test ends.
func runLoop(t *testing.T, state string) *leader.Loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoop(ctx, state)
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run() }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// Guards against a cancellation that is answered from the state service although the leader may be about to change
// what is stored. Stored records answer a cancellation only if the loop does not know the job or is still loading;
// they answer a poll in each case. Stored are the job record of job-1, which is live, and the final state of job-2.
func TestCancellationReadsTheStoreOnlyForJobsTheLoopDoesNotKnow(t *testing.T) {
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	endedCtx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name    string
		loop    func(t *testing.T) *leader.Loop
		loopErr error // the error of the loop's Status for a job
		want    map[string]int
	}{
		{"a loop that knows no jobs", func(t *testing.T) *leader.Loop {
			empty := fakes.NewStore(clockwork.NewFakeClock())
			t.Cleanup(empty.Close)
			return runLoop(t, empty.Addr())
		}, leader.ErrUnknownJob, map[string]int{"job-1": 503, "job-2": 200, "job-3": 404}},
		{"a loop that is still loading the records", func(t *testing.T) *leader.Loop {
			return runLoop(t, unreachable.Listener.Addr().String())
		}, leader.ErrLoading, map[string]int{"job-1": 503, "job-2": 200, "job-3": 404}},
		{"a loop whose term is over", func(t *testing.T) *leader.Loop {
			return newLoop(endedCtx, unreachable.Listener.Addr().String())
		}, leader.ErrLeadershipOver, map[string]int{"job-1": 503, "job-2": 503, "job-3": 503}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newHandlerWithStore(t)
			if _, err := h.store.Commit(t.Context(), wire.Txn{Then: []wire.Change{
				{Put: jobs.KeyJob("job-1"), Value: []byte(`{}`)}, {Put: jobs.KeyFinalState("job-2"), Value: []byte(`{"state":"done"}`)},
			}}); err != nil {
				t.Fatal(err)
			}
			l := c.loop(t)
			for { // until the loop has loaded its records, if it can
				_, err := l.Status(t.Context(), "job-1")
				if errors.Is(err, c.loopErr) {
					break
				}
				if !errors.Is(err, leader.ErrLoading) {
					t.Fatalf("the loop answers with error %v, want %v", err, c.loopErr)
				}
			}
			h.leader = func() *leader.Loop { return l }
			serve := func(fn http.HandlerFunc, id string) int {
				w := httptest.NewRecorder()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs+"/"+id, strings.NewReader(""))
				r.SetPathValue("id", id)
				fn(w, r)
				return w.Code
			}
			polls := map[string]int{"job-1": 200, "job-2": 200, "job-3": 404}
			for id, want := range c.want {
				// A final state that one request remembered must not answer the other request.
				h.finalStates = jobs.NewFinalStates(8)
				if got := serve(h.ServeCancel, id); got != want {
					t.Errorf("cancellation of %s: %d, want %d", id, got, want)
				}
				h.finalStates = jobs.NewFinalStates(8)
				if got := serve(h.ServeStatus, id); got != polls[id] {
					t.Errorf("poll of %s: %d, want %d", id, got, polls[id])
				}
			}
		})
	}
}
