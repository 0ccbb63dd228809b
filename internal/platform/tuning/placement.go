package tuning

import "time"

// Placement, preemption and reservations.
const (
	// AgeStep is the wait after which a job rises one step of priority.
	AgeStep = 120 * time.Second
	// FillShare is the share of the fleet's CPUs that one job of a team without a
	// cap has had before its later tasks go behind the first of others.
	FillShare = 0.25
	// FillSteps is in how many steps a job's fill, what its team's limit allows at
	// a time, is counted: those that had fewer go first.
	FillSteps = 4
	// BeginBound is how long a job may wait for its first task before that goes before all else of its priority: users
	// expect the largest jobs to begin within four minutes, and a machine or a share of a team's limit that is kept
	// for one gets free as what runs ends, within two minutes mostly. BeginReservationShare is the share of the machines with
	// room, as a divisor, that may be held for such jobs at a time, one at the least.
	BeginBound            = 60 * time.Second
	BeginReservationShare = 8
	// SearchShapes is for how many shapes of tasks a pass keeps the machines in order: with 40
	// bytes for each machine and shape, 16 MB at the most with 10,000 machines, until the pass ends.
	SearchShapes = 40
	// ReservationMax is for how long machines and parts of limits are held for those that need more than there is, before one pass
	// holds nothing: users expect that no job waits for 90 s while a machine that fits has room, and a pass may be PassWaitMax away.
	ReservationMax = 70 * time.Second
	// HeadReservationAfter is the wait after which the queue's head holds a machine against those behind.
	HeadReservationAfter = 30 * time.Second
	// PassWaitMin and PassWaitMax bound the pause between passes that place
	// nothing: the design's 1 s doubling to 10 s. Any change wakes the loop early.
	PassWaitMin = 1 * time.Second
	PassWaitMax = 10 * time.Second
	// RestFactor times a pass's duration is how long the leader does other things
	// before the next, so that passes take a seventeenth of its processor at the most, and
	// plans for the fleet as much: with a backlog, each of hundreds of changes a second asks for
	// one. A pass over 1,200 machines takes a millisecond or two of a share of a core, and the
	// strictest aim on starts is a second.
	RestFactor = 16
	// RestLeast and PlanRest are the least such rests after passes and plans for the fleet: a seventeenth of a core
	// is a fifth of a share of 0.3, and a start waits for a second or more, a machine boots for 20.
	RestLeast = 20 * time.Millisecond
	PlanRest  = 200 * time.Millisecond
	// PreemptShare is the share of the wait allowed to a class (by its own aim
	// or the guarantee's) after which others may be stopped for it.
	PreemptShare = 0.5
	// PreemptAfter is how long a new leader stops nothing for others: workers
	// find it within that time.
	PreemptAfter = 10 * time.Second
	// PreemptAtOnce is how many tasks of one job may have others stopped in one pass.
	PreemptAtOnce = 8
	// PreemptAgain is how long a job waits for what was stopped for it, before more is.
	PreemptAgain = 2 * time.Second
	// FreshCost is what stopping a task within PreemptSettle costs beyond its work, in seconds: its start does not count.
	FreshCost = 30.0
	// PriorityCost is what stopping a task costs for each step of its priority,
	// in seconds of work: what is borrowed is taken back from patient work first.
	PriorityCost = 30.0
	// PreemptSettle is how long a task must have run before it may be stopped
	// for others: a start that is stopped within 30 s does not count.
	PreemptSettle = 31 * time.Second
	// GraceExtra is added to a task's own saving time when it is asked to save.
	GraceExtra = 1 * time.Second
)
