package leader

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// rentals holds the rent requests. Only a few are in flight at a time, to stay within the cloud's rate limit. When one of
// them is answered, the machines that are still needed are planned anew. Without this bound, hundreds of small requests
// can queue behind the rate limit: their machines count as booting, and when the requests are finally sent, they no
// longer match the need.
type rentals struct {
	inFlight     map[string]autoscale.Rental      // requests in flight, by request name
	refusedUntil map[autoscale.Offering]time.Time // until when an offering is not requested again for lack of capacity
	requestCount int                              // number of requests made in this term; the name of a request contains its number
}

func newRentals() rentals {
	return rentals{inFlight: map[string]autoscale.Rental{}, refusedUntil: map[autoscale.Offering]time.Time{}}
}

// full reports whether as many requests are in flight as are allowed.
func (r *rentals) full() bool { return len(r.inFlight) >= tuning.RentalsInFlightMax }

// offeringsInFlight returns the offerings of the requests in flight.
func (r *rentals) offeringsInFlight() map[autoscale.Offering]bool {
	out := map[autoscale.Offering]bool{}
	for _, rental := range r.inFlight {
		out[rental.Offering] = true
	}
	return out
}

// scaleOut requests the machines that are needed in addition to those that exist, boot or have been requested: first for
// jobs that wait, then for jobs that are expected.
func (l *Loop) scaleOut(now time.Time) {
	if l.rentals.full() {
		return
	}
	in := l.scaleOutInput(now)
	// There is one request for an offering at a time: if it is refused, the next one would be too.
	inFlight := l.rentals.offeringsInFlight()
	in.InFlight, in.MaxPerRequest = func(o autoscale.Offering) bool { return inFlight[o] }, wire.MaxRent
	for _, rental := range autoscale.Plan(&in) {
		l.requestMachines(rental)
		inFlight[rental.Offering] = true
	}
	if l.rentals.full() {
		return
	}
	l.scaleOutForExpected(&in, now)
}

// scaleOutInput returns the input of the plan for the jobs that wait.
func (l *Loop) scaleOutInput(now time.Time) autoscale.Input {
	partitioned := l.partitionedZones(now)
	in := autoscale.Input{
		Now: now, Teams: l.teams(), Types: l.env.MachineTypes(),
		Unavailable: func(o autoscale.Offering) bool { return partitioned[o.Zone] || now.Before(l.rentals.refusedUntil[o]) },
		MaxNew:      l.maxMachines() - len(l.machines.Machines), ExistingCounts: map[autoscale.Offering]int{},
		Booting: l.bootingMachines(partitioned, now),
	}
	pending, _ := l.pendingJobs(now)
	for _, p := range pending {
		if !p.OnProbation {
			p.AwaitSpot = !p.LatencySensitive && now.Sub(p.WaitingSince) < tuning.AwaitSpotFor
			in.Pending = append(in.Pending, p)
		}
	}
	placement.Sort(in.Pending, in.Teams, now)
	l.countByOffering(in.ExistingCounts)
	for _, p := range l.rentals.inFlight {
		in.MaxNew -= p.Count
		in.ExistingCounts[p.Offering] += p.Count
	}
	return in
}

// scaleOutForExpected requests machines for the expected jobs that fit neither on machines with room nor on booting ones.
func (l *Loop) scaleOutForExpected(in *autoscale.Input, now time.Time) {
	in.Pending = l.expectedJobs(now)
	in.Booting = append(in.Booting, l.machinesWithRoomFor(now, in.Pending)...)
	in.Teams = autoscale.UnlimitedTeams(in.Pending)
	in.SpotOnly = true
	for _, rental := range autoscale.Plan(in) {
		l.requestMachines(rental)
	}
}

// countByOffering adds the number of machines of each offering to counts. It sums the numbers up in a slice first, to
// avoid a map access for each of thousands of machines. The slice is short, because there are few offerings.
func (l *Loop) countByOffering(counts map[autoscale.Offering]int) {
	type count struct {
		autoscale.Offering
		n int
	}
	var found []count
	for _, m := range l.machines.Machines {
		o := autoscale.Offering{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		i := slices.IndexFunc(found, func(c count) bool { return c.Offering == o })
		if i < 0 {
			found, i = append(found, count{Offering: o}), len(found)
		}
		found[i].n++
	}
	for _, c := range found {
		counts[c.Offering] += c.n
	}
}

// bootingMachines returns the machines that boot and are not overdue, and the machines of the rent requests in flight.
// Machines that boot in partitioned zones are excluded, because their first heartbeat cannot arrive.
func (l *Loop) bootingMachines(partitioned map[string]bool, now time.Time) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.machines.Machines {
		if !l.isBooting(m, now) || partitioned[m.Zone] {
			continue
		}
		if v, ok := l.machineView(m); ok {
			out = append(out, &v)
		}
	}
	for name, rental := range l.rentals.inFlight {
		for i := range rental.Count {
			v, ok := l.machineView(&machines.Machine{Name: fmt.Sprint(name, "/", i), Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot})
			if ok {
				out = append(out, &v)
			}
		}
	}
	return out
}

// isBooting reports whether a machine has neither sent a heartbeat nor had a task yet, is not being returned and is not
// overdue.
func (l *Loop) isBooting(m *machines.Machine, now time.Time) bool {
	return m.LastHeartbeat.IsZero() && m.Incarnation == 0 && !m.Returning && now.Sub(m.RentedAt) < l.maxBootTime(m.Type, tuning.BootLateFactor)
}

// requestMachines sends a rent request, unless too many are in flight.
func (l *Loop) requestMachines(rental autoscale.Rental) {
	if l.rentals.full() {
		return
	}
	// The name contains the term, so that neither another controller nor this one in another term ever uses it again.
	l.rentals.requestCount++
	name := fmt.Sprintf("pp-%d-%d", l.leadership.Term, l.rentals.requestCount)
	l.rentals.inFlight[name] = rental
	go l.rentUntilAnswered(name, rental)
}

// rentUntilAnswered sends a rent request, and retries it until the cloud gives a definite answer. A request without an
// answer may have been executed. A retry is safe, because the same request name yields the same machines.
func (l *Loop) rentUntilAnswered(name string, rental autoscale.Rental) {
	req := wire.RentRequest{Request: name, Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot, Count: rental.Count}
	for l.awaitValidLeadership() {
		names, err := l.env.Cloud.Rent(l.termCtx, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			l.log.Debug("rent request failed; retrying", "request", name, "err", err)
			l.env.sleep(l.termCtx, tuning.CloudRetryPause)
			continue
		}
		l.post(func() { l.machinesRented(name, rental, names) })
		return
	}
}

// machinesRented registers the machines that a rent request yielded, and has the fleet planned again.
func (l *Loop) machinesRented(name string, rental autoscale.Rental, names []string) {
	now := l.env.Clock.Now()
	delete(l.rentals.inFlight, name)
	for _, m := range names {
		if !l.machines.WasReturned(m) {
			rented := machines.RentedMachine{Name: m, Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot, RentedAt: now}
			l.machines.Register(rented, now).RentedThisTerm = true
		}
	}
	if len(names) < rental.Count {
		l.rentals.refusedUntil[rental.Offering] = now.Add(tuning.NoCapacityBackoff)
	}
	l.cycle.wake()        // one of the machines may have sent a heartbeat already
	l.fleet.planSoon(now) // plan what is still needed, from another offering if this offering was refused
	l.log.Info("rent request answered; registering the machines it yielded and planning the fleet again", "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot, "asked", rental.Count, "got", len(names))
}
