package leader

import (
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// Guards against a machine that runs everything three times slower and still gets tasks. Also guards against
// machines that count as slow because the ends of their tasks became known late, as after a partition.
func TestSlowMachineIsUnhealthy(t *testing.T) {
	for _, c := range []struct {
		name           string
		ran            time.Duration
		sinceHeartbeat time.Duration // time between the last heartbeat without the exit and the heartbeat that shows it
		otherType      bool          // the other tasks ran on another machine type
		unhealthy      bool
	}{
		{"as elsewhere", 60 * time.Second, time.Second, false, false},
		{"three times slower", 180 * time.Second, time.Second, false, true},
		{"seen late", 180 * time.Second, 120 * time.Second, false, false},
		{"slower than another type", 180 * time.Second, time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newTestLoop(t)
			for _, m := range l.machines.Machines {
				m.Type = "large"
			}
			if c.otherType {
				l.machines.Machines["n-small"].Type = "small"
			}
			j := l.addPending(t, wire.Job{ID: "job-000001", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 100, CPUs: 1, MemoryGB: 1})
			completeTask := func(i int, machine string, ran, sinceHeartbeat time.Duration) {
				a := l.jobs.Allocate(j, i, machine, "a", 1, clock.Now())
				a.Committed, a.State, a.RunningSince = true, wire.TaskRunning, clock.Now()
				l.machines.AddAllocation(a, clock.Now())
				clock.Advance(ran)
				l.applyOutcomes([]machines.Outcome{{Allocation: a, Reason: wire.ExitDone, LastHeartbeatWithoutExit: clock.Now().Add(-sinceHeartbeat)}}, clock.Now())
			}
			for i := range 8 {
				completeTask(i, "n-small", 60*time.Second, time.Second)
			}
			for i := range 6 {
				completeTask(8+i, "n-large", c.ran, c.sinceHeartbeat)
			}
			if got := l.machines.Machines["n-large"].Unhealthy; got != c.unhealthy {
				t.Errorf("the machine is unhealthy: %v", got)
			}
			if l.machines.Machines["n-small"].Unhealthy {
				t.Errorf("the other machine is unhealthy")
			}
		})
	}
}
