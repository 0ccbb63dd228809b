package leader

import (
	"context"

	"poppypass/internal/platform/tuning"
)

// retry calls try until it succeeds, with pauses that grow from tuning.StateRetryPause to tuning.StateRetryPauseMax. It
// returns false if ctx ended first.
func (l *Loop) retry(ctx context.Context, try func() error) bool {
	for pause := tuning.StateRetryPause; ctx.Err() == nil; pause = min(2*pause, tuning.StateRetryPauseMax) {
		err := try()
		if err == nil {
			return true
		}
		l.log.Debug("reading stored records from the state service failed; retrying", "err", err)
		l.env.sleep(ctx, pause)
	}
	return false
}
