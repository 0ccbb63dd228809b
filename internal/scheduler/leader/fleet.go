package leader

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
)

// fleetPlanning decides when the fleet is planned: which machines are rented, emptied and returned.
type fleetPlanning struct {
	next      time.Time
	notBefore time.Time // it is not planned before, whatever changed

	// spotLossLimitS parts the arrays by what a task of theirs may lose with a spot machine, in seconds: those
	// that would lose more are tried on on-demand machines first. See kind_preference.go.
	spotLossLimitS float64
}

func newFleetPlanning() fleetPlanning { return fleetPlanning{spotLossLimitS: math.Inf(1)} }

// planSoon has the fleet planned at the next step, unless it was just now.
func (f *fleetPlanning) planSoon(now time.Time) { f.next = now }

// due reports whether the fleet is to be planned now.
func (f *fleetPlanning) due(now time.Time) bool {
	return !now.Before(f.next) && !now.Before(f.notBefore)
}

// stepFleet plans the fleet if that is due.
func (l *Loop) stepFleet(now time.Time) {
	if !l.fleet.due(now) {
		return
	}
	begun := l.env.Clock.Now()
	l.planFleet(begun)
	l.fleet.notBefore = l.restAfter(begun, tuning.ScaleOutRestMin)
}

// planFleet rents what is wanted, and returns what is not.
func (l *Loop) planFleet(now time.Time) {
	if l.env.Types() == nil {
		return
	}
	l.fleet.next = now.Add(tuning.ScaleOutEvery)
	l.arrivals.dropOld(now)
	l.fleet.spotLossLimitS = l.lossLimitOnSpot()
	if l.mayRent(now) {
		l.scaleOut(now)
	}
	l.consolidate(now)
	l.scaleIn(now)
	l.startListing(now)
}

// mayRent reports whether machines may be rented: a new leader waits until those that it took over have sent heartbeats.
func (l *Loop) mayRent(now time.Time) bool {
	return l.leadership.Term == 1 || now.Sub(l.startedAt) > tuning.RentAfterFailover
}

// bootTime is how long a machine of a type may take until its first heartbeat, as a multiple of its usual time.
func (l *Loop) bootTime(typ string, factor float64) time.Duration {
	if t := l.env.typeOf(typ); t != nil {
		return time.Duration(t.BootS*factor*float64(time.Second)) + tuning.BootExtra
	}
	return tuning.BootUnknown
}

// awaitRightToAct waits until the right to act is there; it is false if the term ended before.
// A leader that stood still must not delete machines on which the next one has
// placed tasks meanwhile.
func (l *Loop) awaitRightToAct() bool {
	for l.ended.Err() == nil && !l.env.Valid(l.leadership.Term) {
		l.env.sleep(l.ended, tuning.Tick)
	}
	return l.ended.Err() == nil
}
