package leader

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/machines"
	"poppypass/internal/scheduler/placement"
)

// fleetState is what the leader's loop keeps for renting and returning.
type fleetState struct {
	next        time.Time
	rested      time.Time // nothing is done before
	nextList    time.Time
	nextMove    time.Time
	listing     bool
	deleting    bool     // a deletion is on its way
	deleteQueue []string // to be deleted after it

	moveBudget     float64                          // seconds for which replicas may still be down for moves
	arrivals       []autoscale.Arrival              // accepted within the last window
	requests       int                              // request names used in this term
	pending        map[string]autoscale.Purchase    // rentals on their way, by request name
	refused        map[autoscale.Offering]time.Time // not asked before
	spotLossLimitS float64                          // arrays that would lose more with a machine are tried on ordinary ones first
}

func newFleetState() fleetState {
	return fleetState{
		pending: map[string]autoscale.Purchase{}, refused: map[autoscale.Offering]time.Time{},
		moveBudget: tuning.MoveDowntimeBudgetMax.Seconds(), spotLossLimitS: math.Inf(1),
	}
}

func (l *Loop) stepFleet(now time.Time) {
	if l.env.Types() == nil {
		return
	}
	l.fleet.next = now.Add(tuning.ScaleOutEvery)
	l.dropOldArrivals(now)
	l.fleet.spotLossLimitS = l.lossLimitOnSpot()
	if l.leadership.Term == 1 || now.Sub(l.startedAt) > tuning.RentAfterFailover {
		l.scaleOut(now)
	}
	l.consolidate(now)
	l.scaleIn(now)
	if !l.fleet.listing && !now.Before(l.fleet.nextList) {
		l.fleet.listing = true
		go l.listMachines()
	}
}

// dropOldArrivals drops the arrivals that are too long ago to tell anything.
func (l *Loop) dropOldArrivals(now time.Time) {
	l.fleet.arrivals = slices.DeleteFunc(l.fleet.arrivals, func(a autoscale.Arrival) bool {
		return now.Sub(a.At) > tuning.ArrivalWindow
	})
}

// maxStartWait is how long work of a class may wait for its start, in seconds, by
// the aims on starting.
func (e *Env) maxStartWait(class string) (within float64, ok bool) {
	for _, o := range e.Settings.Cluster.Objectives {
		if (o.Kind == "guarantee" || o.Kind == "wait" && o.Class == class) && (!ok || o.WithinS < within) {
			within, ok = o.WithinS, true
		}
	}
	return within, ok
}

// promptShare is how much of a class's expected work room is kept for: it
// depends on what the objectives ask for sooner than a machine boots. own is
// true when the class has an aim of its own on that.
func (l *Loop) promptShare(class string) (share float64, own bool) {
	horizon := l.provisioningTime()
	for _, o := range l.env.Settings.Cluster.Objectives {
		switch {
		case seconds(o.WithinS) >= horizon:
		case o.Kind == "wait" && o.Class == class:
			return tuning.ForecastShareLatencySensitive, true
		case o.Kind == "guarantee":
			share = tuning.ForecastShareGuaranteed
		}
	}
	return share, false
}

