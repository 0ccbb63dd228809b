package leader

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
)

// fleetPlanning decides when the fleet is planned, that is, which machines are rented, drained and returned.
type fleetPlanning struct {
	next      time.Time // when the fleet is next planned
	notBefore time.Time // the fleet is not planned before this time, whatever changed

	// spotLossLimitS is a limit, in seconds, on the work that a task of an array may lose with its spot machine. Arrays
	// whose tasks may lose more are tried on on-demand machines first. See kind_preference.go.
	spotLossLimitS float64
}

func newFleetPlanning() fleetPlanning { return fleetPlanning{spotLossLimitS: math.Inf(1)} }

// planSoon schedules planning of the fleet for the next step, but not before notBefore.
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
	started := l.env.Clock.Now()
	l.planFleet(started)
	l.fleet.notBefore = l.earliestNextRun(started, tuning.ScaleOutPauseMin)
}

// planFleet rents the machines that are needed and returns those that are not.
func (l *Loop) planFleet(now time.Time) {
	if l.env.MachineTypes() == nil {
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

// mayRent reports whether machines may be rented. A new leader waits until the machines that it took over have had
// time to send heartbeats.
func (l *Loop) mayRent(now time.Time) bool {
	return l.leadership.Term == 1 || now.Sub(l.startedAt) > tuning.RentDelayAfterFailover
}

// maxBootTime is how long a machine of a type may take until its first heartbeat: factor times its nominal boot time,
// plus tuning.BootExtra. For a type that is not known it is tuning.UnknownTypeBootTime.
func (l *Loop) maxBootTime(typ string, factor float64) time.Duration {
	if t := l.env.machineType(typ); t != nil {
		return time.Duration(t.BootS*factor*float64(time.Second)) + tuning.BootExtra
	}
	return tuning.UnknownTypeBootTime
}

// awaitValidLeadership waits until this member may act as the leader of the term (Env.MayAct). It returns false if the
// term ends first. Without this wait, a leader whose process was suspended could delete machines on which the next leader
// has placed tasks since.
func (l *Loop) awaitValidLeadership() bool {
	for l.termCtx.Err() == nil && !l.env.MayAct(l.leadership.Term) {
		l.env.sleep(l.termCtx, tuning.Tick)
	}
	return l.termCtx.Err() == nil
}
