package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
)

// rateLimit is this controller's own rate limit on calls or on changes of keys. All controllers share the service's
// published limit, and each may use what the others leave. A refusal by the service halves the rate, but not below this
// controller's guaranteed share. While nothing is refused, the rate grows back to the whole published limit. The shares
// are not fixed, because the shares of idle and dead members would then stay unused: with fixed shares and 15 submissions
// per second, four in ten submissions had to be repeated although the service was used to only a quarter of its limit.
//
// It is safe for concurrent use.
type rateLimit struct {
	minRate, maxRate float64 // bounds of the rate, in calls or changes per second: the guaranteed share and the usable published limit
	limiter          *rate.Limiter

	mu       sync.Mutex
	baseRate float64   // the rate at baseTime, in calls or changes per second
	baseTime time.Time // time of the last refusal; before the first one, of creation
}

// newRateLimit returns a rate limit with a guaranteed share (a fraction) of the published limit, which is in calls or
// changes per second. The rate limit begins at the guaranteed rate and with a full burst.
func newRateLimit(published, share float64, now time.Time) *rateLimit {
	maxRate := published * tuning.RateLimitUsedShare
	minRate := maxRate * share
	burst := max(1, int(minRate*tuning.RateLimitBurstS))
	return &rateLimit{minRate: minRate, maxRate: maxRate, baseRate: minRate, baseTime: now, limiter: rate.NewLimiter(rate.Limit(minRate), min(burst, max(1, int(maxRate))))}
}

// currentRate returns the rate that is allowed at the time now, in calls or changes per second.
func (r *rateLimit) currentRate(now time.Time) float64 {
	growth := (r.maxRate - r.minRate) * now.Sub(r.baseTime).Seconds() / tuning.RateLimitRecoverTime.Seconds()
	return min(r.maxRate, r.baseRate+max(0, growth))
}

// recordRefusal halves the rate, but not below minRate, after the service refused a call because of its limit.
func (r *rateLimit) recordRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.baseRate, r.baseTime = max(r.minRate, r.currentRate(now)/2), now
	r.limiter.SetLimitAt(now, rate.Limit(r.baseRate))
}

// wait waits until n more calls or changes are allowed.
func (r *rateLimit) wait(ctx context.Context, n int) error {
	r.mu.Lock()
	now := time.Now()
	r.limiter.SetLimitAt(now, rate.Limit(r.currentRate(now)))
	r.mu.Unlock()
	return r.limiter.WaitN(ctx, min(n, r.limiter.Burst()))
}

// freeBurstShare returns the fraction of the burst that is available now. It is negative while calls wait.
func (r *rateLimit) freeBurstShare() float64 { return r.limiter.Tokens() / float64(r.limiter.Burst()) }