// provisioningTime is how long it takes until a machine that is rented now can be used.
func (l *Loop) provisioningTime() time.Duration {
	boot := math.Inf(1)
	for _, t := range l.env.Types() {
		boot = min(boot, t.BootS)
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	return seconds(boot) + tuning.ForecastBootExtra
}

// expectedJobs is the work to keep room for, by what came of late.
func (l *Loop) expectedJobs(now time.Time) []*placement.PendingJob {
	return autoscale.Forecast(now, l.recentArrivals(now), l.provisioningTime(), func(class string) float64 {
		share, _ := l.promptShare(class)
		return share
	})
}

// placeholders are ghosts of the work that will come within moments and must start
// promptly: work of lower priority does not get the last room before it, only
// to be stopped for it.
func (l *Loop) placeholders(now time.Time) []*placement.PendingJob {
	items := autoscale.Forecast(now, l.recentArrivals(now), min(tuning.ForecastReserveHorizon, l.provisioningTime()), func(class string) float64 {
		share, _ := l.promptShare(class)
		return share
	})
	for _, it := range items {
		it.Placeholder = true
	}
	return items
}

// scaleOut asks for the machines that are wanted beyond those there, booting and
// asked for. Only a few requests are on their way at a time, under the cloud's
// rate: what is left is planned anew when one of them is answered. Hundreds of
// small requests once waited for that rate, counted as machines that boot, and
// were older than the need when their turn came.
func (l *Loop) scaleOut(now time.Time) {
	if len(l.fleet.pending) >= tuning.RentalsInFlight {
		return
	}
	cut := l.partitionedZones(now)
	in := autoscale.Input{
		Now: now, Teams: l.teams(), Types: l.env.Types(),
		Unavailable: func(o autoscale.Offering) bool { return cut[o.Zone] || now.Before(l.fleet.refused[o]) },
		MaxNew:      l.maxMachines() - len(l.machines.Machines), Existing: map[autoscale.Offering]int{},
		Booting: l.bootingMachines(cut, now),
	}
	items, _ := l.pendingJobs(now)
	for _, it := range items {
		if !it.OnProbation {
			it.AwaitSpot = !it.LatencySensitive && now.Sub(it.WaitingSince) < tuning.AwaitSpotFor
			in.Pending = append(in.Pending, it)
		}
	}
	placement.Sort(in.Pending, in.Teams, now)
	l.countByOption(in.Existing)
	for _, w := range l.fleet.pending {
		in.MaxNew -= w.Count
		in.Existing[w.Offering] += w.Count
	}
	// One request of a kind at a time: if it is refused, so would be the next.
	busy := map[autoscale.Offering]bool{}
	for _, w := range l.fleet.pending {
		busy[w.Offering] = true
	}
	in.InFlight, in.MaxPerRequest = func(o autoscale.Offering) bool { return busy[o] }, wire.MaxRent
	for _, w := range autoscale.Plan(&in) {
		l.requestMachines(w)
		busy[w.Offering] = true
	}
	// Then room for what is expected, with what is free here and what comes.
	if len(l.fleet.pending) >= tuning.RentalsInFlight {
		return
	}
	in.Pending = l.expectedJobs(now)
	in.Booting = append(in.Booting, l.machinesWithRoomFor(now, in.Pending)...)
	in.Teams = autoscale.UnlimitedTeams(in.Pending)
	in.SpotOnly = true
	for _, w := range autoscale.Plan(&in) {
		l.requestMachines(w)
	}
}

// countByOption adds the machines of each kind. There are few kinds, and thousands of machines.
func (l *Loop) countByOption(counts map[autoscale.Offering]int) {
	type kind struct {
		autoscale.Offering
		n int
	}
	var kinds []kind
	for _, m := range l.machines.Machines {
		o := autoscale.Offering{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		i := slices.IndexFunc(kinds, func(k kind) bool { return k.Offering == o })
		if i < 0 {
			kinds, i = append(kinds, kind{Offering: o}), len(kinds)
		}
		kinds[i].n++
	}
	for _, k := range kinds {
		counts[k.Offering] += k.n
	}
}

// requestMachines asks for machines, if not too many requests are on their way.
func (l *Loop) requestMachines(w autoscale.Purchase) {
	if len(l.fleet.pending) >= tuning.RentalsInFlight {
		return
	}
	// The term is in the name: no other controller, nor this one in
	// another term, ever uses it again.
	l.fleet.requests++
	name := fmt.Sprintf("pp-%d-%d", l.leadership.Term, l.fleet.requests)
	l.fleet.pending[name] = w
	go l.rentUntilAnswered(name, w)
}

// maxMachines is how many machines may be rented: what the operators say and what
// this process's memory holds. The cloud's refusals say the rest. Memory holds one for each MachineKB that the runtime aims
// at, whatever they take, and more as long as it is seen that those there take less.
func (l *Loop) maxMachines() int {
	most := math.MaxInt
	if n := l.env.Tunables.MaxMachines; n > 0 {
		most = n
	}
	if mb := l.env.Settings.Cluster.Limits.RAMMB; mb > 0 {
		aim := mb * tuning.MemoryShare
		most = min(most, max(1, machinesIn(aim-tuning.ProcessMB), l.machinesByUse(aim)))
	}
	return most
}

// machinesIn is how many machines so many MiB hold at the least.
func machinesIn(mb float64) int { return int(mb * 1024 / tuning.MachineKB) }

// machinesByUse is how many machines there may be by what the memory in use leaves of LiveShare of the MiB that the runtime
// aims at. Machines that have not reported are not in use yet: they and those to come count MachineKB each.
func (l *Loop) machinesByUse(aimMB float64) int {
	if l.env.MemoryLive == nil {
		return 0
	}
	reported := 0
	for _, m := range l.machines.Machines {
		if !m.LastHeartbeat.IsZero() {
			reported++
		}
	}
	return reported + machinesIn(tuning.LiveShare*aimMB-float64(l.env.MemoryLive())/(1<<20))
}

// bootingMachines are those that boot in good time and those asked for, but for zones that
// are cut off: nobody hears when they are up.
func (l *Loop) bootingMachines(cut map[string]bool, now time.Time) []*placement.Machine {
	var out []*placement.Machine
	for _, m := range l.machines.Machines {
		if m.LastHeartbeat.IsZero() && !cut[m.Zone] && !m.Returning && m.Incarnation == 0 && now.Sub(m.RentedAt) < l.bootTime(m.Type, tuning.BootFactor) {
			if v, ok := l.machineView(m); ok {
				out = append(out, &v)
			}
		}
	}
	for name, w := range l.fleet.pending {
		for i := range w.Count {
			v, ok := l.machineView(&machines.Machine{Name: fmt.Sprint(name, "/", i), Type: w.Type, Zone: w.Zone, Spot: w.Spot})
			if ok {
				out = append(out, &v)
			}
		}
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (l *Loop) bootTime(typ string, factor float64) time.Duration {
	if t := l.env.typeOf(typ); t != nil {
		return time.Duration(t.BootS*factor*float64(time.Second)) + tuning.BootExtra
	}
	return tuning.BootUnknown
}

// rentUntilAnswered asks for machines until it has a definite answer: a request without
// one may have been executed, and the same name gives the same machines.
func (l *Loop) rentUntilAnswered(name string, w autoscale.Purchase) {
	req := wire.RentRequest{Request: name, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Count: w.Count}
	for l.awaitRightToAct() {
		names, err := l.env.Cloud.Rent(l.ended, req)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			l.log.Debug("rental repeated", "request", name, "err", err)
			l.env.sleep(l.ended, tuning.CloudRetry)
			continue
		}
		l.post(func() { l.machinesRented(name, w, names) })
		return
	}
}

// machinesRented takes in which machines a request got.
func (l *Loop) machinesRented(name string, w autoscale.Purchase, names []string) {
	now := l.env.Clock.Now()
	delete(l.fleet.pending, name)
	for _, m := range names {
		if !l.machines.WasReturned(m) {
			l.machines.Register(m, w.Type, w.Zone, w.Spot, now, now).RentedThisTerm = true
		}
	}
	if len(names) < w.Count {
		l.fleet.refused[w.Offering] = now.Add(tuning.NoCapacityBackoff)
	}
	l.changed = true   // one may have reported already
	l.fleet.next = now // for what is still wanted, of another kind if this one was refused
	l.log.Info("rented", "type", w.Type, "zone", w.Zone, "spot", w.Spot, "asked", w.Count, "got", len(names))
}

func (l *Loop) workerLease() time.Duration { return seconds(l.env.Settings.Cluster.Workers.LeaseS) }
