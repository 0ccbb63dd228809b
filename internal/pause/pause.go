// Package pause waits on a clock that tests can hold.
package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a time, or until ctx ends.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
