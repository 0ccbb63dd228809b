package placement

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// Placement is a decision: one more task of the job goes to the machine.
type Placement struct {
	Pending *PendingJob
	Machine *Machine
}

// Schedule runs one scheduling cycle. It tries the jobs in order, each with as
// many of its waiting tasks as fit its team's quota and the machines. A job that
// cannot go on leaves its turn to those behind it; one that has waited long
// reserves a machine against them, so that small tasks do not take every slot
// before a large one fits.
//
// Within a priority, what fits its team's guarantee goes before what teams
// borrow: room that was taken back from a borrower must not go to the next
// borrower because it waited longer. Jobs that have waited too long for their
// first task come before all of that, with one task each. Last come placeholders,
// which reserve room against lower priorities only, and not for ever (see
// BackfillReservations).
//
// It sorts pending, and changes the jobs' waiting counts and zones, the machines'
// free resources and the teams' use.
func Schedule(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	Sort(pending, teams, now)
	return ScheduleSorted(now, pending, machines, teams)
}

// ScheduleSorted is Schedule for jobs that Sort has put in order already.
func ScheduleSorted(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	placed, _ := runCycle(now, pending, machines, teams, true)
	return placed
}

// phase is a part of a cycle over the jobs of one priority.
type phase int

const (
	guaranteedPhase  phase = iota // what fits the teams' guarantees
	borrowingPhase                // what teams borrow beyond them
	placeholderPhase              // placeholders for expected work
)

// phases are in the order in which they run.
var phases = [...]phase{guaranteedPhase, borrowingPhase, placeholderPhase}

// cycle is the state of one scheduling cycle.
type cycle struct {
	now          time.Time
	pending      []*PendingJob // in order
	machines     []*Machine
	teams        map[string]*Team
	rankings     machineRankings
	placed       []Placement
	blocked      []bool // by index in pending: no machine has room
	reservations reservations
}

// runCycle places the tasks of jobs that are in order. The second result says
// whether anything was reserved against other jobs, which happens only if
// mayReserve.
func runCycle(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team, mayReserve bool) ([]Placement, bool) {
	c := cycle{
		now: now, pending: pending, machines: machines, teams: teams, rankings: newMachineRankings(machinesWithRoom(machines, pending)),
		blocked: make([]bool, len(pending)), reservations: reservations{allowed: mayReserve},
	}
	for lo, hi := 0, 0; lo < len(pending); lo = hi {
		hi = c.endOfPriority(lo)
		c.schedulePriority(lo, hi)
	}
	return c.placed, c.reservations.any()
}

// endOfPriority returns the index behind the last job of the same effective
// priority as the one at lo.
func (c *cycle) endOfPriority(lo int) int {
	level := EffectivePriority(c.pending[lo], c.teams, c.now)
	hi := lo + 1
	for hi < len(c.pending) && EffectivePriority(c.pending[hi], c.teams, c.now) == level {
		hi++
	}
	return hi
}

// schedulePriority places tasks of the jobs of one priority, at the indexes from
// lo to before hi.
func (c *cycle) schedulePriority(lo, hi int) {
	for _, i := range starvingIn(c.pending, lo, hi, c.now) {
		c.startStarvingJob(c.pending[i])
	}
	for _, ph := range phases {
		c.runPhase(ph, lo, hi)
	}
}

// runPhase tries all jobs in order, those that prefer a kind of machines on that
// kind only; then what is left of these on any.
func (c *cycle) runPhase(ph phase, lo, hi int) {
	for i := lo; i < hi; i++ {
		c.placeTasks(i, ph, c.pending[i].Preference)
	}
	for i := lo; i < hi; i++ {
		if c.pending[i].Preference != AnyKind {
			c.placeTasks(i, ph, AnyKind)
		}
	}
}

// placeTasks places as many tasks of the job at index i as the phase, its team's
// quota and the machines of a kind allow.
func (c *cycle) placeTasks(i int, ph phase, kind KindPreference) {
	job := c.pending[i]
	if c.blocked[i] || job.Placeholder != (ph == placeholderPhase) {
		return
	}
	team := c.teamOf(job)
	if team == nil {
		return
	}
	request := job.Request()
	var ranking *machineRanking // made when it is first needed: it looks at all machines
	for job.Waiting > 0 && team.admits(job) && (ph != guaranteedPhase || team.withinGuarantee(request)) {
		if ranking == nil {
			ranking = c.rankings.forJob(job, kind)
		}
		machine := ranking.best(job)
		if machine == nil {
			if kind == AnyKind {
				c.block(i)
			}
			return
		}
		c.place(job, machine, request, team)
	}
}

// teamOf returns the team whose quota applies to a job; nil: no task of it may be
// placed. Placeholders have no quota, and reserve nothing in a cycle without
// reservations.
func (c *cycle) teamOf(job *PendingJob) *Team {
	switch {
	case !job.Placeholder:
		return c.teams[job.Job.Team]
	case c.reservations.allowed:
		return unlimitedTeam()
	default:
		return nil
	}
}

// place places one task. A placeholder takes the room and is not a decision.
func (c *cycle) place(job *PendingJob, machine *Machine, request Resources, team *Team) {
	job.assign(machine, request, team)
	if job.Placeholder {
		c.reservations.placeholders = true
		return
	}
	c.placed = append(c.placed, Placement{job, machine})
}

// block notes that no machine has room for a task of the job at index i. The
// first such job that has waited long reserves a machine.
func (c *cycle) block(i int) {
	job := c.pending[i]
	c.blocked[i] = true
	if job.Placeholder {
		return
	}
	if c.reservations.placeholders {
		c.reservations.displaced = true
	}
	if c.reservations.allowed && !c.reservations.head && c.now.Sub(job.WaitingSince) >= tuning.HeadReservationAfter {
		c.reservations.head = job.reserveMachine(c.machines, job.Request())
	}
}
