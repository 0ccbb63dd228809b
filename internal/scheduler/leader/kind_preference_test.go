package leader

import (
	"fmt"
	"math"
	"testing"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// Guards against jobs that are late since one long task went with its spot machine, while short tasks, which would
// have ended in time all the same, ran on on-demand ones.
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
	short, long, saves := array("job-1", 40, 0), array("job-2", 150, 0), array("job-3", 150, 10)
	if l.fleet.spotLossLimitS = l.lossLimitOnSpot(); !math.IsInf(l.fleet.spotLossLimitS, 1) {
		t.Errorf("nothing runs on on-demand machines, and the limit is %v", l.fleet.spotLossLimitS)
	}
	if l.setKindPreferences([]*placement.PendingJob{short, long}); short.Preference != placement.AnyKind || long.Preference != placement.AnyKind {
		t.Error("kinds are preferred where spot machines suffice")
	}
	j := l.jobs.Jobs["job-1"]
	for i := range 4 {
		l.machines.AddAllocation(l.jobs.Allocate(j, i, fmt.Sprintf("n-%d", i), "a", 1, now), now)
	}
	l.fleet.spotLossLimitS = l.lossLimitOnSpot()
	items := []*placement.PendingJob{short, long, saves}
	l.setKindPreferences(items)
	if short.Preference != placement.PreferSpot || long.Preference != placement.PreferSpot && long.Preference != placement.PreferOnDemand || saves.Preference != placement.PreferSpot {
		t.Errorf("preferences %v, %v, %v with a limit of %v", short.Preference, long.Preference, saves.Preference, l.fleet.spotLossLimitS)
	}
	// Two long jobs have more than the share of on-demand machines: the longest is tried there.
	longest := array("job-4", 160, 0)
	l.fleet.spotLossLimitS = l.lossLimitOnSpot()
	if l.setKindPreferences([]*placement.PendingJob{longest, short}); longest.Preference != placement.PreferOnDemand || short.Preference != placement.PreferSpot {
		t.Errorf("the longest %v, the short %v with a limit of %v", longest.Preference, short.Preference, l.fleet.spotLossLimitS)
	}
}
