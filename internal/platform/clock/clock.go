// Package clock sleeps on a clock that tests control.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sleep waits for d, or until ctx ends. It leaves no timer behind on the clock: tests count the waiters.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
