package leader

import "time"

// Observer receives the events of the leader's loop, for metrics. Its methods must not block.
type Observer interface {
	// FailoverDone reports that the stored records are in memory, and the time since Loop.startedAt.
	FailoverDone(took time.Duration)
	// CycleDone reports the duration of a scheduling cycle.
	CycleDone(took time.Duration)
	// HeartbeatHandled reports the time from the arrival of a heartbeat until its answer.
	HeartbeatHandled(took time.Duration)
	// TaskAllocated reports that a task was allocated to a machine.
	TaskAllocated(class string)
	// AttemptEnded reports that an attempt at a task is proven to have ended, and how it ended.
	AttemptEnded(class, ending string)
	// RecordsWritten reports the number of changes in a committed transaction.
	RecordsWritten(changes int)
	// StateSize reports the numbers of live jobs and machines, the number of waiting tasks by class, and for how
	// many seconds the oldest job of each class has waited for its first task to run.
	StateSize(jobCount, machineCount int, waiting map[string]int, oldestWaitS map[string]float64)
	// JobArrived reports that a job was accepted in this term.
	JobArrived(class, team, size string)
	// JobBegan reports that the first task of a job runs, and the time since the job was accepted.
	JobBegan(class, team, size string, waited time.Duration)
	// MissingJobsFound reports how many stored jobs were missing in memory.
	MissingJobsFound(jobCount int)
	// HeartbeatRejected reports that a heartbeat was not applied, and why.
	HeartbeatRejected(reason string)
	// Reachability reports how many machines commands do not reach, and how many live ones have not acknowledged
	// any message of this term yet.
	Reachability(unreachable, unacknowledged int)
	// TokenUse reports how often a machine's fencing token was raised in this term, and the bytes in heartbeats of
	// exited attempts that wait for a higher token: those of all machines and those of the machine with most of them.
	TokenUse(raises uint64, retainedBytes, largestRetainedBytes int)
}
