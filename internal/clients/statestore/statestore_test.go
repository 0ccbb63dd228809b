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

// answering makes a client of a service that always answers the same; status 0 is no answer.
func answering(t *testing.T, status int, body string) *Client {
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

// Guards against taking one kind of failure for another: a refusal was surely
// not executed, anything unexpected may have been.
func TestCommitTellsWhetherItMayHaveBeenExecuted(t *testing.T) {
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
		{"half an answer", 200, `{"ledger":`, ErrOutcomeUnknown},
		{"server error", 500, `oops`, ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			revision, err := answering(t, c.status, c.body).Commit(t.Context(), wire.Txn{Then: []wire.Change{{Delete: "x"}}})
			if !errors.Is(err, c.want) || c.want == nil && revision != 7 {
				t.Errorf("%d, %v", revision, err)
			}
		})
	}
	var conflict *ConflictError
	_, err := answering(t, 409, `{"failed":["a/b"],"ledger":3}`).Commit(t.Context(), wire.Txn{})
	if !errors.As(err, &conflict) || conflict.Failed[0] != "a/b" {
		t.Errorf("conflict: %v", err)
	}
}

func TestFailedReadsAreNeverMissingKeys(t *testing.T) {
	if _, ok, err := answering(t, 404, `{"ledger":3}`).Get(t.Context(), "a"); ok || err != nil {
		t.Errorf("a key that does not exist: %v, %v", ok, err)
	}
	// A failed look-up must never look like a key that does not exist.
	for _, status := range []int{0, 500, 503, 429, 302} {
		if _, _, err := answering(t, status, ``).Get(t.Context(), "a"); err == nil {
			t.Errorf("status %d: no error", status)
		}
	}
	// Guards against a watch that is asked again for ever: the changes since are more than are
	// read at once, and would be more the next time.
	huge := `{"ledger":1,"events":[` + strings.Repeat(" ", tuning.MaxResponseBytes) + `]}`
	if _, err := answering(t, 200, huge).Watch(t.Context(), "a", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("changes too many to read: %v", err)
	}
	if _, err := answering(t, 410, ``).Watch(t.Context(), "a", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch: %v", err)
	}
	if err := answering(t, 404, ``).RenewLease(t.Context(), 1); !errors.Is(err, ErrLeaseNotFound) {
		t.Errorf("renew: %v", err)
	}
	if err := answering(t, 503, ``).RenewLease(t.Context(), 1); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("renew in an outage: %v", err)
	}
}

// Guards against an election, or a submission, that waits behind the polls
// that came while nobody led: the limit of our own is shared by all of them.
func TestLowPriorityCallsLeaveRoomAndUrgentOnesDoNotWait(t *testing.T) {
	c := answering(t, 200, `{"path":"a","data":1,"stamp":1}`)
	c.callLimit = &rateLimit{limiter: rate.NewLimiter(rate.Every(time.Hour), 4)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // sooner than the next call is due
	defer cancel()
	got := 0
	for range 10 {
		if _, _, err := c.LowPriority().Get(ctx, "a"); err == nil {
			got++
		} else if !errors.Is(err, ErrNotExecuted) {
			t.Fatal(err)
		}
	}
	if got != 3 { // the third leaves less than half
		t.Errorf("%d polls of 10 are served", got)
	}
	if _, _, err := c.Get(ctx, "a"); err != nil {
		t.Errorf("a call that may wait finds no room: %v", err)
	}
	if _, _, err := c.Get(ctx, "a"); err == nil {
		t.Error("the limit is used up, and a call goes on")
	}
	if _, _, err := c.Urgent().Get(ctx, "a"); err != nil {
		t.Errorf("an urgent call waits: %v", err)
	}
}

// Guards against shares that nobody else needs being left unused, and against
// a limit of our own that outgrows the published one.
func TestRateLimitTakesWhatOthersLeave(t *testing.T) {
	begin := time.Unix(0, 0)
	limit := newRateLimit(100, 0.1, begin)
	top := 100 * tuning.RateLimitUsedShare
	now := begin
	for _, step := range []struct {
		name    string
		refused bool
		after   time.Duration
		want    float64
	}{
		{"the share in any case", false, 0, top / 10},
		{"grown", false, tuning.RateLimitRecoverTime, top},
		{"not beyond the limit", false, time.Hour, top},
		{"halved by a refusal", true, 0, top / 2},
		{"grown a little", false, tuning.RateLimitRecoverTime / 9, 0.6 * top},
		{"not under the share", true, 0, 0.3 * top},
		{"not under the share", true, 0, 0.15 * top},
		{"not under the share", true, 0, top / 10},
	} {
		now = now.Add(step.after)
		if step.refused {
			limit.refused(now)
		}
		if got := limit.current(now); math.Abs(got-step.want) > 1e-6 {
			t.Errorf("%s: %v a second, not %v", step.name, got, step.want)
		}
	}
}

// Guards against a submission that is answered 503 because others used the
// limit for a moment: it waits for another turn.
func TestRefusedTransactionWaitsForAnotherTurn(t *testing.T) {
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
		t.Errorf("%d, %v after %d pauses", revision, err, pauses)
	}
}
