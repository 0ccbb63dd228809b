package leader

import (
	"math"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// Guards against reserving room that never becomes free: the resources of a machine's service replicas are not
// freed, those of its array tasks are when the tasks end.
func TestTimeUntilMachineHasRoom(t *testing.T) {
	l, clock := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	roomInS := func() float64 {
		lacking := placement.Resources{CPUs: 64}
		lacking.Sub(freeResources(m, l.env.machineType(m.Type)), 1)
		return freeInS(m, clock.Now())(lacking)
	}
	if s := roomInS(); s != 0 {
		t.Errorf("an empty machine has room in %v s, want 0", s)
	}
	a := l.addRunning(t, "job-1", "n-large", 1)
	if s := roomInS(); !math.IsInf(s, 1) {
		t.Errorf("a machine with a service replica has room in %v s, want never", s)
	}
	a.Job.Kind, a.Job.EstimateS, a.RunningSince = wire.KindArray, 100, clock.Now().Add(-40*time.Second)
	if s := roomInS(); s != 60 {
		t.Errorf("room in %v s, want 60, the rest of the expected run time", s)
	}
	a.RunningSince = clock.Now().Add(-200 * time.Second)
	if s := roomInS(); s != 50 {
		t.Errorf("room in %v s beside a task that overruns its estimate, want 50", s)
	}
	a.Stop = &jobs.StopRequest{GraceS: 5}
	if s := roomInS(); s != 5 {
		t.Errorf("room in %v s beside a task that is being stopped, want 5", s)
	}
}
