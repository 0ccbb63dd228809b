package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against pauses between scheduling cycles that grow for ever: what only time makes possible, such as the end of a job's pause after
// failures, is found within the longest pause.
func TestSchedulingCyclesContinueWhileNothingFits(t *testing.T) {
	l, clock := newTestLoop(t)
	j := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1})
	begun := clock.Now()
	blocked := l.addPending(t, wire.Job{ID: "job-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 99}) // fits nowhere
	for j.BackoffUntil = begun.Add(40 * time.Second); j.Allocated == 0; clock.Advance(250 * time.Millisecond) {
		now := clock.Now()
		for _, m := range l.machines.Machines { // it sends heartbeats all the while
			m.LastHeartbeat, m.LeaseExpiry = now, now.Add(10*time.Second)
		}
		if l.cycle.changed || !now.Before(l.cycle.next) {
			l.schedule(now)
		}
		if waited := now.Sub(j.BackoffUntil); waited > tuning.CycleBackoffMax+time.Second {
			t.Fatalf("waits for %v since it may be placed", waited)
		}
	}
	if blocked.Allocated > 0 {
		t.Error("a task is placed that fits nowhere")
	}
}

// Guards against hundreds of heartbeats a second that have a scheduling cycle each: a cycle
// is followed by a pause as many times as long.
func TestPauseAfterSchedulingCycle(t *testing.T) {
	l, clock := newTestLoop(t)
	begun := clock.Now()
	clock.Advance(3 * time.Millisecond)
	for _, least := range []time.Duration{0, 20 * time.Millisecond, time.Second} {
		if got, want := l.restAfter(begun, least).Sub(clock.Now()), max(least, tuning.CycleRestFactor*3*time.Millisecond); got != want {
			t.Errorf("rests for %v, want %v", got, want)
		}
	}
}
