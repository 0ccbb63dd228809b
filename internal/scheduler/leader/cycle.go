package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/placement"
)

// schedulingCycle decides when the next scheduling cycle runs: soon after a change, otherwise after a growing pause.
// Cycles also run without a change, because some jobs become placeable only as time passes.
type schedulingCycle struct {
	changed   bool          // something changed since the last cycle, so a new one may place more tasks
	notBefore time.Time     // the earliest time of the next cycle, even after a change
	next      time.Time     // when the next cycle runs if nothing changes
	backoff   time.Duration // the pause before a cycle that no change triggers

	reservations placement.BackfillReservations // carried from one cycle to the next
}

func newSchedulingCycle() schedulingCycle {
	return schedulingCycle{backoff: tuning.CycleBackoffMin}
}

// wake requests a cycle, because a new one may place more tasks.
func (c *schedulingCycle) wake() { c.changed = true }

// wakeIf requests a cycle if changed is true.
func (c *schedulingCycle) wakeIf(changed bool) { c.changed = c.changed || changed }

// due reports whether a cycle should run now.
func (c *schedulingCycle) due(now time.Time) bool {
	return c.changed && !now.Before(c.notBefore) || !now.Before(c.next)
}

// finishWithNothingPending ends a cycle in which no job had tasks to place. If nothing changes, the next cycle runs
// after the longest pause.
func (c *schedulingCycle) finishWithNothingPending(now time.Time) {
	c.next = now.Add(tuning.CycleBackoffMax)
}

// finish ends a cycle. After a cycle that placed tasks, the pause before the next one is 1 s. Each cycle that placed
// nothing doubles the pause, up to 10 s. A change triggers the next cycle earlier.
func (c *schedulingCycle) finish(now time.Time, placedAny bool) {
	if placedAny {
		c.backoff = tuning.CycleBackoffMin
	} else {
		c.backoff = min(2*c.backoff, tuning.CycleBackoffMax)
	}
	c.next = now.Add(c.backoff)
}

// stepScheduling runs a scheduling cycle if one is due.
func (l *Loop) stepScheduling(now time.Time) {
	if !l.cycle.due(now) {
		return
	}
	l.schedule(now)
	l.env.observe(func(o Observer) { o.CycleDone(l.env.Clock.Since(now)) })
	l.cycle.notBefore = l.earliestNextRun(now, tuning.CyclePauseMin)
}
