package controller

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"poppypass/internal/cloud"
	"poppypass/internal/fleet"
	"poppypass/internal/placement"
	"poppypass/internal/roster"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// fleetState is what the leader's loop keeps for renting and returning.
type fleetState struct {
	next     time.Time
	rested   time.Time // nothing is done before
	nextList time.Time
	nextMove time.Time
	listing  bool
	deleting bool     // a deletion is on its way
	doomed   []string // to be deleted after it

	moveBudget float64                    // seconds for which replicas may still be down for moves
	recent     []fleet.Arrival            // accepted within the last window
	bookings   int                        // request names used in this term
	asked      map[string]fleet.Want      // rentals on their way, by request name
	refused    map[fleet.Option]time.Time // not asked before
}

func newFleetState() fleetState {
	return fleetState{
		asked: map[string]fleet.Want{}, refused: map[fleet.Option]time.Time{},
		moveBudget: tuning.MoveBudgetMax.Seconds(),
	}
}

func (l *leader) stepFleet(now time.Time) {
	if now.Before(l.fleet.rested) || l.c.machineTypes() == nil {
		return
	}
	l.fleet.next = now.Add(tuning.FleetEvery)
	l.expect(now)
	if l.tenure.Term == 1 || now.Sub(l.begun) > tuning.RentSettle {
		l.rent(now)
	}
	l.consolidate(now)
	l.returnMachines(now)
	if !l.fleet.listing && !now.Before(l.fleet.nextList) {
		l.fleet.listing = true
		go l.list()
	}
}

// expect drops the arrivals that are too long ago to tell anything.
func (l *leader) expect(now time.Time) {
	l.fleet.recent = slices.DeleteFunc(l.fleet.recent, func(a fleet.Arrival) bool {
		return now.Sub(a.At) > tuning.ArrivalWindow
	})
}

// patience is how long work of a class may wait for its start, in seconds, by
// the aims on starting.
func (c *Controller) patience(class string) (within float64, ok bool) {
	for _, o := range c.settings.Cluster.Objectives {
		if (o.Kind == "guarantee" || o.Kind == "wait" && o.Class == class) && (!ok || o.WithinS < within) {
			within, ok = o.WithinS, true
		}
	}
	return within, ok
}

// promptness is how much of a class's expected work room is kept for: it
// depends on what the objectives ask for sooner than a machine boots. own is
// true when the class has an aim of its own on that.
func (l *leader) promptness(class string) (share float64, own bool) {
	horizon := l.horizon()
	for _, o := range l.c.settings.Cluster.Objectives {
		switch {
		case seconds(o.WithinS) >= horizon:
		case o.Kind == "wait" && o.Class == class:
			return tuning.PromptWait, true
		case o.Kind == "guarantee":
			share = tuning.PromptGuarantee
		}
	}
	return share, false
}

// horizon is how long it takes until a machine that is rented now can be used.
func (l *leader) horizon() time.Duration {
	boot := math.Inf(1)
	for _, t := range l.c.machineTypes() {
		boot = min(boot, t.BootS)
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	return seconds(boot) + tuning.FetchExtra
}

// expected is the work to keep room for, by what came of late.
func (l *leader) expected(now time.Time) []*placement.Item {
	return fleet.Expected(now, l.arrivals(now), l.horizon(), func(class string) float64 {
		share, _ := l.promptness(class)
		return share
	})
}

// reserved are ghosts of the work that will come within moments and must start
// promptly: work of lower priority does not get the last room before it, only
// to be stopped for it.
func (l *leader) reserved(now time.Time) []*placement.Item {
	items := fleet.Expected(now, l.arrivals(now), min(tuning.ReserveFor, l.horizon()), func(class string) float64 {
		share, _ := l.promptness(class)
		return share
	})
	for _, it := range items {
		it.Ghost = true
	}
	return items
}

// rent asks for the machines that are wanted beyond those there, booting and
// asked for. Only a few requests are on their way at a time, under the cloud's
// rate: what is left is planned anew when one of them is answered. Hundreds of
// small requests once waited for that rate, counted as machines that boot, and
// were older than the need when their turn came.
func (l *leader) rent(now time.Time) {
	if len(l.fleet.asked) >= tuning.RentAtOnce {
		return
	}
	in := fleet.Input{
		Now: now, Teams: l.teams(), Types: l.c.machineTypes(),
		Refused: func(o fleet.Option) bool { return now.Before(l.fleet.refused[o]) },
		Room:    l.c.knobs.MaxMachines - len(l.roster.Machines), Count: map[fleet.Option]int{},
		Booting: l.comingMachines(now),
	}
	items, _ := l.items(now)
	for _, it := range items {
		if !it.Trial {
			it.Thrifty = !it.Prompt && now.Sub(it.Since) < tuning.ThriftyFor
			in.Items = append(in.Items, it)
		}
	}
	placement.Sort(in.Items, in.Teams, now)
	for _, m := range l.roster.Machines {
		in.Count[fleet.Option{Type: m.Type, Zone: m.Zone, Spot: m.Spot}]++
	}
	for _, w := range l.fleet.asked {
		in.Room -= w.Count
		in.Count[w.Option] += w.Count
	}
	wants := fleet.Plan(&in)
	// Then room for what is expected, with what is free here and what comes.
	in.Booting = append(in.Booting, l.openMachines(now)...)
	in.Items = l.expected(now)
	in.Teams = fleet.Unlimited(in.Items)
	in.Thrifty = true
	wants = append(wants, fleet.Plan(&in)...)
	// One request of a kind at a time: if it is refused, so would be the next.
	busy := map[fleet.Option]bool{}
	for _, w := range l.fleet.asked {
		busy[w.Option] = true
	}
	for _, w := range wants {
		if busy[w.Option] || len(l.fleet.asked) >= tuning.RentAtOnce {
			continue
		}
		busy[w.Option] = true
		w.Count = min(w.Count, wire.MaxRent)
		// The term is in the name: no other controller, nor this one in
		// another term, ever uses it again.
		l.fleet.bookings++
		name := fmt.Sprintf("pp-%d-%d", l.tenure.Term, l.fleet.bookings)
		l.fleet.asked[name] = w
		go l.rental(name, w)
	}
}

// comingMachines are those that boot in good time and those asked for.
func (l *leader) comingMachines(now time.Time) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.roster.Machines {
		if m.Heard.IsZero() && !m.Returning && m.Session == 0 && now.Sub(m.Rented) < l.bootTime(m.Type, tuning.BootFactor) {
			if v, ok := l.view(m); ok {
				out = append(out, v)
			}
		}
	}
	for name, w := range l.fleet.asked {
		for i := range w.Count {
			v, ok := l.view(&roster.Machine{Name: fmt.Sprint(name, "/", i), Type: w.Type, Zone: w.Zone, Spot: w.Spot})
			if ok {
				out = append(out, v)
			}
		}
	}
	return out
}

