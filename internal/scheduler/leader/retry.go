package leader

import (
	"context"

	"poppypass/internal/platform/tuning"
)

// retry calls try until it succeeds, after pauses that grow from StateRetry to StateRetryMax; it is false if ctx ended before.
func (l *Loop) retry(ctx context.Context, try func() error) bool {
	for pause := tuning.StateRetry; ctx.Err() == nil; pause = min(2*pause, tuning.StateRetryMax) {
		err := try()
		if err == nil {
			return true
		}
		l.log.Debug("read of the state service repeated", "err", err)
		l.env.sleep(ctx, pause)
	}
	return false
}
