package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// Guards against machines that are rented in a partitioned zone or counted as booting there, while the jobs for which
// they are meant wait.
func TestNoScaleOutInPartitionedZone(t *testing.T) {
	l, advance := newTwoZoneLoop(t, 10)
	now := l.env.Clock.Now()
	l.machines.Register(machines.RentedMachine{Name: "n-boots", Type: "small", Zone: "b", RentedAt: now}, now)
	if partitioned := l.partitionedZones(now); len(partitioned) != 0 {
		t.Errorf("zones %v count as partitioned while all machines send heartbeats", partitioned)
	}
	advance(l.maxSilence() + time.Second)
	now = l.env.Clock.Now()
	for i := range 10 { // all machines of zone a and one of zone b continue to send heartbeats
		l.machines.Machines[fmt.Sprintf("n-%d", i)].LastHeartbeat = now
	}
	l.machines.Machines["n-10"].LastHeartbeat = now
	partitioned := l.partitionedZones(now)
	if len(partitioned) != 1 || !partitioned["b"] {
		t.Fatalf("zones %v count as partitioned, want only b", partitioned)
	}
	for _, v := range l.bootingMachines(partitioned, now) {
		if v.Zone == "b" {
			t.Error("a machine that boots in the partitioned zone counts as booting")
		}
	}
	l.addPending(t, wire.Job{ID: "job-2", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh, Tasks: 40, CPUs: 4, MemoryGB: 1})
	l.scaleOut(now)
	zones := map[string]int{}
	for _, rental := range l.rentals.inFlight {
		zones[rental.Zone] += rental.Count
	}
	if zones["a"] == 0 || zones["b"] != 0 {
		t.Errorf("machines requested by zone: %v, want some in a and none in b", zones)
	}
	l.startedAt = now // a new leader has not had time to receive heartbeats
	if partitioned := l.partitionedZones(now); len(partitioned) != 0 {
		t.Errorf("zones %v count as partitioned for a new leader", partitioned)
	}
}

// Guards against rent requests that queue up behind the cloud's rate limit. At the start of a large deployment, every
// job that arrived requested a machine or two of its own. As a result, 390 machines counted as booting although their
// requests had not been sent, and for minutes nothing was rented for the jobs that waited.
func TestRentRequestsDoNotPileUp(t *testing.T) {
	l, clock := newTestLoop(t)
	for i := range 40 {
		l.addPending(t, wire.Job{
			ID: fmt.Sprintf("job-%d", i), Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh,
			Tasks: 2, CPUs: 0.5 + float64(i%7)*8, MemoryGB: 1, Image: "img", Spot: i%2 == 0,
		})
		l.scaleOut(clock.Now()) // no request is answered in the meantime
		if n := len(l.rentals.inFlight); n > tuning.RentalsInFlightMax {
			t.Fatalf("%d rent requests in flight after %d jobs, want at most tuning.RentalsInFlightMax", n, i+1)
		}
	}
	if len(l.rentals.inFlight) == 0 {
		t.Error("no machine is requested")
	}
}
