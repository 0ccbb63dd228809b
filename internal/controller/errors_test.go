package controller

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/jobs"
	"poppypass/internal/roster"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// ends has a replica of a job fail or be refused on a machine.
func (l *leader) ends(p *jobs.Place, why wire.Why) {
	l.settle([]roster.Outcome{{Place: p, Why: why}}, l.c.clock.Now())
}

func TestAMachineOnWhichSeveralJobsFailIsBad(t *testing.T) {
	l, _ := leaderWith(t)
	for i := range tuning.BadMachineJobs {
		if l.roster.Machines["n-large"].Bad {
			t.Fatalf("bad after %d jobs", i)
		}
		l.ends(l.runs(t, fmt.Sprintf("job-%d", i), "n-large", 1), wire.WhyError)
	}
	if !l.roster.Machines["n-large"].Bad || l.roster.Machines["n-small"].Bad {
		t.Error("the faulty machine is not told from the good one")
	}
}

// Guards against a job submitted with a mistake, which fails on every machine:
// it must not make them look faulty, nor have machines rented for it, and it
// is tried ever more seldom.
func TestAJobThatFailsEverywhereHarmsNobody(t *testing.T) {
	l, clock := leaderWith(t)
	p := l.runs(t, "job-1", "n-large", 1)
	j := p.Job
	j.Kind = wire.KindArray
	var pause time.Duration
	for i := range 8 {
		l.ends(p, wire.WhyError)
		m := fmt.Sprintf("n-%d", i)
		l.roster.Know(m, "small", "a", false, clock.Now(), clock.Now())
		p = l.book.Place(j, 0, m, "a", 1, clock.Now())
		l.roster.Add(p, clock.Now())
		if i < tuning.BadJobMachines {
			continue
		}
		next := j.PauseUntil.Sub(clock.Now())
		if next < pause || next > tuning.ErrorPauseMax {
			t.Fatalf("pause %v after %v", next, pause)
		}
		pause = next
	}
	if pause < 4*tuning.ErrorPause {
		t.Errorf("the pause is only %v after many failures", pause)
	}
	for name, m := range l.roster.Machines {
		if m.Bad {
			t.Errorf("%s is held to be faulty", name)
		}
	}
	l.ends(p, wire.WhyError)
	clock.Advance(tuning.ErrorPauseMax)
	if l.rent(clock.Now()); len(l.fleet.asked) != 0 {
		t.Errorf("rents for it: %v", l.fleet.asked)
	}
}

func TestRefusedStartsWaitAgain(t *testing.T) {
	l, clock := leaderWith(t)
	now := clock.Now()
	full := l.runs(t, "job-1", "n-small", 1)
	l.ends(full, wire.WhyNoRoom)
	if full.Job.Waiting() != 1 || !l.roster.Machines["n-small"].NoRoom.After(now) {
		t.Error("a machine that refused for room is asked again at once")
	}
	unknown := l.runs(t, "job-2", "n-large", 1)
	l.ends(unknown, wire.WhyUnknown)
	if unknown.Job.Waiting() != 1 || !unknown.Job.PauseUntil.After(now) {
		t.Error("a job whose description is not there yet is started again at once")
	}
}

// A notice drains the machine: what can save does, what would not end in time
// moves, and what ends soon may.
func TestANoticeDrainsTheMachine(t *testing.T) {
	l, clock := leaderWith(t)
	m := l.roster.Machines["n-large"]
	saves, long, short := l.runs(t, "job-1", m.Name, 1), l.runs(t, "job-2", m.Name, 1), l.runs(t, "job-3", m.Name, 1)
	saves.Job.CheckpointS, saves.Job.SaveS = 10, 4
	long.Job.EstimateS, short.Job.EstimateS = 300, 3
	m.Notice = clock.Now().Add(15 * time.Second)
	l.drainSpot(m, clock.Now())
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
