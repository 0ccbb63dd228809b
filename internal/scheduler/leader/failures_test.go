package leader

import (
	"fmt"
	"math"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// endAttempt has a replica of a job fail or be refused on a machine.
func (l *Loop) endAttempt(p *jobs.Allocation, why wire.ExitReason) {
	l.applyOutcomes([]machines.Outcome{{Allocation: p, Reason: why}}, l.env.Clock.Now())
}

// A machine is bad on which jobs fail that work elsewhere, and none completes.
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
// they must not make one look faulty, nor have machines rented, tasks stopped
// or room kept for them, and each is tried with one task at a time, ever more seldom.
func TestJobFailingEverywhereBlamesNoMachine(t *testing.T) {
	l, clock := newTestLoop(t)
	for _, id := range []string{"job-1", "job-2"} {
		p := l.addRunning(t, id, "n-large", 1)
		j := p.Job
		l.arrivals.recent = append(l.arrivals.recent, autoscale.Arrival{At: clock.Now(), Job: &j.Job})
		j.Kind = wire.KindArray
		j.Tasks = append(j.Tasks, make([]jobs.Task, 3)...)
		for range 8 {
			pause := j.BackoffUntil.Sub(clock.Now())
			for _, m := range []string{"n-large", "n-small"} { // a wave is one try
				l.endAttempt(p, wire.ExitError)
				p = l.jobs.Allocate(j, 0, m, "a", 1, clock.Now())
				l.machines.AddAllocation(p, clock.Now())
			}
			l.endAttempt(p, wire.ExitError)
			next := j.BackoffUntil.Sub(clock.Now())
			if next < pause || next > tuning.ErrorPauseMax {
				t.Fatalf("pause %v after %v", next, pause)
			}
			clock.Advance(next)
			items, _ := l.pendingJobs(clock.Now())
			if len(items) == 0 || !items[len(items)-1].OnProbation || items[len(items)-1].Waiting != 1 {
				t.Fatalf("it is tried as %+v", items)
			}
			p = l.jobs.Allocate(j, 0, "n-large", "a", 1, clock.Now())
			l.machines.AddAllocation(p, clock.Now())
		}
		l.endAttempt(p, wire.ExitError)
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
	if a := l.recentArrivals(clock.Now()); len(a) != 0 {
		t.Errorf("%d such jobs are expected to come", len(a))
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

// A notice drains the machine: what can save does, what would not end in time
// moves, and what ends soon may.
func TestInterruptionNoticeDrainsTheMachine(t *testing.T) {
	l, clock := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	saves, long, short := l.addRunning(t, "job-1", m.Name, 1), l.addRunning(t, "job-2", m.Name, 1), l.addRunning(t, "job-3", m.Name, 1)
	saves.Job.CheckpointS, saves.Job.SaveS = 10, 4
	long.Job.EstimateS, short.Job.EstimateS = 300, 3
	m.InterruptionAt = clock.Now().Add(15 * time.Second)
	l.drainInterrupted(m, clock.Now())
	if saves.Stop == nil || saves.Stop.GraceS < 4 {
		t.Errorf("what can save: %+v", saves.Stop)
	}
	if long.Stop == nil || short.Stop != nil {
		t.Errorf("long %+v, short %+v", long.Stop, short.Stop)
	}
	for _, v := range l.openMachines(clock.Now()) {
		if v.Name == m.Name {
			t.Error("it still gets tasks")
		}
	}
}

// Guards against a job that waits for minutes beside the only machine with room, since a task of it failed there once.
func TestMachineIsAvoidedForLimitedTime(t *testing.T) {
	l, clock := newTestLoop(t)
	p := l.addRunning(t, "job-1", "n-large", 1)
	l.endAttempt(p, wire.ExitError)
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

// Guards against a hold that brings nothing: what a machine's replicas take never gets free, and what runs on others does.
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
	p := l.addRunning(t, "job-1", "n-large", 1)
	if s := free(); !math.IsInf(s, 1) {
		t.Errorf("beside a replica there is room in %v s", s)
	}
	p.Job.Kind, p.Job.EstimateS, p.RunningSince = wire.KindArray, 100, clock.Now().Add(-40*time.Second)
	if s := free(); s != 60 {
		t.Errorf("room in %v s, 60 are left of its run", s)
	}
	p.RunningSince = clock.Now().Add(-200 * time.Second)
	if s := free(); s != 50 {
		t.Errorf("room in %v s for a task that runs on beyond what was expected", s)
	}
	p.Stop = &jobs.StopRequest{GraceS: 5}
	if s := free(); s != 5 {
		t.Errorf("room in %v s for one that was told to stop", s)
	}
}

// Guards against pauses between passes that grow for ever: what only time makes possible, such as the end of a job's pause after
// failures, is found within the longest pause.
func TestSchedulingCyclesContinueWhileNothingFits(t *testing.T) {
	l, clock := newTestLoop(t)
	j := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1})
	begun := clock.Now()
	blocked := l.addPending(t, wire.Job{ID: "job-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 99}) // fits nowhere
	for j.BackoffUntil = begun.Add(40 * time.Second); j.Allocated == 0; clock.Advance(250 * time.Millisecond) {
		now := clock.Now()
		for _, m := range l.machines.Machines { // it reports all the while
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
