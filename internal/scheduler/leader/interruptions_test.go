package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against tasks that were stopped half a minute before their machine was taken, though half of
// them would have ended by then, and against others that go with it and are missed until its lease ends.
func TestTaskRunsUntilShortlyBeforeInterruption(t *testing.T) {
	l, clock := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	p := l.addRunning(t, "job-1", m.Name, 1)
	p.Job.EstimateS, p.RunningSince = 60, clock.Now().Add(-50*time.Second)
	m.InterruptionAt = clock.Now().Add(25 * time.Second)
	l.interruptions.pending[m.Name] = true
	l.drainInterrupted(m, clock.Now())
	if p.Stop != nil {
		t.Fatal("stopped at the notice")
	}
	clock.Advance(25*time.Second - tuning.InterruptionStopLead - time.Second)
	if l.stepInterruptions(clock.Now()); p.Stop != nil {
		t.Fatal("stopped before the last call")
	}
	clock.Advance(time.Second)
	if l.stepInterruptions(clock.Now()); p.Stop == nil || len(l.interruptions.pending) != 0 {
		t.Error("not stopped before its machine is taken")
	}
}

func TestWorthRunningOn(t *testing.T) {
	for _, c := range []struct {
		estimate float64
		ran      time.Duration
		left     time.Duration
		want     bool
	}{
		{60, 50 * time.Second, 22 * time.Second, true},
		{60, 2 * time.Second, 22 * time.Second, false}, // little is lost
		{600, 5 * time.Second, 22 * time.Second, false},
		{60, 500 * time.Second, 22 * time.Second, true}, // overdue, and much would be lost
		{3, 0, 12 * time.Second, true},
		{60, 50 * time.Second, 0, false},
		{0, 50 * time.Second, 22 * time.Second, false}, // a service
	} {
		if got := worthRunningOn(&jobs.Job{Job: wire.Job{EstimateS: c.estimate}}, c.ran, c.left); got != c.want {
			t.Errorf("estimate %v s, ran %v, %v left: %v", c.estimate, c.ran, c.left, got)
		}
	}
}
