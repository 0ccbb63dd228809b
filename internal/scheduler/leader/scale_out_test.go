package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"poppypass/internal/clients/cloud"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// addPending adds an accepted job none of whose tasks is placed.
func (l *Loop) addPending(t testing.TB, j wire.Job) *jobs.Job {
	t.Helper()
	now := l.env.Clock.Now()
	value, err := json.Marshal(jobs.JobRecord{Job: j, AtMS: now.UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	out, err := l.jobs.LoadJob(wire.Item{Key: jobs.KeyJob(j.ID), Value: value, Version: 1}, now, now)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against rentals that pile up behind the cloud's rate: at the start of
// a large deployment every job that came asked for a machine or two of its own,
// 390 machines were counted as booting whose requests had not been sent, and
// for minutes nothing was rented for those that waited.
func TestRentRequestsDoNotPileUp(t *testing.T) {
	l, clock := newTestLoop(t)
	for i := range 40 {
		l.addPending(t, wire.Job{
			ID: fmt.Sprintf("job-%d", i), Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh,
			Tasks: 2, CPUs: 0.5 + float64(i%7)*8, MemoryGB: 1, Image: "img", Spot: i%2 == 0,
		})
		l.scaleOut(clock.Now()) // no request is answered meanwhile
		if n := len(l.rentals.pending); n > tuning.RentalsInFlight {
			t.Fatalf("%d rentals on their way after %d jobs", n, i+1)
		}
	}
	if len(l.rentals.pending) == 0 {
		t.Error("nothing is rented")
	}
}

// Guards against deletions that pile up: one is on its way at a time, and
// what comes meanwhile shares the next.
func TestDeletionsAreBatched(t *testing.T) {
	l, _ := newTestLoop(t)
	l.deleteMachines([]string{"n-1"})
	l.deleteMachines([]string{"n-2"})
	l.deleteMachines([]string{"n-3"})
	if !l.deletions.inFlight || len(l.deletions.queue) != 2 {
		t.Errorf("deleting %v, %v wait", l.deletions.inFlight, l.deletions.queue)
	}
}

// Guards against a leader that returns half of the fleet because it is cut
// off from it: machines that the cloud lists as running are of use again.
func TestManySilentMachinesAreKeptDuringAPartition(t *testing.T) {
	for _, c := range []struct {
		silent int
		keeps  time.Duration
	}{{1, tuning.SilentReturnAfter}, {10, tuning.SilentReturnAfterCut}} {
		l, clock := newTestLoop(t)
		var listed []wire.ListedMachine
		for i := range c.silent {
			listed = append(listed, wire.ListedMachine{Name: fmt.Sprintf("n-%d", i), Type: "small", Zone: "a", State: wire.MachineRunning, AgeS: 600})
		}
		l.reconcileMachines([]cloud.ListPage{{Machines: listed}}, clock.Now())
		returned := func() int {
			for name := range l.machines.Machines { // the others report
				if m := l.machines.Machines[name]; m.Incarnation > 0 {
					m.LastHeartbeat, m.IdleSince = clock.Now(), clock.Now()
				}
			}
			l.scaleIn(clock.Now())
			n := 0
			for _, m := range l.machines.Machines {
				if m.Returning {
					n++
				}
			}
			return n
		}
		clock.Advance(l.env.workerLease() + c.keeps - time.Second)
		if n := returned(); n != 0 {
			t.Errorf("%d silent: %d returned too soon", c.silent, n)
		}
		clock.Advance(2 * time.Second)
		if n := returned(); n != c.silent {
			t.Errorf("%d silent: %d returned in the end", c.silent, n)
		}
	}
}

// Guards against room kept for jobs like those that waited for the service's
// very first begin: 70 services at once had a third more machines rented.
func TestInitialBacklogIsSampledAsArrivals(t *testing.T) {
	l, clock := newTestLoop(t)
	l.startedAt = clock.Now()
	take := func(id string) int {
		value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: id, Team: "t", Kind: wire.KindArray, Tasks: 1}})
		if err != nil {
			t.Fatal(err)
		}
		l.loadJobs([]wire.Item{{Key: jobs.KeyJob(id), Value: value, Version: 1}})
		return len(l.arrivals.recent)
	}
	for i := range tuning.FirstStartRushShare {
		if n := take(fmt.Sprintf("job-1%d", i)); n != (i+1)/tuning.FirstStartRushShare {
			t.Errorf("%d arrivals after %d in the rush", n, i+1)
		}
	}
	clock.Advance(tuning.FirstStartRush)
	if n := take("job-2"); n != 2 {
		t.Errorf("%d arrivals after it", n)
	}
	l.leadership.Term, l.startedAt = 2, clock.Now() // a takeover is no rush
	if n := take("job-3"); n != 3 {
		t.Errorf("%d arrivals after a takeover", n)
	}
}

// Guards against a leader that stood still between a decision and its call: it
// must not delete machines on which the next one has placed tasks meanwhile.
func TestNoCloudCallWithoutTheRightToAct(t *testing.T) {
	l, clock := newTestLoop(t) // its elector has no right to act
	ctx, end := context.WithCancel(t.Context())
	l.ended = ctx
	may := make(chan bool)
	go func() { may <- l.awaitRightToAct() }()
	for range 3 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		select {
		case <-may:
			t.Fatal("calls the cloud without the right to act")
		default:
		}
		clock.Advance(tuning.Tick)
	}
	end()
	if <-may {
		t.Error("calls the cloud though the tenure is over")
	}
}
