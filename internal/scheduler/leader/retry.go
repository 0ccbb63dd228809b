package leader

import (
	"context"

	"poppypass/internal/platform/tuning"
)

// retry calls try until it succeeds, with pauses that grow from StateRetry to StateRetryMax. It returns false if
// ctx ended first.
func (l *Loop) retry(ctx context.Context, try func() error) bool {
	for pause := tuning.StateRetry; ctx.Err() == nil; pause = min(2*pause, tuning.StateRetryMax) {
		err := try()
		if err == nil {
			return true
		}
		l.log.Debug("reading from the state service failed; retrying", "err", err)
		l.env.sleep(ctx, pause)
	}
	return false
}
