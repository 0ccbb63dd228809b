package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/placement"
)

// schedulingCycle decides when the next scheduling cycle runs: soon after a change, and after a growing pause without one,
// since some jobs may be placed only because time passed.
type schedulingCycle struct {
	changed   bool          // a cycle could find something new
	notBefore time.Time     // no cycle runs before, whatever changed
	next      time.Time     // of a cycle that no change triggers
	backoff   time.Duration // the pause until then

	reservations placement.BackfillReservations // of the cycles so far
}

func newSchedulingCycle() schedulingCycle {
	return schedulingCycle{backoff: tuning.CycleBackoffMin}
}

// wake tells that a cycle could find something new.
func (c *schedulingCycle) wake() { c.changed = true }

// wakeIf does so if changed is true.
func (c *schedulingCycle) wakeIf(changed bool) { c.changed = c.changed || changed }

// due reports whether a cycle is to run now.
func (c *schedulingCycle) due(now time.Time) bool {
	return c.changed && !now.Before(c.notBefore) || !now.Before(c.next)
}

// nothingPending ends a cycle in which no job had tasks to place.
func (c *schedulingCycle) nothingPending(now time.Time) { c.next = now.Add(tuning.CycleBackoffMax) }

// finish ends a cycle. One that placed nothing is repeated after 1 s, doubling to
// 10 s, unless a change wakes the next one.
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
	l.cycle.notBefore = l.restAfter(now, tuning.CycleRestMin)
}
