package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// Guards against machines rented in a partitioned zone, and counted as coming while
// the work waits.
func TestNoScaleOutInPartitionedZone(t *testing.T) {
	l, advance := twoZones(t, 10)
	now := l.env.Clock.Now()
	l.machines.Register(machines.Rented{Name: "n-boots", Type: "small", Zone: "b", RentedAt: now}, now)
	if partitioned := l.partitionedZones(now); len(partitioned) != 0 {
		t.Errorf("partitioned: %v", partitioned)
	}
	advance(l.maxSilence() + time.Second)
	now = l.env.Clock.Now()
	for i := range 10 { // zone a, and one of b, go on sending heartbeats
		l.machines.Machines[fmt.Sprintf("n-%d", i)].LastHeartbeat = now
	}
	l.machines.Machines["n-10"].LastHeartbeat = now
	partitioned := l.partitionedZones(now)
	if len(partitioned) != 1 || !partitioned["b"] {
		t.Fatalf("partitioned: %v", partitioned)
	}
	for _, v := range l.bootingMachines(partitioned, now) {
		if v.Zone == "b" {
			t.Error("what boots there counts as coming")
		}
	}
	l.addPending(t, wire.Job{ID: "job-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh, Tasks: 40, CPUs: 4, MemoryGB: 1})
	l.scaleOut(now)
	zones := map[string]int{}
	for _, w := range l.rentals.pending {
		zones[w.Zone] += w.Count
	}
	if zones["a"] == 0 || zones["b"] != 0 {
		t.Errorf("rents %v", zones)
	}
	l.startedAt = now // a new leader has heard nobody yet
	if partitioned := l.partitionedZones(now); len(partitioned) != 0 {
		t.Errorf("a new leader finds %v partitioned", partitioned)
	}
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
