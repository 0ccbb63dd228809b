package tuning

import "time"

// Placement, preemption and reservations.
const (
	// PriorityAgingStep is the wait after which a job rises one step of priority.
	PriorityAgingStep = 120 * time.Second
	// FairShareOfFleet is the share of the fleet's CPUs that one job of a team without a
	// cap has had before its later tasks go behind the first of others.
	FairShareOfFleet = 0.25
	// FairShareSteps is in how many steps a job's fill, what its team's limit allows at
	// a time, is counted: those that had fewer go first.
	FairShareSteps = 4
	// StarvationBound is how long a job may wait for its first task before that goes before all else of its priority: users
	// expect the largest jobs to begin within four minutes, and a machine or a share of a team's limit that is kept
	// for one gets free as what runs ends, within two minutes mostly. StarvationReservationShare is the share of the machines with
	// room, as a divisor, that may be held for such jobs at a time, one at the least.
	StarvationBound            = 60 * time.Second
	StarvationReservationShare = 8
	// TaskShapesMax is for how many shapes of tasks a pass keeps the machines in order: with 40
	// bytes for each machine and shape, 16 MB at the most with 10,000 machines, until the pass ends.
	TaskShapesMax = 40
	// ReservationMax is for how long machines and parts of limits are held for those that need more than there is, before one pass
	// holds nothing: users expect that no job waits for 90 s while a machine that fits has room, and a pass may be CycleBackoffMax away.
	ReservationMax = 70 * time.Second
	// HeadReservationAfter is the wait after which the queue's head holds a machine against those behind.
	HeadReservationAfter = 30 * time.Second
	// CycleBackoffMin and CycleBackoffMax bound the pause between passes that place
	// nothing: the design's 1 s doubling to 10 s. Any change wakes the loop early.
	CycleBackoffMin = 1 * time.Second
	CycleBackoffMax = 10 * time.Second
	// CycleRestFactor times a pass's duration is how long the leader does other things
	// before the next, so that passes take a seventeenth of its processor at the most, and
	// plans for the fleet as much: with a backlog, each of hundreds of changes a second asks for
	// one. A pass over 1,200 machines takes a millisecond or two of a share of a core, and the
	// strictest aim on starts is a second.
	CycleRestFactor = 16
	// CycleRestMin and ScaleOutRestMin are the least such rests after passes and plans for the fleet: a seventeenth of a core
	// is a fifth of a share of 0.3, and a start waits for a second or more, a machine boots for 20.
	CycleRestMin    = 20 * time.Millisecond
	ScaleOutRestMin = 200 * time.Millisecond
	// PreemptWaitShare is the share of the wait allowed to a class (by its own aim
	// or the guarantee's) after which others may be stopped for it.
	PreemptWaitShare = 0.5
	// PreemptAfterFailover is how long a new leader stops nothing for others: workers
	// find it within that time.
	PreemptAfterFailover = 10 * time.Second
	// PreemptBatch is how many tasks of one job may have others stopped in one pass.
	PreemptBatch = 8
	// PreemptBackoff is how long a job waits for what was stopped for it, before more is.
	PreemptBackoff = 2 * time.Second
	// PreemptFreshCost is what stopping a task within PreemptMinRun costs beyond its work, in seconds: its start does not count.
	PreemptFreshCost = 30.0
	// PreemptPriorityCost is what stopping a task costs for each step of its priority,
	// in seconds of work: what is borrowed is taken back from patient work first.
	PreemptPriorityCost = 30.0
	// PreemptMinRun is how long a task must have run before it may be stopped
	// for others: a start that is stopped within 30 s does not count.
	PreemptMinRun = 31 * time.Second
	// GraceExtra is added to a task's own saving time when it is asked to save.
	GraceExtra = 1 * time.Second
)