// needed are the idle machines that what is expected would use, when it takes
// the machines in use and the cheap ones first.
func (l *leader) needed(now time.Time) map[string]bool {
	items := l.expected(now)
	open := l.openMachines(now)
	needed := map[string]bool{}
	idle := func(m *placement.Machine) bool { return len(l.roster.Machines[m.Name].Places) == 0 }
	slices.SortFunc(open, func(a, b *placement.Machine) int {
		if ia, ib := idle(a), idle(b); ia != ib {
			return cmp.Compare(btoi(ia), btoi(ib))
		}
		return cmp.Or(cmp.Compare(btoi(!a.Spot), btoi(!b.Spot)), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	teams := fleet.Unlimited(items)
	for _, m := range open {
		if len(placement.Pass(now, items, []*placement.Machine{m}, teams)) > 0 {
			needed[m.Name] = true
		}
	}
	return needed
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (l *leader) bootTime(typ string, factor float64) time.Duration {
	for _, t := range l.c.machineTypes() {
		if t.Name == typ {
			return time.Duration(t.BootS*factor*float64(time.Second)) + tuning.BootExtra
		}
	}
	return tuning.BootUnknown
}

// rental asks for machines until it has a definite answer: a request without
// one may have been executed, and the same name gives the same machines.
func (l *leader) rental(name string, w fleet.Want) {
	req := wire.Rent{Request: name, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Count: w.Count}
	for l.mayCall() {
		names, err := l.c.cloud.Rent(l.ended, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			l.log.Debug("rental repeated", "request", name, "err", err)
			l.c.sleep(l.ended, tuning.CloudRetry)
			continue
		}
		l.post(func() {
			now := l.c.clock.Now()
			delete(l.fleet.asked, name)
			for _, m := range names {
				if !l.roster.Was(m) {
					l.roster.Know(m, w.Type, w.Zone, w.Spot, now, now)
				}
			}
			if len(names) < w.Count {
				l.fleet.refused[w.Option] = now.Add(tuning.RefusedFor)
			}
			l.fleet.next = now // for what is still wanted, of another kind if this one was refused
			l.log.Info("rented", "type", w.Type, "zone", w.Zone, "spot", w.Spot, "asked", w.Count, "got", len(names))
		})
		return
	}
}

// mayCall waits until the right to act is there, and tells whether it ever is.
// A leader that stood still must not delete machines on which the next one has
// placed tasks meanwhile.
func (l *leader) mayCall() bool {
	for l.ended.Err() == nil && !l.c.elector.Valid(l.tenure.Term) {
		l.c.sleep(l.ended, tuning.Tick)
	}
	return l.ended.Err() == nil
}

// returnMachines gives back what is idle, never came up, or fell silent.
func (l *leader) returnMachines(now time.Time) {
	if l.fleet.deleting {
		return
	}
	var names []string
	needed := l.needed(now)
	release := l.silentRelease()
	for _, m := range l.roster.Machines {
		if m.Returning || len(m.Places) > 0 {
			continue
		}
		var why string
		switch {
		case m.Heard.IsZero() && m.Up:
			if now.Sub(m.Added) > stretched(l.workerLease())+release {
				why = "silent"
			}
		case m.Heard.IsZero() && m.Session == 0:
			if now.Sub(m.Rented) > l.bootTime(m.Type, tuning.BootGiveUp) && now.Sub(m.Added) > tuning.AdoptWait {
				why = "never came up"
			}
		case !m.Alive():
			if now.Sub(m.LeaseEnd) > release {
				why = "silent"
			}
		case m.HasStrays():
		case m.Bad:
			why = "faulty"
		case m.Draining:
			why = "surplus"
		case needed[m.Name]:
		case now.Sub(m.IdleSince) > l.c.knobs.IdleKeep:
			why = "idle"
		}
		if why == "" || len(names) >= wire.MaxDelete {
			continue
		}
		m.Returning = true
		names = append(names, m.Name)
		l.log.Info("returning machine", "machine", m.Name, "why", why)
	}
	l.deleteMachines(names)
}

func (l *leader) workerLease() time.Duration { return l.c.keeper.workerLease() }

// silentRelease is how long machines may be silent after their leases before
// they are returned. Many silent together are cut off, not dead, and are of
// use again once the cut ends; the dead among them the cloud lists as failed.
// After a takeover in a cut 74 machines of the other zone, listed as running,
// were returned as never having come up.
func (l *leader) silentRelease() time.Duration {
	silent := 0
	for _, m := range l.roster.Machines {
		if !m.Alive() && (m.Up || m.Session > 0) {
			silent++
		}
	}
	if silent >= tuning.SilentMany && float64(silent) >= tuning.SilentManyShare*float64(len(l.roster.Machines)) {
		return tuning.SilentReleaseMany
	}
	return tuning.SilentRelease
}

// deleteMachines deletes one batch at a time: what comes meanwhile waits for
// the next, so that deletions take little of the cloud's rate.
func (l *leader) deleteMachines(names []string) {
	l.fleet.doomed = append(l.fleet.doomed, names...)
	if l.fleet.deleting || len(l.fleet.doomed) == 0 {
		return
	}
	part := l.fleet.doomed[:min(len(l.fleet.doomed), wire.MaxDelete)]
	l.fleet.doomed = slices.Clone(l.fleet.doomed[len(part):])
	l.fleet.deleting = true
	go func() {
		for l.mayCall() {
			if err := l.c.cloud.Delete(l.ended, part); err != nil {
				l.log.Debug("deletion repeated", "err", err)
				l.c.sleep(l.ended, tuning.CloudRetry)
				continue
			}
			l.post(func() {
				l.fleet.deleting = false
				l.lost(part)
				l.deleteMachines(nil)
			})
			return
		}
	}()
}

// lost takes in that machines are gone with all that was on them.
func (l *leader) lost(names []string) {
	now := l.c.clock.Now()
	for _, name := range names {
		l.settle(l.roster.Lost(name, now), now)
	}
}

// list compares the cloud's list with the machines known.
func (l *leader) list() {
	listed, err := l.c.cloud.List(l.ended)
	l.post(func() {
		now := l.c.clock.Now()
		l.fleet.listing = false
		l.fleet.nextList = now.Add(tuning.ListEvery)
		if err != nil {
			l.log.Debug("machine list unreadable", "err", err)
			return
		}
		l.compare(listed, now)
	})
}

func (l *leader) compare(listed []wire.ListedMachine, now time.Time) {
	there := make(map[string]bool, len(listed))
	var failed []string
	for _, lm := range listed {
		there[lm.Name] = true
		if l.roster.Was(lm.Name) {
			continue
		}
		m := l.roster.Machines[lm.Name]
		switch {
		case lm.State == wire.MachineFailed:
			if m == nil || !m.Returning {
				failed = append(failed, lm.Name)
			}
		case m == nil || m.Type == "":
			// Not expected, or inherited from records: it is used or returned like any other.
			l.roster.Know(lm.Name, lm.Type, lm.Zone, lm.Spot, now.Add(-seconds(lm.AgeS)), now)
			if m == nil {
				l.log.Info("machine found", "machine", lm.Name, "state", lm.State)
			}
		}
		if m := l.roster.Machines[lm.Name]; m != nil {
			m.Up = lm.State == wire.MachineRunning
		}
	}
	if len(failed) > 0 {
		l.log.Info("machines failed", "machines", failed)
		// A failed machine has stopped by itself, with all that was on it.
		l.lost(failed)
		l.deleteMachines(failed)
	}
	lag := seconds(2*l.c.settings.Cluster.Cloud.ListLagS) + tuning.ListEvery
	for _, m := range l.roster.Machines {
		if there[m.Name] || m.Alive() || now.Sub(m.Added) < lag {
			m.Unlisted = 0
			continue
		}
		// Its lease ran out, or it never came up, and list after list lacks
		// it: it was taken.
		if m.Unlisted++; m.Unlisted >= tuning.UnlistedLists && len(m.Places) == 0 && !m.Returning {
			l.roster.Drop(m.Name)
		}
	}
}
