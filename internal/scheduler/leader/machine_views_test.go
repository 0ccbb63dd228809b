package leader

import (
	"math"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// Guards against a reservation that brings nothing: what a machine's replicas take never gets free, and what runs on others does.
func TestTimeUntilMachineHasRoom(t *testing.T) {
	l, clock := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	free := func() float64 {
		lacks := placement.Resources{CPUs: 64}
		lacks.Sub(freeOn(m, l.env.typeOf(m.Type)), 1)
		return freeInS(m, clock.Now())(lacks)
	}
	if s := free(); s != 0 {
		t.Errorf("an empty machine has room in %v s", s)
	}
	a := l.addRunning(t, "job-1", "n-large", 1)
	if s := free(); !math.IsInf(s, 1) {
		t.Errorf("beside a replica there is room in %v s", s)
	}
	a.Job.Kind, a.Job.EstimateS, a.RunningSince = wire.KindArray, 100, clock.Now().Add(-40*time.Second)
	if s := free(); s != 60 {
		t.Errorf("room in %v s, 60 are left of its run", s)
	}
	a.RunningSince = clock.Now().Add(-200 * time.Second)
	if s := free(); s != 50 {
		t.Errorf("room in %v s for a task that runs on beyond what was expected", s)
	}
	a.Stop = &jobs.StopRequest{GraceS: 5}
	if s := free(); s != 5 {
		t.Errorf("room in %v s for one that was told to stop", s)
	}
}
