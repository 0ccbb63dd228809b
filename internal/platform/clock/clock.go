// Package clock has what the clockwork clock lacks: a sleep that a context ends.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sleep blocks for d, or until ctx is done. It leaves no timer behind on the clock:
// tests with a fake clock count its waiters.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
