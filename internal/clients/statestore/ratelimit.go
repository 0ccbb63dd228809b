package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
)

// rateLimit is this controller's own limit on one kind of calls. All controllers share the
// service's limit; each may use what the others leave. A refusal halves the
// rate, down to the share that is this controller's in any case, and it grows back while
// nothing is refused. Fixed shares left those of idle and dead members unused:
// of 15 submissions a second, four in ten had to be sent again while the
// service did a quarter of what it may.
//
// It is safe for concurrent use.
type rateLimit struct {
	floor, top float64 // calls a second
	limiter    *rate.Limiter

	mu    sync.Mutex
	level float64 // calls a second, at the time at
	at    time.Time
}

// newRateLimit makes the limit for a share of a published one, in calls a second. It begins
// with all that may be used at once.
func newRateLimit(published, share float64, now time.Time) *rateLimit {
	top := published * tuning.RateLimitUsedShare
	floor := top * share
	burst := max(1, int(floor*tuning.RateLimitBurstS))
	return &rateLimit{floor: floor, top: top, level: floor, at: now, limiter: rate.NewLimiter(rate.Limit(floor), min(burst, max(1, int(top))))}
}

// current is the rate that is allowed now, in calls a second.
func (r *rateLimit) current(now time.Time) float64 {
	grown := (r.top - r.floor) * now.Sub(r.at).Seconds() / tuning.RateLimitRecoverTime.Seconds()
	return min(r.top, r.level+max(0, grown))
}

// refused slows down after the service refused a call because of its limit.
func (r *rateLimit) refused(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.level, r.at = max(r.floor, r.current(now)/2), now
	r.limiter.SetLimitAt(now, rate.Limit(r.level))
}

// wait waits for the turn of n calls.
func (r *rateLimit) wait(ctx context.Context, n int) error {
	r.mu.Lock()
	now := time.Now()
	r.limiter.SetLimitAt(now, rate.Limit(r.current(now)))
	r.mu.Unlock()
	return r.limiter.WaitN(ctx, min(n, r.limiter.Burst()))
}

// free is the share of what may be used at once that is free now.
func (r *rateLimit) free() float64 { return r.limiter.Tokens() / float64(r.limiter.Burst()) }
