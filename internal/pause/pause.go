// Package pause waits on a clock that tests can hold.
package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a time, or until ctx ends. Nothing of it is left on the clock then: tests count who waits.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
