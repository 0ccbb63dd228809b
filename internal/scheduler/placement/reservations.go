package placement

import (
	"math"
	"time"

	"poppypass/internal/platform/tuning"
)

// BackfillReservations runs scheduling cycles, and limits how long reservations may delay other jobs. A cycle
// reserves machines and parts of quotas for jobs that need more than is free, and it reserves room for
// expected work. Other jobs that could start there have to wait. BackfillReservations stores the time since
// which every cycle has reserved something. When that time is tuning.ReservationMaxTime ago, one cycle
// reserves nothing, so that no job waits longer than that while a machine has room for it. Reservations after
// that cycle start a new period. The zero value is ready for use.
type BackfillReservations struct{ since time.Time }

// Schedule runs a scheduling cycle like the function Schedule, and limits the duration of reservations.
func (b *BackfillReservations) Schedule(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	Sort(pending, teams, now)
	expired := !b.since.IsZero() && now.Sub(b.since) >= tuning.ReservationMaxTime
	placed, reserved := runCycle(now, pending, machines, teams, !expired)
	switch {
	case !reserved:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = now
	}
	return placed
}

// reservations records what one cycle has reserved against other jobs.
type reservations struct {
	allowed                  bool // whether the cycle may reserve anything
	headReserved             bool // the first blocked job that has waited for long has reserved a machine
	starvingMachines         int  // number of machines reserved for starving jobs
	quotaReserved            bool // a part of a team's quota is reserved for a starving job
	placeholdersPlaced       bool // placeholders have reserved room
	blockedAfterPlaceholders bool // a job found no room after placeholders had reserved room
}

// blocksOthers reports whether something was reserved that another job may need.
func (r *reservations) blocksOthers() bool {
	return r.headReserved || r.starvingMachines > 0 || r.quotaReserved || r.blockedAfterPlaceholders
}

// reserveMachine reserves the machine that will have room for a task soonest, by the estimated ends of the
// tasks on it. Of machines with equal estimates, or without estimates, it reserves the one with the most free
// CPUs. It reports whether it reserved a machine. A machine that never has room, because its service replicas
// do not end, is not reserved: such a reservation would close the machine to all other jobs for as long as its
// replicas run.
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
