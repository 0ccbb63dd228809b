package tuning

import "time"

// Placement, preemption and reservations.
const (
	// PriorityAgingAfter is the wait after which a job's effective priority rises by one level.
	PriorityAgingAfter = 120 * time.Second
	// FairShareOfFleet is the fair share of a job whose team has no quota, as a share of the fleet's CPUs.
	// Once a job has had its fair share, its remaining tasks are placed after the first tasks of other jobs.
	FairShareOfFleet = 0.25
	// FairShareSteps is the number of equal steps in which a job's use of its team's quota, or of its fair
	// share of the fleet if the team has no quota, is counted. Jobs that used fewer steps are placed first.
	FairShareSteps = 4
	// StarvingAfter is how long a job may wait for its first task before that task precedes all others of its
	// priority. Users expect the largest jobs to begin within four minutes. A machine or a part of a team's
	// quota that is reserved for a job becomes free as running tasks end, mostly within two minutes. The
	// number of machines with room, divided by StarvationReservationDivisor, is the number of machines that
	// may be reserved for such jobs at a time; at least one may be.
	StarvingAfter                = 60 * time.Second
	StarvationReservationDivisor = 8
	// TaskShapesMax is the number of task shapes for which a scheduling cycle caches the ranked machines.
	// With 40 bytes for each machine and shape, the cache has at most 16 MB with 10,000 machines, until the
	// cycle ends.
	TaskShapesMax = 40
	// ReservationMaxTime is how long machines and parts of quotas stay reserved for jobs that need more than is
	// free. After that, one cycle reserves nothing. Users expect that no job waits for 90 s while a machine
	// that fits has room, and the next cycle may start only after CycleBackoffMax.
	ReservationMaxTime = 70 * time.Second
	// HeadReservationAfter is the wait after which the first blocked job of the queue reserves a machine
	// against the jobs behind it.
	HeadReservationAfter = 30 * time.Second
	// CycleBackoffMin and CycleBackoffMax bound the pause after a cycle that placed nothing. The design
	// specifies 1 s, doubling to 10 s. Any change ends the pause early.
	CycleBackoffMin = 1 * time.Second
	CycleBackoffMax = 10 * time.Second
	// CyclePauseFactor is the pause after a scheduling cycle or a scale-out plan, as a multiple of its
	// duration. Cycles and plans therefore use at most 1/17 of the processor each, although during a
	// backlog each of hundreds of changes per second requests a cycle. A cycle over 1,200 machines needs a
	// millisecond or two on a share of a core, and the strictest service-level objective for starts is a
	// second.
	CyclePauseFactor = 16
	// CyclePauseMin and ScaleOutPauseMin are the shortest pauses after a cycle and after a scale-out plan. With
	// CyclePauseFactor alone, cycles and plans could each use 1/17 of a core. On a machine with 0.3 of a core,
	// that is a fifth of the processor. The start of a task takes a second or more, and the boot of a machine
	// takes 20 s, so these pauses cause no noticeable delay.
	CyclePauseMin    = 20 * time.Millisecond
	ScaleOutPauseMin = 200 * time.Millisecond
	// PreemptWaitShare is the share of a class's allowed wait after which other tasks may be preempted for the
	// class. The allowed wait is the shortest time in the service-level objectives that apply to the class: its
	// own objective for the wait, and the objective for guarantees, which applies to every class.
	PreemptWaitShare = 0.5
	// PreemptDelayAfterFailover is how long a new leader preempts nothing. Workers find the new leader within
	// that time.
	PreemptDelayAfterFailover = 10 * time.Second
	// PreemptBatchTasks is the number of tasks of one job that may preempt others in one cycle.
	PreemptBatchTasks = 8
	// PreemptBackoff is how long a job waits for tasks that were preempted for it before more are preempted.
	PreemptBackoff = 2 * time.Second
	// PreemptFreshCostS is the extra cost, in seconds of work, of preempting a task that has run for less than
	// PreemptMinRun. The start of a task that is stopped so early does not count (see PreemptMinRun).
	PreemptFreshCostS = 30.0
	// PreemptPriorityCostS is the cost, in seconds of work, that each level of a task's priority adds to its
	// preemption. Of the borrowed resources, those of low-priority work are therefore reclaimed first.
	PreemptPriorityCostS = 30.0
	// PreemptMinRun is how long a task must have run to be preempted without the extra cost PreemptFreshCostS,
	// and how long a service replica must have run to be moved. A start that is stopped within 30 s does not
	// count as a start.
	PreemptMinRun = 31 * time.Second
	// CheckpointGraceExtra is added to the time that a task needs to save a checkpoint when the task is stopped.
	CheckpointGraceExtra = 1 * time.Second
)
