package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
)

// rateLimit is our own limit on one kind of calls. All controllers share the
// service's limit; each may use what the others leave. A refusal halves the
// pace, down to the share that is ours in any case, and it grows back while
// nothing is refused. Fixed shares left those of idle and dead members unused:
// of 15 submissions a second, four in ten had to be sent again while the
// service did a quarter of what it may.
type rateLimit struct {
	floor, top float64 // a second
	limiter    *rate.Limiter

	mu    sync.Mutex
	level float64 // at the time at
	at    time.Time
}

// newRateLimit makes the pace of a share of a published limit. It begins with all
// that may be used at once.
func newRateLimit(published, share float64, now time.Time) *rateLimit {
	top := published * tuning.LimitMargin
	floor := top * share
	burst := max(1, int(floor*tuning.RateLimitBurst))
	return &rateLimit{floor: floor, top: top, level: floor, at: now, limiter: rate.NewLimiter(rate.Limit(floor), min(burst, max(1, int(top))))}
}

func (p *rateLimit) current(now time.Time) float64 {
	grown := (p.top - p.floor) * now.Sub(p.at).Seconds() / tuning.RateLimitRecover.Seconds()
	return min(p.top, p.level+max(0, grown))
}

// refused takes in that the service was asked too much.
func (p *rateLimit) refused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.level, p.at = max(p.floor, p.current(now)/2), now
	p.limiter.SetLimitAt(now, rate.Limit(p.level))
}

// wait waits for the turn of n calls.
func (p *rateLimit) wait(ctx context.Context, n int) error {
	p.mu.Lock()
	now := time.Now()
	p.limiter.SetLimitAt(now, rate.Limit(p.current(now)))
	p.mu.Unlock()
	return p.limiter.WaitN(ctx, min(n, p.limiter.Burst()))
}

// free is the part of what may be used at once that is free now.
func (p *rateLimit) free() float64 { return p.limiter.Tokens() / float64(p.limiter.Burst()) }
