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

// A machine becomes unhealthy when several jobs fail on it that work elsewhere, and no task completes on it.
func TestMachineOnWhichSeveralJobsFailIsUnhealthy(t *testing.T) {
	l, clock := newTestLoop(t)
	for i := range tuning.FaultyMachineJobsMin {
		if l.machines.Machines["n-large"].Unhealthy {
			t.Fatalf("the machine is unhealthy after only %d failed jobs", i)
		}
		l.endAttempt(l.addRunning(t, fmt.Sprintf("job-%d", i), "n-large", 1), wire.ExitError)
		retry := l.addRunning(t, fmt.Sprintf("job-%d", i), "n-small", 1)
		clock.Advance(tuning.HealthyRunAfter)
		l.pendingJobs(clock.Now())
		if retry.Job.FailureWaves != 0 {
			t.Error("a job that works is still on probation")
		}
	}
	if !l.machines.Machines["n-large"].Unhealthy || l.machines.Machines["n-small"].Unhealthy {
		t.Error("the faulty machine is not unhealthy, or the other one is")
	}
	m := l.machines.Machines["n-small"]
	m.NoteFailure("job-8")
	l.endAttempt(l.addRunning(t, "job-9", "n-small", 1), wire.ExitDone)
	if m.NoteFailure("job-10"); m.Unhealthy {
		t.Error("a machine on which tasks complete is unhealthy")
	}
}

// Guards against side effects of jobs that were submitted with a mistake and fail on every machine. They must not
// make a machine unhealthy, and no machine is rented, no task stopped and no room reserved for them. Each is tried
// with one task at a time, after growing pauses.
func TestJobFailingEverywhereMakesNoMachineUnhealthy(t *testing.T) {
	l, clock := newTestLoop(t)
	for _, id := range []string{"job-1", "job-2"} {
		a := l.addRunning(t, id, "n-large", 1)
		j := a.Job
		l.arrivals.recent = append(l.arrivals.recent, autoscale.Arrival{At: clock.Now(), Job: &j.Job})
		j.Kind = wire.KindArray
		j.Tasks = append(j.Tasks, make([]jobs.Task, 3)...)
		for range 8 {
			pause := j.BackoffUntil.Sub(clock.Now())
			for _, m := range []string{"n-large", "n-small"} { // these failures belong to the same wave
				l.endAttempt(a, wire.ExitError)
				a = l.jobs.Allocate(j, 0, m, "a", 1, clock.Now())
				l.machines.AddAllocation(a, clock.Now())
			}
			l.endAttempt(a, wire.ExitError)
			next := j.BackoffUntil.Sub(clock.Now())
			if next < pause || next > tuning.FailureBackoffMax {
				t.Fatalf("a pause of %v follows one of %v", next, pause)
			}
			clock.Advance(next)
			items, _ := l.pendingJobs(clock.Now())
			if len(items) == 0 || !items[len(items)-1].OnProbation || items[len(items)-1].Waiting != 1 {
				t.Fatalf("the job is not tried with one task on probation: %+v", items)
			}
			a = l.jobs.Allocate(j, 0, "n-large", "a", 1, clock.Now())
			l.machines.AddAllocation(a, clock.Now())
		}
		l.endAttempt(a, wire.ExitError)
		if j.FailureWaves != 9 || j.BackoffUntil.Sub(clock.Now()) != tuning.FailureBackoffMax {
			t.Errorf("%d failed waves and a pause of %v, want 9 and the longest pause", j.FailureWaves, j.BackoffUntil.Sub(clock.Now()))
		}
	}
	for name, m := range l.machines.Machines {
		if m.Unhealthy {
			t.Errorf("%s is unhealthy", name)
		}
	}
	clock.Advance(tuning.FailureBackoffMax)
	if l.scaleOut(clock.Now()); len(l.rentals.inFlight) != 0 {
		t.Errorf("machines are rented for jobs on probation: %v", l.rentals.inFlight)
	}
	if short := l.jobsShortOfRoom(clock.Now()); len(short) != 0 {
		t.Errorf("room is made for jobs on probation: %+v", short)
	}
	if arrivals := l.recentArrivals(clock.Now()); len(arrivals) != 0 {
		t.Errorf("the forecast counts %d jobs on probation", len(arrivals))
	}
}

func TestRefusedStartIsRetriedAfterAPause(t *testing.T) {
	l, clock := newTestLoop(t)
	now := clock.Now()
	refusedForRoom := l.addRunning(t, "job-1", "n-small", 1)
	l.endAttempt(refusedForRoom, wire.ExitNoRoom)
	if refusedForRoom.Job.Waiting() != 1 || !l.machines.Machines["n-small"].RefusalPauseUntil.After(now) {
		t.Error("a machine that refused a task for lack of room gets another at once")
	}
	unknown := l.addRunning(t, "job-2", "n-large", 1)
	l.endAttempt(unknown, wire.ExitUnknown)
	if unknown.Job.Waiting() != 1 || !unknown.Job.BackoffUntil.After(now) {
		t.Error("a job whose description is not available yet is started again at once")
	}
}

// Guards against a job that waits for minutes though one machine has room, because one of its tasks failed once on that
// machine.
func TestMachineIsAvoidedForLimitedTime(t *testing.T) {
	l, clock := newTestLoop(t)
	a := l.addRunning(t, "job-1", "n-large", 1)
	l.endAttempt(a, wire.ExitError)
	avoids := func() bool {
		l.jobs.Jobs["job-1"].BackoffUntil = time.Time{}
		pending, _ := l.pendingJobs(clock.Now())
		return len(pending) == 1 && pending[0].Avoid != nil && pending[0].Avoid("n-large")
	}
	if !avoids() {
		t.Fatal("the machine is not avoided after a task failed there")
	}
	clock.Advance(75 * time.Second)
	if avoids() {
		t.Error("the machine is still avoided though none of the job's tasks has been placed for 75 s")
	}
}
