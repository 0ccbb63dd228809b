// Package clock provides a sleep on a clockwork clock that ends early when a context is done.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sleep blocks for d or until ctx is done. It leaves no timer on the clock, because tests with a fake clock count the clock's
// waiters.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
