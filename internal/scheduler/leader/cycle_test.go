package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against pauses between scheduling cycles that grow without bound. A task that becomes placeable only as time
// passes, such as at the end of its job's backoff after failures, is placed within the longest pause.
func TestSchedulingCyclesContinueWhileNothingFits(t *testing.T) {
	l, clock := newTestLoop(t)
	j := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1})
	start := clock.Now()
	tooLarge := l.addPending(t, wire.Job{ID: "job-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 99}) // fits nowhere
	for j.BackoffUntil = start.Add(40 * time.Second); j.Allocated == 0; clock.Advance(250 * time.Millisecond) {
		now := clock.Now()
		for _, m := range l.machines.Machines { // all machines continue to send heartbeats
			m.LastHeartbeat, m.LeaseExpiry = now, now.Add(10*time.Second)
		}
		if l.cycle.changed || !now.Before(l.cycle.next) {
			l.schedule(now)
		}
		if waited := now.Sub(j.BackoffUntil); waited > tuning.CycleBackoffMax+time.Second {
			t.Fatalf("the task is still not placed %v after the end of its job's backoff", waited)
		}
	}
	if tooLarge.Allocated > 0 {
		t.Error("a task that fits on no machine was placed")
	}
}

// Guards against a scheduling cycle for each of hundreds of heartbeats a second: a cycle is followed by a pause of
// tuning.CyclePauseFactor times its duration.
func TestPauseAfterSchedulingCycle(t *testing.T) {
	l, clock := newTestLoop(t)
	start := clock.Now()
	clock.Advance(3 * time.Millisecond)
	for _, minPause := range []time.Duration{0, 20 * time.Millisecond, time.Second} {
		if got, want := l.earliestNextRun(start, minPause).Sub(clock.Now()), max(minPause, tuning.CyclePauseFactor*3*time.Millisecond); got != want {
			t.Errorf("pause of %v after a cycle of 3 ms, want %v", got, want)
		}
	}
}
