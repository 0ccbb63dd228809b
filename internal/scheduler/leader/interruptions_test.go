package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// An interruption notice drains the machine. A task that can save a checkpoint is stopped with time to do so, a
// task that would not end in time is stopped at once, and a task that ends soon keeps running.
func TestInterruptionNoticeDrainsTheMachine(t *testing.T) {
	l, clock := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	canSave, long, short := l.addRunning(t, "job-1", m.Name, 1), l.addRunning(t, "job-2", m.Name, 1), l.addRunning(t, "job-3", m.Name, 1)
	canSave.Job.CheckpointS, canSave.Job.SaveS = 10, 4
	long.Job.EstimateS, short.Job.EstimateS = 300, 3
	m.InterruptionAt = clock.Now().Add(15 * time.Second)
	l.drainInterrupted(m, clock.Now())
	if canSave.Stop == nil || canSave.Stop.GraceS < 4 {
		t.Errorf("stop request of the task that can save a checkpoint: %+v", canSave.Stop)
	}
	if long.Stop == nil || short.Stop != nil {
		t.Errorf("stop request of the long task %+v (want one), of the short task %+v (want none)", long.Stop, short.Stop)
	}
	for _, v := range l.schedulableMachines(clock.Now()) {
		if v.Name == m.Name {
			t.Error("the machine still gets tasks")
		}
	}
}

// Guards against stopping tasks half a minute before their machine is interrupted, though half of them would have
// ended by then. Also guards against tasks that are lost with the machine: their loss is noticed only when the
// machine's lease expires.
func TestTaskRunsUntilShortlyBeforeInterruption(t *testing.T) {
	l, clock := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	a := l.addRunning(t, "job-1", m.Name, 1)
	a.Job.EstimateS, a.RunningSince = 60, clock.Now().Add(-50*time.Second)
	m.InterruptionAt = clock.Now().Add(25 * time.Second)
	l.interruptions.pending[m.Name] = true
	l.drainInterrupted(m, clock.Now())
	if a.Stop != nil {
		t.Fatal("the task is stopped as soon as the notice arrives")
	}
	clock.Advance(25*time.Second - tuning.InterruptionStopLead - time.Second)
	if l.stepInterruptions(clock.Now()); a.Stop != nil {
		t.Fatal("the task is stopped earlier than InterruptionStopLead before the interruption")
	}
	clock.Advance(time.Second)
	if l.stepInterruptions(clock.Now()); a.Stop == nil || len(l.interruptions.pending) != 0 {
		t.Error("the task is not stopped shortly before the interruption")
	}
}

func TestShouldKeepRunning(t *testing.T) {
	for _, c := range []struct {
		estimate float64
		ran      time.Duration
		timeLeft time.Duration
		want     bool
	}{
		{60, 50 * time.Second, 22 * time.Second, true},
		{60, 2 * time.Second, 22 * time.Second, false}, // little is lost
		{600, 5 * time.Second, 22 * time.Second, false},
		{60, 500 * time.Second, 22 * time.Second, true}, // overdue, and much would be lost
		{3, 0, 12 * time.Second, true},
		{60, 50 * time.Second, 0, false},
		{0, 50 * time.Second, 22 * time.Second, false}, // a service, which has no estimate
	} {
		if got := shouldKeepRunning(&jobs.Job{Job: wire.Job{EstimateS: c.estimate}}, c.ran, c.timeLeft); got != c.want {
			t.Errorf("estimate %v s, ran %v, %v left: should keep running is %v", c.estimate, c.ran, c.timeLeft, got)
		}
	}
}
