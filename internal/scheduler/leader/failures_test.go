package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
)

// A machine is unhealthy on which jobs fail that work elsewhere, and none completes.
func TestMachineOnWhichSeveralJobsFailIsUnhealthy(t *testing.T) {
	l, clock := newTestLoop(t)
	for i := range tuning.FaultyMachineJobs {
		if l.machines.Machines["n-large"].Unhealthy {
			t.Fatalf("bad after %d jobs", i)
		}
		l.endAttempt(l.addRunning(t, fmt.Sprintf("job-%d", i), "n-large", 1), wire.ExitError)
		again := l.addRunning(t, fmt.Sprintf("job-%d", i), "n-small", 1)
		clock.Advance(tuning.HealthyRunAfter)
		l.pendingJobs(clock.Now())
		if again.Job.FailedWaves != 0 {
			t.Error("a job that works is still on trial")
		}
	}
	if !l.machines.Machines["n-large"].Unhealthy || l.machines.Machines["n-small"].Unhealthy {
		t.Error("the faulty machine is not told from the good one")
	}
	m := l.machines.Machines["n-small"]
	m.NoteFailure("job-8")
	l.endAttempt(l.addRunning(t, "job-9", "n-small", 1), wire.ExitDone)
	if m.NoteFailure("job-10"); m.Unhealthy {
		t.Error("a machine on which tasks complete is held to be faulty")
	}
}

// Guards against jobs submitted with a mistake, which fail on every machine:
// they must not make one look unhealthy, nor have machines rented, tasks stopped
// or room kept for them, and each is tried with one task at a time, ever more seldom.
func TestJobFailingEverywhereBlamesNoMachine(t *testing.T) {
	l, clock := newTestLoop(t)
	for _, id := range []string{"job-1", "job-2"} {
		a := l.addRunning(t, id, "n-large", 1)
		j := a.Job
		l.arrivals.recent = append(l.arrivals.recent, autoscale.Arrival{At: clock.Now(), Job: &j.Job})
		j.Kind = wire.KindArray
		j.Tasks = append(j.Tasks, make([]jobs.Task, 3)...)
		for range 8 {
			pause := j.BackoffUntil.Sub(clock.Now())
			for _, m := range []string{"n-large", "n-small"} { // a wave is one try
				l.endAttempt(a, wire.ExitError)
				a = l.jobs.Allocate(j, 0, m, "a", 1, clock.Now())
				l.machines.AddAllocation(a, clock.Now())
			}
			l.endAttempt(a, wire.ExitError)
			next := j.BackoffUntil.Sub(clock.Now())
			if next < pause || next > tuning.ErrorPauseMax {
				t.Fatalf("pause %v after %v", next, pause)
			}
			clock.Advance(next)
			items, _ := l.pendingJobs(clock.Now())
			if len(items) == 0 || !items[len(items)-1].OnProbation || items[len(items)-1].Waiting != 1 {
				t.Fatalf("it is tried as %+v", items)
			}
			a = l.jobs.Allocate(j, 0, "n-large", "a", 1, clock.Now())
			l.machines.AddAllocation(a, clock.Now())
		}
		l.endAttempt(a, wire.ExitError)
		if j.FailedWaves != 9 || j.BackoffUntil.Sub(clock.Now()) != tuning.ErrorPauseMax {
			t.Errorf("%d tries, and a pause of %v", j.FailedWaves, j.BackoffUntil.Sub(clock.Now()))
		}
	}
	for name, m := range l.machines.Machines {
		if m.Unhealthy {
			t.Errorf("%s is held to be faulty", name)
		}
	}
	clock.Advance(tuning.ErrorPauseMax)
	if l.scaleOut(clock.Now()); len(l.rentals.pending) != 0 {
		t.Errorf("rents for it: %v", l.rentals.pending)
	}
	if short := l.jobsShortOfRoom(clock.Now()); len(short) != 0 {
		t.Errorf("makes room for it: %+v", short)
	}
	if arrivals := l.recentArrivals(clock.Now()); len(arrivals) != 0 {
		t.Errorf("%d such jobs are expected to come", len(arrivals))
	}
}

func TestRefusedStartIsRetriedAfterAPause(t *testing.T) {
	l, clock := newTestLoop(t)
	now := clock.Now()
	full := l.addRunning(t, "job-1", "n-small", 1)
	l.endAttempt(full, wire.ExitNoRoom)
	if full.Job.Waiting() != 1 || !l.machines.Machines["n-small"].RefusedAt.After(now) {
		t.Error("a machine that refused for room is asked again at once")
	}
	unknown := l.addRunning(t, "job-2", "n-large", 1)
	l.endAttempt(unknown, wire.ExitUnknown)
	if unknown.Job.Waiting() != 1 || !unknown.Job.BackoffUntil.After(now) {
		t.Error("a job whose description is not there yet is started again at once")
	}
}

// Guards against a job that waits for minutes beside the only machine with room, since a task of it failed there once.
func TestMachineIsAvoidedForLimitedTime(t *testing.T) {
	l, clock := newTestLoop(t)
	a := l.addRunning(t, "job-1", "n-large", 1)
	l.endAttempt(a, wire.ExitError)
	avoids := func() bool {
		l.jobs.Jobs["job-1"].BackoffUntil = time.Time{}
		items, _ := l.pendingJobs(clock.Now())
		return len(items) == 1 && items[0].Avoid != nil && items[0].Avoid("n-large")
	}
	if !avoids() {
		t.Fatal("the machine is not avoided at first")
	}
	clock.Advance(75 * time.Second)
	if avoids() {
		t.Error("it is avoided though the job has nothing for 75 s")
	}
}
