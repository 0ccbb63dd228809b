package statestore

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// newClientAnswering returns the client of a service that gives every request the same answer. With status 0 the service
// closes the connection without an answer.
func newClientAnswering(t *testing.T, status int, body string) *Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(srv.Close)
	return New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6)
}

// Guards against confusing the kinds of failure: a refused transaction was certainly not executed, but one with any
// unexpected answer may have been.
func TestCommitReportsWhetherItMayHaveBeenExecuted(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"applied", 200, `{"ledger":7}`, nil},
		{"outage", 503, ``, ErrNotExecuted},
		{"no lease", 400, `{"error":"no such lease"}`, ErrLeaseNotFound},
		{"malformed", 400, `{"error":"bad key"}`, ErrMalformed},
		{"no answer", 0, ``, ErrOutcomeUnknown},
		{"truncated answer", 200, `{"ledger":`, ErrOutcomeUnknown},
		{"server error", 500, `oops`, ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			revision, err := newClientAnswering(t, c.status, c.body).Commit(t.Context(), wire.Txn{Then: []wire.Change{{Delete: "x"}}})
			if !errors.Is(err, c.want) || c.want == nil && revision != 7 {
				t.Errorf("revision %d, error %v", revision, err)
			}
		})
	}
	var conflict *ConflictError
	_, err := newClientAnswering(t, 409, `{"failed":["a/b"],"ledger":3}`).Commit(t.Context(), wire.Txn{})
	if !errors.As(err, &conflict) || conflict.Failed[0] != "a/b" {
		t.Errorf("error %v, want a ConflictError with the key a/b", err)
	}
}

func TestFailedReadIsNotAMissingKey(t *testing.T) {
	if _, ok, err := newClientAnswering(t, 404, `{"ledger":3}`).Get(t.Context(), "a"); ok || err != nil {
		t.Errorf("Get of a key that does not exist: found %v, error %v", ok, err)
	}
	// A failed read must never look like a key that does not exist.
	for _, status := range []int{0, 500, 503, 429, 302} {
		if _, _, err := newClientAnswering(t, status, ``).Get(t.Context(), "a"); err == nil {
			t.Errorf("Get with status %d returned no error", status)
		}
	}
	// Guards against a watch that is repeated forever: its answer is larger than the client reads, and the next answer
	// would be larger still.
	huge := `{"ledger":1,"events":[` + strings.Repeat(" ", tuning.MaxResponseBytes) + `]}`
	if _, err := newClientAnswering(t, 200, huge).Watch(t.Context(), "a", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch with an answer that is too large: error %v, want ErrCompacted", err)
	}
	if _, err := newClientAnswering(t, 410, ``).Watch(t.Context(), "a", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch with status 410: error %v, want ErrCompacted", err)
	}
	if err := newClientAnswering(t, 404, ``).RenewLease(t.Context(), 1); !errors.Is(err, ErrLeaseNotFound) {
		t.Errorf("renewal with status 404: error %v, want ErrLeaseNotFound", err)
	}
	if err := newClientAnswering(t, 503, ``).RenewLease(t.Context(), 1); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("renewal with status 503: error %v, want ErrNotExecuted", err)
	}
}

// Guards against an election, or a submission, that waits behind users' polls that arrived while there was no leader.
// Elections, submissions and polls share the client's own rate limit.
func TestLowPriorityCallsLeaveRoomAndUrgentOnesDoNotWait(t *testing.T) {
	c := newClientAnswering(t, 200, `{"path":"a","data":1,"stamp":1}`)
	c.callLimit = &rateLimit{limiter: rate.NewLimiter(rate.Every(time.Hour), 4)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // ends before the limit allows the next call
	defer cancel()
	succeeded := 0
	for range 10 {
		if _, _, err := c.LowPriority().Get(ctx, "a"); err == nil {
			succeeded++
		} else if !errors.Is(err, ErrNotExecuted) {
			t.Fatal(err)
		}
	}
	if succeeded != 3 { // the third leaves less than half of the burst
		t.Errorf("%d of 10 low-priority calls succeeded, want 3", succeeded)
	}
	if _, _, err := c.Get(ctx, "a"); err != nil {
		t.Errorf("a call of normal priority failed although the burst is not used up: %v", err)
	}
	if _, _, err := c.Get(ctx, "a"); err == nil {
		t.Error("a call of normal priority succeeded although the burst is used up")
	}
	if _, _, err := c.Urgent().Get(ctx, "a"); err != nil {
		t.Errorf("an urgent call failed because of the rate limit: %v", err)
	}
}

// Guards against shares of other clients that stay unused, and against a client's rate that grows beyond the published
// limit.
func TestRateLimitGrowsToWhatOthersLeave(t *testing.T) {
	begin := time.Unix(0, 0)
	limit := newRateLimit(100, 0.1, begin)
	maxRate := 100 * tuning.RateLimitUsedShare
	now := begin
	for _, step := range []struct {
		name          string
		recordRefusal bool
		after         time.Duration
		want          float64
	}{
		{"begins at the guaranteed share", false, 0, maxRate / 10},
		{"grows to the published limit", false, tuning.RateLimitRecoverTime, maxRate},
		{"does not grow beyond the limit", false, time.Hour, maxRate},
		{"halved by a refusal", true, 0, maxRate / 2},
		{"grows in proportion to the time", false, tuning.RateLimitRecoverTime / 9, 0.6 * maxRate},
		{"halved by a second refusal", true, 0, 0.3 * maxRate},
		{"halved by a third refusal", true, 0, 0.15 * maxRate},
		{"not halved below the guaranteed share", true, 0, maxRate / 10},
	} {
		now = now.Add(step.after)
		if step.recordRefusal {
			limit.recordRefusal(now)
		}
		if got := limit.currentRate(now); math.Abs(got-step.want) > 1e-6 {
			t.Errorf("%s: rate is %v calls per second, want %v", step.name, got, step.want)
		}
	}
}

// Guards against a submission that is answered with 503 because other clients used up the limit for a moment: the
// transaction is retried.
func TestRefusedTransactionIsRetried(t *testing.T) {
	refusals := 2
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusals--; refusals >= 0 {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = io.WriteString(w, `{"ledger":7}`)
	}))
	t.Cleanup(srv.Close)
	c := New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6)
	pauses := 0
	c.pauseBusy = func(context.Context) { pauses++ }
	if revision, err := c.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Delete: "x"}}}); err != nil || revision != 7 || pauses != 2 {
		t.Errorf("revision %d, error %v after %d pauses; want revision 7 after 2 pauses", revision, err, pauses)
	}
}
