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

// rentals is the requests for machines. Only a few are in flight at a time, under the cloud's
// rate: what is left is planned anew when one of them is answered. Hundreds of
// small requests once waited for that rate, counted as machines that boot, and
// were older than the need when their turn came.
type rentals struct {
	pending  map[string]autoscale.Purchase    // in flight, by request name
	refused  map[autoscale.Offering]time.Time // not asked for before
	requests int                              // request names used in this term
}

func newRentals() rentals {
	return rentals{pending: map[string]autoscale.Purchase{}, refused: map[autoscale.Offering]time.Time{}}
}

// full reports whether no more requests may be sent now.
func (r *rentals) full() bool { return len(r.pending) >= tuning.RentalsInFlight }

// offerings are those that are being asked for.
func (r *rentals) offerings() map[autoscale.Offering]bool {
	out := map[autoscale.Offering]bool{}
	for _, p := range r.pending {
		out[p.Offering] = true
	}
	return out
}

// scaleOut asks for the machines that are wanted beyond those there, booting and
// asked for: first for jobs that wait, then for those that are expected.
func (l *Loop) scaleOut(now time.Time) {
	if l.rentals.full() {
		return
	}
	in := l.scaleOutInput(now)
	// One request for an offering at a time: if it is refused, so would be the next.
	asked := l.rentals.offerings()
	in.InFlight, in.MaxPerRequest = func(o autoscale.Offering) bool { return asked[o] }, wire.MaxRent
	for _, p := range autoscale.Plan(&in) {
		l.requestMachines(p)
		asked[p.Offering] = true
	}
	if l.rentals.full() {
		return
	}
	l.scaleOutForExpected(&in, now)
}

// scaleOutInput is what the jobs that wait are planned by.
func (l *Loop) scaleOutInput(now time.Time) autoscale.Input {
	partitioned := l.partitionedZones(now)
	in := autoscale.Input{
		Now: now, Teams: l.teams(), Types: l.env.Types(),
		Unavailable: func(o autoscale.Offering) bool { return partitioned[o.Zone] || now.Before(l.rentals.refused[o]) },
		MaxNew:      l.maxMachines() - len(l.machines.Machines), Existing: map[autoscale.Offering]int{},
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
	l.countByOffering(in.Existing)
	for _, p := range l.rentals.pending {
		in.MaxNew -= p.Count
		in.Existing[p.Offering] += p.Count
	}
	return in
}

// scaleOutForExpected asks for room for the jobs that are expected, with what is free here and what boots.
func (l *Loop) scaleOutForExpected(in *autoscale.Input, now time.Time) {
	in.Pending = l.expectedJobs(now)
	in.Booting = append(in.Booting, l.machinesWithRoomFor(now, in.Pending)...)
	in.Teams = autoscale.UnlimitedTeams(in.Pending)
	in.SpotOnly = true
	for _, p := range autoscale.Plan(in) {
		l.requestMachines(p)
	}
}

// countByOffering adds the machines of each offering. There are few offerings, and thousands of machines.
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

// bootingMachines are those that boot in good time and those asked for, but for partitioned zones:
// nobody hears when they are up.
func (l *Loop) bootingMachines(partitioned map[string]bool, now time.Time) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.machines.Machines {
		if !l.boots(m, now) || partitioned[m.Zone] {
			continue
		}
		if v, ok := l.machineView(m); ok {
			out = append(out, &v)
		}
	}
	for name, p := range l.rentals.pending {
		for i := range p.Count {
			v, ok := l.machineView(&machines.Machine{Name: fmt.Sprint(name, "/", i), Type: p.Type, Zone: p.Zone, Spot: p.Spot})
			if ok {
				out = append(out, &v)
			}
		}
	}
	return out
}

// boots reports whether a machine has not sent a heartbeat yet, nor had a task, and is not overdue.
func (l *Loop) boots(m *machines.Machine, now time.Time) bool {
	return m.LastHeartbeat.IsZero() && m.Incarnation == 0 && !m.Returning && now.Sub(m.RentedAt) < l.bootTime(m.Type, tuning.BootFactor)
}

// requestMachines asks for machines, if not too many requests are in flight.
func (l *Loop) requestMachines(p autoscale.Purchase) {
	if l.rentals.full() {
		return
	}
	// The term is in the name: no other controller, nor this one in
	// another term, ever uses it again.
	l.rentals.requests++
	name := fmt.Sprintf("pp-%d-%d", l.leadership.Term, l.rentals.requests)
	l.rentals.pending[name] = p
	go l.rentUntilAnswered(name, p)
}

// rentUntilAnswered asks for machines until it has a definite answer: a request without
// one may have been executed, and the same name gives the same machines.
func (l *Loop) rentUntilAnswered(name string, p autoscale.Purchase) {
	req := wire.RentRequest{Request: name, Type: p.Type, Zone: p.Zone, Spot: p.Spot, Count: p.Count}
	for l.awaitRightToAct() {
		names, err := l.env.Cloud.Rent(l.ended, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			l.log.Debug("rent request repeated", "request", name, "err", err)
			l.env.sleep(l.ended, tuning.CloudRetry)
			continue
		}
		l.post(func() { l.machinesRented(name, p, names) })
		return
	}
}

// machinesRented registers the machines that a request got.
func (l *Loop) machinesRented(name string, p autoscale.Purchase, names []string) {
	now := l.env.Clock.Now()
	delete(l.rentals.pending, name)
	for _, m := range names {
		if !l.machines.WasReturned(m) {
			rented := machines.Rented{Name: m, Type: p.Type, Zone: p.Zone, Spot: p.Spot, RentedAt: now}
			l.machines.Register(rented, now).RentedThisTerm = true
		}
	}
	if len(names) < p.Count {
		l.rentals.refused[p.Offering] = now.Add(tuning.NoCapacityBackoff)
	}
	l.cycle.wake()        // one may have sent a heartbeat already
	l.fleet.planSoon(now) // for what is still wanted, of another offering if this one was refused
	l.log.Info("machines rented", "type", p.Type, "zone", p.Zone, "spot", p.Spot, "asked", p.Count, "got", len(names))
}
