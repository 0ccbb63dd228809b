package tuning

import "time"

// Placement, preemption and reservations.
const (
	// PriorityAgingStep is the wait after which a job rises by one priority.
	PriorityAgingStep = 120 * time.Second
	// FairShareOfFleet is the share of the fleet's CPUs that one job of a team without a
	// quota has had before its later tasks go behind the first of others.
	FairShareOfFleet = 0.25
	// FairShareSteps is in how many steps a job's use of its fair share, what its team's
	// quota admits at a time, is counted: jobs that used fewer go first.
	FairShareSteps = 4
	// StarvationBound is how long a job may wait for its first task before that goes
	// before all else of its priority: users expect the largest jobs to begin within four
	// minutes, and a machine or a part of a team's quota that is reserved for one becomes
	// free as what runs ends, within two minutes mostly. StarvationReservationShare is the
	// share of the machines with room, as a divisor, that may be reserved for such jobs at
	// a time, one at the least.
	StarvationBound            = 60 * time.Second
	StarvationReservationShare = 8
	// TaskShapesMax is for how many task shapes a scheduling cycle keeps the machines
	// ranked: with 40 bytes for each machine and shape, 16 MB at the most with 10,000
	// machines, until the cycle ends.
	TaskShapesMax = 40
	// ReservationMax is for how long machines and parts of quotas stay reserved for jobs
	// that need more than is free, before one cycle reserves nothing: users expect that no
	// job waits for 90 s while a machine that fits has room, and the next cycle may be
	// CycleBackoffMax away.
	ReservationMax = 70 * time.Second
	// HeadReservationAfter is the wait after which the first blocked job of the queue
	// reserves a machine against those behind it.
	HeadReservationAfter = 30 * time.Second
	// CycleBackoffMin and CycleBackoffMax bound the pause between cycles that place
	// nothing: the design's 1 s doubling to 10 s. Any change ends it early.
	CycleBackoffMin = 1 * time.Second
	CycleBackoffMax = 10 * time.Second
	// CycleRestFactor times a cycle's duration is how long the leader does other things
	// before the next, so that cycles take a seventeenth of its processor at the most, and
	// scale-out plans as much: with a backlog, each of hundreds of changes per second asks
	// for one. A cycle over 1,200 machines takes a millisecond or two of a share of a
	// core, and the strictest service-level objective of starts is a second.
	CycleRestFactor = 16
	// CycleRestMin and ScaleOutRestMin are the shortest such rests after cycles and after
	// scale-out plans: a seventeenth of a core is a fifth of a share of 0.3, and a start
	// waits for a second or more, a machine boots for 20.
	CycleRestMin    = 20 * time.Millisecond
	ScaleOutRestMin = 200 * time.Millisecond
	// PreemptWaitShare is the share of the wait allowed to a class (by its own
	// service-level objective or the guarantee's) after which others may be preempted for
	// it.
	PreemptWaitShare = 0.5
	// PreemptAfterFailover is how long a new leader preempts nothing: workers find it
	// within that time.
	PreemptAfterFailover = 10 * time.Second
	// PreemptBatch is how many tasks of one job may preempt others in one cycle.
	PreemptBatch = 8
	// PreemptBackoff is how long a job waits for what was preempted for it, before more
	// is.
	PreemptBackoff = 2 * time.Second
	// PreemptFreshCost is what preempting a task within PreemptMinRun costs beyond its
	// work, in seconds: its start does not count.
	PreemptFreshCost = 30.0
	// PreemptPriorityCost is what preempting a task costs for each step of its priority,
	// in seconds of work: of what is borrowed, the work of low priority is taken back
	// first.
	PreemptPriorityCost = 30.0
	// PreemptMinRun is how long a task must have run before it may be preempted: a start
	// that is stopped within 30 s does not count.
	PreemptMinRun = 31 * time.Second
	// GraceExtra is added to a task's own time to save a checkpoint when it is asked to.
	GraceExtra = 1 * time.Second
)
