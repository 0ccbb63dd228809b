package placement

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
)

// BackfillReservations bounds for how long machines and parts of quotas stay
// reserved for jobs that wait for more than is free, and room for expected work,
// while other jobs wait that could start there. It remembers between cycles since
// when anything has been reserved. After tuning.ReservationMax one cycle reserves
// nothing, so that no job waits longer than that beside room, and what is
// reserved afterwards counts anew. The zero value is ready for use.
type BackfillReservations struct{ since time.Time }

// Schedule is the function Schedule with that bound.
func (b *BackfillReservations) Schedule(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	Sort(pending, teams, now)
	expired := !b.since.IsZero() && now.Sub(b.since) >= tuning.ReservationMax
	placed, reserved := runCycle(now, pending, machines, teams, !expired)
	switch {
	case !reserved:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = now
	}
	return placed
}

// reservations is what one cycle has reserved against other jobs.
type reservations struct {
	allowed          bool // anything may be reserved
	head             bool // the first blocked job that waited long has reserved a machine
	starvingMachines int  // machines reserved for starving jobs
	quota            bool // a part of a quota is reserved for one
	placeholders     bool // placeholders have taken room
	displaced        bool // after that there was no room for some job
}

// any reports whether something was reserved that another job may have wanted.
func (r *reservations) any() bool { return r.head || r.starvingMachines > 0 || r.quota || r.displaced }

// reserveMachine reserves the machine that has room for a task soonest, by what
// runs there; of equals, or where that is not known, the one with the most free
// CPUs. It reports whether there was one. A machine that never has room, since
// service replicas stay there, is not reserved: one once was, against all other
// jobs, for as long as they ran.
func (p *PendingJob) reserveMachine(machines []*Machine, request Resources) bool {
	var best *Machine
	soonest := math.Inf(1)
	for _, machine := range machines {
		if machine.reservedFor != "" || !p.couldRunOn(machine, request) {
			continue
		}
		freeInS := machine.freeInS(request)
		if math.IsInf(freeInS, 1) || best != nil && (freeInS > soonest || freeInS == soonest && machine.Free.CPUs <= best.Free.CPUs) {
			continue
		}
		best, soonest = machine, freeInS
	}
	if best == nil {
		return false
	}
	best.reservedFor = p.Job.ID
	return true
}
