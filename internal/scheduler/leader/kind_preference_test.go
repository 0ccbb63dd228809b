package leader

import (
	"fmt"
	"math"
	"testing"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// Guards against jobs that are late because a long task was lost with its spot machine, while short tasks, whose jobs
// would have ended in time even after a loss, ran on on-demand machines.
func TestArraysThatWouldLoseMostPreferOnDemandMachines(t *testing.T) {
	l, clock := newTestLoop(t)
	now := clock.Now()
	clear(l.machines.Machines)
	for i := range 4 {
		l.register(t, &wire.Heartbeat{
			Machine: fmt.Sprintf("n-%d", i), Address: "127.0.0.1:1", Type: "small", Zone: "a", Spot: i%2 == 0, Incarnation: 1, Seq: 1,
		})
	}
	array := func(id string, estimate, checkpoint float64) *placement.PendingJob {
		j := l.addPending(t, wire.Job{
			ID: id, Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 10, CPUs: 1, MemoryGB: 1, Spot: true,
			EstimateS: estimate, CheckpointS: checkpoint,
		})
		return &placement.PendingJob{Job: &j.Job, WaitingSince: now, Waiting: 10}
	}
	short, long, checkpointed := array("job-1", 40, 0), array("job-2", 150, 0), array("job-3", 150, 10)
	if l.fleet.spotLossLimitS = l.lossLimitOnSpot(); !math.IsInf(l.fleet.spotLossLimitS, 1) {
		t.Errorf("the limit is %v while no array runs on on-demand machines, want +Inf", l.fleet.spotLossLimitS)
	}
	if l.setKindPreferences([]*placement.PendingJob{short, long}); short.Preference != placement.AnyKind || long.Preference != placement.AnyKind {
		t.Error("a kind of machine is preferred although spot machines suffice")
	}
	j := l.jobs.Jobs["job-1"]
	for i := range 4 {
		l.machines.AddAllocation(l.jobs.Allocate(j, i, fmt.Sprintf("n-%d", i), "a", 1, now), now)
	}
	l.fleet.spotLossLimitS = l.lossLimitOnSpot()
	pending := []*placement.PendingJob{short, long, checkpointed}
	l.setKindPreferences(pending)
	if short.Preference != placement.PreferSpot || long.Preference != placement.PreferSpot && long.Preference != placement.PreferOnDemand || checkpointed.Preference != placement.PreferSpot {
		t.Errorf("preferences %v, %v, %v with a limit of %v", short.Preference, long.Preference, checkpointed.Preference, l.fleet.spotLossLimitS)
	}
	// Two long jobs have more than the on-demand share of the work, so only the longest prefers on-demand machines.
	longest := array("job-4", 160, 0)
	l.fleet.spotLossLimitS = l.lossLimitOnSpot()
	if l.setKindPreferences([]*placement.PendingJob{longest, short}); longest.Preference != placement.PreferOnDemand || short.Preference != placement.PreferSpot {
		t.Errorf("the longest job has preference %v and the short one %v with a limit of %v", longest.Preference, short.Preference, l.fleet.spotLossLimitS)
	}
}
