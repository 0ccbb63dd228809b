package placement

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// Placement is the decision to run one more task of the pending job on the machine.
type Placement struct {
	Pending *PendingJob
	Machine *Machine
}

// Schedule runs one scheduling cycle. It tries the jobs in order, and places as many waiting tasks of each
// as fit its team's quota and the machines. A job that cannot place any more tasks does not block the jobs
// behind it. But a job that has waited for a long time reserves a machine against the jobs behind it, so that
// their small tasks do not fill every machine before the large task of the waiting job fits.
//
// Within a priority, tasks that fit their team's guarantee are placed before tasks for which a team borrows
// beyond its guarantee. Otherwise room that was preempted from one borrowing team would go to another one that
// has waited longer. Jobs that have waited too long for their first task are tried even earlier, with one task
// each. Placeholders are tried last: they reserve room against lower priorities only, and for a limited time
// (see BackfillReservations).
//
// Schedule sorts pending. It changes the jobs' waiting counts and zones, the machines' free resources and
// the teams' use.
func Schedule(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	Sort(pending, teams, now)
	return ScheduleSorted(now, pending, machines, teams)
}

// ScheduleSorted does the same as Schedule for jobs that Sort has put in order already.
func ScheduleSorted(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team) []Placement {
	placed, _ := runCycle(now, pending, machines, teams, true)
	return placed
}

// phase is one pass of a cycle over the jobs of one effective priority.
type phase int

const (
	guaranteedPhase  phase = iota // tasks that fit their team's guarantee
	borrowingPhase                // tasks for which a team borrows beyond its guarantee
	placeholderPhase              // placeholders for expected work
)

// phases lists the phases in the order in which they run.
var phases = [...]phase{guaranteedPhase, borrowingPhase, placeholderPhase}

// cycle is the state of one scheduling cycle.
type cycle struct {
	now          time.Time
	pending      []*PendingJob // in the order of the queue
	machines     []*Machine
	teams        map[string]*Team
	rankings     rankings
	placed       []Placement
	blocked      []bool // by index in pending: no machine has room for the job's next task
	reservations reservations
}

// runCycle places tasks of jobs that are sorted already. The second result reports whether anything was
// reserved against other jobs, which happens only if mayReserve is set.
func runCycle(now time.Time, pending []*PendingJob, machines []*Machine, teams map[string]*Team, mayReserve bool) ([]Placement, bool) {
	c := cycle{
		now: now, pending: pending, machines: machines, teams: teams, rankings: newRankings(machinesWithRoom(machines, pending)),
		blocked: make([]bool, len(pending)), reservations: reservations{allowed: mayReserve},
	}
	for lo, hi := 0, 0; lo < len(pending); lo = hi {
		hi = c.endOfPriority(lo)
		c.schedulePriority(lo, hi)
	}
	return c.placed, c.reservations.blocksOthers()
}

// endOfPriority returns the index after the last job that has the same effective priority as the job at lo.
func (c *cycle) endOfPriority(lo int) int {
	level := EffectivePriority(c.pending[lo], c.teams, c.now)
	hi := lo + 1
	for hi < len(c.pending) && EffectivePriority(c.pending[hi], c.teams, c.now) == level {
		hi++
	}
	return hi
}

// schedulePriority places tasks of the jobs of one priority, which are those at the indexes lo <= i < hi.
func (c *cycle) schedulePriority(lo, hi int) {
	for _, i := range starvingIn(c.pending, lo, hi, c.now) {
		c.startStarvingJob(c.pending[i])
	}
	for _, ph := range phases {
		c.runPhase(ph, lo, hi)
	}
}

// runPhase tries all jobs in order. Jobs that prefer a kind of machine are first tried on that kind only;
// a second pass tries their remaining tasks on machines of any kind.
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

// placeTasks places as many tasks of the job at index i as the phase, its team's quota and the machines of
// the given kind allow.
func (c *cycle) placeTasks(i int, ph phase, kind MachineKindPreference) {
	job := c.pending[i]
	if c.blocked[i] || job.Placeholder != (ph == placeholderPhase) {
		return
	}
	team := c.teamOf(job)
	if team == nil {
		return
	}
	request := job.Request()
	var ranking *machineRanking // built when first needed, because building it examines all machines
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

// teamOf returns the team whose quota applies to a job, or nil if no task of the job may be placed.
// Placeholders have no quota. They may not be placed in a cycle that makes no reservations.
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

// place places one task. A placeholder uses up room, but is not part of the cycle's result.
func (c *cycle) place(job *PendingJob, machine *Machine, request Resources, team *Team) {
	job.assign(machine, request, team)
	if job.Placeholder {
		c.reservations.placeholdersPlaced = true
		return
	}
	c.placed = append(c.placed, Placement{job, machine})
}

// block records that no machine has room for a task of the job at index i. The first such job that has
// waited for tuning.HeadReservationAfter reserves a machine.
func (c *cycle) block(i int) {
	job := c.pending[i]
	c.blocked[i] = true
	if job.Placeholder {
		return
	}
	if c.reservations.placeholdersPlaced {
		c.reservations.blockedAfterPlaceholders = true
	}
	if c.reservations.allowed && !c.reservations.headReserved && c.now.Sub(job.WaitingSince) >= tuning.HeadReservationAfter {
		c.reservations.headReserved = job.reserveMachine(c.machines, job.Request())
	}
}
